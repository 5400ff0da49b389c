"""The target on which the request is expected to end first."""

from __future__ import annotations

from typing import TYPE_CHECKING

from radishshunt.policy.balancing import Balancing

if TYPE_CHECKING:
    from collections.abc import Sequence

    from radishshunt.policy.balancing import Candidate

# One request in this many goes to a straggler, so that its recovery is seen.
PROBE_EVERY = 200


class LeastExpectedWait(Balancing):
    """Weighs the requests that the dispatcher has outstanding with the target's slowness."""

    def __init__(self, probe_every: int = PROBE_EVERY) -> None:
        self._probe_every = probe_every
        self._picks = 0

    def on_report(self, target: str, load: float) -> None:
        pass

    def pick(self, candidates: Sequence[Candidate]) -> Candidate:
        self._picks += 1
        if self._picks % self._probe_every == 0:
            idle = [c for c in candidates if c.slowness > 1.0 and c.outstanding == 0]
            if idle:
                return idle[0]
        return min(candidates, key=_expected_end)


def _expected_end(candidate: Candidate) -> tuple[float, int]:
    waiting = max(0, candidate.outstanding + 1 - candidate.bound)
    rounds = 1.0 + waiting / candidate.bound
    return rounds * candidate.slowness, candidate.outstanding
