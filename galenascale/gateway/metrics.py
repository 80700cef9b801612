"""Prometheus metrics of a gateway host."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

# In seconds. Latency objectives are between 0.3 and 1 s, deadlines between 1.5
# and 6 s.
SECONDS_BUCKETS = (0.01, 0.03, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 1.5, 2.5, 5, 10)

# Tenants that have a label of their own, and the label of all others.
MAX_TENANT_LABELS = 200
OTHER_TENANTS = "other"


class GatewayMetrics:
    """Metrics of one gateway host in a separate registry."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self.requests = self._counter(
            "requests", "Requests by route and outcome.", ("route", "outcome")
        )
        self.sends = self._counter(
            "sends", "Requests sent to backend servers by outcome.", ("outcome",)
        )
        self.crashed_runs = self._counter(
            "crashed_runs",
            "Runs on servers that crashed, by whether the answer had begun.",
            ("begun",),
        )
        self.blocked_parts = self._counter(
            "blocked_parts", "Prompt parts blocked because they crash servers."
        )
        self.store_calls = self._counter(
            "store_calls", "Calls of the store by outcome.", ("outcome",)
        )
        self.slots = self._counter(
            "slots", "Slots for requests and items by how they were got.", ("way",)
        )
        self.rejections = self._counter(
            "rejections", "Requests rejected for their caller.", ("tenant", "reason")
        )
        self.limit_changes = self._counter(
            "server_limit_changes",
            "Limits on request rates that servers began, changed or ceased to name.",
            ("change",),
        )
        self.limited_requests = self._counter(
            "limited_requests",
            "Requests and items that limits of servers affected, by how.",
            ("effect",),
        )
        self.idle_servers = self._counter(
            "idle_servers",
            "Times a request waited for seconds beside idle servers, by obstacle.",
            ("obstacle",),
        )
        self.beyond_share = self._counter(
            "beyond_share",
            "Requests and items beyond their tenants' shares of slots, by effect.",
            ("effect",),
        )
        self.left_domain = self._counter(
            "left_domain",
            "Requests passed on to another failure domain, by reason.",
            ("reason",),
        )
        self.caller_limits = self._counter(
            "caller_limits",
            "Requests refused or closed by a limit on callers, by limit.",
            ("limit",),
        )
        self.cut_answers = self._counter(
            "cut_answers",
            "Connections that ended before their answers were taken, by reason.",
            ("reason",),
        )
        self.caller_body_bytes = self._gauge(
            "caller_body_bytes", "Memory that callers make the host hold."
        )
        self._tenant_labels = set()
        self.items = self._counter("items", "Runs of items by outcome.", ("outcome",))
        self.first_part_seconds = self._histogram(
            "first_part_seconds", "Arrival to the first part of the answer.", ("route",)
        )
        self.request_seconds = self._histogram(
            "request_seconds", "Arrival to the end of the answer.", ("route",)
        )
        self.config_version = self._gauge("config_version", "Version in force.")
        self.quota_open_tokens = self._gauge(
            "quota_open_tokens", "Tokens of unfinished items by route.", ("route",)
        )
        self.peers = self._gauge("peers", "Hosts heard of lately.")
        self.log_lines_waiting = self._gauge(
            "log_lines_waiting", "Log lines not yet written."
        )

    def count_rejection(self, tenant, reason):
        """Count a rejected request; many tenants share one label."""
        if len(self._tenant_labels) < MAX_TENANT_LABELS:
            self._tenant_labels.add(tenant)
        label = tenant if tenant in self._tenant_labels else OTHER_TENANTS
        self.rejections.labels(label, reason).inc()

    def count_caller_limit(self, limit):
        """Count a caller that met a limit, by the name of the limit."""
        self.caller_limits.labels(limit).inc()

    def _counter(self, name, text, labels=()):
        return Counter(
            name, text, labels, namespace="galenascale", registry=self.registry
        )

    def _gauge(self, name, text, labels=()):
        return Gauge(
            name, text, labels, namespace="galenascale", registry=self.registry
        )

    def _histogram(self, name, text, labels):
        return Histogram(
            name,
            text,
            labels,
            namespace="galenascale",
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )

    def expose(self):
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
