"""Checks measured figures against the goals of section 1.3 of the design."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from radishshunt.experiment.runner import Figure, Summary


@dataclass(frozen=True, slots=True)
class GoalResult:
    """A goal, its target value and the measured value.

    :param side: Name of the policy variant that was measured.
    """

    goal: str
    target: str
    deployment: str
    side: str
    value: str
    met: bool


def evaluate_goals(summary: Summary) -> list[GoalResult]:
    """Return a result for every goal that the runs have figures for."""
    result = []
    for deployment in sorted({key[2] for key in summary if key[0] == "scenarios"}):
        for side in ("policy", "policy, send-ahead 1"):
            result += _GoalEvaluator(summary, deployment, side).evaluate()
    return result


class _GoalEvaluator:
    def __init__(self, summary: Summary, deployment: str, side: str) -> None:
        self._summary = summary
        self._deployment = deployment
        self._side = side

    def evaluate(self) -> list[GoalResult]:
        """Return the results of one policy variant in one deployment."""
        results = [
            *self._straggler_goals(),
            self._at_least_goal(
                "service, domain out and back, load 0.6", "domain out and back", 99.9, "service"
            ),
            self._remaining_capacity_goal(),
            self._at_most_goal(
                "imbalance 5 s after a shift", "heat moves", "imbalance_after_shift", 1.15
            ),
            *self._recovery_goals(),
            *self._cold_limit_goals(),
            self._at_least_goal("goodput at load 2, share of capacity", "load 2", 0.95, "goodput"),
            self._churn_goal("heat moves"),
            self._churn_goal("domain out and back"),
        ]
        return [result for result in results if result is not None]

    def _figure(self, case: str, name: str, side: str = "") -> Figure | None:
        sides = self._summary.get(("scenarios", case, self._deployment), {})
        return sides.get(side or self._side, {}).get(name)

    def _cases_with_prefix(self, prefix: str) -> list[str]:
        return [k[1] for k in self._summary if k[1].startswith(prefix) and k[2] == self._deployment]

    def _goal_result(self, goal: str, target: str, value: str, met: bool) -> GoalResult:
        return GoalResult(goal, target, self._deployment, self._side, value, met)

    def _straggler_goals(self) -> list[GoalResult]:
        result = []
        for case in [
            *self._cases_with_prefix("stragglers"),
            *self._cases_with_prefix("any target: stragglers"),
        ]:
            policy, baseline = self._figure(case, "p99_ms"), self._figure(case, "p99_ms", "static")
            if policy is not None and baseline is not None:
                ratio = policy.mean / baseline.mean
                goal = f"p99 relative to static, {case}"
                result.append(self._goal_result(goal, "<= 0.333", f"{ratio:.3f}", ratio <= 1 / 3))
        return result

    def _at_least_goal(self, goal: str, case: str, least: float, kind: str) -> GoalResult | None:
        figure = self._figure(case, f"{kind}_percent" if kind == "service" else f"{kind}_share")
        if figure is None:
            return None
        return self._goal_result(goal, f">= {least:g}", f"{figure.mean:.4g}", figure.mean >= least)

    def _at_most_goal(self, goal: str, case: str, name: str, most: float) -> GoalResult | None:
        figure = self._figure(case, name)
        if figure is None:
            return None
        return self._goal_result(goal, f"<= {most:g}", f"{figure.mean:.4g}", figure.mean <= most)

    def _remaining_capacity_goal(self) -> GoalResult | None:
        case = "domain out and back, load 0.8"
        service, allowed = self._figure(case, "service_percent"), self._figure(
            case, "allowed_percent"
        )
        if service is None or allowed is None:
            return None
        return self._goal_result(
            f"service, {case}, against the remaining capacity",
            f">= {allowed.mean - 2:.2f}",
            f"{service.mean:.2f}",
            service.mean >= allowed.mean - 2,
        )

    def _recovery_goals(self) -> list[GoalResult]:
        results = [
            self._at_most_goal(
                f"keys served again, {case}, p99 in s", case, "served_again_p99_s", 2.0
            )
            for case in self._cases_with_prefix("target lost")
        ]
        return [result for result in results if result is not None]

    def _cold_limit_goals(self) -> list[GoalResult]:
        result = []
        for prefix in ("cold", "targets come", "any target: cold"):
            for case in self._cases_with_prefix(prefix):
                figure = self._figure(case, "cold_over_bound")
                if figure is not None:
                    goal = f"requests over the cold bound, {case}"
                    met = figure.high == 0
                    result.append(self._goal_result(goal, "0", f"{figure.mean:.4g}", met))
        return result

    def _churn_goal(self, case: str) -> GoalResult | None:
        moved, least = self._figure(case, "slices_moved"), self._figure(case, "least_slices_moved")
        if moved is None or least is None or not least.mean:
            return None
        ratio = moved.mean / least.mean
        return self._goal_result(
            f"churn relative to the reference, {case}", "<= 2", f"{ratio:.2f}", ratio <= 2
        )
