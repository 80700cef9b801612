"""Poison verdicts in the `fleet` stream, which outlive the hosts."""

from galenascale.errors import GalenascaleError
from galenascale.logs import get_logger
from galenascale.shards import FLEET, make_record

log = get_logger("fleet")

SUBMIT_TIMEOUT_S = 10.0
# Pause before a verdict is submitted again while the log is away.
RETRY_S = 5.0
# Verdicts submitted again at a time; peers know the others.
MAX_WAITING = 1024


class FleetVerdicts:
    """
    Reads verdicts from the stream and adds those of this host.

    `merge(verdict)` returns False while the verdict's service is not known.
    """

    def __init__(self, shards, clock, poll_s, merge):
        # True once the verdicts of earlier hosts were read.
        self.loaded = False
        self._shards = shards
        self._clock = clock
        self._poll_s = poll_s
        self._merge = merge
        # Verdicts merged, by fingerprint; told apart by their raw body.
        self._merged = {}
        self._waiting = 0

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

    async def keep(self, verdict):
        """Add a containment verdict to the stream, however long that takes."""
        if not verdict.contained or self._waiting >= MAX_WAITING:
            return
        record = make_record(verdict)
        self._waiting += 1
        try:
            while self._clock.wall_ms() < verdict.expires_ms:
                try:
                    await self._shards.submit(FLEET, [record], SUBMIT_TIMEOUT_S)
                    return
                except GalenascaleError as error:
                    log.warning("Verdict is not in the log yet: %s.", error)
                await self._clock.sleep(RETRY_S)
        finally:
            self._waiting -= 1
