"""Tests of lagged reports, the host list and rate limiters."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenascale.standins.host_list import LaggedHostList, ListedHost
from galenascale.standins.prefix_cache import CacheEvent
from galenascale.standins.rates import SharedBandwidth, TokenBucket
from galenascale.standins.reports import CacheEventLog, LaggedReport

TIMES = st.lists(st.integers(0, 100), min_size=1, max_size=30).map(sorted)


@given(times=TIMES, lag=st.integers(0, 20))
def test_lagged_report_shows_the_newest_old_enough_sample(times, lag):
    """Guards against a report that is newer than its lag allows."""
    report = LaggedReport()
    for at in times:
        report.add(at, at)
        expected = [time for time in times if time <= at - lag]
        assert report.read(at - lag) == (expected[-1] if expected else times[0])


@given(
    loss_interval=st.integers(0, 5), count=st.integers(0, 60), lag=st.integers(0, 10)
)
def test_cache_events_are_late_and_some_are_lost(loss_interval, count, lag):
    """Guards the order, the lag and the loss of cache events."""
    events = CacheEventLog(lag, loss_interval, seed=3)
    for at in range(count):
        events.add(at, CacheEvent("stored", at, 64))
    visible = events.read(count, -1)
    numbers = [event["seq"] for event in visible["events"]]
    assert numbers == sorted(set(numbers))
    assert all(number + lag <= count for number in numbers)
    if loss_interval == 0:
        assert numbers == list(range(min(count, count - lag + 1)))
    if loss_interval == 1:
        assert not numbers
    assert events.read(count, visible["next"])["events"] == []


@pytest.mark.parametrize(
    ("at", "expected"),
    [(0, []), (0.9, []), (1, ["live"]), (2.9, ["live"]), (3, ["leaving"])]
    + [(8, ["leaving"]), (8.1, [])],
)
def test_host_list_lags_and_drops_hosts_without_renewal(at, expected):
    """Guards the lag of 1 s and the time to live of 5 s."""
    hosts = LaggedHostList(lag_s=1, ttl_s=5)
    hosts.announce(0, ListedHost("host-1"))
    hosts.announce(2, ListedHost("host-1", state="leaving"))
    assert [host.state for host in hosts.view(at)] == expected


@given(st.lists(st.floats(0, 0.5), max_size=200))
def test_token_bucket_never_exceeds_rate_and_burst(pauses):
    """Guards the append rate limit that the design assumes."""
    bucket, now, taken = TokenBucket(10, 0.0), 0.0, 0
    for pause in pauses:
        now += pause
        taken += bucket.try_acquire(now)
        assert taken <= 10 + 10 * now + 1e-6
    assert bucket.try_acquire(now + 1)


@given(st.lists(st.tuples(st.floats(0, 5), st.integers(0, 1000)), max_size=30))
def test_weight_transfers_share_one_rate(transfers):
    """Guards against two transfers that each get the whole bandwidth."""
    bandwidth, now, end = SharedBandwidth(100), 0.0, 0.0
    for pause, size in transfers:
        now += pause
        end = max(end, now) + size / 100
        assert now + bandwidth.reserve(now, size) == pytest.approx(end)
