"""Counts the bytes of bodies that cross the border of this host's failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

if TYPE_CHECKING:
    from radishshunt.gateway.model import Route, TargetEntry

# Routes and services come from the operators' configuration, which may change many times in the
# life of a process. Further ones share a label.
MAX_LABELS = 100
OTHER = "other"


class DomainTraffic(Collector):
    """Counter of bytes between failure domains by service, route and direction.

    :param domain: This host's domain.
    """

    def __init__(self, domain: str) -> None:
        self._domain = domain
        # Bytes sent and received.
        self._bytes: dict[tuple[str, str], list[int]] = {}

    def record(self, entry: TargetEntry, route: Route, *, sent: int = 0, received: int = 0) -> None:
        """Count bytes of bodies to and from a target, if it is in another domain."""
        if entry.domain == self._domain:
            return
        labels = (entry.service, route.name)
        if labels not in self._bytes and len(self._bytes) >= MAX_LABELS:
            labels = (OTHER, OTHER)
        counts = self._bytes.setdefault(labels, [0, 0])
        counts[0] += sent
        counts[1] += received

    def collect(self) -> list[CounterMetricFamily]:
        """Return the counters in Prometheus' form."""
        family = CounterMetricFamily(
            "radishshunt_cross_domain_bytes",
            "Bytes of bodies to and from targets of other failure domains.",
            labels=["service", "route", "direction"],
        )
        for labels, (sent, received) in self._bytes.items():
            family.add_metric([*labels, "sent"], sent)
            family.add_metric([*labels, "received"], received)
        return [family]
