"""Reads a keyed topic of the store: a snapshot, then what follows it."""

import itertools

from galenascale.errors import DecodeError
from galenascale.store import STORE_ERRORS, PartitionTrimmed

# Delay after a failed call, in seconds.
RETRY_DELAY_S = 0.25
# Timeouts in seconds of consecutive calls while the store is unreachable. A
# call that starts before the store recovers may block for its whole timeout,
# so most are short. The long one detects a store that responds slowly.
PROBE_TIMEOUTS_S = (0.6, 0.6, 2.0)
# Seconds between two snapshots. They recover records that the store deleted
# before the follower read them.
SNAPSHOT_INTERVAL_S = 10.0


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
        `on_record(record)` each later record, and `on_read(end_offset,
        current_at)` is called after each read. `current_at` is a monotonic
        time at which no further record existed, or None if there may be more.
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
            # Tell at once if the snapshot is complete.
            wait_s = 0.0
        position = self._position
        asked_at = self._clock.monotonic()
        result = await self._store.read_keyed(
            self._topic, position, wait_s=wait_s, timeout_s=timeout_s
        )
        self._store_status.record_answer()
        for reason in result.broken:
            self._store_status.log.write(
                "keyed_record_broken", "warning", topic=self._topic, reason=reason
            )
        for record in result.records:
            on_record(record)
        if self._position == position:
            self._position = result.next_offset
        on_read(result.next_offset, asked_at if result.is_at_end else None)
        if self._interval_s:
            await self._clock.sleep(self._interval_s)
