"""Follows the `config` stream and publishes changes to it."""

import asyncio
import contextlib
import uuid

from galenascale import codec, config_state
from galenascale.configuration import Configuration
from galenascale.errors import AppendUnknown, GalenascaleError, LogUnavailable
from galenascale.generated.messages import ConfigChange, LogBatch, LogRecord, RecordKind
from galenascale.logs import get_logger

log = get_logger("config")

STREAM = "config"


class ConfigFollower:
    """Configuration in force on this host."""

    def __init__(self, log_client, clock, poll_s=0.25):
        self._log_client = log_client
        self._clock = clock
        self._poll_s = poll_s
        self._state = config_state.ConfigState()
        self._subscribers = []
        self.current = Configuration()
        self.read_at = None

    def subscribe(self, callback):
        """Call back with the current Configuration and each later one."""
        self._subscribers.append(callback)
        callback(self.current)

    def age_s(self):
        """Return seconds since the stream was read to its end, or None."""
        if self.read_at is None:
            return None
        return self._clock.monotonic() - self.read_at

    async def run(self):
        """Poll the stream until cancelled."""
        while True:
            try:
                await self.refresh()
            except LogUnavailable as error:
                log.warning("Cannot read the configuration: %s.", error)
            await self._clock.sleep(self._poll_s)

    async def refresh(self):
        """Apply all records up to the end of the stream."""
        while True:
            offset = self._state.through_offset + 1
            result = await self._log_client.read(STREAM, offset)
            for position, body in result.records:
                self._apply_body(position, body)
            if not result.records or result.records[-1][0] + 1 >= result.next_offset:
                break
        self.read_at = self._clock.monotonic()
        if self._state.version != self.current.version:
            self.current = Configuration.from_state(self._state)
            log.info("Installed version %d.", self.current.version)
            for callback in self._subscribers:
                callback(self.current)

    def _apply_body(self, offset, body):
        batch = codec.decode(LogBatch, body)
        for index, record in enumerate(batch.records):
            config_state.apply_record(self._state, offset, index, record)
        self._state.through_offset = offset

    async def publish(self, entries, base_version, author="", timeout_s=10.0):
        """
        Append a change and return its verdict once it is seen in the log.

        The append is repeated with the same change id while its outcome is
        unknown. Raise AppendUnknown if it is still unknown at the timeout.
        """
        change = ConfigChange(
            change_id=uuid.uuid4().hex,
            base_version=base_version,
            entries=entries,
            author=author,
            created_ms=self._clock.wall_ms(),
        )
        record = LogRecord(
            change.change_id, RecordKind.CONFIG_CHANGE, 1, codec.encode(change)
        )
        body = codec.encode(LogBatch(records=[record]))
        deadline = self._clock.monotonic() + timeout_s
        while self._clock.monotonic() < deadline:
            try:
                await self._log_client.append(STREAM, body)
            except GalenascaleError as error:
                log.warning("Append of a change failed: %s.", error)
            with contextlib.suppress(LogUnavailable):
                await self.refresh()
            verdict = self._state.verdicts_by_change.get(change.change_id)
            if verdict is not None:
                return verdict
            await asyncio.sleep(self._poll_s)
        raise AppendUnknown(
            f"change {change.change_id} has no known outcome", step="publish"
        )
