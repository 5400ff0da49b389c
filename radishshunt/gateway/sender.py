"""Sends callers' requests to targets: choice, admission, attempts."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

import trio
from xxhash import xxh3_64_intdigest

from radishshunt.errors import NotRun, OutcomeOfRequestUnknown
from radishshunt.gateway.exchange import ExchangeError
from radishshunt.gateway.messages import Report, Work
from radishshunt.gateway.model import RequestKind
from radishshunt.gateway.target_pool import TargetPool
from radishshunt.hashing import fingerprint
from radishshunt.logs import decision
from radishshunt.policy.budgets import TokenBudget
from radishshunt.policy.direct.cold_rate import ColdRate
from radishshunt.policy.direct.lane import Lane
from radishshunt.policy.direct.overload import OverloadGate
from radishshunt.policy.direct.refusal import may_offer, retry_after
from radishshunt.policy.direct.target_load import TargetLoad
from radishshunt.quarantine import DEATHS_REFUSED
from radishshunt.util.streams import ConnectFailed, ConnectTimeout, connect

if TYPE_CHECKING:
    from radishshunt.clock import Clock
    from radishshunt.gateway.exchange import Answer
    from radishshunt.gateway.model import Route, Service, TargetEntry
    from radishshunt.gateway.protocol import CallerRequest, TargetProtocol
    from radishshunt.gateway.settings import HostSettings
    from radishshunt.gateway.view import Target, View
    from radishshunt.quarantine import Quarantine

logger = logging.getLogger(__name__)

# Losses that wait to be looked into, and the time for asking whether a target still listens.
QUEUED_LOSSES = 256
TIDY_SECONDS = 2.0
CONFIRM_SECONDS = 0.3
# Time for which a request waits for keys that are being moved; a move takes a few hundred
# milliseconds, as the old owner finishes its work.
MOVE_WAIT_SECONDS = 0.6
# Part of the operators' retry budget that the hosts use together, since each counts alone.
BUDGET_PART = 0.75
# Part of a full budget that only the most urgent kinds of a service may use.
URGENT_RESERVE = 0.25
# Bytes between failure domains are priced, so that a target of another domain is chosen only
# when it is expected to begin this much sooner.
DOMAIN_SECONDS = 0.06
# The same for each byte of a body: 60 kB are worth waiting a quarter of a second.
DOMAIN_SECONDS_PER_BYTE = 4e-6
# Time between the answer at a deadline and the deadline itself.
ANSWER_MARGIN_SECONDS = 0.035
# A hop to a target and back takes a few milliseconds.
HOP_SECONDS = 0.01
# Waiting requests look again for room this often.
LANE_POLL_SECONDS = 0.02
# A waiting request is given up when less than this part of a target's mean work time is left.
LATE_SHARE = 0.6
# Times that one request is sent, those that targets turned away included.
MAX_ARRIVALS = 4
# Failures in a row after which a target without keys is avoided, and for how long.
AVOID_FAILURES = 2
AVOID_SECONDS = 1.0


@dataclass(slots=True)
class TargetState:
    """What this host knows of a target from its own requests.

    :ivar avoid_until: Moment on trio's clock until which others are preferred.
    """

    pool: TargetPool
    load: TargetLoad
    lane: Lane = field(default_factory=Lane)
    cold: ColdRate = field(default_factory=ColdRate)
    gate: OverloadGate = field(default_factory=OverloadGate)
    failures: int = 0
    avoid_until: float = float("-inf")


@dataclass(frozen=True, slots=True)
class _Loss:
    """A request without an answer, and the target that it was sent to."""

    target: TargetEntry
    fingerprint: int


@dataclass(slots=True)
class Tries:
    """What has been tried for one request.

    :ivar sent: Whether it may have run somewhere.
    :ivar not_owner: Registration and life of the target that said last not to hold the key.
    :ivar targets: Targets that may have run it.
    """

    fingerprint: int
    arrivals: int = 0
    sent: bool = False
    targets: set[str] = field(default_factory=set)
    refused_by: set[str] = field(default_factory=set)
    not_owner: tuple[str, int] | None = None

    def on_send(self) -> None:
        """Note that from now on a target may run the request.

        This is noted before the bytes go out, as a cancelled exchange does not say how far it came.
        """
        self.sent = True


class Sender:
    """Routes requests to targets.

    :param hosts: Number of hosts that share the operators' budgets.
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
        self._losses, self._incoming_losses = trio.open_memory_channel[_Loss](QUEUED_LOSSES)
        self.hosts = 12
        self.arrivals: dict[str, dict[int, int]] = {}
        self._cfg = cfg
        self._view = view
        self._protocol = protocol
        self._rng = rng or Random()
        self._states: dict[str, TargetState] = {}
        self._budgets: dict[str, TokenBudget] = {}
        self._top: dict[str, int] = {}
        self._top_version = -1

    def update_settings(self, cfg: HostSettings) -> None:
        """Take bounds that have changed."""
        self._cfg = cfg
        self._budgets.clear()

    def state(self, target: Target) -> TargetState:
        """Return this host's knowledge of a target."""
        key = _state_key(target.entry)
        found = self._states.get(key)
        if found is None:
            found = TargetState(TargetPool(target.entry.address), TargetLoad(target.entry.slots))
            self._states[key] = found
        return found

    def report(self) -> Report:
        """Return what the leader has to know since the last report."""
        heat, self.arrivals = self.arrivals, {}
        work = []
        for key, state in self._states.items():
            if state.load.samples:
                target = key.partition("/")[0]
                work.append(Work(target, state.load.work_seconds, state.load.samples))
                state.load.samples = 0
        return Report(self._cfg.name, heat, tuple(work))

    async def tidy(self) -> None:
        """Close unused connections and forget targets that are gone; run until cancelled."""
        while True:
            await trio.sleep(TIDY_SECONDS)
            known = {_state_key(target.entry) for target in self._view.targets.values()}
            for key, state in list(self._states.items()):
                state.pool.prune()
                if key not in known and not state.load.own:
                    state.pool.close()
                    del self._states[key]

    async def confirm_losses(self) -> None:
        """Find out which targets ended as they ran a request; run until cancelled."""
        async with trio.open_nursery() as nursery:
            async for loss in self._incoming_losses:
                nursery.start_soon(self._confirm_loss, loss)

    async def _confirm_loss(self, loss: _Loss) -> None:
        """Make a request a suspect if its target's process has ended, not only its answer."""
        ip, _, port = loss.target.address.rpartition(":")
        try:
            stream = await connect(ip, int(port), CONFIRM_SECONDS)
        except ConnectTimeout:
            logger.info("target %s does not answer after a loss", loss.target.id)
        except ConnectFailed:
            incarnation = xxh3_64_intdigest(f"{loss.target.id}/{loss.target.life}".encode())
            self._quarantine.note_death(loss.fingerprint, "", incarnation, self._clock.now())
            decision("crash", target=loss.target.id, fingerprint=f"{loss.fingerprint:016x}")
        else:
            stream.socket.close()

    async def send(self, req: CallerRequest, route: Route, service: Service) -> Answer:
        """Return the answer of a target.

        :raises NotRun: If no target has run the request, or will.
        :raises OutcomeOfRequestUnknown: If one may have run it.
        """
        self._count(service, req)
        tries = Tries(fingerprint(service.name, req.method, req.path, "", req.body))
        if self._quarantine.deaths(tries.fingerprint, "", self._clock.now()) >= DEATHS_REFUSED:
            raise NotRun("quarantined", "targets ended as they ran this request")
        deadline = min(req.deadline, req.received_at + route.timeout_seconds)
        deadline -= ANSWER_MARGIN_SECONDS
        with trio.move_on_at(deadline):
            while True:
                answer = await self._try(req, route, service, tries, deadline)
                if answer is not None:
                    return answer
        if tries.sent:
            raise OutcomeOfRequestUnknown("timeout", "no answer before the deadline")
        raise NotRun("timeout", "no target could take the request before its deadline")

    async def _try(
        self, req: CallerRequest, route: Route, service: Service, tries: Tries, deadline: float
    ) -> Answer | None:
        """Offer the request to one target.

        :return: The answer, or ``None`` if another try may follow.
        """
        target = await self._choose(req, route, service, tries, deadline)
        state = self.state(target)
        if tries.arrivals and not self._may_repeat(route, service):
            raise self._given_up(tries, "retry-budget", state)
        tries.arrivals += 1
        now = trio.current_time()
        left = deadline - now
        outgoing = self._protocol.outgoing(req, target.entry.id, left)
        wait = state.load.expected_wait(now)
        repeatable = route.kind is RequestKind.IDEMPOTENT
        state.load.sent()
        try:
            answer = await state.pool.exchange(
                outgoing, repeatable=repeatable, on_send=tries.on_send
            )
            now, started = trio.current_time(), now
            report = self._protocol.load(answer)
            if report is not None:
                state.load.reported(report.running, report.waiting, report.slowdown, now)
        except ExchangeError as exc:
            self._failed(state, now)
            self._after_failure(req, route, target, tries, exc)
            return None
        finally:
            state.load.ended()
        self._log(req, route, target, tries, answer.status)
        if self._protocol.not_run(answer):
            tries.sent = bool(tries.targets)
            self._after_refusal(answer, target, state, tries)
            return None
        state.failures = 0
        self._quarantine.note_answer(tries.fingerprint, "")
        if answer.status < 500:
            state.load.worked(now - started, wait)
        return answer

    def _after_failure(
        self, req: CallerRequest, route: Route, target: Target, tries: Tries, exc: ExchangeError
    ) -> None:
        """Note that a target gave no whole answer.

        :raises OutcomeOfRequestUnknown: If the request may have run and is not sent again.
        :raises NotRun: If it was never sent and is not offered again.
        """
        self._log(req, route, target, tries, 0, str(exc))
        if not exc.sent:
            tries.refused_by.add(target.entry.id)
            if len(tries.refused_by) >= route.max_attempts + 1:
                raise self._given_up(tries, "no-connection", self.state(target))
            return
        tries.targets.add(target.entry.id)
        try:
            self._losses.send_nowait(_Loss(target.entry, tries.fingerprint))
        except trio.WouldBlock:
            logger.warning("too many losses at once, target %s is not checked", target.entry.id)
        if route.kind is not RequestKind.IDEMPOTENT:
            raise OutcomeOfRequestUnknown("no-answer", str(exc), status=502)
        if tries.arrivals >= route.max_attempts:
            raise OutcomeOfRequestUnknown("no-answer", str(exc), status=502)

    def _after_refusal(
        self, answer: Answer, target: Target, state: TargetState, tries: Tries
    ) -> None:
        """Note that a target did not run the request.

        :raises NotRun: If it is not offered again.
        """
        if self._protocol.is_wrong_target(answer):
            if tries.arrivals >= MAX_ARRIVALS:
                raise self._given_up(tries, "no-owner", state)
            tries.not_owner = (target.entry.id, target.entry.life)
            return
        report = self._protocol.load(answer)
        if report is not None and report.running < report.slots and report.waiting == 0:
            # The target turned the request away although it has room; it may take the next one.
            if tries.arrivals >= MAX_ARRIVALS:
                raise self._given_up(tries, "target-refuses", state)
            return
        tries.refused_by.add(target.entry.id)
        if len(tries.refused_by) >= 2 or tries.arrivals >= MAX_ARRIVALS:
            raise self._given_up(tries, "target-full", state)

    def _given_up(self, tries: Tries, reason: str, state: TargetState) -> Exception:
        if tries.sent:
            return OutcomeOfRequestUnknown(reason, "a target may have run it", status=502)
        wait = state.load.expected_wait(trio.current_time())
        return NotRun(reason, "no target took it", retry_after=retry_after(wait, self._rng))

    async def _choose(
        self, req: CallerRequest, route: Route, service: Service, tries: Tries, deadline: float
    ) -> Target:
        """Return a target that has room, waiting for it in the order of the requests' urgency."""
        while True:
            if service.keyed and req.key is not None:
                target = await self._owner(req, route, service, tries, deadline)
            else:
                target = self._least_loaded(req, route, service, tries, deadline)
            state = self.state(target)
            place = state.lane.join(route.priority, deadline)
            try:
                if self._may_go(state, place):
                    self._take_cold(target, service, state, tries)
                    return target
                changed = self._view.changed
                while not self._may_go(state, place) and not changed.is_set():
                    await trio.sleep(LANE_POLL_SECONDS)
                    if deadline - trio.current_time() < state.load.work_seconds * LATE_SHARE:
                        raise self._given_up(tries, "overload", state)
                if self._may_go(state, place) and not changed.is_set():
                    self._take_cold(target, service, state, tries)
                    return target
            finally:
                state.lane.leave(place)

    def _may_go(self, state: TargetState, place: tuple[int, float, int]) -> bool:
        load = state.load
        return state.lane.may_go(place, load.occupancy(trio.current_time()), load.slots, load.own)

    def _take_cold(
        self, target: Target, service: Service, state: TargetState, tries: Tries
    ) -> None:
        """Count a request at a cold target.

        :raises NotRun: If the target must not get another one now.
        """
        if not self._view.is_cold(target) or not service.cold_per_second:
            return
        bounds = self._cfg.bounds
        limit = service.cold_per_second * bounds.cold_multiplier + bounds.cold_slack
        if not state.cold.allows(limit, self.hosts, trio.current_time()):
            raise self._given_up(tries, "cold", state)

    async def _owner(
        self, req: CallerRequest, route: Route, service: Service, tries: Tries, deadline: float
    ) -> Target:
        """Return the owner of a request's key, waiting while its keys are moved."""
        give_up = min(deadline, trio.current_time() + MOVE_WAIT_SECONDS)
        while True:
            changed = self._view.changed
            owner = self._view.owner(service.name, req.key or 0)
            target = self._view.targets.get(owner.target) if owner else None
            moving = self._view.is_moving(service.name, req.key or 0)
            usable = (
                target is not None
                and self._view.may_use(target, owner=True)
                and (target.entry.id, target.entry.life) != tries.not_owner
            )
            if usable and not moving:
                break
            with trio.move_on_at(give_up) as scope:
                await changed.wait()
            if scope.cancelled_caught:
                raise self._without_target(tries, "no-owner", f"key {req.key} has no owner now")
        if target.entry.id in tries.refused_by:
            raise self._given_up(tries, "target-full", self.state(target))
        load = self._view.overloaded.get(target.entry.id, 0.0)
        urgent = route.priority <= self._top_priority(service)
        if not tries.arrivals and not self.state(target).gate.admits(load, urgent=urgent):
            raise self._given_up(tries, "target-overloaded", self.state(target))
        if not self._admits(target, route, service, deadline):
            raise self._given_up(tries, "overload", self.state(target))
        return target

    def _least_loaded(
        self, req: CallerRequest, route: Route, service: Service, tries: Tries, deadline: float
    ) -> Target:
        now = trio.current_time()
        crossing = DOMAIN_SECONDS + DOMAIN_SECONDS_PER_BYTE * len(req.body)
        best: tuple[float, Target] | None = None
        for target in self._view.targets_of(service.name):
            if target.entry.id in tries.refused_by or target.entry.id in tries.targets:
                continue
            if not self._view.may_use(target, owner=False):
                continue
            state = self.state(target)
            load = state.load
            cost = load.expected_wait(now) + load.work_seconds * load.slowdown
            cost += load.work_seconds * load.occupancy(now) / (4 * load.slots)
            cost += 0.0 if target.entry.domain == self._cfg.domain else crossing
            cost += 1.0 if now < state.avoid_until else 0.0
            cost += 0.5 if self._view.is_cold(target) else 0.0
            cost += self._rng.uniform(0.0, 0.01)
            if best is None or cost < best[0]:
                best = (cost, target)
        if best is None:
            raise self._without_target(tries, "no-target", f"{service.name} has no target now")
        if not self._admits(best[1], route, service, deadline):
            raise self._given_up(tries, "overload", self.state(best[1]))
        return best[1]

    def _admits(self, target: Target, route: Route, service: Service, deadline: float) -> bool:
        now = trio.current_time()
        state = self.state(target)
        load = state.load
        ahead = state.lane.ahead(route.priority, deadline)
        return may_offer(
            load.expected_wait(now) + ahead * load.work_seconds / load.slots,
            load.work_seconds,
            deadline - now - HOP_SECONDS,
            urgent=route.priority <= self._top_priority(service),
        )

    def _top_priority(self, service: Service) -> int:
        """Return the rank of the most urgent routes of a service."""
        cfg = self._view.cfg
        if cfg is None:
            return 0
        if self._top_version != cfg.version:
            self._top_version = cfg.version
            self._top = {}
            for route in cfg.routes:
                for share in route.shares:
                    rank = min(route.priority, self._top.get(share.service, route.priority))
                    self._top[share.service] = rank
        return self._top.get(service.name, 0)

    def _without_target(self, tries: Tries, reason: str, detail: str) -> Exception:
        if tries.sent:
            return OutcomeOfRequestUnknown(reason, detail, status=502)
        return NotRun(reason, detail, retry_after=self._rng.uniform(0.2, 0.4))

    def _failed(self, state: TargetState, now: float) -> None:
        state.failures += 1
        if state.failures >= AVOID_FAILURES:
            state.avoid_until = now + AVOID_SECONDS

    def _may_repeat(self, route: Route, service: Service) -> bool:
        """Take a repetition from the budget; urgent kinds may use all of it."""
        budget = self._budget(service)
        urgent = route.priority <= self._top_priority(service)
        return (urgent or budget.tokens >= URGENT_RESERVE * budget.capacity) and budget.spend()

    def _budget(self, service: Service) -> TokenBudget:
        """Return this host's part of the budget that all hosts share."""
        bounds = self._cfg.bounds
        slack = bounds.retry_slack * BUDGET_PART / self.hosts
        found = self._budgets.get(service.name)
        if found is None:
            found = self._budgets[service.name] = TokenBudget(
                bounds.retry_ratio * BUDGET_PART, slack
            )
        elif found.capacity != slack:
            found.resize(slack)
        return found

    def _count(self, service: Service, req: CallerRequest) -> None:
        self._budget(service).earn()
        if service.keyed and req.key is not None:
            counts = self.arrivals.setdefault(service.name, {})
            counts[req.key] = counts.get(req.key, 0) + 1

    def _log(
        self,
        req: CallerRequest,
        route: Route,
        target: Target,
        tries: Tries,
        status: int,
        error: str = "",
    ) -> None:
        decision(
            "attempt",
            request_id=req.attempt_id,
            route=route.name,
            key=req.key,
            target=target.entry.id,
            arrival=tries.arrivals,
            status=status,
            error=error,
        )


def _state_key(entry: TargetEntry) -> str:
    return f"{entry.id}/{entry.address}"
