"""Sends callers' requests to targets: target selection, admission control and retries."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

import trio
from xxhash import xxh3_64_intdigest

from radishshunt.errors import NotRun, OutcomeOfRequestUnknown
from radishshunt.gateway.exchange import ExchangeError
from radishshunt.gateway.messages import Report, TargetWorkTime
from radishshunt.gateway.model import RequestKind
from radishshunt.gateway.target_pool import TargetPool
from radishshunt.hashing import fingerprint
from radishshunt.logs import decision
from radishshunt.policy.budgets import TokenBudget
from radishshunt.policy.direct.cold_rate import ColdRateLimiter
from radishshunt.policy.direct.lane import Lane
from radishshunt.policy.direct.overload import OverloadGate
from radishshunt.policy.direct.refusal import can_meet_deadline, retry_after
from radishshunt.policy.direct.target_load import TargetLoadEstimate
from radishshunt.quarantine import REFUSED_AFTER_LOSSES
from radishshunt.util.streams import ConnectFailed, ConnectTimeout, connect

if TYPE_CHECKING:
    from radishshunt.clock import Clock
    from radishshunt.gateway.exchange import HttpResponse
    from radishshunt.gateway.model import Route, Service, TargetEntry
    from radishshunt.gateway.protocol import CallerRequest, TargetProtocol
    from radishshunt.gateway.settings import HostSettings
    from radishshunt.gateway.view import Target, View
    from radishshunt.quarantine import Quarantine

logger = logging.getLogger(__name__)

# Maximum number of lost requests that wait for a check whether their target crashed.
MAX_PENDING_CRASH_CHECKS = 256
CLEANUP_INTERVAL_SECONDS = 2.0
# Timeout for connecting to a target to find out whether it still listens.
CRASH_CHECK_TIMEOUT_SECONDS = 0.3
# Longest time that a request waits for a key that is being moved. A move takes a few hundred
# milliseconds, because the old owner first finishes its running requests.
MOVE_WAIT_SECONDS = 0.6
# Share of the operators' retry budget that all hosts together use. The rest is a margin, since
# each host counts its retries independently.
RETRY_BUDGET_SHARE = 0.75
# Share of the full retry budget that is reserved for the most urgent routes of a service.
URGENT_RESERVE_SHARE = 0.25
# Traffic between failure domains is billed by the byte, so a target in another domain is chosen
# only if it is expected to start the request this much sooner.
CROSS_DOMAIN_PENALTY_SECONDS = 0.06
# Added for each byte of the body: avoiding 60 kB of traffic justifies a quarter of a second.
CROSS_DOMAIN_PENALTY_SECONDS_PER_BYTE = 4e-6
# An unfinished request is abandoned this long before its deadline, so that the error response
# arrives in time.
RESPONSE_MARGIN_SECONDS = 0.035
# Allowance for the round trip to a target, which takes a few milliseconds.
ROUND_TRIP_SECONDS = 0.01
# Interval at which a waiting request checks whether its target has capacity.
QUEUE_POLL_SECONDS = 0.02
# A waiting request is rejected when the time left is below this share of the target's mean work
# time.
MIN_WORK_TIME_SHARE = 0.6
# Maximum number of times that one request is sent, including to targets that refuse it.
MAX_SENDS = 4
# Consecutive failures after which a target is avoided for requests without a key, and for how
# long.
AVOID_AFTER_FAILURES = 2
AVOID_SECONDS = 1.0


@dataclass(slots=True)
class TargetState:
    """State of a target as observed through this host's own requests.

    :ivar queue: Requests of this host that wait for the target.
    :ivar failures: Consecutive failed requests.
    :ivar avoid_until: Time on trio's clock until which other targets are preferred.
    """

    pool: TargetPool
    load: TargetLoadEstimate
    queue: Lane = field(default_factory=Lane)
    cold_rate_limiter: ColdRateLimiter = field(default_factory=ColdRateLimiter)
    overload_gate: OverloadGate = field(default_factory=OverloadGate)
    failures: int = 0
    avoid_until: float = float("-inf")


@dataclass(frozen=True, slots=True)
class _LostRequest:
    """A request that got no response, and the target that it was sent to."""

    target: TargetEntry
    fingerprint: int


@dataclass(slots=True)
class RequestAttempts:
    """Attempts to send one request.

    :ivar sends: Number of attempts to send the request so far.
    :ivar may_have_run: Whether a target may have run the request.
    :ivar possible_runners: Targets that may have run the request.
    :ivar refused_by: Targets that refused the request or could not be reached.
    :ivar last_non_owner: Registration and incarnation of the last target that reported not to hold
        the key.
    """

    fingerprint: int
    sends: int = 0
    may_have_run: bool = False
    possible_runners: set[str] = field(default_factory=set)
    refused_by: set[str] = field(default_factory=set)
    last_non_owner: tuple[str, int] | None = None

    def mark_sent(self) -> None:
        """Record that a target may run the request from now on.

        This is recorded before the first byte is written, since a cancelled exchange does not
        tell how much was sent.
        """
        self.may_have_run = True


class Sender:
    """Routes requests to targets.

    :ivar hosts: Number of hosts that share the operators' budgets.
    :ivar request_counts: Number of requests since the last report, by service and key.
    """

    def __init__(
        self,
        cfg: HostSettings,
        view: View,
        protocol: TargetProtocol,
        quarantine: Quarantine,
        clock: Clock,
        rng: Random | None = None,
    ) -> None:
        self._quarantine = quarantine
        self._clock = clock
        self._crash_check_queue, self._crash_checks = trio.open_memory_channel[_LostRequest](
            MAX_PENDING_CRASH_CHECKS
        )
        self.hosts = 12
        self.request_counts: dict[str, dict[int, int]] = {}
        self._cfg = cfg
        self._view = view
        self._protocol = protocol
        self._rng = rng or Random()
        self._states: dict[str, TargetState] = {}
        self._budgets: dict[str, TokenBudget] = {}
        self._most_urgent: dict[str, int] = {}
        self._most_urgent_version = -1

    def update_settings(self, cfg: HostSettings) -> None:
        """Apply changed bounds."""
        self._cfg = cfg
        self._budgets.clear()

    def state(self, target: Target) -> TargetState:
        """Return the state of a target as observed by this host, creating it if needed."""
        key = _state_key(target.entry)
        state = self._states.get(key)
        if state is None:
            state = TargetState(
                TargetPool(target.entry.address), TargetLoadEstimate(target.entry.slots)
            )
            self._states[key] = state
        return state

    def report(self) -> Report:
        """Return the load since the last report, for the leader."""
        counts, self.request_counts = self.request_counts, {}
        work = []
        for key, state in self._states.items():
            if state.load.samples:
                target = key.partition("/")[0]
                work.append(TargetWorkTime(target, state.load.work_seconds, state.load.samples))
                state.load.samples = 0
        return Report(self._cfg.name, counts, tuple(work))

    async def clean_up(self) -> None:
        """Close idle connections and drop the state of removed targets; run until cancelled."""
        while True:
            await trio.sleep(CLEANUP_INTERVAL_SECONDS)
            current = {_state_key(target.entry) for target in self._view.targets.values()}
            for key, state in list(self._states.items()):
                state.pool.prune()
                if key not in current and not state.load.own_requests:
                    state.pool.close()
                    del self._states[key]

    async def confirm_crashes(self) -> None:
        """Detect targets that crashed while running a request; run until cancelled."""
        async with trio.open_nursery() as nursery:
            async for loss in self._crash_checks:
                nursery.start_soon(self._confirm_crash, loss)

    async def _confirm_crash(self, loss: _LostRequest) -> None:
        """Mark a request as a suspect if its target's process has ended.

        A target that still accepts connections has lost only the response.
        """
        ip, _, port = loss.target.address.rpartition(":")
        try:
            stream = await connect(ip, int(port), CRASH_CHECK_TIMEOUT_SECONDS)
        except ConnectTimeout:
            logger.info(
                "cannot tell whether target %s crashed: connecting to it timed out", loss.target.id
            )
        except ConnectFailed:
            incarnation = xxh3_64_intdigest(f"{loss.target.id}/{loss.target.incarnation}".encode())
            self._quarantine.record_loss(loss.fingerprint, "", incarnation, self._clock.now())
            decision("crash", target=loss.target.id, fingerprint=f"{loss.fingerprint:016x}")
        else:
            stream.socket.close()

    async def send(self, req: CallerRequest, route: Route, service: Service) -> HttpResponse:
        """Send a request to a target and return the response.

        :raises NotRun: If no target has run the request and none will.
        :raises OutcomeOfRequestUnknown: If a target may have run the request.
        """
        self._count_request(service, req)
        attempts = RequestAttempts(fingerprint(service.name, req.method, req.path, "", req.body))
        if (
            self._quarantine.count_losses(attempts.fingerprint, "", self._clock.now())
            >= REFUSED_AFTER_LOSSES
        ):
            raise NotRun("quarantined", "targets crashed while running this request")
        deadline = min(req.deadline, req.received_at + route.timeout_seconds)
        deadline -= RESPONSE_MARGIN_SECONDS
        with trio.move_on_at(deadline):
            while True:
                response = await self._attempt(req, route, service, attempts, deadline)
                if response is not None:
                    return response
        if attempts.may_have_run:
            raise OutcomeOfRequestUnknown(
                "timeout", "no response from a target before the deadline"
            )
        raise NotRun("timeout", "no target accepted the request before its deadline")

    async def _attempt(
        self,
        req: CallerRequest,
        route: Route,
        service: Service,
        attempts: RequestAttempts,
        deadline: float,
    ) -> HttpResponse | None:
        """Send the request to one target.

        :return: The response, or ``None`` if the request may be sent again.
        """
        target = await self._choose_target(req, route, service, attempts, deadline)
        state = self.state(target)
        if attempts.sends and not self._may_retry(route, service):
            raise self._final_error(attempts, "retry-budget", state)
        attempts.sends += 1
        now = trio.current_time()
        remaining = deadline - now
        target_request = self._protocol.build_request(req, target.entry.id, remaining)
        wait = state.load.expected_wait(now)
        repeatable = route.kind is RequestKind.IDEMPOTENT
        state.load.on_sent()
        try:
            response = await state.pool.exchange(
                target_request, repeatable=repeatable, on_send=attempts.mark_sent
            )
            now, started = trio.current_time(), now
            report = self._protocol.load_report(response)
            if report is not None:
                state.load.on_report(report.running, report.waiting, report.slowdown, now)
        except ExchangeError as exc:
            self._avoid_after_failures(state, now)
            self._record_failed_attempt(req, route, target, attempts, exc)
            return None
        finally:
            state.load.on_ended()
        self._log_attempt(req, route, target, attempts, response.status)
        if self._protocol.is_not_run(response):
            attempts.may_have_run = bool(attempts.possible_runners)
            self._record_refusal(response, target, state, attempts)
            return None
        state.failures = 0
        self._quarantine.record_answer(attempts.fingerprint, "")
        if response.status < 500:
            state.load.on_answer(now - started, wait)
        return response

    def _record_failed_attempt(
        self,
        req: CallerRequest,
        route: Route,
        target: Target,
        attempts: RequestAttempts,
        exc: ExchangeError,
    ) -> None:
        """Record that a target returned no complete response.

        :raises OutcomeOfRequestUnknown: If the request may have run and is not sent again.
        :raises NotRun: If the request was never sent and no other attempt follows.
        """
        self._log_attempt(req, route, target, attempts, 0, str(exc))
        if not exc.sent:
            attempts.refused_by.add(target.entry.id)
            if len(attempts.refused_by) >= route.max_attempts + 1:
                raise self._final_error(attempts, "no-connection", self.state(target))
            return
        attempts.possible_runners.add(target.entry.id)
        try:
            self._crash_check_queue.send_nowait(_LostRequest(target.entry, attempts.fingerprint))
        except trio.WouldBlock:
            logger.warning("crash check queue is full; not checking target %s", target.entry.id)
        if route.kind is not RequestKind.IDEMPOTENT:
            raise OutcomeOfRequestUnknown("no-answer", str(exc), status=502)
        if attempts.sends >= route.max_attempts:
            raise OutcomeOfRequestUnknown("no-answer", str(exc), status=502)

    def _record_refusal(
        self, response: HttpResponse, target: Target, state: TargetState, attempts: RequestAttempts
    ) -> None:
        """Record that a target refused the request without running it.

        :raises NotRun: If the request is not sent again.
        :raises OutcomeOfRequestUnknown: If the request is not sent again, but an earlier target may
            have run it.
        """
        if self._protocol.is_wrong_target(response):
            if attempts.sends >= MAX_SENDS:
                raise self._final_error(attempts, "no-owner", state)
            attempts.last_non_owner = (target.entry.id, target.entry.incarnation)
            return
        report = self._protocol.load_report(response)
        if report is not None and report.running < report.slots and report.waiting == 0:
            # The target refused the request although it has free slots, so it may accept a retry.
            if attempts.sends >= MAX_SENDS:
                raise self._final_error(attempts, "target-refuses", state)
            return
        attempts.refused_by.add(target.entry.id)
        if len(attempts.refused_by) >= 2 or attempts.sends >= MAX_SENDS:
            raise self._final_error(attempts, "target-full", state)

    def _final_error(self, attempts: RequestAttempts, reason: str, state: TargetState) -> Exception:
        if attempts.may_have_run:
            return OutcomeOfRequestUnknown(reason, "a target may have run the request", status=502)
        wait = state.load.expected_wait(trio.current_time())
        return NotRun(
            reason, "no target accepted the request", retry_after=retry_after(wait, self._rng)
        )

    async def _choose_target(
        self,
        req: CallerRequest,
        route: Route,
        service: Service,
        attempts: RequestAttempts,
        deadline: float,
    ) -> Target:
        """Return a target with free capacity, waiting for one in order of priority."""
        while True:
            if service.keyed and req.key is not None:
                target = await self._choose_owner(req, route, service, attempts, deadline)
            else:
                target = self._choose_least_loaded(req, route, service, attempts, deadline)
            state = self.state(target)
            place = state.queue.enqueue(route.priority, deadline)
            try:
                if self._can_send(state, place):
                    self._count_cold_request(target, service, state, attempts)
                    return target
                changed = self._view.changed
                while not self._can_send(state, place) and not changed.is_set():
                    await trio.sleep(QUEUE_POLL_SECONDS)
                    if (
                        deadline - trio.current_time()
                        < state.load.work_seconds * MIN_WORK_TIME_SHARE
                    ):
                        raise self._final_error(attempts, "overload", state)
                if self._can_send(state, place) and not changed.is_set():
                    self._count_cold_request(target, service, state, attempts)
                    return target
            finally:
                state.queue.remove(place)

    def _can_send(self, state: TargetState, place: tuple[int, float, int]) -> bool:
        load = state.load
        return state.queue.may_send(
            place, load.occupancy(trio.current_time()), load.slots, load.own_requests
        )

    def _count_cold_request(
        self, target: Target, service: Service, state: TargetState, attempts: RequestAttempts
    ) -> None:
        """Count a request against the rate limit of a cold target.

        :raises NotRun: If the target has reached its rate limit.
        :raises OutcomeOfRequestUnknown: If the target has reached its rate limit and another target
            may have run the request.
        """
        if not self._view.is_cold(target) or not service.cold_per_second:
            return
        bounds = self._cfg.bounds
        limit = service.cold_per_second * bounds.cold_multiplier + bounds.cold_slack
        if not state.cold_rate_limiter.try_acquire(limit, self.hosts, trio.current_time()):
            raise self._final_error(attempts, "cold", state)

    async def _choose_owner(
        self,
        req: CallerRequest,
        route: Route,
        service: Service,
        attempts: RequestAttempts,
        deadline: float,
    ) -> Target:
        """Return the owner of a request's key, waiting while the key is being moved."""
        give_up_at = min(deadline, trio.current_time() + MOVE_WAIT_SECONDS)
        while True:
            changed = self._view.changed
            owner = self._view.find_key_range(service.name, req.key or 0)
            target = self._view.targets.get(owner.target) if owner else None
            moving = self._view.is_moving(service.name, req.key or 0)
            usable = (
                target is not None
                and self._view.may_use(target, owner=True)
                and (target.entry.id, target.entry.incarnation) != attempts.last_non_owner
            )
            if usable and not moving:
                break
            with trio.move_on_at(give_up_at) as scope:
                await changed.wait()
            if scope.cancelled_caught:
                raise self._no_target_error(
                    attempts, "no-owner", f"key {req.key} currently has no owner"
                )
        if target.entry.id in attempts.refused_by:
            raise self._final_error(attempts, "target-full", self.state(target))
        load = self._view.overloaded.get(target.entry.id, 0.0)
        urgent = route.priority <= self._most_urgent_priority(service)
        if not attempts.sends and not self.state(target).overload_gate.try_admit(
            load, urgent=urgent
        ):
            raise self._final_error(attempts, "target-overloaded", self.state(target))
        if not self._can_meet_deadline(target, route, service, deadline):
            raise self._final_error(attempts, "overload", self.state(target))
        return target

    def _choose_least_loaded(
        self,
        req: CallerRequest,
        route: Route,
        service: Service,
        attempts: RequestAttempts,
        deadline: float,
    ) -> Target:
        now = trio.current_time()
        cross_domain_penalty = (
            CROSS_DOMAIN_PENALTY_SECONDS + CROSS_DOMAIN_PENALTY_SECONDS_PER_BYTE * len(req.body)
        )
        best: tuple[float, Target] | None = None
        for target in self._view.targets_of(service.name):
            if (
                target.entry.id in attempts.refused_by
                or target.entry.id in attempts.possible_runners
            ):
                continue
            if not self._view.may_use(target, owner=False):
                continue
            state = self.state(target)
            load = state.load
            cost = load.expected_wait(now) + load.work_seconds * load.slowdown
            cost += load.work_seconds * load.occupancy(now) / (4 * load.slots)
            cost += 0.0 if target.entry.domain == self._cfg.domain else cross_domain_penalty
            cost += 1.0 if now < state.avoid_until else 0.0
            cost += 0.5 if self._view.is_cold(target) else 0.0
            cost += self._rng.uniform(0.0, 0.01)
            if best is None or cost < best[0]:
                best = (cost, target)
        if best is None:
            raise self._no_target_error(
                attempts, "no-target", f"service {service.name} has no available target"
            )
        if not self._can_meet_deadline(best[1], route, service, deadline):
            raise self._final_error(attempts, "overload", self.state(best[1]))
        return best[1]

    def _can_meet_deadline(
        self, target: Target, route: Route, service: Service, deadline: float
    ) -> bool:
        now = trio.current_time()
        state = self.state(target)
        load = state.load
        ahead = state.queue.count_ahead(route.priority, deadline)
        return can_meet_deadline(
            load.expected_wait(now) + ahead * load.work_seconds / load.slots,
            load.work_seconds,
            deadline - now - ROUND_TRIP_SECONDS,
            urgent=route.priority <= self._most_urgent_priority(service),
        )

    def _most_urgent_priority(self, service: Service) -> int:
        """Return the priority of the most urgent routes of a service."""
        cfg = self._view.cfg
        if cfg is None:
            return 0
        if self._most_urgent_version != cfg.version:
            self._most_urgent_version = cfg.version
            self._most_urgent = {}
            for route in cfg.routes:
                for share in route.shares:
                    priority = min(
                        route.priority, self._most_urgent.get(share.service, route.priority)
                    )
                    self._most_urgent[share.service] = priority
        return self._most_urgent.get(service.name, 0)

    def _no_target_error(self, attempts: RequestAttempts, reason: str, detail: str) -> Exception:
        if attempts.may_have_run:
            return OutcomeOfRequestUnknown(reason, detail, status=502)
        return NotRun(reason, detail, retry_after=self._rng.uniform(0.2, 0.4))

    def _avoid_after_failures(self, state: TargetState, now: float) -> None:
        state.failures += 1
        if state.failures >= AVOID_AFTER_FAILURES:
            state.avoid_until = now + AVOID_SECONDS

    def _may_retry(self, route: Route, service: Service) -> bool:
        """Spend a retry from the budget; only the most urgent routes may use all of it."""
        budget = self._budget(service)
        urgent = route.priority <= self._most_urgent_priority(service)
        return (
            urgent or budget.tokens >= URGENT_RESERVE_SHARE * budget.capacity
        ) and budget.spend()

    def _budget(self, service: Service) -> TokenBudget:
        """Return this host's share of the retry budget of all hosts."""
        bounds = self._cfg.bounds
        slack = bounds.retry_slack * RETRY_BUDGET_SHARE / self.hosts
        budget = self._budgets.get(service.name)
        if budget is None:
            budget = self._budgets[service.name] = TokenBudget(
                bounds.retry_ratio * RETRY_BUDGET_SHARE, slack
            )
        elif budget.capacity != slack:
            budget.resize(slack)
        return budget

    def _count_request(self, service: Service, req: CallerRequest) -> None:
        self._budget(service).earn()
        if service.keyed and req.key is not None:
            counts = self.request_counts.setdefault(service.name, {})
            counts[req.key] = counts.get(req.key, 0) + 1

    def _log_attempt(
        self,
        req: CallerRequest,
        route: Route,
        target: Target,
        attempts: RequestAttempts,
        status: int,
        error: str = "",
    ) -> None:
        decision(
            "attempt",
            request_id=req.attempt_id,
            route=route.name,
            key=req.key,
            target=target.entry.id,
            arrival=attempts.sends,
            status=status,
            error=error,
        )


def _state_key(entry: TargetEntry) -> str:
    return f"{entry.id}/{entry.address}"
