"""Load shedding for an overloaded target: the share of requests that a host admits.

Load pattern: a set of neighbouring keys becomes hot, and many hosts each have a few requests for
the one target that owns them. To each host alone the target looks free, but together they send
several times what it can serve. The target resets connections, and the requests in its queue delay
the move of the keys. The leader knows the load of all hosts and publishes the ratio of offered load
to capacity; each host then admits its share of the requests and refuses the rest at once.
"""

from __future__ import annotations

from copy import copy
from random import Random

from radishshunt.util.random_copy import RandomCopy

# Ratio of offered load to capacity from which requests are shed. The measured load of a slow target
# deviates by half from one second to the next, and its work time by as much right after an
# overload. A hot set of keys that is not spread yet reaches a ratio of 15.
SHEDDING_LOAD_RATIO = 2.5
# Ratio of admitted load of all hosts to capacity; above 1 for the same reason.
ADMITTED_LOAD_RATIO = 1.8
# Share of the mean admission rate that less urgent requests always get.
MIN_NON_URGENT_SHARE = 0.5
# Weight of one request in the moving average of the share of urgent requests.
URGENT_SHARE_WEIGHT = 0.05


class OverloadGate:
    """Admits the share of a host's requests for one target that the target can serve.

    :param rng: Source of the initial credits, which differ so that the first admissions of many
        hosts are spread over time.
    """

    def __init__(self, rng: Random | None = None) -> None:
        self._rng = rng or Random()
        self._urgent_share = 0.3
        self._credit = self._initial_credit()

    def trial(self) -> OverloadGate:
        """Return a copy that admits the same requests without effect on this object."""
        other = copy(self)
        other._rng = RandomCopy(self._rng)
        other._credit = self._credit.copy()
        return other

    def try_admit(self, load: float, *, urgent: bool) -> bool:
        """Return whether the next request may be sent to the target.

        :param load: Ratio of the load that all hosts offer the target to its capacity.
        :param urgent: Whether no route of the service is more urgent.
        """
        self._urgent_share += URGENT_SHARE_WEIGHT * (urgent - self._urgent_share)
        if load < SHEDDING_LOAD_RATIO:
            self._credit = self._initial_credit()
            return True
        # Unlike random selection, credits match the share closely even over few requests.
        self._credit[urgent] += self._admission_share(ADMITTED_LOAD_RATIO / load, urgent=urgent)
        if self._credit[urgent] < 1.0:
            return False
        self._credit[urgent] -= 1.0
        return True

    def _initial_credit(self) -> dict[bool, float]:
        return {True: self._rng.random(), False: self._rng.random()}

    def _admission_share(self, admitted: float, *, urgent: bool) -> float:
        """Return the share of the urgent or of the other requests to admit.

        :param admitted: Share of all requests to admit.
        """
        urgent_share = min(0.99, max(0.01, self._urgent_share))
        min_others = MIN_NON_URGENT_SHARE * admitted
        admitted_urgent = min(1.0, (admitted - (1 - urgent_share) * min_others) / urgent_share)
        return (
            admitted_urgent
            if urgent
            else (admitted - urgent_share * admitted_urgent) / (1 - urgent_share)
        )
