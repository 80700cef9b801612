"""Proof that the configuration of this host is the newest one.

A host that cannot reach the store must not run requests with a key that was
taken away. It knows how old its configuration may be from the time at which it
asked the store, or asked a host that had asked the store. All times are of
this host's monotonic clock, which includes time in suspend. So neither
differing clocks nor a delayed message make a proof look newer than it is.
"""

# Milliseconds by which a proof expires before the operator's bound.
EXPIRY_MARGIN_MS = 100


class ConfigurationProof:
    """The latest time at which the configuration was surely the newest."""

    def __init__(self):
        self._current_at = float("-inf")

    def record(self, current_at):
        """
        Record that no newer configuration existed at a monotonic time.

        The time is that at which the question was sent, as the answer may have
        been given at any time since.
        """
        self._current_at = max(self._current_at, current_at)

    def record_of_peer(self, asked_at, age_s):
        """Record the proof of another host, `age_s` old when it answered."""
        self.record(asked_at - age_s)

    def age_s(self, now):
        """Return the age of the proof in seconds; infinite without one."""
        return now - self._current_at

    def permits_keys(self, now, revoke_ms):
        """
        Return True if requests with a key may run.

        `revoke_ms` is the operator's bound in milliseconds; 0 for none.
        """
        if not revoke_ms:
            return True
        return self.age_s(now) * 1000 < revoke_ms - EXPIRY_MARGIN_MS
