"""Base class of the backend server stand-ins: the lagged load report."""

from galenascale.standins.reports import LaggedReport
from galenascale.standins.server import StandinServer, json_response

MIN_SAMPLE_INTERVAL_S = 0.02


class BackendStandin(StandinServer):
    """Backend server that samples its load and reports it with a lag."""

    def reset(self):
        """Discard the samples."""
        self._reports = LaggedReport()

    async def start(self):
        """Start listening and sampling the load."""
        await super().start()
        self.run_in_background(self._sample_load())

    def load_report(self):
        """Return the current load report."""
        raise NotImplementedError

    @property
    def load_lag_s(self):
        """Age in seconds of the report that GET /load returns."""
        lag_s = self.faults.load_lag_s
        return self.settings.load_report_lag_s if lag_s is None else lag_s

    async def _sample_load(self):
        while True:
            now = self.clock.monotonic()
            self._reports.add(now, self.load_report())
            # read() discards the samples that are no longer needed.
            self._reports.read(now - self.load_lag_s)
            await self.clock.sleep(max(MIN_SAMPLE_INTERVAL_S, self.load_lag_s / 4))

    async def get_load(self, _):
        """Handle GET /load."""
        lag_s = self.load_lag_s
        report = self._reports.read(self.clock.monotonic() - lag_s) if lag_s else None
        return json_response(report or self.load_report())
