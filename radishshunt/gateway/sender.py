"""Sends callers' requests to targets: target selection, admission control and retries."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from random import Random
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import NotRun, OutcomeOfRequestUnknown
from radishshunt.gateway.attempts import RequestAttempts
from radishshunt.gateway.cold_admission import ColdAdmission
from radishshunt.gateway.cold_checks import ColdChecker
from radishshunt.gateway.crash_checks import CrashChecker, LostRequest
from radishshunt.gateway.exchange import ExchangeError
from radishshunt.gateway.messages import Report, TargetWorkTime
from radishshunt.gateway.model import RequestKind
from radishshunt.gateway.repeats import Repeats
from radishshunt.gateway.response_records import ResponseRecorder
from radishshunt.gateway.retry_budgets import RetryBudgets
from radishshunt.gateway.target_choice import TargetChooser
from radishshunt.hashing import fingerprint
from radishshunt.logs import decision
from radishshunt.policy.direct.silence import silence_deadline
from radishshunt.policy.direct.target_load import MAX_WORK_SECONDS

if TYPE_CHECKING:
    from radishshunt.clock import Clock
    from radishshunt.errors import RequestError
    from radishshunt.gateway.attempts import TargetState
    from radishshunt.gateway.exchange import HttpResponse
    from radishshunt.gateway.model import Route, Service
    from radishshunt.gateway.protocol import CallerRequest, TargetProtocol
    from radishshunt.gateway.settings import HostSettings
    from radishshunt.gateway.view import Target, View
    from radishshunt.policy.budgets import TokenBudget
    from radishshunt.quarantine import Quarantine
    from radishshunt.target_model import TargetModel

CLEANUP_INTERVAL_SECONDS = 2.0
SILENCE_CHECK_SECONDS = 0.1
# An unfinished request is abandoned this long before its deadline, so that the error response
# arrives in time.
RESPONSE_MARGIN_SECONDS = 0.035
# An attempt that was given up after this multiple of the target's work time counts as a failure.
SLOW_FACTOR = 3.0
# Longest time for which a request waits for the check whether its target has crashed.
MAX_CRASH_CHECK_WAIT_SECONDS = 0.3
# Maximum number of times that one request is sent, including to targets that refuse it.
MAX_SENDS = 4


class _TargetNotUsable(Exception):
    """The target of an attempt may not be used any more, and nothing was sent to it."""


@dataclass(slots=True, eq=False)
class _Attempt:
    """One attempt to send a request.

    :ivar number: Number of the attempt, from 1 on.
    :ivar known_losses: Targets that are known to have been lost while they ran the request.
    :ivar sent: Whether the target may have received the request.
    :ivar crash_check: Set once it is known whether the target has ended.
    :ivar silent_at: Time from which the target counts as silent.
    :ivar silent: Whether the target is silent, so that the request is sent once more.
    """

    req: CallerRequest
    route: Route
    service: Service
    target: Target
    state: TargetState
    attempts: RequestAttempts
    number: int
    sent_at: float
    known_losses: frozenset[int]
    sent: bool = False
    crash_check: trio.Event = field(default_factory=trio.Event)
    silent_at: float = float("inf")
    silent: bool = False

    def begin(self) -> None:
        """Count the attempt as load of its target."""
        self.state.exchanges += 1
        self.state.load.on_sent()

    def mark_sent(self) -> None:
        """Record that the target may run the request from now on."""
        self.attempts.mark_sent()
        self.sent = self.req.sent = True

    def mark_silent(self) -> None:
        """Record that the target is silent; it may still be at work on the request.

        The attempt no longer counts as load, since the target may have lost it.
        """
        self.silent = True
        self.state.load.on_ended()
        self.attempts.may_have_run = True
        self.attempts.possible_runners.add(self.target.entry.id)

    def mark_answered(self) -> None:
        """Record that the target has been at work on the request after all."""
        if self.silent:
            self.silent = False
            self.state.load.on_sent()

    def end(self) -> None:
        """Count the end of the attempt."""
        self.state.exchanges -= 1
        if not self.silent:
            self.state.load.on_ended()


class Sender:
    """Routes requests to targets.

    :ivar chooser: Chooses targets and holds what this host observes of them.
    :ivar stopping: Whether the host is stopping. Requests that targets are working on are answered
        then, as long as the grace period lasts.
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
        target_model: TargetModel | None = None,
    ) -> None:
        self._quarantine = quarantine
        self._clock = clock
        self._crash_checker = CrashChecker(view, protocol, quarantine, clock)
        self.stopping = False
        self.request_counts: dict[str, dict[int, int]] = {}
        self._cfg = cfg
        self._view = view
        self._protocol = protocol
        self._target_model = target_model
        self.chooser = TargetChooser(
            cfg,
            view,
            rng or Random(),
            ColdAdmission(cfg, view, ColdChecker(view, protocol)),
            target_model,
        )
        self._recorder = ResponseRecorder(view, protocol, self.chooser.work_times, target_model)
        self.retry_budgets = RetryBudgets(cfg, self.chooser)
        self._watched: set[_Attempt] = set()
        # Scopes of all requests, and the time at which the last of them end.
        self._scopes: set[trio.CancelScope] = set()
        self._last_deadline = float("inf")

    def update_settings(self, cfg: HostSettings) -> None:
        """Apply changed bounds."""
        self._cfg = cfg
        self.chooser.update_settings(cfg)
        self.retry_budgets.update_settings(cfg)

    def stop(self, deadline: float) -> None:
        """Send nothing a second time because of silence, and end all requests by a deadline."""
        self.stopping = True
        self._last_deadline = deadline
        for scope in self._scopes:
            scope.deadline = min(scope.deadline, deadline)

    def report(self) -> Report:
        """Return the load since the last report, for the leader."""
        counts, self.request_counts = self.request_counts, {}
        work = []
        for key, state in self.chooser.states.items():
            if state.load.samples:
                target = key.partition("/")[0]
                load, limit = state.load, state.request_limiter.limit
                work_time = TargetWorkTime(target, load.own_work_seconds, load.samples, limit)
                if self._target_model is not None:
                    work_time = self._target_model.measured(work_time)
                work.append(work_time)
                load.samples = 0
        return Report(self._cfg.name, counts, tuple(work))

    async def clean_up(self) -> None:
        """Close idle connections and drop the state of removed targets; run until cancelled."""
        while True:
            await trio.sleep(CLEANUP_INTERVAL_SECONDS)
            self.chooser.clean_up()

    async def watch_silence(self) -> None:
        """Send requests once more whose targets are silent; run until cancelled."""
        while True:
            await trio.sleep(SILENCE_CHECK_SECONDS)
            if self.stopping:
                continue
            now = trio.current_time()
            for attempt in [watched for watched in self._watched if watched.silent_at <= now]:
                if self.retry_budgets.may_retry(attempt.route, attempt.service):
                    self._watched.discard(attempt)
                    self._repeat(attempt, now)

    def _repeat(self, attempt: _Attempt, now: float) -> None:
        """Send the request of an attempt once more, while the attempt goes on."""
        self._record_failure(attempt, connected=True)
        error = f"no answer within {now - attempt.sent_at:.2f} s"
        self._log_attempt(attempt, 0, error)
        attempt.mark_silent()
        self._check_for_crash(attempt, broken=False)
        attempt.attempts.retry_reserved = True
        attempt.attempts.repeats.start_another()

    async def confirm_crashes(self) -> None:
        """Find out which requests were running on targets that ended; run until cancelled."""
        await self._crash_checker.run()

    async def send(self, req: CallerRequest, route: Route, service: Service) -> HttpResponse:
        """Send a request to a target and return the response.

        :raises NotRun: If no target has run the request and none will.
        :raises OutcomeOfRequestUnknown: If a target may have run the request.
        """
        self._count_request(service, req)
        attempts = RequestAttempts(request_fingerprint(req), req.key_refusal)
        attempts.check_key()
        self._check_quarantine(attempts)
        deadline = self.request_deadline(req, route)
        attempts.repeats = Repeats(partial(self._attempt, req, route, service, attempts, deadline))
        with trio.CancelScope(deadline=deadline) as scope:
            self._scopes.add(scope)
            try:
                return await attempts.repeats.run()
            finally:
                self._scopes.discard(scope)
        if attempts.repeats.response is not None:
            return attempts.repeats.response
        if attempts.may_have_run:
            raise OutcomeOfRequestUnknown(
                "timeout", "no response from a target before the deadline"
            )
        raise NotRun("timeout", "no target accepted the request before its deadline")

    def request_deadline(self, req: CallerRequest, route: Route) -> float:
        """Return the time until which a target has to answer a request."""
        deadline = min(req.deadline, req.received_at + route.timeout_seconds)
        return min(deadline - RESPONSE_MARGIN_SECONDS, self._last_deadline)

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
        target = await self.chooser.choose(req, route, service, attempts, deadline)
        attempts.check_key()
        # Other hosts may have told of losses while the request waited for a target.
        self._check_quarantine(attempts)
        state = self.chooser.state(target)
        if attempts.retry_reserved:
            attempts.retry_reserved = False
        elif attempts.sends and not self.retry_budgets.may_retry(route, service):
            raise self.chooser.overload_error(attempts, "retry-budget", state)
        attempts.sends += 1
        attempt = _Attempt(
            req,
            route,
            service,
            target,
            state,
            attempts,
            attempts.sends,
            trio.current_time(),
            self._quarantine.known_losses(attempts.fingerprint, ""),
        )
        attempt.begin()
        try:
            response = await self._exchange(attempt, deadline)
            attempt.mark_answered()
            self._recorder.record_load(
                response, route, service, target.entry, state, trio.current_time() - attempt.sent_at
            )
            self.chooser.response_costs.on_response(route, target.entry, response, state.load)
        except _TargetNotUsable:
            self._log_attempt(attempt, 0, "target left before the request was sent")
            attempts.sends -= 1
            return None
        except ExchangeError as exc:
            self._record_failure(attempt, connected=exc.sent)
            self._record_failed_attempt(attempt, exc)
            # A request that crashes its target must not be sent to the next one before that is
            # known.
            with trio.move_on_after(MAX_CRASH_CHECK_WAIT_SECONDS):
                await attempt.crash_check.wait()
            return None
        except trio.Cancelled:
            self._record_failure(attempt, connected=True)
            self._log_attempt(attempt, 0, "given up without an answer")
            if attempt.sent and attempts.repeats.response is None:
                self._check_for_crash(attempt, broken=False)
            raise
        finally:
            attempt.end()
        state.on_response()
        self._recorder.record_statement(response, target.entry)
        if self._protocol.identity(response) in ("", target.entry.id):
            self._crash_checker.on_answer(target.entry, attempt.sent_at)
            self._recorder.record_limit(response, target.entry, state)
        else:
            self._crash_checker.on_other_process(target.entry)
        self._log_attempt(attempt, response.status)
        if self._protocol.is_not_run(response):
            attempts.may_have_run = bool(attempts.possible_runners)
            self._record_refusal(response, target, state, attempts)
            return None
        if response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            # A failing target answers with an error whether or not it has run the request.
            self._quarantine.record_answer(attempts.fingerprint, "")
        return response

    async def _exchange(self, attempt: _Attempt, deadline: float) -> HttpResponse:
        """Send a request to a target and return the response.

        :raises ExchangeError: If there is no complete response.
        """
        now, load, route = attempt.sent_at, attempt.state.load, attempt.route
        repeatable = route.kind is RequestKind.IDEMPOTENT
        if repeatable and attempt.number < route.max_attempts:
            attempt.silent_at = silence_deadline(
                now, deadline, route.objective_seconds, load.expected_wait(now), load.work_seconds
            )
            if attempt.silent_at < deadline:
                self._watched.add(attempt)
        target_request = self._protocol.build_request(
            attempt.req, attempt.target.entry.id, deadline - now
        )
        try:
            return await attempt.state.pool.exchange(
                target_request,
                repeatable=repeatable,
                on_send=partial(self._begin_sending, attempt),
                used=attempt.attempts.connections,
            )
        finally:
            self._watched.discard(attempt)
            if attempt.sent:
                self.chooser.response_costs.on_sent(attempt.req, route, attempt.target.entry)

    def _begin_sending(self, attempt: _Attempt) -> None:
        """Record that the target of an attempt may run the request from now on.

        A new connection takes time, in which the target may have left.

        :raises _TargetNotUsable: If it may not be used any more.
        """
        target = self._view.targets.get(attempt.target.entry.id)
        owner = attempt.service.keyed and attempt.req.key is not None
        if target is None or not self._view.may_use(target, owner=owner):
            raise _TargetNotUsable
        attempt.mark_sent()

    def _record_failure(self, attempt: _Attempt, *, connected: bool) -> None:
        """Record an attempt without a complete response, unless that was done before."""
        if attempt.silent:
            return
        state, now = attempt.state, trio.current_time()
        elapsed = now - attempt.sent_at
        if connected:
            if self._target_model is not None and elapsed > state.load.work_seconds:
                entry, route = attempt.target.entry, attempt.route.name
                self._target_model.on_no_answer(entry, route, min(elapsed, MAX_WORK_SECONDS))
            state.load.on_no_answer(elapsed)
        # A caller that leaves early says nothing about the target.
        if not connected or elapsed > SLOW_FACTOR * state.load.work_seconds:
            state.on_failure(now, connected=connected)

    def _record_failed_attempt(self, attempt: _Attempt, exc: ExchangeError) -> None:
        """Record that a target returned no complete response.

        :raises OutcomeOfRequestUnknown: If the request may have run and is not sent again.
        :raises NotRun: If the request was never sent and no other attempt follows.
        """
        route, target, attempts = attempt.route, attempt.target, attempt.attempts
        self._log_attempt(attempt, 0, str(exc))
        if not exc.sent:
            attempt.crash_check.set()
            attempts.refused_by.add(target.entry.id)
            if len(attempts.refused_by) >= route.max_attempts + 1:
                raise self.chooser.overload_error(attempts, "no-connection", attempt.state)
            return
        attempts.possible_runners.add(target.entry.id)
        attempt.crash_check = self._check_for_crash(attempt, broken=True)
        if route.kind is not RequestKind.IDEMPOTENT:
            raise OutcomeOfRequestUnknown("no-answer", str(exc), status=502)
        if attempts.sends >= route.max_attempts:
            raise OutcomeOfRequestUnknown("no-answer", str(exc), status=502)

    def _check_quarantine(self, attempts: RequestAttempts) -> None:
        """Check whether a request may be sent to a target.

        :raises NotRun: If it is quarantined.
        :raises OutcomeOfRequestUnknown: If it is quarantined and a target may have run it.
        """
        now = self._clock.now()
        if self._quarantine.is_quarantined(attempts.fingerprint, "", now):
            raise quarantine_error(attempts, self._quarantine, now)

    def _check_for_crash(self, attempt: _Attempt, *, broken: bool) -> trio.Event:
        """Find out whether the target of an attempt ended while it ran the request."""
        lost = LostRequest(attempt.attempts.fingerprint, attempt.known_losses, trio.current_time())
        return self._crash_checker.check(
            attempt.target.entry, attempt.service.health_path, lost, broken=broken
        )

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
                raise self.chooser.overload_error(attempts, "no-owner", state)
            attempts.last_non_owner = (target.entry.id, target.entry.incarnation)
            return
        report = self._protocol.load_report(response)
        if report is not None and report.running < report.slots and report.waiting == 0:
            # The target refused the request although it has free slots, so it may accept a retry.
            if attempts.sends >= MAX_SENDS:
                raise self.chooser.overload_error(attempts, "target-refuses", state)
            return
        attempts.refused_by.add(target.entry.id)
        if len(attempts.refused_by) >= 2 or attempts.sends >= MAX_SENDS:
            raise self.chooser.overload_error(attempts, "target-full", state)

    def _budget(self, service: Service) -> TokenBudget:
        """Return this host's share of the retry budget of all hosts."""
        return self.retry_budgets.budget(service)

    def _count_request(self, service: Service, req: CallerRequest) -> None:
        self._budget(service).earn()
        if service.keyed and req.key is not None:
            counts = self.request_counts.setdefault(service.name, {})
            counts[req.key] = counts.get(req.key, 0) + 1

    def _log_attempt(self, attempt: _Attempt, status: int, error: str = "") -> None:
        decision(
            "attempt",
            request_id=attempt.req.attempt_id,
            route=attempt.route.name,
            key=attempt.req.key,
            target=attempt.target.entry.id,
            arrival=attempt.number,
            status=status,
            error=error,
        )


def quarantine_error(attempts: RequestAttempts, quarantine: Quarantine, now: float) -> RequestError:
    """Return the error of a quarantined request."""
    return attempts.error(
        "quarantined",
        "targets crashed while running this request",
        quarantine.seconds_until_expiry(attempts.fingerprint, "", now),
    )


def request_fingerprint(req: CallerRequest) -> int:
    """Return a fingerprint of a request as its caller sent it.

    The service is no part of it, since a request may go to another one after a change of the
    configuration or by a split.
    """
    return fingerprint(req.host, req.method, req.target.decode("latin-1"), "", req.body)
