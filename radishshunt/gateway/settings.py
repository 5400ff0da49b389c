"""Settings of a host of the gateway."""

from __future__ import annotations

from dataclasses import dataclass

APPLY_MARGIN_SECONDS = 0.5
LONG_POLL_MARGIN_SECONDS = 1.0
LIVE_STATE_MARGIN_SECONDS = 0.2
# Pause between two calls, and the answer of a store that is slow.
LOST_STORE_MARGIN_SECONDS = 0.6
# Part of a bound in time that is left for whatever is late: processes, connections and links.
LATENESS_RESERVE_SECONDS = 0.35


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits required by the operators, in seconds unless stated otherwise.

    :param max_grant_seconds: Maximum duration of a grant.
    :param stop_grace_seconds: Time between SIGTERM and SIGKILL.
    :param drain_seconds: Time after which a target that leaves must get no more requests.
    :param apply_seconds: Time after which a new configuration must be in force on all hosts.
    :param retry_ratio: Allowed retries per request of a service, over all hosts.
    :param retry_slack: Number of retries allowed in addition, over all hosts.
    :param retry_window_seconds: Time window in which retries and requests are counted.
    :param cold_multiplier: Factor on the request rate that the service's configuration gives for
        cold targets.
    :param cold_slack: Requests per second that a cold target may get in addition.
    :param strict_revoke: Whether a revoked API key must not be accepted later than
        ``revoke_seconds`` after its revocation, whatever this host has heard since.
    :param quota_window_seconds: Time window in which the requests of a workspace are counted.
    :param quota_excess: Share by which the requests in a window may exceed the quota.
    :param quota_slack: Number of requests by which they may exceed it in addition.
    """

    max_grant_seconds: float = 10.0
    stop_grace_seconds: float = 6.0
    drain_seconds: float = 2.0
    apply_seconds: float = 2.0
    evacuate_seconds: float = 5.0
    contact_seconds: float = 3.0
    retry_ratio: float = 0.2
    retry_slack: float = 60.0
    retry_window_seconds: float = 10.0
    cold_multiplier: float = 1.5
    cold_slack: float = 5.0
    strict_revoke: bool = False
    revoke_seconds: float = 5.0
    quota_window_seconds: float = 5.0
    quota_excess: float = 0.1
    quota_slack: float = 20.0

    @property
    def max_state_age_seconds(self) -> float:
        """Age of a host's state from which it counts as old.

        It is counted from the store's last response to the host that reads it. Of the time within
        which changes have to be applied, the rest is for the store's first response to another
        host.
        """
        return min(self.apply_seconds, self.drain_seconds) - APPLY_MARGIN_SECONDS

    @property
    def leaving_use_seconds(self) -> float:
        """Time for which the owner of a key may get requests after it has left.

        It is counted from a time before which the target's entry did not say so. It includes the
        time until a host hears of it.
        """
        return self.drain_seconds - LATENESS_RESERVE_SECONDS

    @property
    def evacuated_use_seconds(self) -> float:
        """Time for which the owner of a key may get requests after its domain was evacuated."""
        return self.evacuate_seconds - LATENESS_RESERVE_SECONDS

    @property
    def long_poll_seconds(self) -> float:
        """Time for which a call waits for changes.

        The sum of this, the pause between calls, the answer time of a slow store and the interval
        between two messages of the leader stays below :attr:`max_state_age_seconds`.
        """
        return self.max_state_age_seconds - LONG_POLL_MARGIN_SECONDS

    @property
    def live_state_age_seconds(self) -> float:
        """Age of the state of a host that reads the store above which the store seems to be silent.

        While the store answers, the state is at most as old as a call that waits for changes.
        """
        return self.long_poll_seconds + LIVE_STATE_MARGIN_SECONDS

    @property
    def lost_store_age_seconds(self) -> float:
        """Age of the leader's state above which it has lost the store, however slow that is."""
        return self.long_poll_seconds + LOST_STORE_MARGIN_SECONDS


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of one host.

    :param callers_address: Address for callers, ``ip:port``.
    :param readiness_address: Address of the readiness check.
    :param peer_port: Port for connections between hosts.
    :param metrics_port: Port of the metrics, 0 for none.
    :param store_address: Address of the platform's store.
    :param seed_ips: IP addresses of a few hosts, which may have stopped.
    :param first_start: Whether the whole system starts for the first time.
    :param max_row_bytes: Maximum size of a row's value in the store.
    :param heartbeat_seconds: Interval between the heartbeats of a target.
    :param cores: Available CPU capacity, in cores.
    :param link_mbps: Bandwidth of the network link in Mbit/s.
    :param memory_bytes: Memory at which the platform ends the process.
    :param learned_target_speed: Whether the speed of targets is learned from the answers to all
        hosts; ``None`` if that depends on their number.
    :param explain_from: IP addresses and networks that may ask for the explanation of a request;
        without any, nobody may.
    """

    name: str
    ip: str
    domain: str
    callers_address: str
    readiness_address: str
    peer_port: int
    metrics_port: int
    store_address: str
    seed_ips: tuple[str, ...] = ()
    first_start: bool = False
    max_row_bytes: int = 65536
    heartbeat_seconds: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1000.0
    memory_bytes: int = 300_000_000
    learned_target_speed: bool | None = None
    explain_from: tuple[str, ...] = ()
    bounds: Bounds = Bounds()
