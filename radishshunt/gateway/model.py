"""Data model of the gateway: routes, services, targets and key ranges."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

LAST_KEY = 65535
KEY_COUNT = LAST_KEY + 1


class RequestKind(Enum):
    """Whether a request may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


@dataclass(frozen=True, slots=True)
class Share:
    """Part of a route's traffic that goes to one service.

    :param weight: Proportion relative to the other parts of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A route of the configuration.

    :param prefix: Prefix of the paths that the route serves.
    :param shares: Empty if the configuration names no usable service; requests are refused then.
    :param timeout_seconds: Maximum time for which a request may wait for its answer.
    :param objective_seconds: Latency objective; a later answer is worth less.
    :param max_attempts: Maximum number of targets that one request is sent to.
    :param priority: Priority among the routes of a service; 0 is the highest.
    :param public: Whether requests need no API key although the configuration has workspaces.
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
    public: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """A service of the configuration.

    :param keyed: Whether targets hold ranges of keys.
    :param max_connections: Maximum number of connections to a target from all hosts together.
    :param cold_per_second: Maximum requests per second to a cold target.
    :param handover_seconds: Time for which keys are slow after a move without handover.
    :param health_path: Path at which a target returns its registration.
    """

    name: str
    keyed: bool
    max_connections: int
    cold_per_second: float
    handover_seconds: float
    health_path: str = "/healthz"


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace of the configuration.

    :param key_digests: Digests of its API keys, see :mod:`radishshunt.workspaces.api_keys`.
    :param priority: Replaces the priority of the routes; ``None`` if it names none.
    :param requests_per_second: Quota over all hosts, infinite if there is none.
    :param burst: Requests that may exceed the rate of the quota at once.
    """

    name: str
    key_digests: frozenset[str] = frozenset()
    priority: int | None = None
    requests_per_second: float = math.inf
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests of a caller."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration that operators maintain.

    :param workspaces: Workspaces by name; ``None`` if the configuration has none, so that requests
        need no API key.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    workspaces: dict[str, Workspace] | None = None


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """A target as it has registered itself.

    :param id: Name of this registration, which usually changes with each start.
    :param incarnation: Start time of the target's process in Unix milliseconds, 0 if unknown.
    :param slots: Number of requests that the target processes concurrently.
    :param cold_seconds: Remaining time for which the target is cold, which each host counts from
        when it applies the entry.
    :param sequence: Number of the entry among those of the same process.
    """

    id: str
    incarnation: int
    service: str
    address: str
    domain: str
    slots: int
    draining: bool
    cold_seconds: float
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class KeyRange:
    """Keys from ``first`` to ``last``, both included, and the target that may hold them.

    :param target: Registration of the owner, empty if no target holds the keys.
    :param incarnation: Start time of the owner's process, as in its :class:`TargetEntry`.
    :param fence: Fencing token of the grant.
    :param address: Address of the owner, for a leader that no longer finds its entry.
    """

    first: int
    last: int
    target: str
    incarnation: int
    fence: int
    address: str = ""

    def __contains__(self, key: int) -> bool:
        return self.first <= key <= self.last


@dataclass(frozen=True, slots=True)
class KeyMap:
    """Owners of all keys of a service.

    :param ranges: In ascending order without gaps.
    :param next_fence: Smallest fencing token that has never been used.
    """

    ranges: tuple[KeyRange, ...] = ()
    next_fence: int = 1
