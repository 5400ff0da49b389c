"""Settings of a host of the gateway."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits required by the operators, in seconds unless stated otherwise.

    :param hold_max: Maximum duration of a grant.
    :param grace: Time between SIGTERM and SIGKILL.
    :param drain: Time after which a target that leaves must get no more requests.
    :param apply: Time after which a new configuration must be in force on all hosts.
    :param retry_ratio: Allowed retries per request of a service, over all hosts.
    :param retry_slack: Number of retries allowed in addition, over all hosts.
    :param retry_window: Time window in which retries and requests are counted.
    :param cold_multiplier: Factor on the request rate that the service's configuration gives for
        cold targets.
    :param cold_slack: Requests per second that a cold target may get in addition.
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
    :param inner_port: Port for connections between hosts.
    :param metrics_port: Port of the metrics, 0 for none.
    :param store: Address of the platform's store.
    :param heartbeat_seconds: Interval between the heartbeats of a target.
    :param cores: Available CPU capacity, in cores.
    :param link_mbps: Bandwidth of the network link in Mbit/s.
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
