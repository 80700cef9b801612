"""Following of the store's configuration and server entries."""

import itertools

import attrs

from galenascale.errors import DecodeError
from galenascale.generated.gateway_messages import RelayedState, StoredEntry
from galenascale.store import STORE_ERRORS, KeyedRecord, PartitionTrimmed

# Longest wait of one read for a change of the configuration, as a share of the
# operator's bound for changes: a connection that falls silent is noticed after
# it.
CONFIG_WAIT_SHARE = 0.6
# Time between two reads of the servers' entries, as a share of the operator's
# bound for servers that leave.
SERVERS_INTERVAL_SHARE = 0.3
# Pause after a failed call, in seconds.
RETRY_S = 0.25
# Timeouts in turn of the calls while the store does not answer, in seconds: a
# call from before its return hangs for one of them. The long one finds a store
# that answers slowly.
PROBE_TIMEOUTS_S = (0.6, 0.6, 2.0)
# Seconds between snapshots, against records that were deleted unseen.
SNAPSHOT_INTERVAL_S = 10.0


@attrs.define
class StoreLink:
    """Whether the store answers this host, as the last calls showed."""

    log: object
    clock: object
    metrics: object
    up: bool | None = None
    # Monotonic time in seconds of the last answer.
    answered_at: float | None = None
    on_return: list = attrs.field(factory=list)

    def answered(self):
        """Note an answer of the store."""
        self.metrics.store_calls.labels("answered").inc()
        now = self.clock.monotonic()
        if self.up is not True:
            self.log.write("store_found" if self.up is None else "store_regained")
            for callback in self.on_return:
                callback(now)
        self.up = True
        self.answered_at = now

    def failed(self, error):
        """Note a call that failed."""
        self.metrics.store_calls.labels("failed").inc()
        if self.up is not False:
            self.log.write("store_lost", "warning", reason=str(error))
        self.up = False


class KeyedFollower:
    """Reads a keyed topic: a snapshot, then the records after it."""

    def __init__(self, store, topic, link, clock, *, wait_s, interval_s):
        self._store = store
        self._topic = topic
        self._link = link
        self._clock = clock
        self._wait_s = wait_s
        self._interval_s = interval_s
        self._position = None
        self._snapshot_at = float("-inf")
        self._probe_timeouts_s = itertools.cycle(PROBE_TIMEOUTS_S)

    async def run(self, on_snapshot, on_record, on_read):
        """
        Call `on_snapshot(records, end)`, `on_record(record)` and
        `on_read(end)` with what is read, until cancelled.
        """
        while True:
            try:
                await self._step(on_snapshot, on_record, on_read)
            except STORE_ERRORS as error:
                self._link.failed(error)
                await self._clock.sleep(RETRY_S)
            except PartitionTrimmed:
                # A snapshot may be older than what is deleted; another one
                # at once would be as old.
                self._position = None
                await self._clock.sleep(RETRY_S)
            except DecodeError as error:
                self._link.failed(error)
                self._position = None
                await self._clock.sleep(RETRY_S)

    async def _step(self, on_snapshot, on_record, on_read):
        now = self._clock.monotonic()
        wait_s = self._wait_s
        timeout_s = None
        if self._link.up is False:
            wait_s = 0.0
            timeout_s = next(self._probe_timeouts_s)
        if self._position is None or now - self._snapshot_at > SNAPSHOT_INTERVAL_S:
            records, end_offset = await self._store.read_latest(
                self._topic, timeout_s=timeout_s
            )
            self._link.answered()
            self._snapshot_at = now
            if self._position is None or end_offset > self._position:
                self._position = end_offset
            on_snapshot(records, end_offset)
        position = self._position
        records, end_offset = await self._store.read_keyed(
            self._topic, position, wait_s=wait_s, timeout_s=timeout_s
        )
        self._link.answered()
        for record in records:
            on_record(record)
        if self._position == position:
            self._position = end_offset
        on_read(end_offset)
        if self._interval_s:
            await self._clock.sleep(self._interval_s)


class Following:
    """Keeps the configuration and the server list of a host current."""

    def __init__(self, parts, link, names):
        self._parts = parts
        self._names = names
        bounds = parts.settings.bounds
        # Newest KeyedRecord of each backend server, for other hosts.
        self._records_by_server = {}
        self.configuration_follower = KeyedFollower(
            parts.store,
            names.configuration_topic,
            link,
            parts.clock,
            wait_s=bounds.config_apply_ms / 1000 * CONFIG_WAIT_SHARE,
            interval_s=0,
        )
        self.server_follower = KeyedFollower(
            parts.store,
            names.servers_topic,
            link,
            parts.clock,
            wait_s=0,
            interval_s=bounds.drain_ms / 1000 * SERVERS_INTERVAL_SHARE,
        )
        link.on_return.append(parts.servers.store_returned)

    async def follow_configuration(self):
        """Follow the configuration until cancelled."""

        def on_snapshot(records, _):
            for record in records:
                self._on_configuration(record)

        await self.configuration_follower.run(
            on_snapshot, self._on_configuration, lambda _: None
        )

    def _on_configuration(self, record):
        if record.key == self._names.configuration_key and record.value:
            self.install(record.value, "store")

    def install(self, data, source):
        """Put an encoded configuration in force if it is newer."""
        parts = self._parts
        try:
            configuration = parts.dialect.decode_configuration(data)
        except DecodeError as error:
            parts.log.write(
                "configuration_broken",
                "error",
                source=source,
                reason=error.message,
                in_force=parts.configuration.version,
            )
            return
        before = parts.configuration.version
        if parts.configuration.install(configuration, parts.clock.monotonic()):
            parts.metrics.config_version.set(configuration.version)
            parts.log.write(
                "configuration_installed",
                source=source,
                before=before,
                version=configuration.version,
                routes=len(configuration.routes),
                quotas={
                    route.name: route.max_open_tokens
                    for route in configuration.routes
                    if route.max_open_tokens
                },
            )

    async def follow_servers(self):
        """Follow the servers' entries until cancelled."""
        await self.server_follower.run(
            self._on_server_snapshot, self._on_server, self._on_servers_read
        )

    def _on_server_snapshot(self, records, end_offset):
        for record in records:
            self._records_by_server[record.key] = record
        decoded = [
            (record.key, record.offset, self._decode(record)) for record in records
        ]
        self._parts.servers.apply_snapshot(
            decoded, end_offset, self._parts.clock.monotonic()
        )

    def _on_server(self, record):
        self._records_by_server[record.key] = record
        self._parts.servers.apply(
            record.key,
            record.offset,
            self._decode(record),
            self._parts.clock.monotonic(),
        )

    def _on_servers_read(self, end_offset):
        now = self._parts.clock.monotonic()
        self._parts.servers.advance(end_offset, now)
        self._parts.servers.expire(now)

    def relayed_state(self):
        """Return what another host learns from this one."""
        current = self._parts.configuration.current
        return RelayedState(
            configuration=current.source if current else b"",
            servers=[
                StoredEntry(record.key, record.offset, record.value or b"")
                for record in self._records_by_server.values()
            ],
            servers_position=self._parts.servers.position,
        )

    def apply_relayed(self, state, peer):
        """Apply what another host knows, where it is newer."""
        if state.configuration:
            self.install(state.configuration, peer)
        if not state.servers or state.servers_position <= self._parts.servers.position:
            return
        for entry in state.servers:
            known = self._records_by_server.get(entry.key)
            if known is None or known.offset < entry.offset:
                record = KeyedRecord(entry.key, entry.value or None, entry.offset)
                self._on_server(record)
        self._on_servers_read(state.servers_position)
        self._parts.servers.loaded = True

    def _decode(self, record):
        if record.value is None:
            return None
        try:
            return self._parts.dialect.decode_server(record.key, record.value)
        except DecodeError as error:
            self._parts.log.write(
                "server_entry_broken", "warning", key=record.key, reason=error.message
            )
            return None
