"""Availability of the store, as this host sees it."""

import attrs


@attrs.define
class StoreStatus:
    """Availability of the store, as seen in this host's last calls."""

    log: object
    clock: object
    metrics: object
    # None until the first call ends.
    is_up: bool | None = None
    # Monotonic time in seconds of the last response.
    last_answer_at: float | None = None
    # Called with the monotonic time when the store responds for the first time
    # or again after a failed call.
    recovery_callbacks: list = attrs.field(factory=list)

    def record_answer(self):
        """Record a response from the store."""
        self.metrics.store_calls.labels("answered").inc()
        now = self.clock.monotonic()
        if self.is_up is not True:
            self.log.write("store_found" if self.is_up is None else "store_regained")
            for callback in self.recovery_callbacks:
                callback(now)
        self.is_up = True
        self.last_answer_at = now

    def record_failure(self, error):
        """Record a failed call."""
        self.metrics.store_calls.labels("failed").inc()
        if self.is_up is not False:
            self.log.write("store_lost", "warning", reason=str(error))
        self.is_up = False
