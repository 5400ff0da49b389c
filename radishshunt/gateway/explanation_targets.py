"""Explains the targets of a request: the owner of its key, or the costs of all of them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import trio

from radishshunt.gateway.target_choice import (
    COST_TERMS,
    CROSS_DOMAIN_PENALTY_SECONDS,
    CROSS_DOMAIN_PENALTY_SECONDS_PER_BYTE,
)
from radishshunt.policy.response_size import byte_weight

if TYPE_CHECKING:
    from radishshunt.gateway.choice_trial import TrialChooser
    from radishshunt.gateway.explanation import ExplainedHost
    from radishshunt.gateway.model import Route, Service
    from radishshunt.gateway.protocol import CallerRequest
    from radishshunt.gateway.view import Target


class TargetExplainer:
    """Describes targets as they were weighed in a trial."""

    def __init__(self, host: ExplainedHost) -> None:
        self._host = host

    def owner_document(self, trial: TrialChooser, key: int, service: Service) -> dict[str, Any]:
        view = self._host.view
        owner = view.find_key_range(service.name, key)
        target = view.targets.get(owner.target) if owner is not None else None
        moving = view.is_moving(service.name, key)
        usable = target is not None and view.may_use(target, owner=True) and not moving
        if owner is None:
            reason = f"no key map of service {service.name} is known"
        elif not owner.target:
            reason = "no target holds the key"
        elif target is None:
            reason = f"target {owner.target} is not registered"
        elif moving:
            reason = "the leader is moving the key"
        else:
            reason = self._use_reason(target) or "it is registered and in use"
        return {
            "key": key,
            "target": owner.target if owner is not None else None,
            "first": owner.first if owner is not None else None,
            "last": owner.last if owner is not None else None,
            "fence": owner.fence if owner is not None else None,
            "moving": moving,
            "usable": usable,
            "reason": reason,
            "state": self._target_document(trial, target) if target is not None else None,
        }

    def _use_reason(self, target: Target) -> str:
        """Return what limits the use of a target, empty if nothing does."""
        view = self._host.view
        if target.gone:
            return "its registration is gone"
        if target.leaving_since is not None:
            return f"it has been draining for {view.clock.now() - target.leaving_since:.1f} s"
        if target.entry.domain in view.evacuated:
            return f"its domain {target.entry.domain} is evacuated"
        return ""

    def candidate_documents(
        self,
        trial: TrialChooser,
        req: CallerRequest,
        route: Route,
        service: Service,
        chosen: Target | None,
    ) -> list[dict[str, Any]]:
        """Return each target of a service, the chosen one first, then by cost."""
        sizes = trial.response_costs.sizes
        large = not service.keyed and sizes.is_large(route.name)
        transfer = len(req.body) + (sizes.expected(route.name) if large else 0.0)
        byte_seconds = CROSS_DOMAIN_PENALTY_SECONDS_PER_BYTE * transfer
        if large:
            byte_seconds *= self._byte_weight(trial, req, route, service)
        totals = {name: sum(terms) for name, terms in trial.costs.items()}
        best = chosen.entry.id if chosen is not None else min(totals, key=totals.get, default="")
        docs = []
        for target in self._host.view.targets_of(service.name):
            name = target.entry.id
            doc = self._target_document(trial, target)
            terms = trial.costs.get(name)
            far = target.entry.domain != self._host.domain
            if terms is not None:
                doc["cost"] = dict(zip(COST_TERMS, map(finite, terms), strict=True))
                doc["cost"]["domain"] = CROSS_DOMAIN_PENALTY_SECONDS if far else 0.0
                doc["cost"]["bytes"] = finite(byte_seconds) if far else 0.0
                # The choice by bytes adds the penalties of far targets itself.
                added = CROSS_DOMAIN_PENALTY_SECONDS + byte_seconds if far and large else 0.0
                totals[name] += added
                doc["cost"]["total"] = finite(totals[name])
                doc["occupancy"] = finite(trial.occupancies[name])
            docs.append(doc)
        for doc, target in zip(docs, self._host.view.targets_of(service.name), strict=True):
            doc["chosen"] = target is chosen
            doc["reason"] = self._candidate_reason(trial, target, totals, best, chosen)
        docs.sort(key=lambda doc: (not doc["chosen"], doc.get("cost", {}).get("total") or math.inf))
        return docs

    def _byte_weight(
        self, trial: TrialChooser, req: CallerRequest, route: Route, service: Service
    ) -> float:
        """Return the share of the bytes' penalty that counts on a route with large responses."""
        near = [
            trial.response_costs.candidate(
                target,
                sum(trial.costs[target.entry.id]),
                trial.state(target).load,
                trial.occupancies[target.entry.id],
            )
            for target in self._host.view.targets_of(service.name)
            if target.entry.id in trial.costs and target.entry.domain == self._host.domain
        ]
        if not near:
            return 0.0
        best = min(near, key=lambda candidate: candidate.cost)
        return byte_weight(best, req.received_at + route.objective_seconds - trio.current_time())

    def _candidate_reason(
        self,
        trial: TrialChooser,
        target: Target,
        totals: dict[str, float],
        best: str,
        chosen: Target | None,
    ) -> str:
        """Return why a target was taken or not.

        :param totals: Cost of each target that was weighed.
        :param best: The chosen target, or the one that was found unable to answer in time.
        """
        name = target.entry.id
        if name in trial.exclusions:
            return self._use_reason(target) or trial.exclusions[name]
        wait = trial.limit_waits.get(name, 0.0)
        if wait > 0.0:
            return f"its named limit admits the next request of this host in {wait:.2f} s"
        if name == best:
            return "chosen" if chosen is not None else "it cannot answer before the deadline"
        more = totals[name] - totals[best]
        if more < 0.0:
            return "only a few random targets of other domains are compared"
        return f"its cost is higher by {more * 1000:.1f} ms"

    def _target_document(self, trial: TrialChooser, target: Target) -> dict[str, Any]:
        """Return what this host knows of the load and the limits of a target."""
        now, clock_now = trio.current_time(), self._host.view.clock.now()
        state = trial.state(target)
        load, entry = state.load, target.entry
        learned = self._host.target_model.speed(entry)
        limited = state.request_limiter.is_limited(entry.incarnation)
        return {
            "target": entry.id,
            "address": entry.address,
            "domain": entry.domain,
            "slots": entry.slots,
            "requests_here": load.own_requests,
            "waiting_here": len(state.queue),
            "occupancy": finite(load.occupancy(now)),
            "report_age": finite(now - load.last_report[1]) if load.last_report else None,
            "expected_wait": finite(load.expected_wait(now)),
            "work_time": finite(load.work_seconds),
            "response_time": finite(load.response_seconds),
            "slowdown": finite(load.slowdown),
            "learned_ratio": finite(learned.ratio) if learned is not None else None,
            "learned_limit": finite(learned.limit) if learned is not None else None,
            "cold_for": finite(max(0.0, target.cold_until - clock_now)),
            "avoided_for": finite(max(0.0, state.avoid_until - now)),
            "unreachable_for": finite(max(0.0, state.unreachable_until - now)),
            "named_limit": finite(state.request_limiter.limit) if limited else None,
            "overload": self._host.view.overloaded.get(entry.id),
        }


def finite(value: float) -> float | None:
    """Return a number of JSON, ``None`` for one that is infinite."""
    return round(value, 4) if math.isfinite(value) else None
