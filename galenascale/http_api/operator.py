"""Routes for operators: configuration and status.

Keys are kept and compared only as SHA-256 digests. Answers hold no key; the
declarations of tenants show digests, which `plan` compares.
"""

import hashlib
import hmac
import uuid

import attrs
import orjson
from aiohttp import web

from galenascale import declarations
from galenascale.config_publisher import publish_rebasing, restart
from galenascale.config_state import ChangeStatus
from galenascale.errors import UserError
from galenascale.generated.messages import ConfigEntry
from galenascale.host_metrics import membership_counts
from galenascale.settings_files import structure

MAX_BODY_BYTES = 8_000_000
PUBLISH_TIMEOUT_S = 10.0
# What status shows of a backend server, if the host knows it.
LOAD_FIELDS = (
    "state",
    "leaving",
    "online_in_flight",
    "batch_in_flight",
    "running",
    "queued",
)
HOST_FIELDS = (
    "host_id",
    "failure_domain",
    "state",
    "ready",
    "config_version",
    "reads_version",
)


@attrs.frozen
class EntryRequest:
    """One entry of a change as JSON."""

    kind: str
    name: str
    declaration: dict | None = None
    deleted: bool = False


@attrs.frozen
class ChangeRequest:
    """Body of a POST to /operator/v1/config."""

    base_version: int
    entries: list[EntryRequest]
    author: str = ""
    message: str = ""
    # Makes a second sending of the same change recognizable.
    change_id: str = ""
    # Refuse the change if the version is not exactly the base.
    strict: bool = False
    # Replace everything in a stream whose earlier records are lost.
    restart: bool = False


def operator_routes(host):
    """Return the operators' routes of an entry host."""

    def guarded(handler):
        async def handle(request):
            check_key(request, host.settings.operator_key_digests)
            return await handler(host, request)

        return handle

    return [
        web.get("/operator/v1/config", guarded(_get_config)),
        web.post("/operator/v1/config", guarded(_post_config)),
        web.get("/operator/v1/status", guarded(_get_status)),
    ]


def check_key(request, digests):
    """Raise UserError unless the bearer key has one of the SHA-256 digests."""
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    raw = key.encode("utf-8", "surrogateescape")
    presented = hashlib.sha256(raw).hexdigest().encode()
    # Compares with every digest, so that the time tells nothing.
    matches = [hmac.compare_digest(presented, item.encode()) for item in digests]
    if scheme.lower() != "bearer" or not any(matches):
        raise UserError(
            "operator key is missing or wrong", code="unauthorized", http_status=401
        )


def _json(value, status=200):
    return web.Response(
        body=orjson.dumps(value), status=status, content_type="application/json"
    )


async def _get_config(host, _):
    state = host.config.state
    entries = [
        {
            "kind": kind,
            "name": name,
            "json": item.entry.json,
            "changed_version": item.changed_version,
        }
        for (kind, name), item in state.entries_by_key.items()
        if not item.entry.deleted
    ]
    return _json(
        {
            "version": state.version,
            "age_s": host.config.age_s(),
            "ready": host.config.is_ready(),
            "entries": entries,
        }
    )


async def _read_change(request):
    content = bytearray()
    async for data in request.content.iter_any():
        content += data
        if len(content) > MAX_BODY_BYTES:
            raise UserError("change is too large", http_status=413)
    try:
        data = orjson.loads(content)
    except orjson.JSONDecodeError as error:
        raise UserError(f"body is not valid JSON: {error}") from error
    change = structure(data, ChangeRequest, "change")
    if not change.entries:
        raise UserError("change: $.entries: must not be empty")
    keys = [(item.kind, item.name) for item in change.entries]
    if len(set(keys)) < len(keys):
        raise UserError("change: $.entries: names an entry twice")
    return change


def parse_entries(change):
    """Return the checked Declarations of a change, without deleted ones."""
    parsed = []
    for at, item in enumerate(change.entries):
        path = f"$.entries[{at}]"
        if item.kind not in declarations.DECLARATION_TYPES:
            raise UserError(f"change: {path}.kind: unknown kind {item.kind!r}")
        if item.deleted:
            continue
        found = declarations.parse(item.declaration, "change", f"{path}.declaration")
        if found.key != (item.kind, item.name):
            raise UserError(f"change: {path}.name: differs from the declaration")
        parsed.append(found)
    return parsed


def check_result(current, change, parsed):
    """Raise UserError if the configuration after the change is invalid."""
    touched = {(item.kind, item.name) for item in change.entries}
    views = (
        current.services_by_name,
        current.models_by_name,
        current.tenants_by_id,
        current.servers_by_id,
    )
    kept = [
        declarations.Declaration(kind, name, {}, value, f"in force: {kind}/{name}")
        for kind, view in zip(declarations.DECLARATION_TYPES, views, strict=True)
        for name, value in view.items()
        if (kind, name) not in touched
    ]
    declarations.check_set(kept + parsed)


def _to_entry(item):
    text = "" if item.deleted else orjson.dumps(item.declaration).decode()
    return ConfigEntry(item.kind, item.name, text, item.deleted)


async def _post_config(host, request):
    change = await _read_change(request)
    parsed = parse_entries(change)
    verdict = await _publish(host, change, parsed)
    if verdict.status == ChangeStatus.VALID:
        return _json({"status": "valid", "version": verdict.version})
    answer = {
        "status": "conflict",
        "version": verdict.version,
        "changed": verdict.changed,
        "error": {
            "message": "the configuration has changed since the base version",
            "type": "invalid_request_error",
            "code": "config_conflict",
            "execution": "not_run",
        },
    }
    return _json(answer, status=409)


async def _publish(host, change, parsed):
    entries = [_to_entry(item) for item in change.entries]
    change_id = change.change_id or uuid.uuid4().hex
    more = {"author": change.author, "message": change.message}
    if change.restart:
        declarations.check_set(parsed)
        return await restart(host.config, entries, change_id=change_id, **more)
    return await publish_rebasing(
        host.config,
        entries,
        change.base_version,
        change_id=change_id,
        check=lambda: check_result(host.config.current, change, parsed),
        timeout_s=PUBLISH_TIMEOUT_S,
        strict=change.strict,
        **more,
    )


async def _get_status(host, _):
    config, state = host.config, host.config.state
    return _json(
        {
            "host_id": host.settings.host_id,
            "failure_domain": host.settings.failure_domain,
            "ready": host.is_ready(),
            "stopping": host.stopping.started,
            "members": attrs.asdict(membership_counts(host)),
            "config": {
                "version": config.current.version,
                "age_s": config.age_s(),
                "ready": config.is_ready(),
                "has_gap": config.has_gap,
                "malformed_records": state.malformed_records,
                "unknown_records": len(state.unknown_records),
                "dropped_unknown_records": state.dropped_unknown_records,
            },
            "hosts": _host_rows(host),
            "servers": _server_rows(host),
        }
    )


def _pick(value, names):
    return {name: getattr(value, name) for name in names if hasattr(value, name)}


def _host_rows(host):
    live = host.membership.live_hosts(host.clock.monotonic())
    return [_pick(item, HOST_FIELDS) for item in live]


def _server_rows(host):
    now = host.clock.monotonic()
    loads = {load.server_id: load for load in host.online.loads()}
    return [
        {
            "server_id": name,
            "service": server.service_name,
            "failure_domain": server.failure_domain,
            "slots": server.slots,
            "usable": host.membership.servers.is_usable(now, name),
            "peers_in_flight": list(host.membership.servers.peer_load(now, name)),
            **_pick(loads.get(name), LOAD_FIELDS),
        }
        for name, server in host.config.current.servers_by_id.items()
    ]
