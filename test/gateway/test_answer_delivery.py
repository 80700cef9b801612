"""
When an answer counts as taken, by generated callers and kinds of kernels.

Guards callers against hosts that end, or close, while the kernel still holds a
part of an answer (review case 9).
"""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenascale.gateway.answer_delivery import (
    MIN_TAKEN_BYTES,
    UNKNOWN_WAIT_S,
    UNREAD_TIMEOUT_S,
    Delivery,
    DeliveryTracker,
)
from galenascale.gateway.send_queue import UntakenBytes

STEP_S = 0.1
MAX_SIZE = 1 << 20


@attrs.define
class ModelKernel:
    """A kernel with a send buffer, and the process that writes to it."""

    buffer_bytes: int
    tells_queue: bool
    process: int
    kernel: int = 0

    def step(self, read_bytes):
        """Let the caller read, and the process write what fits."""
        left = max(0, self.process + self.kernel - read_bytes)
        self.kernel = min(left, self.buffer_bytes)
        self.process = left - self.kernel

    @property
    def untaken(self):
        """Return the UntakenBytes that the process sees."""
        return UntakenBytes(self.process, self.kernel if self.tells_queue else None)


KERNELS = st.builds(
    ModelKernel,
    buffer_bytes=st.sampled_from((4 << 10, 64 << 10, 16 << 20)),
    tells_queue=st.just(True),
    process=st.integers(1, MAX_SIZE),
)
# Pauses in steps, each with the bytes that are read after it.
PAUSES = st.lists(
    st.tuples(st.integers(0, 60), st.integers(MIN_TAKEN_BYTES, MAX_SIZE)), min_size=1
)


def reads(pauses):
    """Yield the bytes that a caller reads in each step, without end."""
    while True:
        for pause, count in pauses:
            yield from [0] * pause
            yield count


@given(KERNELS, PAUSES)
def test_answer_is_taken_once_its_caller_has_all(kernel, pauses):
    """A caller that pauses for less than the timeout gets each byte."""
    kernel.step(0)
    tracker = DeliveryTracker.begin(0.0)
    now = 0.0
    for read_bytes in reads(pauses):
        delivery = tracker.update(kernel.untaken, now)
        if kernel.untaken.total:
            assert delivery is Delivery.UNDER_WAY
        else:
            assert delivery is Delivery.TAKEN
            return
        kernel.step(read_bytes)
        now += STEP_S


@given(KERNELS, st.integers(0, MIN_TAKEN_BYTES // 200))
def test_answer_is_abandoned_if_too_little_is_taken(kernel, read_bytes):
    """Callers that take nearly nothing hold a connection for no longer."""
    kernel.process += MIN_TAKEN_BYTES
    kernel.step(0)
    tracker = DeliveryTracker.begin(0.0)
    now = 0.0
    while tracker.update(kernel.untaken, now) is Delivery.UNDER_WAY:
        kernel.step(read_bytes)
        now += STEP_S
    assert tracker.update(kernel.untaken, now) is Delivery.ABANDONED
    assert now == pytest.approx(UNREAD_TIMEOUT_S, abs=2 * STEP_S)


@given(KERNELS, PAUSES)
def test_silent_kernel_gets_a_time_after_the_last_byte(kernel, pauses):
    """The caller's own end comes sooner, or a fixed time is over."""
    kernel.tells_queue = False
    kernel.step(0)
    tracker = DeliveryTracker.begin(0.0)
    now = 0.0
    emptied_at = None
    for read_bytes in reads(pauses):
        delivery = tracker.update(kernel.untaken, now)
        if delivery is Delivery.UNKNOWN:
            assert now - emptied_at == pytest.approx(UNKNOWN_WAIT_S, abs=2 * STEP_S)
            return
        assert delivery is Delivery.UNDER_WAY
        if not kernel.process and emptied_at is None:
            emptied_at = now
        kernel.step(read_bytes)
        now += STEP_S


@given(KERNELS, st.booleans(), st.floats(0.1, 5.0))
def test_refusal_is_abandoned_after_its_limit(kernel, tells_queue, limit_s):
    """However steadily it is read."""
    kernel.tells_queue = tells_queue
    kernel.process += MAX_SIZE
    tracker = DeliveryTracker.begin(0.0, limit_s)
    assert tracker.update(kernel.untaken, limit_s - 0.01) is Delivery.UNDER_WAY
    kernel.step(1)
    assert tracker.update(kernel.untaken, limit_s) is Delivery.ABANDONED
