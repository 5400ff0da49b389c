"""The goals of section 1.3 of the design against measured figures."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from radishshunt.experiment.runner import Figure, Summary


@dataclass(frozen=True, slots=True)
class Outcome:
    """A goal and what was measured.

    :param side: Contender that the value is of.
    """

    goal: str
    target: str
    deployment: str
    side: str
    value: str
    met: bool


def outcomes(summary: Summary) -> list[Outcome]:
    """Return every goal that the runs say something about."""
    result = []
    for deployment in sorted({key[2] for key in summary if key[0] == "scenarios"}):
        for side in ("policy", "policy, send-ahead 1"):
            result += _Reader(summary, deployment, side).all()
    return result


class _Reader:
    def __init__(self, summary: Summary, deployment: str, side: str) -> None:
        self._summary = summary
        self._deployment = deployment
        self._side = side

    def all(self) -> list[Outcome]:
        """Return the goals of one side in one deployment."""
        found = [
            *self._stragglers(),
            self._least(
                "service, domain out and back, load 0.6", "domain out and back", 99.9, "service"
            ),
            self._allowed(),
            self._most("imbalance 5 s after a shift", "heat moves", "imbalance_after_shift", 1.15),
            *self._served_again(),
            *self._cold(),
            self._least("goodput at load 2, share of capacity", "load 2", 0.95, "goodput"),
            self._churn("heat moves"),
            self._churn("domain out and back"),
        ]
        return [outcome for outcome in found if outcome is not None]

    def _figure(self, case: str, name: str, side: str = "") -> Figure | None:
        sides = self._summary.get(("scenarios", case, self._deployment), {})
        return sides.get(side or self._side, {}).get(name)

    def _cases(self, start: str) -> list[str]:
        return [k[1] for k in self._summary if k[1].startswith(start) and k[2] == self._deployment]

    def _outcome(self, goal: str, target: str, value: str, met: bool) -> Outcome:
        return Outcome(goal, target, self._deployment, self._side, value, met)

    def _stragglers(self) -> list[Outcome]:
        result = []
        for case in [*self._cases("stragglers"), *self._cases("any target: stragglers")]:
            ours, plain = self._figure(case, "p99_ms"), self._figure(case, "p99_ms", "static")
            if ours is not None and plain is not None:
                ratio = ours.mean / plain.mean
                goal = f"p99 relative to static, {case}"
                result.append(self._outcome(goal, "<= 0.333", f"{ratio:.3f}", ratio <= 1 / 3))
        return result

    def _least(self, goal: str, case: str, least: float, kind: str) -> Outcome | None:
        figure = self._figure(case, f"{kind}_percent" if kind == "service" else f"{kind}_share")
        if figure is None:
            return None
        return self._outcome(goal, f">= {least:g}", f"{figure.mean:.4g}", figure.mean >= least)

    def _most(self, goal: str, case: str, name: str, most: float) -> Outcome | None:
        figure = self._figure(case, name)
        if figure is None:
            return None
        return self._outcome(goal, f"<= {most:g}", f"{figure.mean:.4g}", figure.mean <= most)

    def _allowed(self) -> Outcome | None:
        case = "domain out and back, load 0.8"
        service, allowed = self._figure(case, "service_percent"), self._figure(
            case, "allowed_percent"
        )
        if service is None or allowed is None:
            return None
        return self._outcome(
            f"service, {case}, against the remaining capacity",
            f">= {allowed.mean - 2:.2f}",
            f"{service.mean:.2f}",
            service.mean >= allowed.mean - 2,
        )

    def _served_again(self) -> list[Outcome]:
        found = [
            self._most(f"keys served again, {case}, p99 in s", case, "served_again_p99_s", 2.0)
            for case in self._cases("target lost")
        ]
        return [outcome for outcome in found if outcome is not None]

    def _cold(self) -> list[Outcome]:
        result = []
        for start in ("cold", "targets come", "any target: cold"):
            for case in self._cases(start):
                figure = self._figure(case, "cold_over_bound")
                if figure is not None:
                    goal = f"requests over the cold bound, {case}"
                    met = figure.high == 0
                    result.append(self._outcome(goal, "0", f"{figure.mean:.4g}", met))
        return result

    def _churn(self, case: str) -> Outcome | None:
        moved, least = self._figure(case, "slices_moved"), self._figure(case, "least_slices_moved")
        if moved is None or least is None or not least.mean:
            return None
        ratio = moved.mean / least.mean
        return self._outcome(
            f"churn relative to the reference, {case}", "<= 2", f"{ratio:.2f}", ratio <= 2
        )
