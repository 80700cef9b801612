"""Followers of the configuration and the server entries in the store."""

import math

from galenascale.errors import DecodeError
from galenascale.gateway.topic_follower import KeyedTopicFollower
from galenascale.generated.gateway_messages import RelayedState, StoredEntry
from galenascale.store import KeyedRecord

# Long-poll timeout of one configuration read, as a share of the operator's
# bound for applying a change. A stalled connection is detected when it has
# passed.
CONFIG_WAIT_SHARE = 0.6
# The same as a share of the operator's bound for keys that are taken away: a
# proof is up to two long polls old.
REVOKE_WAIT_SHARE = 0.2
# Interval between two reads of the server entries, as a share of the
# operator's bound for draining servers.
SERVERS_INTERVAL_SHARE = 0.3


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
            wait_s=_configuration_wait_s(bounds),
            interval_s=0,
        )
        # Whether the newest configuration record could be installed.
        self._is_configuration_sound = True
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
            on_snapshot, self._on_configuration, self._on_configuration_read
        )

    def _on_configuration(self, record):
        if record.key == self._names.configuration_key and record.value:
            self._is_configuration_sound = self.install_configuration(
                record.value, "store"
            )

    def _on_configuration_read(self, _, current_at):
        if current_at is not None and self._is_configuration_sound:
            self._context.configuration_proof.record(current_at)

    def install_configuration(self, data, source):
        """
        Decode a configuration and install it if it is newer.

        Return False if it cannot be decoded.
        """
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
            return False
        before = context.configuration.version
        if context.configuration.install(configuration):
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
                tenants=len(configuration.tenants_by_name or ()),
            )
        return True

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

    def _on_servers_read(self, end_offset, _=None):
        now = self._context.clock.monotonic()
        self._context.servers.advance(end_offset, now)
        self._context.servers.expire(now)

    def export_state(self, known_version, known_position):
        """
        Return the state for a host that cannot reach the store.

        What that host has already, by the version of its configuration and the
        position of its server entries, is left out.
        """
        context = self._context
        current = context.configuration.current
        version = context.configuration.version
        position = context.servers.position
        state = RelayedState(
            servers_position=position,
            config_version=version,
            config_proof_age_ms=_proof_age_ms(context),
        )
        if current is not None and version > known_version:
            state.configuration = current.source
        if position > known_position:
            state.servers = [
                StoredEntry(record.key, record.offset, record.value or b"")
                for record in self._records_by_server.values()
            ]
        return state

    def apply_peer_state(self, state, peer, asked_at):
        """
        Apply what is newer in a peer's state than on this host.

        `asked_at` is the monotonic time at which the peer was asked.
        """
        if state.configuration:
            self.install_configuration(state.configuration, peer)
        self._apply_peer_proof(state, asked_at)
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

    def _apply_peer_proof(self, state, asked_at):
        context = self._context
        is_installed = state.config_version <= context.configuration.version
        if state.config_proof_age_ms >= 0 and state.config_version and is_installed:
            context.configuration_proof.record_of_peer(
                asked_at, state.config_proof_age_ms / 1000
            )

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


def _configuration_wait_s(bounds):
    """Return the seconds that a read of the configuration may wait."""
    wait_s = bounds.config_apply_ms / 1000 * CONFIG_WAIT_SHARE
    if bounds.revoke_ms:
        wait_s = min(wait_s, bounds.revoke_ms / 1000 * REVOKE_WAIT_SHARE)
    return wait_s


def _proof_age_ms(context):
    """Return the age of this host's proof, rounded up; -1 without a proof."""
    age_s = context.configuration_proof.age_s(context.clock.monotonic())
    return -1 if math.isinf(age_s) else math.ceil(age_s * 1000)
