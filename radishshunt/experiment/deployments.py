"""The deployments of section 1.1 of the design and the assumptions of the experiments."""

from __future__ import annotations

from dataclasses import dataclass

SLOTS = 3
NEW_CONNECTION_SECONDS = 0.001
# Delay between a target's load measurement and the arrival of its report.
REPORT_DELAY_SECONDS = 10.0
# Mean service time; the design does not specify one. At 0.6 of the capacity, it yields about 90
# requests per second for each target.
SERVICE_SECONDS = 0.02
# Standard deviation of the logarithm of service times; p99 is about 3 times the median.
SERVICE_SIGMA = 0.5
CALLER_TIMEOUT_SECONDS = 2.0
COLD_SLOTS = 1
COLD_SECONDS = 10.0
# Factor on the service time of a cold target.
COLD_SLOWDOWN = 2.0
# Number of keys of a keyed service and Zipf exponent of their popularity. The hottest key gets
# 3.1% of the requests, which is less than one target's share in either deployment.
KEY_COUNT = 20_000
ZIPF_EXPONENT = 0.8
SLICES = 1024
TARGETS_PER_GROUP = 3


@dataclass(frozen=True, slots=True)
class Deployment:
    """An installation of the router.

    :param hop_seconds: One-way latency between failure domains.
    :param caller_latency_seconds: One-way latency between callers and entry hosts.
    :param keyed_targets: Number of targets of the keyed service.
    :param unkeyed_targets: Number of targets of the service without keys.
    :param hosts: Number of hosts of the router.
    :param service_seconds: Mean service time on a warm target.
    """

    name: str
    domains: tuple[str, ...]
    hop_seconds: float
    caller_latency_seconds: float
    keyed_targets: int
    unkeyed_targets: int
    hosts: int = 11
    service_seconds: float = SERVICE_SECONDS

    def capacity(self, targets: int) -> float:
        """Return the requests per second that warm targets complete if their slots never idle."""
        return targets * SLOTS / self.service_seconds


LANDESAMT = Deployment(
    "landesamt", ("munich-dc", "nuremberg-dc", "augsburg-dc"), 0.001, 0.008, 30, 6
)
TOTARA = Deployment("totara", ("akl-a", "akl-b", "akl-c", "akl-d"), 0.0015, 0.001, 25, 8)
DEPLOYMENTS = {d.name: d for d in (LANDESAMT, TOTARA)}
