"""What a host of the gateway is told at its start."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Bounds:
    """Figures that the operators demand, in seconds unless the name says otherwise.

    :param hold_max: Longest time of a grant.
    :param grace: Time between TERM and KILL.
    :param drain: Time after which a leaving target must get no request.
    :param retry_ratio: Repeated arrivals for each request of a service, over all hosts.
    :param retry_slack: Repeated arrivals allowed besides, over all hosts.
    :param retry_window: Window in which both are counted.
    :param cold_multiplier: Factor on the rate that a cold target says it bears.
    :param cold_slack: Requests in one second allowed besides.
    """

    hold_max: float = 10.0
    grace: float = 6.0
    drain: float = 2.0
    apply: float = 2.0
    evacuate: float = 5.0
    contact: float = 3.0
    retry_ratio: float = 0.2
    retry_slack: float = 60.0
    retry_window: float = 10.0
    cold_multiplier: float = 1.5
    cold_slack: float = 5.0


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of one host.

    :param callers: Address for callers, ``ip:port``.
    :param ready: Address of the readiness check.
    :param inner_port: Port on which hosts talk to each other.
    :param metrics_port: Port of the metrics, 0 for none.
    :param store: Address of the platform's store.
    :param heartbeat_seconds: Time between the heartbeats of a target.
    :param cores: Processor speed relative to one core.
    """

    name: str
    ip: str
    domain: str
    callers: str
    ready: str
    inner_port: int
    metrics_port: int
    store: str
    heartbeat_seconds: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1000.0
    bounds: Bounds = Bounds()
