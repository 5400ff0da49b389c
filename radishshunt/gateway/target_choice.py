"""Choice of the target for a request, and the wait for a free place there."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from radishshunt.gateway.attempts import TargetState
from radishshunt.gateway.response_costs import ResponseCosts
from radishshunt.gateway.target_pool import TargetPool
from radishshunt.policy.direct.outage import OwnerOutages
from radishshunt.policy.direct.refusal import (
    can_meet_deadline,
    limit_retry_after,
    move_retry_after,
    retry_after,
)
from radishshunt.policy.direct.target_load import ServiceWorkTimes, TargetLoadEstimate
from radishshunt.workspaces.directory import most_urgent_priorities

if TYPE_CHECKING:
    from random import Random

    from radishshunt.gateway.attempts import RequestAttempts
    from radishshunt.gateway.cold_admission import ColdAdmission
    from radishshunt.gateway.model import Route, Service, TargetEntry
    from radishshunt.gateway.protocol import CallerRequest
    from radishshunt.gateway.settings import HostSettings
    from radishshunt.gateway.view import Target, View
    from radishshunt.policy.response_size import Candidate
    from radishshunt.target_model import TargetModel

# Traffic between failure domains is billed by the byte, so a target in another domain is chosen
# only if it is expected to start the request this much sooner.
CROSS_DOMAIN_PENALTY_SECONDS = 0.06
# Added for each byte of the body and, on routes with large responses, of the expected response:
# avoiding 60 kB of traffic justifies a quarter of a second.
CROSS_DOMAIN_PENALTY_SECONDS_PER_BYTE = 4e-6
# Allowance for the round trip to a target, which takes a few milliseconds.
ROUND_TRIP_SECONDS = 0.01
# Interval at which a waiting request checks whether its target has capacity.
QUEUE_POLL_SECONDS = 0.02
# Random part of a target's cost, as a share of its work time, so that hosts with the same view do
# not all choose the same target. It stays well below the penalty for other domains.
COST_JITTER = 0.06
# Added for a target at which a request would wait for the answer to an earlier one.
UNREPORTED_PENALTY_SECONDS = 0.03
# Terms of the cost of a target for a request without a key: expected wait, mean response time, part
# that grows with the requests there, and the penalties and the random part above.
COST_TERMS = ("wait", "response", "load", "unreported", "domain", "avoided", "cold", "jitter")
# A waiting request is rejected when the time left is below this share of the target's mean work
# time.
MIN_WORK_TIME_SHARE = 0.6


class TargetChooser:
    """Chooses targets by this host's view and by the load that it observes.

    :param target_model: Learned speeds, if they may be used.
    :ivar hosts: Number of hosts that share the operators' bounds.
    :ivar cold_admission: Limits requests to cold targets.
    :ivar states: State of each target by :func:`state_key`.
    :ivar work_times: Mean work times of the services.
    :ivar response_costs: Sizes of responses, and the choice by them.
    """

    def __init__(
        self,
        cfg: HostSettings,
        view: View,
        rng: Random,
        cold_admission: ColdAdmission,
        target_model: TargetModel | None = None,
    ) -> None:
        self.hosts = 12
        self.cold_admission = cold_admission
        self._target_model = target_model
        self.states: dict[str, TargetState] = {}
        self._cfg = cfg
        self._view = view
        self._rng = rng
        self.work_times = ServiceWorkTimes()
        self.response_costs = ResponseCosts(cfg.domain, rng)
        self._outages = OwnerOutages()
        self._most_urgent: dict[str, int] = {}
        self._most_urgent_version = -1

    def update_settings(self, cfg: HostSettings) -> None:
        """Apply changed bounds."""
        self._cfg = cfg
        self.cold_admission.update_settings(cfg)

    def state(self, target: Target) -> TargetState:
        """Return the state of a target as observed by this host, creating it if needed."""
        key = state_key(target.entry)
        state = self.states.get(key)
        if state is None:
            entry = target.entry
            work_seconds = self.work_times.assumed(entry.service, self._objective(entry.service))
            learned = None
            if self._target_model is not None:
                learned = self._target_model.learned_load(entry.id)
            state = TargetState(
                TargetPool(entry.address),
                TargetLoadEstimate(entry.slots, work_seconds, learned),
            )
            self.states[key] = state
        return state

    def _objective(self, service: str) -> float | None:
        """Return the shortest latency objective of a service's routes."""
        routes = self._view.cfg.routes if self._view.cfg else ()
        return min(
            (
                route.objective_seconds
                for route in routes
                if any(share.service == service for share in route.shares)
            ),
            default=None,
        )

    def clean_up(self) -> None:
        """Close idle connections and drop the state of removed targets."""
        current = {state_key(target.entry) for target in self._view.targets.values()}
        for key, state in list(self.states.items()):
            state.pool.prune()
            if key not in current and not state.exchanges:
                state.pool.close()
                del self.states[key]
        self._outages.forget_old(trio.current_time())
        self.response_costs.clean_up(self._view.cfg)

    def is_urgent(self, route: Route, service: Service) -> bool:
        """Return whether no route of the service, and no workspace, is more urgent."""
        cfg = self._view.cfg
        if cfg is None:
            return route.priority <= 0
        if self._most_urgent_version != cfg.version:
            self._most_urgent_version = cfg.version
            self._most_urgent = most_urgent_priorities(cfg)
        return route.priority <= self._most_urgent.get(service.name, 0)

    async def choose(
        self,
        req: CallerRequest,
        route: Route,
        service: Service,
        attempts: RequestAttempts,
        deadline: float,
    ) -> Target:
        """Return a target with free capacity, waiting for one in order of priority.

        :raises NotRun: If there is none in time.
        :raises OutcomeOfRequestUnknown: If there is none in time, and another target may have run
            the request.
        """
        while True:
            if service.keyed and req.key is not None:
                target = await self._choose_owner(req, route, service, attempts, deadline)
            else:
                target = self._choose_least_loaded(req, route, service, attempts, deadline)
            state = self.state(target)
            place = state.queue.enqueue(route.priority, deadline)
            try:
                changed = self._view.changed
                while not self._can_send(state, place) and not changed.is_set():
                    await trio.sleep(QUEUE_POLL_SECONDS)
                    if (
                        deadline - trio.current_time()
                        < state.load.work_seconds * MIN_WORK_TIME_SHARE
                    ):
                        raise self.overload_error(attempts, "overload", state)
                if self._can_send(state, place) and not changed.is_set():
                    limiter = state.cold_rate_limiter
                    if not self.cold_admission.needs_check(target, service, limiter, self.hosts):
                        await self._admit(target, route, service, attempts, deadline)
                        if not changed.is_set() or self._may_get(target, req, service, attempts):
                            return target
                        continue
                    await self.cold_admission.check(target, service)
            finally:
                state.queue.remove(place)

    def overload_error(
        self, attempts: RequestAttempts, reason: str, state: TargetState
    ) -> Exception:
        """Return the error of a request that no target accepts in time."""
        wait = state.load.expected_wait(trio.current_time())
        return attempts.error(
            reason, "no target accepted the request", retry_after(wait, self._rng)
        )

    def _can_send(self, state: TargetState, place: tuple[int, float, int]) -> bool:
        now, load = trio.current_time(), state.load
        return state.queue.may_send(
            place,
            load.occupancy(now),
            load.slots,
            load.own_requests,
            reported=load.is_reported(now),
            hosts=self.hosts,
            limit=load.limit,
        )

    async def _admit(
        self,
        target: Target,
        route: Route,
        service: Service,
        attempts: RequestAttempts,
        deadline: float,
    ) -> None:
        """Count a request against the rates of its target.

        :raises NotRun: If the target has reached one of them.
        :raises OutcomeOfRequestUnknown: If the target has reached one of them and another target
            may have run the request.
        """
        self._check_limit(target, route, service, attempts)
        state = self.state(target)
        limiter = state.cold_rate_limiter
        if not await self.cold_admission.admit(target, service, limiter, self.hosts, deadline):
            raise self.overload_error(attempts, "cold", state)
        self._count_limited_request(target, route, service)

    def _limit_wait(self, target: Target, route: Route, service: Service) -> float:
        """Return the seconds until a target takes a request from this host, by its named limit."""
        limiter = self.state(target).request_limiter
        if not limiter.is_limited(target.entry.incarnation):
            return 0.0
        urgent = self.is_urgent(route, service)
        return limiter.seconds_until_free(self.hosts, trio.current_time(), urgent=urgent)

    def _check_limit(
        self, target: Target, route: Route, service: Service, attempts: RequestAttempts
    ) -> None:
        """Check whether a target takes a request from this host now, by its named limit.

        :raises NotRun: If it does not.
        :raises OutcomeOfRequestUnknown: If it does not and another target may have run the request.
        """
        wait = self._limit_wait(target, route, service)
        if wait > 0.0:
            raise self._limit_error(attempts, target.entry.id, wait)

    def _limit_error(self, attempts: RequestAttempts, target: str, wait: float) -> Exception:
        detail = f"target {target} takes no more requests at this moment"
        return attempts.error("target-limit", detail, limit_retry_after(wait, self._rng))

    def _count_limited_request(self, target: Target, route: Route, service: Service) -> None:
        """Count a request against the limit that its target has named."""
        limiter = self.state(target).request_limiter
        if limiter.is_limited(target.entry.incarnation):
            urgent = self.is_urgent(route, service)
            limiter.try_acquire(self.hosts, trio.current_time(), urgent=urgent)

    async def _choose_owner(
        self,
        req: CallerRequest,
        route: Route,
        service: Service,
        attempts: RequestAttempts,
        deadline: float,
    ) -> Target:
        """Return the owner of a request's key, waiting while the key is being moved."""
        target = await self._wait_for_owner(req, service, attempts, deadline)
        self._check_owner(target, req, route, service, attempts, deadline)
        return target

    def _check_owner(
        self,
        target: Target,
        req: CallerRequest,
        route: Route,
        service: Service,
        attempts: RequestAttempts,
        deadline: float,
    ) -> None:
        """Check whether the owner of a request's key takes the request.

        :raises NotRun: If it does not.
        :raises OutcomeOfRequestUnknown: If it does not and another target may have run the request.
        """
        state = self.state(target)
        if target.entry.id in attempts.refused_by:
            raise self.overload_error(attempts, "target-full", state)
        if trio.current_time() < state.unreachable_until and not attempts.sends:
            raise self._no_target_error(
                req, attempts, "target-unreachable", f"target {target.entry.id} is not reachable"
            )
        urgent = self.is_urgent(route, service)
        if not attempts.sends:
            state.request_limiter.count_request(trio.current_time(), urgent=urgent)
        self._check_limit(target, route, service, attempts)
        load = self._view.overloaded.get(target.entry.id, 0.0)
        if not attempts.sends and not state.overload_gate.try_admit(load, urgent=urgent):
            raise self._no_target_error(
                req, attempts, "target-overloaded", f"target {target.entry.id} is overloaded"
            )
        if not self._can_meet_deadline(target, route, service, deadline):
            raise self.overload_error(attempts, "overload", state)

    def _may_get(
        self, target: Target, req: CallerRequest, service: Service, attempts: RequestAttempts
    ) -> bool:
        """Return whether a target that was chosen may still get the request."""
        if not service.keyed or req.key is None:
            current = self._view.targets.get(target.entry.id)
            return current is not None and not self._exclusion(current, attempts)
        owner, _ = self._usable_owner(req.key, service, attempts)
        return owner is not None and owner.entry.id == target.entry.id

    def _usable_owner(
        self, key: int, service: Service, attempts: RequestAttempts
    ) -> tuple[Target | None, int]:
        """Return the owner of a key, and the first key of its range.

        The owner is ``None`` if the key has none that may be used now.
        """
        owner = self._view.find_key_range(service.name, key)
        target = self._view.targets.get(owner.target) if owner else None
        usable = (
            target is not None
            and self._view.may_use(target, owner=True)
            and (target.entry.id, target.entry.incarnation) != attempts.last_non_owner
            and not self._view.is_moving(service.name, key)
        )
        return target if usable else None, owner.first if owner else 0

    async def _wait_for_owner(
        self, req: CallerRequest, service: Service, attempts: RequestAttempts, deadline: float
    ) -> Target:
        key = req.key or 0
        while True:
            changed = self._view.changed
            target, first_key = self._usable_owner(key, service, attempts)
            if target is not None:
                self._outages.end(service.name, first_key)
                return target
            now = trio.current_time()
            wait_until = min(deadline, self._outages.wait_until(service.name, first_key, now))
            with trio.move_on_at(wait_until) as scope:
                await changed.wait()
            if scope.cancelled_caught:
                raise self._no_owner_error(req, service, attempts, first_key)

    def _no_owner_error(
        self, req: CallerRequest, service: Service, attempts: RequestAttempts, first_key: int
    ) -> Exception:
        """Return the error of a request whose key has no usable owner.

        :param first_key: First key of the range that has none.
        """
        expected_at = self._outages.expected_end(service.name, first_key, trio.current_time())
        detail = f"key {req.key} currently has no owner"
        return self._no_target_error(req, attempts, "no-owner", detail, expected_at)

    def _choose_least_loaded(
        self,
        req: CallerRequest,
        route: Route,
        service: Service,
        attempts: RequestAttempts,
        deadline: float,
    ) -> Target:
        now = trio.current_time()
        large = not service.keyed and self.response_costs.sizes.is_large(route.name)
        # The choice by bytes weighs them with those of the response.
        domain_penalty = 0.0 if large else cross_domain_penalty(len(req.body))
        candidates: list[Candidate[Target]] = []
        best: tuple[float, Target] | None = None
        limited: tuple[float, str] | None = None
        for target in self._view.targets_of(service.name):
            if self._exclusion(target, attempts):
                continue
            wait = self._limit_wait(target, route, service)
            if wait > 0.0:
                limited = min(limited or (wait, target.entry.id), (wait, target.entry.id))
                continue
            state = self.state(target)
            load = state.load
            occupancy = (
                self.response_costs.occupancy(target.entry, load, now)
                if large
                else load.occupancy(now)
            )
            cost = sum(self._cost_terms(target, state, occupancy, now, domain_penalty))
            if large:
                candidates.append(self.response_costs.candidate(target, cost, load, occupancy))
                continue
            if best is None or cost < best[0]:
                best = (cost, target)
        if candidates:
            chosen = self.response_costs.choose(
                candidates,
                req,
                route,
                now,
                far_seconds=CROSS_DOMAIN_PENALTY_SECONDS,
                seconds_per_byte=CROSS_DOMAIN_PENALTY_SECONDS_PER_BYTE,
            )
            best = (chosen.cost, chosen.target)
        if best is None and limited is not None:
            raise self._limit_error(attempts, limited[1], limited[0])
        if best is None:
            raise self._no_target_error(
                req, attempts, "no-target", f"service {service.name} has no available target"
            )
        if not self._can_meet_deadline(best[1], route, service, deadline):
            raise self.overload_error(attempts, "overload", self.state(best[1]))
        if not attempts.sends:
            limiter = self.state(best[1]).request_limiter
            limiter.count_request(now, urgent=self.is_urgent(route, service))
        return best[1]

    def _exclusion(self, target: Target, attempts: RequestAttempts) -> str:
        """Return why a target must not get a request without a key, empty if it may."""
        if target.entry.id in attempts.refused_by or target.entry.id in attempts.possible_runners:
            return "tried"
        return "" if self._view.may_use(target, owner=False) else "not-in-use"

    def _cost_terms(
        self,
        target: Target,
        state: TargetState,
        occupancy: float,
        now: float,
        domain_penalty: float,
    ) -> tuple[float, ...]:
        """Return the terms of a target's cost in the order of :data:`COST_TERMS`, in seconds.

        :param occupancy: Expected number of requests at the target.
        :param domain_penalty: Penalty if the target is in another domain.
        """
        load = state.load
        work_seconds = load.work_seconds
        unreported = load.own_requests and not load.is_reported(now)
        return (
            load.wait_at(occupancy),
            load.response_seconds * load.slowdown,
            work_seconds * occupancy / (4 * load.slots),
            UNREPORTED_PENALTY_SECONDS if unreported else 0.0,
            0.0 if target.entry.domain == self._cfg.domain else domain_penalty,
            1.0 if now < state.avoid_until else 0.0,
            0.5 if self._view.is_cold(target) else 0.0,
            self._rng.uniform(0.0, COST_JITTER * work_seconds),
        )

    def _can_meet_deadline(
        self, target: Target, route: Route, service: Service, deadline: float
    ) -> bool:
        now = trio.current_time()
        state = self.state(target)
        load = state.load
        ahead = state.queue.count_ahead(route.priority, deadline)
        return can_meet_deadline(
            load.expected_wait(now) + ahead * load.work_seconds / load.usable_slots,
            load.work_seconds,
            deadline - now - ROUND_TRIP_SECONDS,
            urgent=self.is_urgent(route, service),
        )

    def _no_target_error(
        self,
        req: CallerRequest,
        attempts: RequestAttempts,
        reason: str,
        detail: str,
        expected_at: float | None = None,
    ) -> Exception:
        """Return the error of a request whose key has to move before it can be served.

        :param expected_at: Time at which the key is expected to have another owner, if known.
        """
        now = trio.current_time()
        if expected_at is None:
            delay = move_retry_after(req.deadline - now, self._rng)
        else:
            delay = move_retry_after(req.deadline - now, self._rng, expected_at - now)
        return attempts.error(reason, detail, delay)


def state_key(entry: TargetEntry) -> str:
    """Return the key of a target's state, which a new registration or address changes."""
    return f"{entry.id}/{entry.address}"


def cross_domain_penalty(body_bytes: int) -> float:
    """Return the seconds that a target of another failure domain has to be faster."""
    return CROSS_DOMAIN_PENALTY_SECONDS + CROSS_DOMAIN_PENALTY_SECONDS_PER_BYTE * body_bytes
