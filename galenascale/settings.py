"""Loading and checking of JSON settings; defaults live in the schema."""

from galenascale.errors import UserError
from galenascale.generated import messages
from galenascale.settings_files import load_json_settings

SETTINGS_VERSION = 1
MIN_SECRET_LENGTH = 16


def load_settings(path, kind=messages.HostSettings):
    """Return checked settings of the given class from a JSON file."""
    settings = load_json_settings(path, kind)
    if kind is messages.HostSettings:
        check_host_settings(settings, str(path))
    return settings


def check_host_settings(settings, source):
    """Raise UserError for values that cannot work, naming the JSON path."""
    problems = []
    if settings.schema_version != SETTINGS_VERSION:
        problems.append(("schema_version", f"must be {SETTINGS_VERSION}"))
    problems.extend(
        (name, "must not be empty")
        for name in ("host_id", "failure_domain", "platform_url")
        if not getattr(settings, name)
    )
    if len(settings.peer_secret) < MIN_SECRET_LENGTH:
        problems.append(
            ("peer_secret", f"must have at least {MIN_SECRET_LENGTH} characters")
        )
    if not 1 <= settings.log.shards <= 1024:
        problems.append(("log.shards", "must be from 1 to 1024"))
    problems.extend(_placement_problems(settings.placement))
    if settings.log_format not in ("text", "json"):
        problems.append(("log_format", "must be text or json"))
    for section, names in (
        ("tls", ("private_key",)),
        # Both sides of a call between hosts prove who they are.
        ("peer_tls", ("private_key", "ca")),
    ):
        tls = getattr(settings, section)
        problems.extend(
            (f"{section}.{name}", f"must be given with {section}.certificate")
            for name in names
            if tls.certificate and not getattr(tls, name)
        )
    if problems:
        name, reason = problems[0]
        raise UserError(f"{source}: $.{name}: {reason}", step="settings")


def _placement_problems(placement):
    if placement is None:
        return
    # A renewal starts at half of the lease and must end before the margin.
    if placement.lease_ms <= 4 * placement.lease_margin_ms:
        yield "placement.lease_ms", "must be more than 4 times lease_margin_ms"
    if placement.lease_margin_ms < 0:
        yield "placement.lease_margin_ms", "must not be negative"
    for name in ("max_loads", "prefill_tokens_per_s", "kv_tokens_per_s"):
        if getattr(placement, name) <= 0:
            yield f"placement.{name}", "must be greater than 0"
    for name in ("plan_s", "fleet_poll_s", "retry_s"):
        if getattr(placement, name) < 0.05:
            yield f"placement.{name}", "must be at least 0.05"
