"""Group commit of records to one shard stream.

One append is in flight at a time; what arrives meanwhile goes into the next
one. A record's verdict is known only when it was read back from the log. While
it is not seen, the append is repeated with the same record ids.
"""

import asyncio
import contextlib

import attrs

from galenascale import codec
from galenascale.errors import GalenascaleError
from galenascale.generated.messages import LogBatch
from galenascale.logs import get_logger
from galenascale.store import StoreOutcomeUnknown, StoreUnavailable

log = get_logger("shard")

RETRY_PAUSE_S = 0.1


@attrs.define(eq=False)
class _Pending:
    """Records of one submit call that wait for their verdicts."""

    records: list
    deadline: float
    future: asyncio.Future
    # True once an append that held the records may have taken effect.
    may_be_appended: bool = False


class ShardWriter:
    """Gathers records and appends them in groups."""

    def __init__(self, log_client, follower, clock, settings, writer_id=""):
        self._log_client = log_client
        self._follower = follower
        self._clock = clock
        self._settings = settings
        self._writer_id = writer_id
        self._queue = []
        self._wake = asyncio.Event()
        self._urgent = asyncio.Event()
        self.appends = 0
        self.appended_records = 0

    async def submit(self, records, timeout_s, urgent=False):
        """
        Return the verdicts of the records, in their order.

        Raise StoreUnavailable if they were surely not appended and
        StoreOutcomeUnknown if that is not known at the timeout.
        """
        pending = _Pending(
            list(records),
            self._clock.monotonic() + timeout_s,
            asyncio.get_running_loop().create_future(),
        )
        self._queue.append(pending)
        self._wake.set()
        if urgent:
            self._urgent.set()
        return await pending.future

    @property
    def waiting(self):
        """Whether records wait for their verdicts."""
        return bool(self._queue)

    async def run(self):
        """Append groups until cancelled; then answer what still waits."""
        try:
            while True:
                await self._wake.wait()
                await self._linger()
                await self._flush()
                if not self._queue:
                    self._wake.clear()
        finally:
            for pending in self._queue:
                self._give_up(pending)

    async def _linger(self):
        settings = self._settings
        if not self._urgent.is_set():
            await self._clock.wait_any([self._urgent.wait()], settings.linger_s)
        if self._urgent.is_set():
            await self._clock.sleep(settings.urgent_linger_s)
        self._urgent.clear()

    async def _flush(self):
        group = self._next_group()
        try:
            await self._append(group)
            await self._follower.refresh()
        except GalenascaleError as error:
            log.warning("Append to %s failed: %s.", self._follower.stream, error)
            with contextlib.suppress(GalenascaleError):
                await self._follower.refresh()
        self._settle(group)
        if any(not pending.future.done() for pending in group):
            await self._clock.sleep(RETRY_PAUSE_S)

    def _next_group(self):
        """Return the oldest submissions that fit one append, at least one."""
        group, size = [], 0
        for pending in self._queue:
            size += sum(len(record.body) + 64 for record in pending.records)
            if group and size > self._settings.max_append_bytes:
                break
            group.append(pending)
        return group

    async def _append(self, group):
        seen = self._follower.state.recent_verdicts
        records = [
            record
            for pending in group
            for record in pending.records
            if record.record_id not in seen
        ]
        if not records:
            return
        body = codec.encode(LogBatch(1, self._writer_id, "", records))
        self.appends += 1
        self.appended_records += len(records)
        try:
            await self._log_client.append(self._follower.stream, body)
        except StoreUnavailable:
            raise
        except BaseException:
            # Cancellation, too, leaves the outcome open.
            _mark(group)
            raise
        _mark(group)

    def _settle(self, group):
        seen = self._follower.state.recent_verdicts
        now = self._clock.monotonic()
        for pending in group:
            verdicts = [seen.get(record.record_id) for record in pending.records]
            if None not in verdicts:
                if not pending.future.done():
                    pending.future.set_result(verdicts)
            elif now >= pending.deadline:
                self._give_up(pending)
        self._queue = [pending for pending in self._queue if not pending.future.done()]

    def _give_up(self, pending):
        if pending.future.done():
            return
        if pending.may_be_appended:
            error = StoreOutcomeUnknown("records have no known outcome", step="submit")
        else:
            error = StoreUnavailable("log service takes no appends", step="submit")
        pending.future.set_exception(error)


def _mark(group):
    for pending in group:
        pending.may_be_appended = True
