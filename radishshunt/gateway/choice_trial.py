"""Choice of a target for a request that is not sent.

The functions that decide are those of the request path; they work on copies of the small state
objects that they change.
"""

from __future__ import annotations

from copy import deepcopy
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

import trio

from radishshunt.gateway.cold_checks import MAX_CHECK_SECONDS
from radishshunt.gateway.target_choice import MIN_WORK_TIME_SHARE, TargetChooser
from radishshunt.shares.host_shares import WAIT_SECONDS

if TYPE_CHECKING:
    from radishshunt.gateway.attempts import RequestAttempts, TargetState
    from radishshunt.gateway.model import Route, Service
    from radishshunt.gateway.protocol import CallerRequest
    from radishshunt.gateway.view import Target


@dataclass(frozen=True, slots=True)
class Choice:
    """What would happen to a request now.

    :param target: Target that it would be sent to; ``None`` while its key has no usable owner.
    :param waits_for: ``owner``, ``place``, ``cold-check`` (the answer whether the target is cold)
        or ``cold-tokens`` (of all hosts, for a cold target), empty if it would be sent at once.
    :param wait_until: Time on trio's clock at which the wait ends at the latest; the request would
        be refused then, or after a ``cold-check`` if the target has not answered. Tokens that come
        in time may still be too few.
    """

    target: Target | None
    waits_for: str = ""
    wait_until: float = float("-inf")


class TrialRandom(Random):
    """Copy of a random generator, which counts its uniform numbers.

    :param bound: Number of the draw that returns a bound of its interval, and whether that is the
        upper one.
    :ivar draws: Uniform numbers drawn so far.
    """

    def __init__(self, source: Random, bound: tuple[int, bool] | None = None) -> None:
        super().__init__()
        self.setstate(source.getstate())
        self.draws = 0
        self._bound = bound

    def uniform(self, a: float, b: float) -> float:
        """Return a number between two others."""
        number = super().uniform(a, b)
        self.draws += 1
        if self._bound is not None and self.draws == self._bound[0]:
            return b if self._bound[1] else a
        return number


class _StateCopies(dict[str, "TargetState"]):
    """Copies of the states of targets, each made when it is first asked for."""

    def __init__(self, states: dict[str, TargetState]) -> None:
        super().__init__()
        self._states = states

    def get(self, key: str, default: TargetState | None = None) -> TargetState | None:
        if key not in self and key in self._states:
            self[key] = self._states[key].trial()
        return super().get(key, default)


class TrialChooser(TargetChooser):
    """Chooses the target that a request would get now, without effect on the original chooser.

    :param bound: See :class:`TrialRandom`.
    :ivar exclusions: Reason why a target may not get the request, by registration.
    :ivar limit_waits: Seconds until a target takes a request by its named limit, by registration.
    :ivar costs: Terms of the cost of each target that was weighed, by registration.
    :ivar occupancies: Expected requests at each target that was weighed, by registration.
    """

    def __init__(self, chooser: TargetChooser, bound: tuple[int, bool] | None = None) -> None:
        self.__dict__.update(chooser.__dict__)
        self.rng = TrialRandom(chooser._rng, bound)
        self._rng = self.rng
        self.states = _StateCopies(chooser.states)
        self.response_costs = chooser.response_costs.trial(self.rng)
        self._outages = deepcopy(chooser._outages)
        self.exclusions: dict[str, str] = {}
        self.limit_waits: dict[str, float] = {}
        self.costs: dict[str, tuple[float, ...]] = {}
        self.occupancies: dict[str, float] = {}

    def try_choose(
        self,
        req: CallerRequest,
        route: Route,
        service: Service,
        attempts: RequestAttempts,
        deadline: float,
    ) -> Choice:
        """Return what would happen to a request now, up to its first wait.

        :raises RequestError: If it would be refused.
        """
        now = trio.current_time()
        if service.keyed and req.key is not None:
            target, first_key = self._usable_owner(req.key, service, attempts)
            if target is None:
                until = min(deadline, self._outages.wait_until(service.name, first_key, now))
                if until <= now:
                    raise self._no_owner_error(req, service, attempts, first_key)
                return Choice(None, "owner", until)
            self._check_owner(target, req, route, service, attempts, deadline)
        else:
            target = self._choose_least_loaded(req, route, service, attempts, deadline)
        state = self.state(target)
        place = state.queue.enqueue(route.priority, deadline)
        may_send = self._can_send(state, place)
        state.queue.remove(place)
        if not may_send:
            until = deadline - state.load.work_seconds * MIN_WORK_TIME_SHARE
            return Choice(target, "place", until)
        if self.cold_admission.needs_check(target, service, state.cold_rate_limiter, self.hosts):
            return Choice(target, "cold-check", now + MAX_CHECK_SECONDS)
        self._check_limit(target, route, service, attempts)
        limiter = state.cold_rate_limiter
        admitted = self.cold_admission.try_admit(target, service, limiter, self.hosts)
        if admitted is None:
            return Choice(target, "cold-tokens", now + WAIT_SECONDS)
        if not admitted:
            raise self.overload_error(attempts, "cold", state)
        self._count_limited_request(target, route, service)
        return Choice(target)

    def _exclusion(self, target: Target, attempts: RequestAttempts) -> str:
        reason = super()._exclusion(target, attempts)
        if reason:
            self.exclusions[target.entry.id] = reason
        return reason

    def _limit_wait(self, target: Target, route: Route, service: Service) -> float:
        wait = super()._limit_wait(target, route, service)
        self.limit_waits.setdefault(target.entry.id, wait)
        return wait

    def _cost_terms(
        self,
        target: Target,
        state: TargetState,
        occupancy: float,
        now: float,
        domain_penalty: float,
    ) -> tuple[float, ...]:
        terms = super()._cost_terms(target, state, occupancy, now, domain_penalty)
        self.costs[target.entry.id] = terms
        self.occupancies[target.entry.id] = occupancy
        return terms
