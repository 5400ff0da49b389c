"""Counters and latency histograms of a host."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from prometheus_client.core import SummaryMetricFamily
from prometheus_client.registry import Collector

# Latencies are recorded in microseconds, up to one minute, with three significant digits.
HIGHEST_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
# Workspaces with a time series of their own since the start of the process.
MAX_WORKSPACE_LABELS = 100
OTHER_WORKSPACES = "other"
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class LatencyHistogram:
    """Histogram of latencies, with their sum."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS)
        self._sum_us = 0.0

    def record(self, seconds: float) -> None:
        """Record a latency in seconds."""
        value = min(max(1, round(seconds * 1e6)), HIGHEST_LATENCY_US)
        self._histogram.record_value(value)
        self._sum_us += value

    def percentiles(self) -> dict[float, float]:
        """Return the latency in seconds at each of :data:`PERCENTILES`."""
        return {p: self._histogram.get_value_at_percentile(p) / 1e6 for p in PERCENTILES}

    @property
    def count(self) -> int:
        """Number of recorded latencies."""
        return self._histogram.get_total_count()

    @property
    def total_seconds(self) -> float:
        """Sum of the recorded latencies in seconds."""
        return self._sum_us / 1e6


class Metrics(Collector):
    """Prometheus metrics of one host."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._histograms: dict[tuple[str, str], LatencyHistogram] = {}
        self.requests = Counter(
            "radishshunt_requests",
            "Requests of callers by result.",
            ["service", "result"],
            registry=self.registry,
        )
        self.forwarded = Counter(
            "radishshunt_forwarded",
            "Requests forwarded to their dispatcher.",
            ["service"],
            registry=self.registry,
        )
        self.queued = Gauge(
            "radishshunt_queued",
            "Requests waiting for a slot of a target.",
            ["service"],
            registry=self.registry,
        )
        self.groups = Gauge(
            "radishshunt_groups", "Groups that this host dispatches.", registry=self.registry
        )
        self.catalog_version = Gauge(
            "radishshunt_catalog_version",
            "Version of the release note in force.",
            registry=self.registry,
        )
        self.running = Gauge(
            "radishshunt_running", "Requests of callers being served.", registry=self.registry
        )
        self.body_bytes = Gauge(
            "radishshunt_body_bytes", "Memory of bodies held.", registry=self.registry
        )
        self.component_failures = Counter(
            "radishshunt_component_failures",
            "Failures of a component, which is restarted after each.",
            ["component"],
            registry=self.registry,
        )
        self.key_refusals = Counter(
            "radishshunt_key_refusals",
            "Requests refused because of their API key, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self._workspace_requests = Counter(
            "radishshunt_workspace_requests",
            "Requests with a valid API key by workspace.",
            ["workspace"],
            registry=self.registry,
        )
        self._quota_requests = Counter(
            "radishshunt_quota_requests",
            "Requests of workspaces with a quota by what the quota decided.",
            ["workspace", "decision"],
            registry=self.registry,
        )
        self._workspaces: set[str] = set()
        self.learned_speeds = Gauge(
            "radishshunt_learned_speeds",
            "Targets whose speed the leader has stated.",
            registry=self.registry,
        )
        self.speed_steps = Gauge(
            "radishshunt_speed_steps",
            "Steps found in the speed of targets while this host led.",
            registry=self.registry,
        )
        self.stated_speeds = Gauge(
            "radishshunt_stated_speeds",
            "Speeds of targets stated to other hosts.",
            registry=self.registry,
        )
        self.registry.register(self)

    def count_workspace_request(self, workspace: str) -> None:
        """Count a request of a workspace; those beyond the first ones are counted together."""
        self._workspace_requests.labels(self._workspace_label(workspace)).inc()

    def count_quota_decision(self, workspace: str, outcome: str) -> None:
        """Count what the quota of a workspace decided on a request, or that it was not sent."""
        self._quota_requests.labels(self._workspace_label(workspace), outcome).inc()

    def _workspace_label(self, workspace: str) -> str:
        if workspace not in self._workspaces:
            if len(self._workspaces) >= MAX_WORKSPACE_LABELS:
                return OTHER_WORKSPACES
            self._workspaces.add(workspace)
        return workspace

    def latency(self, stage: str, service: str) -> LatencyHistogram:
        """Return the latency histogram of a stage of request handling for a service."""
        return self._histograms.setdefault((stage, service), LatencyHistogram())

    def collect(self) -> list[SummaryMetricFamily]:
        """Return the histograms as a Prometheus summary family."""
        family = SummaryMetricFamily(
            "radishshunt_latency_seconds", "Latency by stage.", labels=["stage", "service"]
        )
        for (stage, service), latency in self._histograms.items():
            labels = [stage, service]
            family.add_metric(labels, count_value=latency.count, sum_value=latency.total_seconds)
            for percentile, seconds in latency.percentiles().items():
                quantile = {"stage": stage, "service": service, "quantile": f"{percentile / 100:g}"}
                family.add_sample(family.name, quantile, seconds)
        return [family]

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
