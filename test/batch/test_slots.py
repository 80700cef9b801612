"""Batch slots: never over capacity, given way at once, returned in time."""

from hypothesis import given
from hypothesis import strategies as st

from galenascale.batch.slots import (
    BatchSlots,
    BatchStream,
    excess,
    resume_cost,
    streams_to_cancel,
)

HOLDS = st.sampled_from([0.0, 0.5])
STEPS = st.lists(st.tuples(st.floats(0.01, 0.6), st.integers(0, 10)), max_size=40)
STREAMS = st.lists(
    st.builds(
        BatchStream,
        attempt_id=st.uuids().map(str),
        prompt_tokens=st.integers(0, 50),
        generated_tokens=st.integers(0, 50),
        resumable=st.booleans(),
        prefilled=st.booleans(),
    ),
    max_size=12,
)


@given(steps=STEPS, reserve=st.integers(0, 3), hold_s=HOLDS)
def test_allowed_is_what_was_idle_for_the_hold_time(steps, reserve, hold_s):
    slots, now, history = BatchSlots(hold_s), 0.0, [(float("-inf"), 0)]
    for step, online in steps:
        now += step
        target = max(0, 8 - online - reserve)
        history.append((now, target))
        # A target holds until the next one.
        ends = [at for at, _ in history[1:]] + [float("inf")]
        window = [
            value
            for (_, value), end in zip(history, ends, strict=True)
            if end > now - hold_s
        ]
        assert slots.allowed(now, 8, online, reserve) == min(window)


def test_idle_capacity_returns_within_a_second_without_flapping():
    slots, changes, last = BatchSlots(0.5), 0, 0
    for tick in range(400):  # 50 ms ticks, online comes and goes each 200 ms
        allowed = slots.allowed(tick * 0.05, 8, 6 if tick // 4 % 2 else 2, 1)
        changes += allowed != last
        last = allowed
    assert (changes, last) == (1, 1)
    idle = [slots.allowed(20 + tick * 0.05, 8, 0, 1) for tick in range(20)]
    assert idle[-1] == 7


@given(streams=STREAMS, count=st.integers(-1, 14))
def test_cheapest_resumable_streams_are_cancelled_first(streams, count):
    chosen = streams_to_cancel(streams, count)
    kept = [item for item in streams if item not in chosen and item.resumable]
    resumable = sum(item.resumable for item in streams)
    assert all(item.resumable for item in chosen)
    assert len(chosen) == min(max(0, count), resumable)
    assert all(
        resume_cost(item) <= resume_cost(other) for item in chosen for other in kept
    )
    assert len(excess(streams, 3)) == min(max(0, len(streams) - 3), resumable)
