"""Explains where a request would go now, and why, without sending it.

The answer comes from the functions of the request path, called on copies of what they change. It
holds for a request that arrives at the same moment: reports and other requests change the choice.
"""

from __future__ import annotations

from copy import copy
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import trio

from radishshunt.errors import NotRun, OutcomeOfRequestUnknown, RequestError, SettingsError
from radishshunt.gateway.attempts import RequestAttempts
from radishshunt.gateway.caller_api import check_body_size, route_of
from radishshunt.gateway.choice_trial import TrialChooser
from radishshunt.gateway.explanation_targets import TargetExplainer, finite
from radishshunt.gateway.model import RequestKind
from radishshunt.gateway.protocol import CallerRequest
from radishshunt.gateway.sender import quarantine_error, request_fingerprint
from radishshunt.shares.host_shares import WAIT_SECONDS, ShareRefusal
from radishshunt.workspaces.authentication import (
    MAX_RETRY_AFTER_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    UNCONFIRMED_DETAIL,
)
from radishshunt.workspaces.directory import Directory
from radishshunt.workspaces.quotas import QUOTA_REASON, preview_refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.body_memory import BodyMemory
    from radishshunt.clock import Clock
    from radishshunt.gateway.caller_api import CallerApi
    from radishshunt.gateway.choice_trial import Choice
    from radishshunt.gateway.explain_queries import ExplainQuery
    from radishshunt.gateway.model import Route, Service
    from radishshunt.gateway.sender import Sender
    from radishshunt.gateway.view import Target, View
    from radishshunt.quarantine import Quarantine
    from radishshunt.shares.host_shares import SharePreview
    from radishshunt.target_model import TargetModel
    from radishshunt.workspaces.authentication import Authentication
    from radishshunt.workspaces.quotas import WorkspaceQuotas


@dataclass(frozen=True, slots=True, kw_only=True)
class ExplainedHost:
    """The parts of a host that decide on a request.

    :param clock: Clock of the quarantine.
    :param state_age: Returns the seconds since the host last heard of changes.
    """

    name: str
    domain: str
    view: View
    sender: Sender
    caller_api: CallerApi
    authentication: Authentication
    quotas: WorkspaceQuotas
    quarantine: Quarantine
    clock: Clock
    memory: BodyMemory
    target_model: TargetModel
    state_age: Callable[[], float]


class _SizedBody(bytes):
    """Body of which only the size is known."""

    def __new__(cls, size: int) -> _SizedBody:
        body = super().__new__(cls)
        body._size = size
        return body

    def __len__(self) -> int:
        return self._size


class Explainer:
    """Explains requests on one host; it changes nothing there."""

    def __init__(self, host: ExplainedHost) -> None:
        self._host = host
        self._targets = TargetExplainer(host)

    def explain(self, query: ExplainQuery) -> dict[str, Any]:
        """Return the explanation of a request as a JSON document.

        Times are in seconds; numbers that are infinite or not known are ``null``.

        :raises SettingsError: If the query names an unknown workspace.
        """
        host = self._host
        workspaces = host.view.cfg.workspaces if host.view.cfg is not None else None
        if query.workspace is not None and query.workspace not in (workspaces or {}):
            raise SettingsError([f"workspace: {query.workspace!r} is not in the configuration"])
        now = trio.current_time()
        path = query.path.partition("?")[0]
        req = CallerRequest(
            query.method,
            query.host,
            path,
            query.path.encode(),
            [],
            "",
            query.key,
            now,
            now + query.deadline,
            _SizedBody(query.body_bytes),
        )
        doc: dict[str, Any] = {
            "host": host.name,
            "domain": host.domain,
            "stopping": host.sender.stopping,
            "configuration": self._configuration_document(),
            "route": None,
            "api_key": None,
            "service": None,
            "quota": None,
            "owner": None,
            "targets": [],
            "decision": None,
            "after_failure": None,
        }
        try:
            route = route_of(host.view, req)
            doc["route"] = _route_document(route)
            doc["api_key"] = self._key_document(route, query)
            route = self._identify(route, query)
            doc["route"]["priority"] = route.priority
            check_body_size(len(req.body), host.view.cfg.limits)
            self._check_memory(len(req.body), route)
            service = host.caller_api.preview_service(route)
            doc["service"] = service.name
            for share in doc["route"]["shares"]:
                share["chosen"] = share["service"] == service.name
            quota = self._quota(route, query)
            doc["quota"] = _quota_document(quota)
            if quota is not None and isinstance(quota.result, ShareRefusal):
                raise preview_refusal(workspaces[query.workspace], quota.result)
            self._check_quarantine(req)
        except RequestError as exc:
            bounds = None
            if exc.reason == "key-unconfirmed":
                bounds = (MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS)
            elif exc.reason == QUOTA_REASON:
                bounds = quota.retry_bounds
            doc["decision"] = _refusal_document(exc, bounds)
            return doc
        doc |= self._explain_choice(req, route, service)
        if quota is not None and quota.result is None:
            wait = min(query.deadline, route.timeout_seconds, WAIT_SECONDS)
            doc["decision"] = {
                "action": "wait",
                "target": doc["decision"].get("target"),
                "waits_for": "quota",
                "wait": finite(wait),
            }
        return doc

    def _quota(self, route: Route, query: ExplainQuery) -> SharePreview | None:
        """Return what the workspace's quota decides, ``None`` if there is none."""
        if not self._needs_key(route):
            return None
        return self._host.quotas.preview(self._host.view.cfg.workspaces[query.workspace])

    def _configuration_document(self) -> dict[str, Any]:
        view = self._host.view
        unread = [topic.value for topic, version in view.versions.items() if not version]
        reason = "" if view.cfg is not None else "no readable configuration has been received"
        if unread:
            reason += f"{'; ' if reason else ''}not read yet: {', '.join(unread)}"
        return {
            "version": view.cfg.version if view.cfg is not None else None,
            "state_age": finite(self._host.state_age()),
            "reason": reason,
        }

    def _key_document(self, route: Route, query: ExplainQuery) -> dict[str, Any]:
        """Return whether an API key is needed and could be confirmed; never a key."""
        view = self._host.view
        confirmation = view.confirmation
        return {
            "needed": self._needs_key(route),
            "workspace": query.workspace,
            "confirmable": self._host.authentication.can_confirm,
            "confirmed_age": finite(confirmation.age(view.clock.now())),
            "suspended": confirmation.suspended,
        }

    def _needs_key(self, route: Route) -> bool:
        return self._host.view.cfg.workspaces is not None and not route.public

    def _identify(self, route: Route, query: ExplainQuery) -> Route:
        """Return a route with the priority that it has for the workspace.

        :raises NotRun: If the request needs a key, and has none or one that cannot be confirmed.
        """
        if not self._needs_key(route):
            return route
        cfg = self._host.view.cfg
        if query.workspace is None:
            self._host.authentication.identify([])
        if not self._host.authentication.can_confirm:
            raise NotRun("key-unconfirmed", UNCONFIRMED_DETAIL, retry_after=MAX_RETRY_AFTER_SECONDS)
        return Directory(cfg).effective_route(route, cfg.workspaces[query.workspace])

    def _check_memory(self, size: int, route: Route) -> None:
        """Check whether the bodies fit into the memory.

        :raises NotRun: If they do not.
        """
        reservation = copy(self._host.memory).reserve()
        reservation.add_request(size, size)
        reservation.expect(self._host.sender.chooser.response_costs.expected_bytes(route))

    def _check_quarantine(self, req: CallerRequest) -> None:
        """Check whether a request without a body is quarantined.

        A quarantine counts for one content of the body, which the question does not tell.

        :raises NotRun: If it is.
        """
        attempts, now = self._attempts(req), self._host.clock.now()
        if not req.body and self._host.quarantine.would_refuse(attempts.fingerprint, "", now):
            raise quarantine_error(attempts, self._host.quarantine, now)

    def _attempts(self, req: CallerRequest) -> RequestAttempts:
        return RequestAttempts(request_fingerprint(req))

    def _explain_choice(self, req: CallerRequest, route: Route, service: Service) -> dict[str, Any]:
        """Return the parts of the explanation that concern the targets."""
        sender = self._host.sender
        deadline = sender.request_deadline(req, route)

        def try_choose(trial: TrialChooser) -> Choice:
            return trial.try_choose(req, route, service, self._attempts(req), deadline)

        trial = TrialChooser(sender.chooser)
        choice, decision = self._try(try_choose, trial)
        chosen = choice.target if choice is not None else None
        doc: dict[str, Any] = {"decision": decision}
        if service.keyed and req.key is not None:
            doc["owner"] = self._targets.owner_document(trial, req.key, service)
        else:
            doc["targets"] = self._targets.candidate_documents(trial, req, route, service, chosen)
        if chosen is not None:
            doc["after_failure"] = self._after_failure(req, route, service, chosen, deadline)
        return doc

    def _try(
        self, try_choose: Callable[[TrialChooser], Choice], trial: TrialChooser
    ) -> tuple[Choice | None, dict[str, Any]]:
        """Return a choice, ``None`` for a refusal, and the document of the decision."""
        try:
            choice = try_choose(trial)
        except RequestError as exc:
            bounds = self._retry_bounds(try_choose, trial.rng.draws)
            return None, _refusal_document(exc, bounds)
        return choice, _choice_document(choice)

    def _retry_bounds(
        self, try_choose: Callable[[TrialChooser], Choice], draw: int
    ) -> tuple[float, float] | None:
        """Return the bounds of the random ``Retry-After`` of a refusal.

        :param draw: Number of the last random number that the choice has drawn.
        """
        bounds = []
        for upper in (False, True):
            try:
                try_choose(TrialChooser(self._host.sender.chooser, (draw, upper)))
            except RequestError as exc:
                bounds.append(exc.retry_after)
        if len(bounds) != 2 or None in bounds:
            return None
        return min(bounds), max(bounds)

    def _after_failure(
        self, req: CallerRequest, route: Route, service: Service, first: Target, deadline: float
    ) -> dict[str, Any]:
        """Return what would follow if the first attempt failed."""
        sender = self._host.sender
        repeatable = route.kind is RequestKind.IDEMPOTENT
        budgets = sender.retry_budgets.trial(TrialChooser(sender.chooser))
        budget = budgets.budget(service)
        budget.earn()
        tokens = budget.tokens
        allowed = budgets.may_retry(route, service)

        def follow(attempts: RequestAttempts) -> dict[str, Any]:
            def try_choose(trial: TrialChooser) -> Choice:
                trial.try_choose(req, route, service, self._attempts(req), deadline)
                choice = trial.try_choose(req, route, service, attempts, deadline)
                if not allowed:
                    raise trial.overload_error(attempts, "retry-budget", trial.state(first))
                return choice

            return self._try(try_choose, TrialChooser(sender.chooser))[1]

        refused = self._attempts(req)
        refused.sends = 1
        refused.refused_by.add(first.entry.id)
        unanswered = self._attempts(req)
        unanswered.sends, unanswered.may_have_run = 1, True
        unanswered.possible_runners.add(first.entry.id)
        if repeatable and route.max_attempts > 1:
            no_answer = follow(unanswered)
        else:
            error = OutcomeOfRequestUnknown(
                "no-answer", "the request is not sent again", status=502
            )
            no_answer = _refusal_document(error)
        return {
            "repeatable": repeatable,
            "attempts_left": max(0, route.max_attempts - 1) if repeatable else 0,
            "retry_budget": finite(tokens),
            "retry_budget_capacity": finite(budget.capacity),
            "retry_allowed": allowed,
            "no_answer": no_answer,
            "refused_by_target": follow(refused),
        }


def _route_document(route: Route) -> dict[str, Any]:
    return {
        "name": route.name,
        "host": route.host,
        "prefix": route.prefix,
        "kind": route.kind.value,
        "public": route.public,
        "priority": route.priority,
        "timeout": route.timeout_seconds,
        "objective": route.objective_seconds,
        "max_attempts": route.max_attempts,
        "shares": [
            {"service": share.service, "weight": share.weight, "chosen": False}
            for share in route.shares
        ],
    }


def _quota_document(quota: SharePreview | None) -> dict[str, Any] | None:
    if quota is None:
        return None
    admission = "refuse" if isinstance(quota.result, ShareRefusal) else "admit"
    return {
        "decision": "wait" if quota.result is None else admission,
        "tokens_here": quota.held,
    }


def _choice_document(choice: Choice) -> dict[str, Any]:
    doc: dict[str, Any] = {
        "action": "wait" if choice.waits_for else "send",
        "target": choice.target.entry.id if choice.target is not None else None,
    }
    if choice.waits_for:
        doc["waits_for"] = choice.waits_for
        doc["wait"] = finite(max(0.0, choice.wait_until - trio.current_time()))
    return doc


def _refusal_document(
    exc: RequestError, bounds: tuple[float, float] | None = None
) -> dict[str, Any]:
    """Return the document of a refusal.

    :param bounds: Bounds of ``Retry-After``, if it is random.
    """
    if bounds is None and exc.retry_after is not None:
        bounds = (exc.retry_after, exc.retry_after)
    return {
        "action": "refuse",
        "status": exc.status,
        "reason": exc.reason,
        "detail": exc.detail,
        "outcome": exc.outcome,
        "retry_after": [finite(bound) for bound in bounds] if bounds is not None else None,
    }
