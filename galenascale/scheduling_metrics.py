"""Metrics of admission and batch slots, one label value per service."""

from prometheus_client.core import GaugeMetricFamily


class SchedulingMetrics:
    """Gauges that are read when metrics are collected, and counters."""

    def __init__(self, metrics, online, capacity, worker):
        self._online = online
        self._capacity = capacity
        self._interrupted = metrics.counter(
            "batch_interrupted_streams",
            "Batch streams that gave way to online requests.",
            ("service",),
        )
        self._discarded = metrics.counter(
            "batch_discarded_tokens",
            "Tokens of unfinished batch answers that were thrown away.",
            ("service",),
        )
        metrics.registry.register(self)
        online.on_started = lambda tenant, seconds: metrics.observe_queueing(
            "online", tenant, seconds
        )
        capacity.on_interrupted = lambda service, count: self._interrupted.labels(
            service
        ).inc(count)
        worker.on_discarded = lambda service, count: self._discarded.labels(
            service
        ).inc(count)

    def collect(self):
        """Yield the gauges to the registry."""
        queue, slots, streams = (
            GaugeMetricFamily(f"galenascale_{name}", text, labels=("service",))
            for name, text in (
                ("queue_length", "Online requests that wait for a server."),
                ("batch_slots", "Batch slots of the servers of this owner."),
                ("batch_streams", "Batch streams that this host runs."),
            )
        )
        for service in self._capacity.services():
            waiting = self._online.dispatcher(service).admission.waiting()
            queue.add_metric((service,), waiting)
            slots.add_metric((service,), self._capacity.slots(service))
            streams.add_metric((service,), self._capacity.running(service))
        yield from (queue, slots, streams)

    def describe(self):
        """Yield nothing, so that registering does not need a configuration."""
        return ()
