"""Parameter sweeps of the policies' constants."""

from __future__ import annotations

from dataclasses import dataclass
from inspect import signature
from typing import Any

from radishshunt.experiment.profiles import Constants
from radishshunt.placement.balanced import BalancedPlacement
from radishshunt.placement.hot_keys import SpaceSaving
from radishshunt.placement.request_rates import RequestRateEstimator
from radishshunt.policy.admission.expected_wait import ExpectedWait
from radishshunt.policy.balancing.expected_wait import EarliestCompletion
from radishshunt.policy.cold_start.ramp import Ramp
from radishshunt.policy.drain.staged import StagedDrain
from radishshunt.policy.hedging.budgeted import BudgetedHedging
from radishshunt.policy.queueing.adaptive_lifo import AdaptiveLifo
from radishshunt.policy.stragglers.observed import ObservedStragglers


@dataclass(frozen=True, slots=True)
class SweepValue:
    """One value of a swept constant.

    :param label: Name of the value in tables.
    :param service_seconds: Mean service time, by default the deployment's.
    """

    label: str
    constants: Constants = Constants()
    service_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class Sweep:
    """A constant, its values and the scenario that shows its effect.

    :param figures: Figures to tabulate.
    :param seconds: Length of a run, by default the scenario's own.
    """

    name: str
    scenario: str
    values: tuple[SweepValue, ...]
    figures: tuple[str, ...]
    seconds: float | None = None


RATE_SHIFT_FIGURES = (
    "imbalance_after_shift",
    "imbalance",
    "slices_moved",
    "least_slices_moved",
    "p99_ms",
)
LOAD_FIGURES = ("goodput_share", "p50_answered_ms", "p99_answered_ms", "service_percent")
TAIL_FIGURES = ("p99_ms", "p999_ms", "service_percent", "slices_moved")
COLD_FIGURES = ("service_percent", "p99_ms", "cold_over_bound", "slices_moved")
UNKEYED_FIGURES = ("p50_ms", "p99_ms", "p999_ms", "hedges", "cold_over_bound")


_POLICY_CLASSES: dict[str, type] = {
    "admission": ExpectedWait,
    "order": AdaptiveLifo,
    "ramp": Ramp,
    "stragglers": ObservedStragglers,
    "balancing": EarliestCompletion,
    "hedging": BudgetedHedging,
    "drain": StagedDrain,
    "placement": BalancedPlacement,
    "heat": RequestRateEstimator,
    "hot_keys": SpaceSaving,
}


def _policy_values(policy: str, parameter: str, *values: Any) -> tuple[SweepValue, ...]:
    in_use = signature(_POLICY_CLASSES[policy]).parameters[parameter].default
    return tuple(
        SweepValue(_label(value, in_use), Constants(**{policy: {parameter: value}}))
        for value in values
    )


def _setting_values(parameter: str, *values: Any) -> tuple[SweepValue, ...]:
    in_use = getattr(Constants(), parameter)
    return tuple(
        SweepValue(_label(value, in_use), Constants(**{parameter: value})) for value in values
    )


def _label(value: float, in_use: float) -> str:
    return f"{value:g} (in use)" if value == in_use else f"{value:g}"


SWEEPS = [
    Sweep(
        "IMBALANCE_LIMIT",
        "heat moves, short",
        _policy_values("placement", "imbalance_limit", 1.04, 1.08, 1.12, 1.2),
        RATE_SHIFT_FIGURES,
    ),
    Sweep(
        "FILL_LIMIT",
        "heat moves, short",
        _policy_values("placement", "fill_limit", 1.0, 1.02, 1.05, 1.08),
        RATE_SHIFT_FIGURES,
    ),
    Sweep(
        "NOISE_DEVIATIONS",
        "heat moves, short",
        _policy_values("placement", "noise_deviations", 0.0, 1.0, 1.5, 2.5),
        RATE_SHIFT_FIGURES,
    ),
    Sweep(
        "STAY_SECONDS",
        "heat moves, short",
        _policy_values("placement", "stay_seconds", 0, 5, 15),
        RATE_SHIFT_FIGURES,
    ),
    Sweep(
        "MOVES_PER_ROUND",
        "heat moves, short",
        _policy_values("placement", "moves_per_round", 8, 24, 64, 256),
        RATE_SHIFT_FIGURES,
    ),
    Sweep(
        "GROUP_PREFERENCE",
        "heat moves, short",
        _policy_values("placement", "group_preference", 0.0, 0.03, 0.1),
        RATE_SHIFT_FIGURES,
    ),
    Sweep(
        "AVERAGE_SECONDS",
        "heat moves, short",
        _policy_values("heat", "average_seconds", 4, 8, 16),
        RATE_SHIFT_FIGURES,
    ),
    Sweep(
        "RECENT_SECONDS",
        "heat moves, short",
        _policy_values("heat", "recent_seconds", 0.5, 1.0, 1.5),
        RATE_SHIFT_FIGURES,
    ),
    Sweep(
        "SHIFT_DEVIATIONS",
        "heat moves, short",
        _policy_values("heat", "shift_deviations", 3, 4, 5),
        RATE_SHIFT_FIGURES,
    ),
    Sweep(
        "SHIFT_SLICES",
        "heat moves, short",
        _policy_values("heat", "shift_slices", 1, 3, 8),
        RATE_SHIFT_FIGURES,
    ),
    Sweep(
        "ISOLATE_SHARE",
        "heat moves, short",
        (
            SweepValue("no isolation", Constants(no_isolation=True)),
            *_policy_values("hot_keys", "isolate_share", 0.1, 0.25, 0.5),
        ),
        RATE_SHIFT_FIGURES,
    ),
    Sweep(
        "MAX_WAIT_SECONDS",
        "load 1.2",
        _policy_values("admission", "max_wait", 0.1, 0.25, 0.5, 1, 2),
        LOAD_FIGURES,
    ),
    Sweep(
        "OVERLOAD_WAIT_SECONDS",
        "load 1.2",
        (
            SweepValue("first in, first out", Constants(fifo=True)),
            *_policy_values("order", "overload_wait", 0.05, 0.1, 0.2, 0.4),
        ),
        LOAD_FIGURES,
    ),
    Sweep(
        "OVERLOAD_WAIT_SECONDS",
        "retry storm",
        (
            SweepValue("first in, first out", Constants(fifo=True)),
            *_policy_values("order", "overload_wait", 0.05, 0.1, 0.2, 0.4),
        ),
        (*LOAD_FIGURES, "caller_repeats"),
    ),
    Sweep(
        "ENTER_RATIO",
        "stragglers: 3 at 5x",
        _policy_values("stragglers", "enter_ratio", 1.6, 2.0, 2.5, 4.0),
        TAIL_FIGURES,
    ),
    Sweep(
        "ENTER_RATIO",
        "steady",
        _policy_values("stragglers", "enter_ratio", 1.6, 2.0, 2.5, 4.0),
        TAIL_FIGURES,
    ),
    Sweep(
        "ANSWER_WEIGHT",
        "stragglers: 3 at 5x",
        _policy_values("stragglers", "answer_weight", 0.05, 0.1, 0.2, 0.4),
        TAIL_FIGURES,
    ),
    Sweep(
        "STRAGGLER_SHARE",
        "stragglers: 3 at 20x",
        _setting_values("straggler_share", 0.005, 0.02, 0.1, 0.3),
        TAIL_FIGURES,
    ),
    Sweep(
        "STEP_SECONDS",
        "cold restart: third",
        _policy_values("ramp", "step_seconds", 0, 0.5, 2),
        COLD_FIGURES,
    ),
    Sweep(
        "IDLE_SECONDS",
        "light load",
        _policy_values("ramp", "idle_seconds", 0.0, 0.1, 0.3, 0.9),
        ("p50_ms", "p99_ms", "p999_ms"),
    ),
    Sweep(
        "COLD_SHARE",
        "cold restart: domain",
        _policy_values("drain", "cold_share", 0.2, 0.4, 0.6, 1.0),
        COLD_FIGURES,
    ),
    Sweep(
        "RETRY_RATIO",
        "cold restart: third",
        _setting_values("retry_ratio", 0.0, 0.1, 1.0),
        COLD_FIGURES,
    ),
    Sweep(
        "REFUSAL_RATIO",
        "cold without warning: third",
        _setting_values("refusal_ratio", 0.0, 0.2, 1.0),
        COLD_FIGURES,
    ),
    Sweep(
        "SLOW_SHARE",
        "any target: stragglers: 1 at 20x",
        (
            SweepValue("no hedging", Constants(no_hedging=True)),
            *_policy_values("hedging", "slow_share", 0.02, 0.05, 0.1),
        ),
        UNKEYED_FIGURES,
    ),
    Sweep(
        "BUDGET_RATIO",
        "any target: stragglers: 1 at 20x",
        _policy_values("hedging", "budget_ratio", 0.02, 0.05, 0.1),
        UNKEYED_FIGURES,
    ),
    Sweep(
        "PROBE_EVERY",
        "any target: stragglers: 1 at 20x",
        _policy_values("balancing", "probe_every", 50, 200, 1000),
        UNKEYED_FIGURES,
    ),
    Sweep("send_ahead", "load 2", _setting_values("send_ahead", 0, 1, 2), LOAD_FIGURES),
    Sweep(
        "send_ahead", "domain out and back", _setting_values("send_ahead", 0, 1, 2), TAIL_FIGURES
    ),
    Sweep(
        "assumed service time in ms",
        "load 2",
        tuple(SweepValue(f"{1000 * s:g}", service_seconds=s) for s in (0.01, 0.02, 0.04, 0.08)),
        LOAD_FIGURES,
    ),
    Sweep(
        "assumed service time in ms",
        "heat moves, short",
        tuple(SweepValue(f"{1000 * s:g}", service_seconds=s) for s in (0.01, 0.02, 0.04, 0.08)),
        RATE_SHIFT_FIGURES,
    ),
    Sweep(
        "assumed service time in ms",
        "domain out and back",
        tuple(SweepValue(f"{1000 * s:g}", service_seconds=s) for s in (0.01, 0.02, 0.04, 0.08)),
        TAIL_FIGURES,
    ),
]
