"""Tests of the metrics of one host."""

import types

from hypothesis import given
from hypothesis import strategies as st

from galenascale.metrics import OTHER, Metrics, TenantLabels
from galenascale.scheduling_metrics import SchedulingMetrics


def samples(metrics):
    """Return the values of all samples by name and labels."""
    return {
        (sample.name, *sample.labels.values()): sample.value
        for family in metrics.registry.collect()
        for sample in family.samples
    }


class FakeTime:
    """Seconds that a test sets."""

    now_s = 100.0

    def __call__(self):
        return self.now_s


def run_request(metrics, time, tenant, gaps):
    """Record a request whose batches of tokens have (seconds, count)."""
    timer = metrics.start_request("online")
    timer.tenant = tenant
    time.now_s += 0.4
    timer.first_token()
    timer.tokens(1)
    for gap_s, count in gaps:
        time.now_s += gap_s
        timer.tokens(count)
    timer.succeed()
    timer.finish()


def test_times_of_one_request_and_registries_apart():
    """Guards the figures by which online latency is judged."""
    time = FakeTime()
    metrics, other = Metrics(now=time), Metrics(now=time)
    run_request(metrics, time, "a", [(0.03, 1), (0.3, 4)])
    metrics.observe_queueing("batch", "a", 0.2)
    metrics.count_request("online", "overloaded")
    values = samples(metrics)
    first, gap = "galenascale_time_to_first_token_seconds", "galenascale_time_between"
    gap += "_tokens_seconds"
    assert values[f"{first}_bucket", "online", "a", "0.25"] == 0
    assert values[f"{first}_bucket", "online", "a", "0.5"] == 1
    assert values[f"{gap}_bucket", "online", "a", "0.001"] == 3
    assert values[f"{gap}_bucket", "online", "a", "0.036"] == 4
    assert values[f"{gap}_bucket", "online", "a", "+Inf"] == 5
    assert values[f"{gap}_count", "online", "a"] == 5
    assert round(values[f"{gap}_sum", "online", "a"], 3) == 0.33
    assert values["galenascale_queueing_seconds_count", "batch", "a"] == 1
    assert values["galenascale_requests_total", "online", "ok"] == 1
    assert values["galenascale_requests_total", "online", "overloaded"] == 1
    assert values["galenascale_requests_in_flight", "online"] == 0
    assert b'galenascale_requests_total{class="online",code="ok"} 1.0' in (
        metrics.render()
    )
    assert ("galenascale_requests_total", "online", "ok") not in samples(other)


def test_thousands_of_tenants_give_few_series():
    """Guards memory and scrapes against one series for each tenant."""
    time = FakeTime()
    metrics = Metrics(max_named_tenants=5, now=time)
    for number in range(2600):
        run_request(metrics, time, f"team-{number}", [(0.03, 1)])
        if number % 2:
            run_request(metrics, time, "busiest", [(0.03, 1)])
    tenants = {
        sample.labels["tenant"]
        for family in metrics.registry.collect()
        for sample in family.samples
        if "tenant" in sample.labels
    }
    assert len(tenants) == 6
    assert {"busiest", OTHER} <= tenants


@given(st.lists(st.integers(0, 30), max_size=300))
def test_named_tenants_stay_bounded_and_dropped_ones_are_told(numbers):
    """Guards the bound on label values and the removal of old series."""
    dropped, named = [], set()
    labels = TenantLabels(dropped.append, max_named=3, rank_every=10)
    for number in numbers:
        labels.count(f"t{number}")
        now_named = {t for t in (f"t{n}" for n in range(31)) if labels.label(t) == t}
        assert len(now_named) <= 3
        assert named - now_named == set(dropped)
        named = now_named
        dropped.clear()


def test_scheduling_metrics_show_queue_slots_streams_and_losses():
    """Guards against metrics that nothing fills."""
    metrics = Metrics()
    admission = types.SimpleNamespace(waiting=lambda: 3)
    online = types.SimpleNamespace(
        dispatcher=lambda service: types.SimpleNamespace(admission=admission)
    )
    capacity = types.SimpleNamespace(
        services=lambda: ["svc"], slots=lambda _: 7, running=lambda _: 5
    )
    worker = types.SimpleNamespace()
    SchedulingMetrics(metrics, online, capacity, worker)
    metrics.tenants.count("t")
    online.on_started("t", 0.2)
    capacity.on_interrupted("svc", 2)
    worker.on_discarded("svc", 11)
    text = metrics.render().decode()
    for line in (
        'queue_length{service="svc"} 3.0',
        'batch_slots{service="svc"} 7.0',
        'batch_streams{service="svc"} 5.0',
        'batch_interrupted_streams_total{service="svc"} 2.0',
        'batch_discarded_tokens_total{service="svc"} 11.0',
        'queueing_seconds_count{class="online",tenant="t"} 1.0',
    ):
        assert f"galenascale_{line}\n" in text
