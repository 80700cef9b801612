"""Batch slots of one backend server, decided by the owner of its slots.

Decision core without I/O. Capacity is withdrawn from batch at once and
returned after `hold_s` of idleness without a break.
"""

from collections import deque

import attrs

# 0.5 cost 14 to 24 % of the batch tokens and did not shorten the online times
# to first token (docs/benchmarks.md): an interrupted stream resumes cheaply.
HOLD_S = 0.0


@attrs.frozen
class BatchStream:
    """One running batch stream; only resumable ones may be cancelled."""

    attempt_id: str
    prompt_tokens: int = 0
    generated_tokens: int = 0
    started_at: float = 0.0
    resumable: bool = True
    # False while the engine still queues it, so cancelling loses no work.
    prefilled: bool = True


@attrs.define
class BatchSlots:
    """Number of batch streams that one server may run."""

    hold_s: float = HOLD_S

    # (time, target) with rising times and targets: since that time, targets
    # were at least that high. The first entry gives the window's minimum.
    _window: deque = attrs.field(factory=deque)

    def allowed(self, now, slots, online, reserve):
        """
        Return how many batch streams may run from now on.

        `online` counts the online requests in flight, own and of peers. With
        a hold time, the time before the first call counts as busy, as nothing
        is known of it.
        """
        target = max(0, slots - online - reserve)
        if not self.hold_s:
            return target
        if not self._window:
            self._window.append((now, 0))
        since = now
        while self._window and self._window[-1][1] >= target:
            since = self._window.pop()[0]
        self._window.append((since, target))
        while len(self._window) > 1 and self._window[1][0] <= now - self.hold_s:
            self._window.popleft()
        return self._window[0][1]


def resume_cost(stream):
    """Return the tokens that must be prefilled again after a cancel."""
    if not stream.prefilled:
        return 0
    return stream.prompt_tokens + stream.generated_tokens


def streams_to_cancel(streams, count):
    """Return up to `count` streams, the cheapest to resume first."""
    candidates = [stream for stream in streams if stream.resumable]
    candidates.sort(key=lambda item: (resume_cost(item), -item.started_at))
    return candidates[: max(0, count)]


def excess(streams, allowed):
    """Return the streams to cancel so that `allowed` remain."""
    return streams_to_cancel(streams, len(streams) - allowed)
