"""Choose the target that is expected to complete the request first."""

from __future__ import annotations

from typing import TYPE_CHECKING

from radishshunt.policy.balancing import Balancing

if TYPE_CHECKING:
    from collections.abc import Sequence

    from radishshunt.policy.balancing import Candidate

# One request out of this many is sent to an idle straggler, so that its recovery is detected.
PROBE_EVERY = 200


class EarliestCompletion(Balancing):
    """Chooses the target with the shortest expected time to completion.

    The time is estimated from the slowness of a target and its outstanding requests at this
    dispatcher.

    :param probe_every: Number of requests of which one is sent to an idle straggler.
    """

    def __init__(self, probe_every: int = PROBE_EVERY) -> None:
        self._probe_every = probe_every
        self._picks = 0

    def on_report(self, target: str, load: float) -> None:
        pass

    def pick(self, candidates: Sequence[Candidate]) -> Candidate:
        self._picks += 1
        if self._picks % self._probe_every == 0:
            idle_stragglers = [c for c in candidates if c.slowness > 1.0 and c.outstanding == 0]
            if idle_stragglers:
                return idle_stragglers[0]
        return min(candidates, key=_completion_order)


def _completion_order(candidate: Candidate) -> tuple[float, int]:
    """Return the sort key of a target: expected time to completion, then outstanding requests.

    The time is a multiple of the typical service time.
    """
    waiting = max(0, candidate.outstanding + 1 - candidate.concurrency_limit)
    service_times = 1.0 + waiting / candidate.concurrency_limit
    return service_times * candidate.slowness, candidate.outstanding
