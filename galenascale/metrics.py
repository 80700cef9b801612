"""Metrics of one host in a registry of its own, with bounded label sets.

Tenants are labels only for the busiest few; the others count as `other`, so
that thousands of tenants do not become thousands of time series.
"""

import bisect
import collections
import time

import prometheus_client
from prometheus_client.core import HistogramMetricFamily

OTHER = "other"
MAX_NAMED_TENANTS = 20
# Requests between two rankings of the tenants.
RANK_EVERY = 1000
# A tenant takes the name of another one only if it is this much busier, so
# that tenants of about equal traffic do not alternate.
DISPLACE_FACTOR = 2

LATENCY_BUCKETS_S = (
    *(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0),
    *(1.5, 2.0, 3.0, 5.0, 10.0, 30.0, 60.0, 120.0, 300.0, 600.0),
)
GAP_BUCKETS_S = (
    *(0.001, 0.005, 0.01, 0.015, 0.02, 0.025, 0.03, 0.036),
    *(0.045, 0.06, 0.08, 0.1, 0.2, 0.5, 1.0, 5.0),
)


class TenantLabels:
    """Label values of tenants: names of the busiest, else `other`."""

    def __init__(self, on_drop, max_named=MAX_NAMED_TENANTS, rank_every=RANK_EVERY):
        self._on_drop = on_drop
        self._max_named = max_named
        self._rank_every = rank_every
        self._counts = collections.Counter()
        self._named = set()
        self._until_rank = rank_every

    def count(self, tenant):
        """Count one request of a tenant."""
        self._counts[tenant] += 1
        if len(self._named) < self._max_named:
            self._named.add(tenant)
        self._until_rank -= 1
        if not self._until_rank:
            self._until_rank = self._rank_every
            self._rank()

    def label(self, tenant):
        """Return the label value of a tenant at this moment."""
        return tenant if tenant in self._named else OTHER

    def _rank(self):
        for tenant, count in self._counts.most_common(self._max_named):
            if tenant in self._named:
                continue
            idlest = min(self._named, key=lambda name: (self._counts[name], name))
            if count < DISPLACE_FACTOR * max(1, self._counts[idlest]):
                break
            self._named.remove(idlest)
            self._named.add(tenant)
            self._on_drop(idlest)
        halves = {name: count // 2 for name, count in self._counts.items()}
        self._counts = collections.Counter({n: c for n, c in halves.items() if c})


class TokenGaps:
    """Histogram of times between tokens, filled by whole streams at once."""

    def __init__(self):
        self._by_labels = {}

    def add(self, labels, counts, total_s):
        """Add the bucket counts and the sum of one stream."""
        kept = self._by_labels.setdefault(labels, [[0] * len(counts), 0.0])
        kept[0] = [old + new for old, new in zip(kept[0], counts, strict=True)]
        kept[1] += total_s

    def drop(self, tenant):
        """Forget the series of a tenant."""
        for labels in [labels for labels in self._by_labels if labels[1] == tenant]:
            del self._by_labels[labels]

    def collect(self):
        """Yield the histogram to the registry."""
        family = HistogramMetricFamily(
            "galenascale_time_between_tokens_seconds",
            "Time between tokens written to a caller.",
            labels=("class", "tenant"),
        )
        bounds = [*map(str, GAP_BUCKETS_S), "+Inf"]
        for labels, (counts, total_s) in self._by_labels.items():
            buckets, seen = [], 0
            for bound, count in zip(bounds, counts, strict=True):
                seen += count
                buckets.append((bound, seen))
            family.add_metric(labels, buckets, total_s)
        yield family


class RequestTimer:
    """Times of one request; recorded by finish()."""

    def __init__(self, metrics, request_class, now):
        self._metrics = metrics
        self._class = request_class
        self._now = now
        self._started = now()
        self._first_s = None
        self._last = 0.0
        self._gap_counts = [0] * (len(GAP_BUCKETS_S) + 1)
        self._gap_total_s = 0.0
        self._before_first_write = True
        self.tenant = None
        # Code under which the request is counted; None if the error
        # middleware counts it.
        self.code = None

    def first_token(self):
        """Note that the first chunk arrived."""
        self._last = self._now()
        self._first_s = self._last - self._started

    def tokens(self, count):
        """Note that chunks are written together; only the first one waited."""
        now = self._now()
        gap_s = now - self._last
        self._last = now
        if self._before_first_write:
            self._before_first_write = False
            self._gap_counts[0] += count - 1
            return
        self._gap_counts[bisect.bisect_left(GAP_BUCKETS_S, gap_s)] += 1
        self._gap_counts[0] += count - 1
        self._gap_total_s += gap_s

    def succeed(self):
        """Count the request under the code `ok`."""
        self.code = "ok"

    def finish(self):
        """Record the request."""
        self._metrics.finish_request(self._class, self.code)
        if self.tenant is None:
            return
        total_s = self._now() - self._started
        self._metrics.record(
            self._class,
            self.tenant,
            self._first_s,
            total_s,
            self._gap_counts,
            self._gap_total_s,
        )


class Metrics:
    """All metrics of one host."""

    def __init__(self, max_named_tenants=MAX_NAMED_TENANTS, now=time.perf_counter):
        self.registry = prometheus_client.CollectorRegistry()
        self.tenants = TenantLabels(self._drop_tenant, max_named_tenants)
        self._now = now
        self._gaps = TokenGaps()
        self.registry.register(self._gaps)
        self._queueing = self._histogram("queueing", "Time in the queue.")
        self._first = self._histogram("time_to_first_token", "Time to first token.")
        self._total = self._histogram("request", "Time to the end of the answer.")
        self._requests = prometheus_client.Counter(
            "galenascale_requests",
            "Requests by class and code.",
            ("class", "code"),
            registry=self.registry,
        )
        self._in_flight = self.gauge("requests_in_flight", "Running.", ("class",))

    def _histogram(self, name, text):
        return prometheus_client.Histogram(
            f"galenascale_{name}_seconds",
            text,
            ("class", "tenant"),
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def gauge(self, name, text, labels=()):
        """Return a new gauge; its label sets must be bounded."""
        return prometheus_client.Gauge(
            f"galenascale_{name}", text, labels, registry=self.registry
        )

    def counter(self, name, text, labels=()):
        """Return a new counter; its label sets must be bounded."""
        return prometheus_client.Counter(
            f"galenascale_{name}", text, labels, registry=self.registry
        )

    def start_request(self, request_class):
        """Return a RequestTimer for a request that begins now."""
        self._in_flight.labels(request_class).inc()
        return RequestTimer(self, request_class, self._now)

    def finish_request(self, request_class, code):
        """Count the end of a request, and its code unless it is None."""
        self._in_flight.labels(request_class).dec()
        if code is not None:
            self.count_request(request_class, code)

    def count_request(self, request_class, code):
        """Count a request by its code, `ok` or that of an error."""
        self._requests.labels(request_class, code).inc()

    def observe_queueing(self, request_class, tenant, seconds):
        """Record the time that a request waited for admission."""
        label = self.tenants.label(tenant)
        self._queueing.labels(request_class, label).observe(seconds)

    def record(self, request_class, tenant, first_s, total_s, gap_counts, gap_total_s):
        """Record the times of one request; `first_s` None for no answer."""
        self.tenants.count(tenant)
        labels = (request_class, self.tenants.label(tenant))
        self._total.labels(*labels).observe(total_s)
        if first_s is not None:
            self._first.labels(*labels).observe(first_s)
        if any(gap_counts):
            self._gaps.add(labels, gap_counts, gap_total_s)

    def _drop_tenant(self, tenant):
        for histogram in (self._queueing, self._first, self._total):
            histogram.remove_by_labels({"tenant": tenant})
        self._gaps.drop(tenant)

    def render(self):
        """Return the text format of all metrics as bytes."""
        return prometheus_client.generate_latest(self.registry)
