"""How long the runs of a pool take."""

# Weight of the newest run in the moving average of the run time, and number of
# runs before which no wait is forecast.
RUN_TIME_WEIGHT = 0.05
MIN_RUNS_FOR_FORECAST = 20


class RunTimes:
    """Moving average of the seconds that online requests hold their slots."""

    def __init__(self):
        self._mean_s = 0.0
        self._completed = 0

    def record(self, elapsed_s):
        """Record the time of a run that has ended."""
        if not self._completed:
            self._mean_s = elapsed_s
        self._completed += 1
        self._mean_s += RUN_TIME_WEIGHT * (elapsed_s - self._mean_s)

    @property
    def known_mean_s(self):
        """Return the mean run time in seconds, 0 after too few runs."""
        return self._mean_s if self._completed >= MIN_RUNS_FOR_FORECAST else 0.0
