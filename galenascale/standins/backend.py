"""What the stand-ins of all backend servers share: the lagged load report."""

from galenascale.standins.reports import LaggedReport
from galenascale.standins.server import StandinServer, json_response

MIN_SAMPLE_INTERVAL_S = 0.02


class BackendStandin(StandinServer):
    """A backend server that samples its load and reports it with a lag."""

    def reset(self):
        """Lose the samples."""
        self._reports = LaggedReport()

    async def start(self):
        """Listen and sample the load."""
        await super().start()
        self.run_in_background(self._sample_load())

    def load_report(self):
        """Return the load report without lag."""
        raise NotImplementedError

    @property
    def load_lag_s(self):
        """Age of the report that GET /load answers with."""
        lag_s = self.faults.load_lag_s
        return self.settings.load_report_lag_s if lag_s is None else lag_s

    async def _sample_load(self):
        while True:
            now = self.clock.monotonic()
            self._reports.add(now, self.load_report())
            # Reading discards samples that are too old to be shown again.
            self._reports.read(now - self.load_lag_s)
            await self.clock.sleep(max(MIN_SAMPLE_INTERVAL_S, self.load_lag_s / 4))

    async def get_load(self, _):
        """Answer GET /load."""
        lag_s = self.load_lag_s
        report = self._reports.read(self.clock.monotonic() - lag_s) if lag_s else None
        return json_response(report or self.load_report())
