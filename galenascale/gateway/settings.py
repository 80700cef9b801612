"""Settings of a gateway host: loading, validation and reload."""

import asyncio
import os

from galenascale.errors import UserError
from galenascale.gateway.json_log import LEVELS
from galenascale.gateway.slots.tenant_shares import WEIGHT_RANGE
from galenascale.generated.gateway_messages import GatewaySettings
from galenascale.settings_files import load_json_settings

SETTINGS_VERSION = 1
# Seconds between two checks of the settings file, which may change without a
# signal.
WATCH_INTERVAL_S = 2.0
# Settings whose change is logged at a reload.
RELOADED_OR_REPORTED = (
    "seeds",
    "bounds",
    "tenant_weights",
    "server_speeds",
    "leave_domain",
    "log_level",
    "store",
    "caller_listen",
)
_ADDRESSES = ("caller_listen", "ready_listen", "peer_listen", "store.address")


def load_gateway_settings(path):
    """Return validated GatewaySettings from a JSON file."""
    settings = load_json_settings(path, GatewaySettings)
    check_gateway_settings(settings, path)
    return settings


def check_gateway_settings(settings, source):
    """Raise UserError with the JSON path of the first invalid value."""
    for name, reason in _validation_errors(settings):
        raise UserError(f"{source}: $.{name}: {reason}", step="settings")


def _validation_errors(settings):
    if settings.schema_version != SETTINGS_VERSION:
        yield "schema_version", f"must be {SETTINGS_VERSION}"
    for name in ("host_id", "failure_domain"):
        if not getattr(settings, name):
            yield name, "must not be empty"
    for name in _ADDRESSES:
        value = settings
        for part in name.split("."):
            value = getattr(value, part)
        if not _is_address(value):
            yield name, "must be an IP address and a port, such as 10.0.0.1:8080"
    for number, seed in enumerate(settings.seeds):
        if not _is_address(seed):
            yield f"seeds[{number}]", "must be an IP address and a port"
    if not 0 < settings.peer_datagram_port < 65536:
        yield "peer_datagram_port", "must be from 1 to 65535"
    if settings.store.partitions < 1:
        yield "store.partitions", "must be at least 1"
    if settings.store.retention_s <= settings.bounds.job_retention_s:
        yield (
            "store.retention_s",
            "must be greater than bounds.job_retention_s, or results would be lost",
        )
    for name in (
        "host_memory_mb",
        "caller_memory_mb",
        "host_descriptors",
        "max_caller_connections",
    ):
        if getattr(settings, name) < 0:
            yield name, "must not be negative"
    lowest, highest = WEIGHT_RANGE
    for name, weight in settings.tenant_weights.items():
        if not lowest <= weight <= highest:
            yield f"tenant_weights.{name}", f"must be from {lowest} to {highest}"
    if settings.log_level not in LEVELS:
        yield "log_level", f"must be one of {', '.join(LEVELS)}"


def _is_address(value):
    host, _, port = value.rpartition(":")
    return bool(host) and port.isdigit() and 0 < int(port) < 65536


class SettingsWatcher:
    """Reloads the settings file when it changes or on a signal."""

    def __init__(self, path, settings, host):
        self._path = path
        self._settings = settings
        self._host = host
        self._signature = self._read_signature()

    def _read_signature(self):
        try:
            stat = os.stat(self._path)
        except OSError:
            return None
        return (stat.st_mtime_ns, stat.st_size, stat.st_ino)

    async def watch(self):
        """Reload the file whenever it changes, until cancelled."""
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            signature = self._read_signature()
            if signature is not None and signature != self._signature:
                self.reload()

    def reload(self):
        """Reload the settings; if they are invalid, keep the current ones."""
        self._signature = self._read_signature()
        log = self._host.context.log
        try:
            loaded = load_gateway_settings(self._path)
        except UserError as error:
            log.write("reload_failed", "error", reason=error.message)
            return
        changed = [
            name
            for name in RELOADED_OR_REPORTED
            if getattr(loaded, name) != getattr(self._settings, name)
        ]
        self._settings = loaded
        self._host.context.settings.bounds = loaded.bounds
        self._host.context.settings.tenant_weights = loaded.tenant_weights
        self._host.context.settings.server_speeds = loaded.server_speeds
        self._host.context.settings.leave_domain = loaded.leave_domain
        self._host.discovery.add_seeds(loaded.seeds)
        log.set_level(loaded.log_level)
        log.write("reload", changed=changed)
