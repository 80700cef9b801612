"""Poison verdicts in the `fleet` stream, which outlive the hosts."""

import asyncio

from galenascale.errors import GalenascaleError
from galenascale.logs import get_logger
from galenascale.shards import FLEET, make_record

log = get_logger("fleet")

SUBMIT_TIMEOUT_S = 10.0
# Pause before a verdict is submitted again while the log is away.
RETRY_S = 5.0
# Verdicts submitted at a time; peers know the others.
MAX_WAITING = 1024
# A host that starts waits this long for the log before it takes requests.
LOG_WAIT_S = 3.0
# Time for verdicts on their way at a planned stop.
STOP_WAIT_S = 3.0


class FleetVerdicts:
    """
    Reads verdicts from the stream and adds those of this host.

    `merge(verdict)` returns False while the verdict's service is not known.
    """

    def __init__(self, shards, clock, poll_s, merge):
        # True once the verdicts of earlier hosts were read.
        self.loaded = False
        self._started_at = clock.monotonic()
        self._shards = shards
        self._clock = clock
        self._poll_s = poll_s
        self._merge = merge
        # Verdicts merged, by fingerprint; told apart by their raw body.
        self._merged = {}
        self._tasks = set()

    def is_settled(self):
        """Return True once verdicts were read, or the log is taken as away."""
        waited_s = self._clock.monotonic() - self._started_at
        return self.loaded or waited_s >= LOG_WAIT_S

    async def run(self):
        """Follow the stream until cancelled."""
        while True:
            try:
                await self.refresh()
            except GalenascaleError as error:
                log.warning("Verdicts cannot be read: %s.", error)
            await self._clock.sleep(self._poll_s)

    async def refresh(self):
        """Read to the end of the stream and merge what is new."""
        state = await self._shards.view(FLEET)
        known = state.poison_by_fingerprint
        for fingerprint in self._merged.keys() - known.keys():
            del self._merged[fingerprint]
        for fingerprint, (raw, verdict) in list(known.items()):
            if self._merged.get(fingerprint) != raw and self._merge(verdict):
                self._merged[fingerprint] = raw
        self.loaded = True

    def add(self, verdict):
        """Add a containment verdict to the stream, however long that takes."""
        if verdict.contained and len(self._tasks) < MAX_WAITING:
            task = asyncio.ensure_future(self._add(verdict))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _add(self, verdict):
        record = make_record(verdict)
        while self._clock.wall_ms() < verdict.expires_ms:
            try:
                await self._shards.submit(FLEET, [record], SUBMIT_TIMEOUT_S)
                return
            except GalenascaleError as error:
                log.warning("Verdict is not in the log yet: %s.", error)
            await self._clock.sleep(RETRY_S)

    async def close(self):
        """Stop adding; peers still hold what is not in the log."""
        tasks = list(self._tasks)
        if tasks:
            done = asyncio.gather(*tasks, return_exceptions=True)
            await self._clock.wait_any([done], STOP_WAIT_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
