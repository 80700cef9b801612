"""Follows the `config` stream and exchanges the configuration with peers."""

import asyncio
import math

from galenascale import config_snapshots, config_state
from galenascale.config_exchange import (
    NO_AGE,
    RecentAppends,
    answer_fetch,
    fetch_newest,
)
from galenascale.config_keeper import SLOW_POLL_FACTOR, ConfigPeers, SnapshotSchedule
from galenascale.config_publisher import publish
from galenascale.config_restore import find_snapshot
from galenascale.config_state import ChangeStatus
from galenascale.configuration import Configuration
from galenascale.errors import DecodeError, GalenascaleError
from galenascale.generated.messages import LogSettings
from galenascale.logs import get_logger
from galenascale.record_versions import ENCODERS_BY_VERSION
from galenascale.store import StoreUnavailable

log = get_logger("config")

STREAM = "config"


# Verdicts on records that are not acted on, snapshot parts aside.
REPORTED = (ChangeStatus.UNKNOWN_KIND, ChangeStatus.MALFORMED)


def _report(offset, verdict):
    if verdict.status in REPORTED:
        log.warning("Record at %d is not acted on: %s.", offset, verdict.status)


class ConfigFollower:
    """
    Configuration in force on this host.

    The state is always the fold of a prefix of the log, read here or taken
    from a peer, and only ever replaced by that of a longer prefix.
    """

    def __init__(
        self,
        log_client,
        clock,
        poll_s=0.25,
        *,
        peers=None,
        settings=None,
        change_types=config_state.CHANGE_TYPES_BY_VERSION,
        encoders_by_version=ENCODERS_BY_VERSION,
    ):
        self.log_client = log_client
        self.clock = clock
        self.poll_s = poll_s
        self.peers = peers or ConfigPeers()
        self.encoders_by_version = encoders_by_version
        self.state = config_state.ConfigState()
        self.current = Configuration()
        self.read_at = None
        # True while records are missing between the state and the log.
        self.has_gap = False
        self._settings = settings or LogSettings()
        self._change_types = change_types
        self._ready = False
        self._subscribers = []
        self._versions_by_peer = {}
        # Relayed to peers that lag a little.
        self.recent = RecentAppends()
        self._newer_known = asyncio.Event()
        self._reading = asyncio.Lock()
        self._log_first_offset = 0
        self._schedule = SnapshotSchedule(
            self._settings.snapshot_records, self._settings.retention_records
        )

    def subscribe(self, callback):
        """Call back with the current Configuration and each later one."""
        self._subscribers.append(callback)
        callback(self.current)

    def is_ready(self):
        """Tell whether a configuration came from the log or a ready peer."""
        return self._ready and self.current.version >= 0

    def age_s(self):
        """Return seconds since this version was known as newest, or None."""
        if self.read_at is None:
            return None
        return max(0.0, self.clock.monotonic() - self.read_at)

    async def run(self):
        """Poll the stream and follow notices of peers until cancelled."""
        await asyncio.gather(self._poll(), self._follow_notices())

    async def _poll(self):
        while True:
            await self._guard(self.refresh())
            await self._guard(self.keep_snapshots())
            fast = self.peers.polls_fast() and not self.has_gap
            factor = 1 if fast else SLOW_POLL_FACTOR
            await self.clock.sleep(self.poll_s * factor)

    async def _follow_notices(self):
        while True:
            await self._newer_known.wait()
            self._newer_known.clear()
            await self._guard(self.catch_up())

    async def _guard(self, step):
        try:
            await step
        except GalenascaleError as error:
            log.warning("Cannot follow the configuration: %s.", error)
        except Exception:
            log.exception("Following the configuration failed.")

    async def refresh(self):
        """
        Apply all records up to the end of the stream.

        Return False if the log no longer holds the next record and no whole
        snapshot either. Raise StoreUnavailable if the end cannot be reached.
        """
        async with self._reading:
            try:
                while True:
                    started = self.clock.monotonic()
                    requested = self.state.through_offset + 1
                    result = await self.log_client.read(STREAM, requested)
                    if result.first_offset > self.state.through_offset + 1:
                        self.has_gap = not await self._restore(result.first_offset)
                        if self.has_gap:
                            return False
                        continue
                    if self._apply_result(requested, result):
                        break
                self.has_gap = False
                self._ready = True
                self._known_current_at(started)
                return True
            finally:
                if self._ready:
                    self._install()

    def _apply_result(self, requested, result):
        """Apply what was read; return True when the end is reached."""
        self._log_first_offset = result.first_offset
        if result.next_offset < requested:
            raise StoreUnavailable("log ends before the applied records", step="read")
        before = self.state.through_offset
        for offset, body in result.records:
            if offset <= self.state.through_offset:
                continue
            if offset != self.state.through_offset + 1:
                raise StoreUnavailable("log left out a record", step="read")
            self._apply(offset, body)
        if self.state.through_offset + 1 >= result.next_offset:
            return True
        if self.state.through_offset == before and requested == before + 1:
            raise StoreUnavailable("log has no record before its end", step="read")
        return False

    def _apply(self, offset, body):
        for verdict in config_state.apply_body(
            self.state, offset, body, self._change_types
        ):
            _report(offset, verdict)
        self._schedule.note(offset, body)
        self.recent.add(offset, body)

    async def _restore(self, first_offset):
        """Take the newest whole snapshot in the log that leaves no gap."""
        found, first_offset = await find_snapshot(
            self.log_client, STREAM, first_offset, self._change_types
        )
        if self.state.through_offset + 1 >= first_offset:
            return True  # A peer's state closed the gap meanwhile.
        if found is None or found.through_offset + 1 < first_offset:
            log.warning("The log starts at %d and has no snapshot.", first_offset)
            return False
        if not self._replace(found):
            log.warning(
                "The log's snapshot is older than version %d.", self.state.version
            )
            return False
        self._schedule.note_complete(found.through_offset)
        log.info("Restored a snapshot through %d.", found.through_offset)
        return True

    def _replace(self, state):
        """
        Take a newer state; refuse any other.

        A newer version can come with a lower offset only from a release that
        reads more records; the log is then read again from there.
        """
        mine = self.state
        if (state.version, state.through_offset) <= (mine.version, mine.through_offset):
            return False
        keys = mine.entries_by_key.keys() | state.entries_by_key.keys()
        state.touched = mine.touched | {
            key
            for key in keys
            if mine.entries_by_key.get(key) != state.entries_by_key.get(key)
        }
        self.state = state
        return True

    def _install(self):
        if self.state.version <= self.current.version:
            return
        self.current = self.current.updated(self.state, self.state.touched)
        self.state.touched = set()
        log.info("Installed version %d.", self.current.version)
        for callback in self._subscribers:
            try:
                callback(self.current)
            except Exception:
                log.exception("A subscriber failed on version %d.", self.state.version)

    def _known_current_at(self, monotonic_s):
        if self.read_at is None or monotonic_s > self.read_at:
            self.read_at = monotonic_s

    def handle_fetch(self, request):
        """Answer a peer's ConfigFetchRequest with a ConfigFetchReply."""
        if request.have_version > self.state.version:
            self._newer_known.set()
        return answer_fetch(self, request)

    def learn(self, snapshot, age_s=NO_AGE):
        """
        Take a ready peer's ConfigSnapshot if it covers more of the log.

        `age_s` is the peer's age. Return True if the snapshot was taken.
        """
        try:
            state = config_state.from_snapshot(snapshot)
        except DecodeError as error:
            log.warning("Refused a snapshot of a peer: %s.", error)
            return False
        taken = self._replace(state)
        if taken or state.through_offset == self.state.through_offset:
            self._ready = True
            self._learn_age(age_s)
        if self._ready:
            self._install()
        return taken

    def learn_appends(self, appends, age_s=NO_AGE):
        """
        Apply the appends that a ready peer read after the ones applied here.

        Return True if they led to a newer version.
        """
        before = self.state.version
        for item in appends:
            if item.offset == self.state.through_offset + 1:
                self._apply(item.offset, item.body)
        if not appends or self.state.through_offset < appends[-1].offset:
            return False
        self._ready = True
        self._install()
        if self.state.through_offset == appends[-1].offset:
            self._learn_age(age_s)
        return self.state.version > before

    def _learn_age(self, age_s):
        if math.isfinite(age_s) and age_s >= 0:
            self._known_current_at(self.clock.monotonic() - age_s)

    def notice(self, host_id, config_version, age_s=NO_AGE):
        """Take the version and age that a peer's gossip carries."""
        if config_version > self.state.version or (
            self.has_gap and config_version >= 0
        ):
            self._versions_by_peer[host_id] = config_version
            self._newer_known.set()
            return
        self._versions_by_peer.pop(host_id, None)
        if config_version == self.state.version and self._ready and not self.has_gap:
            self._learn_age(age_s)

    async def catch_up(self):
        """Fetch from peers with a newer version, or else read the log."""
        known, self._versions_by_peer = self._versions_by_peer, {}
        if not await fetch_newest(self, known):
            await self.refresh()

    async def keep_snapshots(self):
        """Append a snapshot if one is due and this host is to write it."""
        if (
            self.has_gap
            or self.state.version < 0
            or not self._ready
            or not self.peers.writes_snapshots()
            or not self._schedule.due(self._log_first_offset)
        ):
            return
        bodies = config_snapshots.split(self.state, self._settings.max_append_bytes)
        for body in bodies:
            await self.log_client.append(STREAM, body)
        log.info("Wrote a snapshot in %d parts.", len(bodies))

    async def publish(self, entries, base_version, author="", timeout_s=10.0, **more):
        """Publish a change; see `config_publisher.publish`."""
        return await publish(self, entries, base_version, author, timeout_s, **more)
