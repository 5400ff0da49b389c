"""The deployments of section 1.1 of the design, and what the experiments assume about them."""

from __future__ import annotations

from dataclasses import dataclass

SLOTS = 3
NEW_CONNECTION_SECONDS = 0.001
# Load reports arrive this late.
REPORT_DELAY_SECONDS = 10.0
# Mean service time, which the design leaves open. With the deployments' sizes it makes about
# 90 requests per second and target at 0.6 of the capacity.
SERVICE_SECONDS = 0.02
# Standard deviation of the logarithm of service times; p99 is about 3 times the median.
SERVICE_SIGMA = 0.5
CALLER_TIMEOUT_SECONDS = 2.0
COLD_SLOTS = 1
COLD_SECONDS = 10.0
# Factor on the service time of a cold target.
COLD_SLOWDOWN = 2.0
# Keys of a keyed service and exponent of their popularity. With these the hottest key has
# 3.1% of the requests, which is less than one target's share in either deployment.
KEYS = 20_000
ZIPF_EXPONENT = 0.8
SLICES = 1024
TARGETS_PER_GROUP = 3


@dataclass(frozen=True, slots=True)
class Deployment:
    """A user's installation.

    :param hop_seconds: One-way latency between failure domains.
    :param client_seconds: One-way latency between callers and entry hosts.
    :param workers: Targets of the keyed service.
    :param anyone: Targets of the service without keys.
    :param service_seconds: Mean service time on a warm target.
    """

    name: str
    domains: tuple[str, ...]
    hop_seconds: float
    client_seconds: float
    workers: int
    anyone: int
    hosts: int = 11
    service_seconds: float = SERVICE_SECONDS

    def capacity(self, targets: int) -> float:
        """Return the requests per second that warm targets run if their slots never idle."""
        return targets * SLOTS / self.service_seconds


LANDESAMT = Deployment(
    "landesamt", ("munich-dc", "nuremberg-dc", "augsburg-dc"), 0.001, 0.008, 30, 6
)
TOTARA = Deployment("totara", ("akl-a", "akl-b", "akl-c", "akl-d"), 0.0015, 0.001, 25, 8)
DEPLOYMENTS = {d.name: d for d in (LANDESAMT, TOTARA)}
