"""Followers of the configuration and the server entries in the store."""

import itertools

import attrs

from galenascale.errors import DecodeError
from galenascale.generated.gateway_messages import RelayedState, StoredEntry
from galenascale.store import STORE_ERRORS, KeyedRecord, PartitionTrimmed

# Long-poll timeout of one configuration read, as a share of the operator's
# bound for applying a change. A stalled connection is detected when it has
# passed.
CONFIG_WAIT_SHARE = 0.6
# Interval between two reads of the server entries, as a share of the
# operator's bound for draining servers.
SERVERS_INTERVAL_SHARE = 0.3
# Delay after a failed call, in seconds.
RETRY_DELAY_S = 0.25
# Timeouts in seconds of consecutive calls while the store is unreachable. A
# call that starts before the store recovers may block for its whole timeout,
# so most are short. The long one detects a store that responds slowly.
PROBE_TIMEOUTS_S = (0.6, 0.6, 2.0)
# Seconds between two snapshots. They recover records that the store deleted
# before the follower read them.
SNAPSHOT_INTERVAL_S = 10.0


@attrs.define
class StoreStatus:
    """Availability of the store, as seen in this host's last calls."""

    log: object
    clock: object
    metrics: object
    # None until the first call ends.
    is_up: bool | None = None
    # Monotonic time in seconds of the last response.
    last_answer_at: float | None = None
    # Called with the monotonic time when the store responds for the first time
    # or again after a failed call.
    recovery_callbacks: list = attrs.field(factory=list)

    def record_answer(self):
        """Record a response from the store."""
        self.metrics.store_calls.labels("answered").inc()
        now = self.clock.monotonic()
        if self.is_up is not True:
            self.log.write("store_found" if self.is_up is None else "store_regained")
            for callback in self.recovery_callbacks:
                callback(now)
        self.is_up = True
        self.last_answer_at = now

    def record_failure(self, error):
        """Record a failed call."""
        self.metrics.store_calls.labels("failed").inc()
        if self.is_up is not False:
            self.log.write("store_lost", "warning", reason=str(error))
        self.is_up = False


class KeyedTopicFollower:
    """Reads a keyed topic: a snapshot, then the records that follow it."""

    def __init__(self, store, topic, store_status, clock, *, wait_s, interval_s):
        self._store = store
        self._topic = topic
        self._store_status = store_status
        self._clock = clock
        self._wait_s = wait_s
        self._interval_s = interval_s
        self._position = None
        self._snapshot_at = float("-inf")
        self._probe_timeouts_s = itertools.cycle(PROBE_TIMEOUTS_S)

    async def run(self, on_snapshot, on_record, on_read):
        """
        Read the topic and call the callbacks until cancelled.

        `on_snapshot(records, end_offset)` gets each snapshot,
        `on_record(record)` each later record, and `on_read(end_offset)` is
        called after each read.
        """
        while True:
            try:
                await self._step(on_snapshot, on_record, on_read)
            except STORE_ERRORS as error:
                self._store_status.record_failure(error)
                await self._clock.sleep(RETRY_DELAY_S)
            except PartitionTrimmed:
                # The snapshot may be older than the deleted records. Another
                # snapshot without a delay would be just as old.
                self._position = None
                await self._clock.sleep(RETRY_DELAY_S)
            except DecodeError as error:
                self._store_status.record_failure(error)
                self._position = None
                await self._clock.sleep(RETRY_DELAY_S)

    async def _step(self, on_snapshot, on_record, on_read):
        now = self._clock.monotonic()
        wait_s = self._wait_s
        timeout_s = None
        if self._store_status.is_up is False:
            wait_s = 0.0
            timeout_s = next(self._probe_timeouts_s)
        if self._position is None or now - self._snapshot_at > SNAPSHOT_INTERVAL_S:
            records, end_offset = await self._store.read_latest(
                self._topic, timeout_s=timeout_s
            )
            self._store_status.record_answer()
            self._snapshot_at = now
            if self._position is None or end_offset > self._position:
                self._position = end_offset
            on_snapshot(records, end_offset)
        position = self._position
        records, end_offset = await self._store.read_keyed(
            self._topic, position, wait_s=wait_s, timeout_s=timeout_s
        )
        self._store_status.record_answer()
        for record in records:
            on_record(record)
        if self._position == position:
            self._position = end_offset
        on_read(end_offset)
        if self._interval_s:
            await self._clock.sleep(self._interval_s)


class StoreFollowers:
    """Keeps the configuration and the server list of a host up to date."""

    def __init__(self, context, store_status, names):
        self._context = context
        self._names = names
        bounds = context.settings.bounds
        # Newest KeyedRecord by server id, served to hosts that cannot reach
        # the store.
        self._records_by_server = {}
        self.configuration_follower = KeyedTopicFollower(
            context.store,
            names.configuration_topic,
            store_status,
            context.clock,
            wait_s=bounds.config_apply_ms / 1000 * CONFIG_WAIT_SHARE,
            interval_s=0,
        )
        self.server_follower = KeyedTopicFollower(
            context.store,
            names.servers_topic,
            store_status,
            context.clock,
            wait_s=0,
            interval_s=bounds.drain_ms / 1000 * SERVERS_INTERVAL_SHARE,
        )
        store_status.recovery_callbacks.append(context.servers.store_recovered)

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
            self.install_configuration(record.value, "store")

    def install_configuration(self, data, source):
        """Decode a configuration and install it if it is newer."""
        context = self._context
        try:
            configuration = context.dialect.decode_configuration(data)
        except DecodeError as error:
            context.log.write(
                "configuration_broken",
                "error",
                source=source,
                reason=error.message,
                in_force=context.configuration.version,
            )
            return
        before = context.configuration.version
        if context.configuration.install(configuration, context.clock.monotonic()):
            context.metrics.config_version.set(configuration.version)
            context.log.write(
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
        """Follow the server entries until cancelled."""
        await self.server_follower.run(
            self._on_server_snapshot, self._on_server, self._on_servers_read
        )

    def _on_server_snapshot(self, records, end_offset):
        for record in records:
            self._records_by_server[record.key] = record
        decoded = [
            (record.key, record.offset, self._decode(record)) for record in records
        ]
        self._context.servers.apply_snapshot(
            decoded, end_offset, self._context.clock.monotonic()
        )

    def _on_server(self, record):
        self._records_by_server[record.key] = record
        self._context.servers.apply(
            record.key,
            record.offset,
            self._decode(record),
            self._context.clock.monotonic(),
        )

    def _on_servers_read(self, end_offset):
        now = self._context.clock.monotonic()
        self._context.servers.advance(end_offset, now)
        self._context.servers.expire(now)

    def export_state(self):
        """Return the state for a host that cannot reach the store."""
        current = self._context.configuration.current
        return RelayedState(
            configuration=current.source if current else b"",
            servers=[
                StoredEntry(record.key, record.offset, record.value or b"")
                for record in self._records_by_server.values()
            ],
            servers_position=self._context.servers.position,
        )

    def apply_peer_state(self, state, peer):
        """Apply what is newer in a peer's state than on this host."""
        if state.configuration:
            self.install_configuration(state.configuration, peer)
        if (
            not state.servers
            or state.servers_position <= self._context.servers.position
        ):
            return
        for entry in state.servers:
            known = self._records_by_server.get(entry.key)
            if known is None or known.offset < entry.offset:
                record = KeyedRecord(entry.key, entry.value or None, entry.offset)
                self._on_server(record)
        self._on_servers_read(state.servers_position)
        self._context.servers.loaded = True

    def _decode(self, record):
        if record.value is None:
            return None
        try:
            return self._context.dialect.decode_server(record.key, record.value)
        except DecodeError as error:
            self._context.log.write(
                "server_entry_broken", "warning", key=record.key, reason=error.message
            )
            return None
