"""Decoding of the operator's configuration record."""

import orjson

from galenascale.errors import DecodeError
from galenascale.gateway.configuration import (
    CallerLimits,
    Configuration,
    Engine,
    RequestKind,
    Route,
    Service,
    Tenant,
    TrafficSplit,
)
from galenascale.gateway.http_heads import InvalidHead, check_field
from galenascale.key_table import key_digest
from galenascale.platform.fields import get_field, get_ms_as_seconds, parse_json_object

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"

# Field of the configuration that hosts send to each other; it replaces the
# keys of a tenant.
_KEY_DIGESTS = "KeyDigests"

_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAMING,
    "batch": RequestKind.BATCH,
}


def describes_configuration(content):
    """Return True if parsed JSON is meant to be a configuration."""
    return isinstance(content, dict) and "Version" in content and "Routes" in content


def decode_configuration(data):
    """Return the Configuration; raise DecodeError for an invalid record."""
    fields = parse_json_object(data, "configuration")
    tenants = get_field(fields, "Tenants", list, None)
    if tenants is not None:
        fields["Tenants"] = [_replace_keys_by_digests(item) for item in tenants]
        data = orjson.dumps(fields)
    return Configuration(
        version=get_field(fields, "Version", int),
        routes=tuple(_decode_route(item) for item in get_field(fields, "Routes", list)),
        services_by_name={
            service.name: service
            for service in map(_decode_service, get_field(fields, "Services", list))
        },
        limits=_decode_limits(get_field(fields, "Limits", dict, {})),
        tenants_by_name=_decode_tenants(fields.get("Tenants")),
        source=bytes(data),
    )


def _replace_keys_by_digests(fields):
    """Return a tenant's fields with digests in place of the keys."""
    if not isinstance(fields, dict):
        raise DecodeError("tenant is not a JSON object", step="decode")
    fields = dict(fields)
    # Digests are there already if a host sent the configuration.
    digests = list(get_field(fields, _KEY_DIGESTS, list, []))
    keys = get_field(fields, "ApiKeys", list, [])
    if not all(isinstance(value, str) for value in (*digests, *keys)):
        raise DecodeError("keys of a tenant must be strings", step="decode")
    digests.extend(map(key_digest, keys))
    fields.pop("ApiKeys", None)
    fields[_KEY_DIGESTS] = digests
    return fields


def _decode_tenants(items):
    if items is None:
        return None
    tenants = [
        Tenant(
            name=_check_tenant_name(get_field(fields, "Name", str)),
            key_digests=tuple(fields[_KEY_DIGESTS]),
            priority=get_field(fields, "Priority", int, None),
            requests_per_s=get_field(fields, "RatePerS", float, 0.0),
            burst=get_field(fields, "Burst", float, 0.0),
        )
        for fields in items
    ]
    return {tenant.name: tenant for tenant in tenants}


def _check_tenant_name(name):
    """Return a name that can be sent in headers; raise DecodeError."""
    try:
        check_field(b"tenant", name.encode())
    except InvalidHead as error:
        raise DecodeError(error.message, step="decode") from error
    return name


def _decode_route(fields):
    return Route(
        name=get_field(fields, "Name", str),
        host=get_field(fields, "Host", str),
        path_prefix=get_field(fields, "PathPrefix", str),
        # An unknown kind is treated as one that must not run twice.
        kind=_KINDS.get(get_field(fields, "Kind", str), RequestKind.NON_IDEMPOTENT),
        splits=_decode_splits(fields),
        timeout_s=get_ms_as_seconds(fields, "TimeoutMs"),
        # The service level objective; for batch it covers only the response to
        # the submission.
        objective_s=get_ms_as_seconds(fields, "SloMs"),
        max_attempts=max(1, get_field(fields, "Attempts", int, 1)),
        priority=get_field(fields, "Priority", int, 0),
        anonymous=get_field(fields, "Anonymous", bool, False),
        resumable=get_field(fields, "CanResume", bool, False),
        gap_objective_s=get_ms_as_seconds(fields, "GapTargetMs", 0.0),
        due_s=get_ms_as_seconds(fields, "DueMs", 0.0),
        # Despite its name, this is not the lifetime of an item but the time in
        # seconds after which it may be given up.
        give_up_s=get_field(fields, "ItemTtlS", float, 0.0),
        # Despite its name, the limit is not on queued items only: an item
        # counts until it is finished.
        max_open_tokens=get_field(fields, "MaxQueueTokens", int, 0),
    )


def _decode_splits(fields):
    weighted = get_field(fields, "WeightedBackends", list, None)
    if not weighted:
        return (TrafficSplit(get_field(fields, "Service", str), 1.0),)
    return tuple(
        TrafficSplit(get_field(item, "Service", str), get_field(item, "Weight", float))
        for item in weighted
    )


def _decode_service(fields):
    # Despite its name, this is not a kind but the capacity of the service's
    # engines.
    engine = get_field(fields, "EngineKind", dict, None)
    return Service(
        name=get_field(fields, "Name", str),
        max_connections=get_field(fields, "MaxConns", int),
        engine=engine
        and Engine(
            slots=get_field(engine, "Slots", int),
            kv_tokens=get_field(engine, "KvTokens", int),
        ),
    )


def _decode_limits(fields):
    defaults = CallerLimits()
    return CallerLimits(
        header_bytes=get_field(fields, "HeaderBytes", int, defaults.header_bytes),
        body_bytes=get_field(fields, "BodyBytes", int, defaults.body_bytes),
        header_timeout_s=get_ms_as_seconds(
            fields, "HeaderTimeoutMs", defaults.header_timeout_s * 1000
        ),
        idle_timeout_s=get_ms_as_seconds(
            fields, "IdleTimeoutMs", defaults.idle_timeout_s * 1000
        ),
    )
