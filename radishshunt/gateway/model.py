"""What a host of the gateway knows of routes, services, targets and key ranges."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

LAST_KEY = 65535
KEYS = LAST_KEY + 1


class RequestKind(Enum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


@dataclass(frozen=True, slots=True)
class Share:
    """One part of a route's traffic.

    :param weight: Proportion relative to the other parts of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A route of the configuration.

    :param prefix: Start of the paths that the route serves.
    :param timeout_seconds: Longest time that a request may be kept waiting.
    :param objective_seconds: Time within which an answer has its full worth.
    :param max_attempts: Most targets that one request is sent to.
    :param priority: Rank among the routes of a service, 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[Share, ...]
    timeout_seconds: float
    objective_seconds: float
    max_attempts: int
    priority: int


@dataclass(frozen=True, slots=True)
class Service:
    """A service of the configuration.

    :param keyed: Whether targets hold ranges of keys.
    :param max_connections: Connections that a target accepts from all hosts together.
    :param cold_per_second: Requests a second that a cold target bears.
    :param handover_seconds: Time for which keys are slow that arrive without handover.
    :param health_path: Path at which a target names itself.
    """

    name: str
    keyed: bool
    max_connections: int
    cold_per_second: float
    handover_seconds: float
    health_path: str = "/healthz"


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """A target as it has registered itself.

    :param id: Name of this registration, mostly new with each start.
    :param life: Start of the target's process in Unix milliseconds, 0 if it is not known.
    :param slots: Requests that the target processes at once.
    :param cold_seconds: How much longer it stays cold, counted from the entry.
    """

    id: str
    life: int
    service: str
    address: str
    domain: str
    slots: int
    draining: bool
    cold_seconds: float


@dataclass(frozen=True, slots=True)
class KeyRange:
    """Keys from ``first`` to ``last``, both included, and the target that may hold them.

    :param target: Registration of the owner, empty if nobody holds the keys.
    :param life: Start of the owner's process.
    :param fence: Fencing token of the grant.
    :param address: Where the owner was, for a leader that no longer finds its entry.
    """

    first: int
    last: int
    target: str
    life: int
    fence: int
    address: str = ""

    def __contains__(self, key: int) -> bool:
        return self.first <= key <= self.last


@dataclass(frozen=True, slots=True)
class KeyMap:
    """Owners of all keys of a service.

    :param ranges: In ascending order without gaps.
    :param next_fence: Smallest fencing token that was never used.
    """

    ranges: tuple[KeyRange, ...] = ()
    next_fence: int = 1
