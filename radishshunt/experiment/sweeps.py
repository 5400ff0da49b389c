"""Sweeps of the policies' constants."""

from __future__ import annotations

from dataclasses import dataclass
from inspect import signature
from typing import Any

from radishshunt.experiment.profiles import Constants
from radishshunt.placement.balanced import BalancedPlacement
from radishshunt.placement.hot_keys import SpaceSaving
from radishshunt.placement.request_rates import RequestRateEstimator
from radishshunt.policy.admission.expected_wait import ExpectedWait
from radishshunt.policy.balancing.expected_wait import LeastExpectedWait
from radishshunt.policy.cold_start.ramp import Ramp
from radishshunt.policy.drain.staged import StagedDrain
from radishshunt.policy.hedging.budgeted import BudgetedHedging
from radishshunt.policy.queueing.adaptive_lifo import AdaptiveLifo
from radishshunt.policy.stragglers.observed import ObservedStragglers


@dataclass(frozen=True, slots=True)
class Value:
    """One value of a swept constant."""

    label: str
    constants: Constants = Constants()
    service_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class Sweep:
    """A constant, its values and the scenario that shows its effect.

    :param figures: Figures to tabulate.
    :param seconds: Length of a run, by default the scenario's.
    """

    name: str
    scenario: str
    values: tuple[Value, ...]
    figures: tuple[str, ...]
    seconds: float | None = None


HEAT = ("imbalance_after_shift", "imbalance", "slices_moved", "least_slices_moved", "p99_ms")
LOAD = ("goodput_share", "p50_answered_ms", "p99_answered_ms", "service_percent")
TAIL = ("p99_ms", "p999_ms", "service_percent", "slices_moved")
COLD = ("service_percent", "p99_ms", "cold_over_bound", "slices_moved")
ANYONE = ("p50_ms", "p99_ms", "p999_ms", "hedges", "cold_over_bound")


_POLICIES: dict[str, type] = {
    "admission": ExpectedWait,
    "order": AdaptiveLifo,
    "ramp": Ramp,
    "stragglers": ObservedStragglers,
    "balancing": LeastExpectedWait,
    "hedging": BudgetedHedging,
    "drain": StagedDrain,
    "placement": BalancedPlacement,
    "heat": RequestRateEstimator,
    "hot_keys": SpaceSaving,
}


def _values(policy: str, parameter: str, *values: Any) -> tuple[Value, ...]:
    used = signature(_POLICIES[policy]).parameters[parameter].default
    return tuple(
        Value(_label(value, used), Constants(**{policy: {parameter: value}})) for value in values
    )


def _plain(parameter: str, *values: Any) -> tuple[Value, ...]:
    used = getattr(Constants(), parameter)
    return tuple(Value(_label(value, used), Constants(**{parameter: value})) for value in values)


def _label(value: float, used: float) -> str:
    return f"{value:g} (in use)" if value == used else f"{value:g}"


SWEEPS = [
    Sweep(
        "IMBALANCE_LIMIT",
        "heat moves, short",
        _values("placement", "imbalance_limit", 1.04, 1.08, 1.12, 1.2),
        HEAT,
    ),
    Sweep(
        "FILL_LIMIT",
        "heat moves, short",
        _values("placement", "fill_limit", 1.0, 1.02, 1.05, 1.08),
        HEAT,
    ),
    Sweep(
        "NOISE_DEVIATIONS",
        "heat moves, short",
        _values("placement", "noise_deviations", 0.0, 1.0, 1.5, 2.5),
        HEAT,
    ),
    Sweep(
        "STAY_SECONDS", "heat moves, short", _values("placement", "stay_seconds", 0, 5, 15), HEAT
    ),
    Sweep(
        "MOVES_PER_ROUND",
        "heat moves, short",
        _values("placement", "moves_per_round", 8, 24, 64, 256),
        HEAT,
    ),
    Sweep(
        "GROUP_PREFERENCE",
        "heat moves, short",
        _values("placement", "group_preference", 0.0, 0.03, 0.1),
        HEAT,
    ),
    Sweep(
        "AVERAGE_SECONDS", "heat moves, short", _values("heat", "average_seconds", 4, 8, 16), HEAT
    ),
    Sweep(
        "RECENT_SECONDS",
        "heat moves, short",
        _values("heat", "recent_seconds", 0.5, 1.0, 1.5),
        HEAT,
    ),
    Sweep(
        "SHIFT_DEVIATIONS", "heat moves, short", _values("heat", "shift_deviations", 3, 4, 5), HEAT
    ),
    Sweep("SHIFT_SLICES", "heat moves, short", _values("heat", "shift_slices", 1, 3, 8), HEAT),
    Sweep(
        "ISOLATE_SHARE",
        "heat moves, short",
        (
            Value("no isolation", Constants(no_isolation=True)),
            *_values("hot_keys", "isolate_share", 0.1, 0.25, 0.5),
        ),
        HEAT,
    ),
    Sweep(
        "MAX_WAIT_SECONDS", "load 1.2", _values("admission", "max_wait", 0.1, 0.25, 0.5, 1, 2), LOAD
    ),
    Sweep(
        "OVERLOAD_WAIT_SECONDS",
        "load 1.2",
        (
            Value("first in, first out", Constants(fifo=True)),
            *_values("order", "overload_wait", 0.05, 0.1, 0.2, 0.4),
        ),
        LOAD,
    ),
    Sweep(
        "OVERLOAD_WAIT_SECONDS",
        "retry storm",
        (
            Value("first in, first out", Constants(fifo=True)),
            *_values("order", "overload_wait", 0.05, 0.1, 0.2, 0.4),
        ),
        (*LOAD, "caller_repeats"),
    ),
    Sweep(
        "ENTER_RATIO",
        "stragglers: 3 at 5x",
        _values("stragglers", "enter_ratio", 1.6, 2.0, 2.5, 4.0),
        TAIL,
    ),
    Sweep("ENTER_RATIO", "steady", _values("stragglers", "enter_ratio", 1.6, 2.0, 2.5, 4.0), TAIL),
    Sweep(
        "ANSWER_WEIGHT",
        "stragglers: 3 at 5x",
        _values("stragglers", "answer_weight", 0.05, 0.1, 0.2, 0.4),
        TAIL,
    ),
    Sweep(
        "STRAGGLER_SHARE",
        "stragglers: 3 at 20x",
        _plain("straggler_share", 0.005, 0.02, 0.1, 0.3),
        TAIL,
    ),
    Sweep("STEP_SECONDS", "cold restart: third", _values("ramp", "step_seconds", 0, 0.5, 2), COLD),
    Sweep(
        "IDLE_SECONDS",
        "light load",
        _values("ramp", "idle_seconds", 0.0, 0.1, 0.3, 0.9),
        ("p50_ms", "p99_ms", "p999_ms"),
    ),
    Sweep(
        "COLD_SHARE",
        "cold restart: domain",
        _values("drain", "cold_share", 0.2, 0.4, 0.6, 1.0),
        COLD,
    ),
    Sweep("RETRY_RATIO", "cold restart: third", _plain("retry_ratio", 0.0, 0.1, 1.0), COLD),
    Sweep(
        "REFUSAL_RATIO",
        "cold without warning: third",
        _plain("refusal_ratio", 0.0, 0.2, 1.0),
        COLD,
    ),
    Sweep(
        "SLOW_SHARE",
        "any target: stragglers: 1 at 20x",
        (
            Value("no hedging", Constants(no_hedging=True)),
            *_values("hedging", "slow_share", 0.02, 0.05, 0.1),
        ),
        ANYONE,
    ),
    Sweep(
        "BUDGET_RATIO",
        "any target: stragglers: 1 at 20x",
        _values("hedging", "budget_ratio", 0.02, 0.05, 0.1),
        ANYONE,
    ),
    Sweep(
        "PROBE_EVERY",
        "any target: stragglers: 1 at 20x",
        _values("balancing", "probe_every", 50, 200, 1000),
        ANYONE,
    ),
    Sweep("send_ahead", "load 2", _plain("send_ahead", 0, 1, 2), LOAD),
    Sweep("send_ahead", "domain out and back", _plain("send_ahead", 0, 1, 2), TAIL),
    Sweep(
        "assumed service time in ms",
        "load 2",
        tuple(Value(f"{1000 * s:g}", service_seconds=s) for s in (0.01, 0.02, 0.04, 0.08)),
        LOAD,
    ),
    Sweep(
        "assumed service time in ms",
        "heat moves, short",
        tuple(Value(f"{1000 * s:g}", service_seconds=s) for s in (0.01, 0.02, 0.04, 0.08)),
        HEAT,
    ),
    Sweep(
        "assumed service time in ms",
        "domain out and back",
        tuple(Value(f"{1000 * s:g}", service_seconds=s) for s in (0.01, 0.02, 0.04, 0.08)),
        TAIL,
    ),
]
