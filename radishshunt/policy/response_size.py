"""Size of responses by route, and the choice between a near and a far target that follows from it.

Load pattern: some routes have responses of 90 kB on average and up to 540 kB, and bytes between
failure domains are billed. The demand of each domain moves by half within seconds, so that the
targets of a domain may be full while those of others are idle: its hosts then have to send a part
elsewhere, without all choosing the same target.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from random import Random

T = TypeVar("T")

# Number of responses of a route before their size is taken into account.
MIN_SAMPLES = 8
# Weight of the newest response in the moving average.
SIZE_WEIGHT = 0.05
# A response counts as at most this multiple of the mean, which is the ratio of the largest to the
# mean response of the known routes, or as this many bytes if that is more.
MAX_RATIO = 6.0
MIN_CLIP_BYTES = 60_000.0
# Routes with a smaller mean response choose their targets without regard to its size.
LARGE_RESPONSE_BYTES = 10_000.0
# Work times, as multiples of their mean, that have to fit into the latency objective besides the
# wait. The wait that is left counts as slack. In replays under strain, 2 sent a quarter more bytes
# elsewhere without fewer late responses.
WORK_TIMES = 1.5
# Number of random targets of other domains that are compared with the best one of the home domain.
FAR_SAMPLE = 3


@dataclass(slots=True)
class _RouteSize:
    samples: int = 0
    mean_bytes: float = 0.0
    first: list[int] = field(default_factory=list)


class ResponseSizes:
    """Learns the mean size of the responses of each route."""

    def __init__(self) -> None:
        self._routes: dict[str, _RouteSize] = {}

    def record(self, route: str, size: int) -> None:
        """Record the body of a successful response.

        :param size: Bytes.
        """
        state = self._routes.get(route)
        if state is None:
            state = self._routes[route] = _RouteSize()
        state.samples += 1
        if state.samples < MIN_SAMPLES:
            state.first.append(size)
        elif state.samples == MIN_SAMPLES:
            # Without the largest one, a single huge response cannot set the start value.
            rest = sorted([*state.first, size])[:-1]
            state.mean_bytes = sum(rest) / len(rest)
            state.first.clear()
        else:
            clipped = min(size, max(MAX_RATIO * state.mean_bytes, MIN_CLIP_BYTES))
            state.mean_bytes += SIZE_WEIGHT * (clipped - state.mean_bytes)

    def expected(self, route: str) -> float:
        """Return the expected size of a response in bytes, 0 until there are enough samples."""
        state = self._routes.get(route)
        return state.mean_bytes if state is not None else 0.0

    def is_large(self, route: str) -> bool:
        """Return whether the route's responses are large enough to count in the choice."""
        return self.expected(route) >= LARGE_RESPONSE_BYTES

    def retain(self, routes: Iterable[str]) -> None:
        """Forget all routes but these."""
        kept = set(routes)
        self._routes = {name: state for name, state in self._routes.items() if name in kept}


# Not frozen: one is built for each target and request, and a frozen one takes seven times as long.
@dataclass(slots=True)
class Candidate(Generic[T]):
    """A target that may get the request.

    :param cost: Expected seconds until the response, with all penalties except those for the
        domain.
    :param wait: Expected seconds until the target starts the request.
    :param work: Expected seconds that the target works on it.
    :param near: Whether the target is in the host's own domain.
    """

    target: T
    cost: float
    wait: float
    work: float
    near: bool


def choose_by_bytes(
    candidates: Sequence[Candidate[T]],
    far_seconds: float,
    byte_seconds: float,
    remaining: float,
    rng: Random,
) -> Candidate[T]:
    """Return the target for a request with a large response.

    The bytes count in full while the best near target is idle. They count less the longer the wait
    there, and not at all once the latency objective would be missed. The transition is continuous
    and only a few random far targets are compared, so that hosts with the same view of a full
    domain do not all send to the same target elsewhere.

    :param candidates: At least one.
    :param far_seconds: Penalty of a far target that does not depend on bytes.
    :param byte_seconds: Penalty of a far target for the bytes of request and response.
    :param remaining: Seconds until the latency objective.
    """
    near = [candidate for candidate in candidates if candidate.near]
    far = [candidate for candidate in candidates if not candidate.near]
    if not near or not far:
        return min(near or far, key=_cost)
    best = min(near, key=_cost)
    other = min(rng.sample(far, min(FAR_SAMPLE, len(far))), key=_cost)
    weight = byte_weight(best, remaining)
    return other if other.cost + far_seconds + weight * byte_seconds < best.cost else best


def byte_weight(best: Candidate[T], remaining: float) -> float:
    """Return the share of the penalty for bytes that counts, from 0 to 1.

    :param best: The best near target.
    :param remaining: Seconds until the latency objective.
    """
    slack = remaining - WORK_TIMES * best.work
    return max(0.0, 1.0 - best.wait / slack) if slack > 0 else 0.0


def _cost(candidate: Candidate[T]) -> float:
    return candidate.cost
