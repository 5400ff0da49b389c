"""Share of the requests for an overloaded target that a host lets through.

Load pattern: a set of neighbouring keys becomes hot, and many hosts each have a few requests for
the one target that owns them. Each host alone finds the target free, but together they send several
times what it can serve; it resets connections, and what is in its queue delays the move of the
keys. The leader knows the load of all hosts and tells how many times its capacity a target is
asked for; each host then lets its part through and refuses the rest at once.
"""

from __future__ import annotations

from random import Random

# Offered load relative to the capacity from which a target is protected. The measured work time
# contains waits in the target's queue, so that a target whose queue was full just before seems up
# to four times slower than it is. A hot set that is not spread yet is 15 times the capacity.
PROTECTED_LOAD = 4.0
# Load that hosts together let through, for the same reason.
ADMITTED_LOAD = 3.0
# Part of an even share that less urgent requests get in any case.
LEAST_OTHER_SHARE = 0.5
# Weight of one request in the measured part of urgent ones.
SHARE_WEIGHT = 0.05


class OverloadGate:
    """Deals a host's requests for one target in the proportion that the target can serve.

    :param rng: Sets when the host's first turn is, so that the turns of many hosts are spread.
    """

    def __init__(self, rng: Random | None = None) -> None:
        self._rng = rng or Random()
        self._urgent_part = 0.3
        self._credit = self._first_credit()

    def admits(self, load: float, *, urgent: bool) -> bool:
        """Return whether the next request may go to the target.

        :param load: Requests of all hosts for the target relative to its capacity.
        :param urgent: Whether no kind of the service is more urgent.
        """
        self._urgent_part += SHARE_WEIGHT * (urgent - self._urgent_part)
        if load < PROTECTED_LOAD:
            self._credit = self._first_credit()
            return True
        # Credits keep the proportion exact over few requests, which random draws do not.
        self._credit[urgent] += self._share(ADMITTED_LOAD / load, urgent=urgent)
        if self._credit[urgent] < 1.0:
            return False
        self._credit[urgent] -= 1.0
        return True

    def _first_credit(self) -> dict[bool, float]:
        return {True: self._rng.random(), False: self._rng.random()}

    def _share(self, admitted: float, *, urgent: bool) -> float:
        part = min(0.99, max(0.01, self._urgent_part))
        others = LEAST_OTHER_SHARE * admitted
        first = min(1.0, (admitted - (1 - part) * others) / part)
        return first if urgent else (admitted - part * first) / (1 - part)
