"""Scenarios: the load and the faults of each experiment."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from radishshunt.experiment.control import ControlPlane
from radishshunt.experiment.deployments import ZIPF_EXPONENT
from radishshunt.experiment.simulation import DispatchSimulation
from radishshunt.experiment.workload import make_workload

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.experiment.deployments import Deployment
    from radishshunt.experiment.profiles import Variant

# Lets the placement adapt to the load before the measurement.
WARM_UP_SECONDS = 15.0
# Largest max/mean load, and the time to reach it after a shift, by section 1.3 of the design.
IMBALANCE_GOAL = 1.15
SETTLE_SECONDS = 5.0
SHIFT_TIMES = (60.0, 120.0)


@dataclass(frozen=True, slots=True)
class Scenario:
    """One experiment.

    :param load: Offered load relative to the capacity of all targets.
    :param seconds: Length of the run.
    :param faults: Function called at :data:`WARM_UP_SECONDS` that injects the faults.
    :param param: Second argument of ``faults``.
    :param shift_times: Times at which the hottest keys change.
    :param caller_retries: Whether callers repeat requests that failed.
    :param outage: Whether the platform is down from 1 s before the faults to the end.
    :param exponent: Zipf exponent of the keys' popularity; at 0 the static baseline has an even
        load.
    """

    name: str
    load: float = 0.6
    seconds: float = 45.0
    keyed: bool = True
    faults: Callable[[ControlPlane, Any], None] | None = None
    param: Any = None
    shift_times: tuple[float, ...] = ()
    caller_retries: bool = False
    outage: bool = False
    exponent: float = ZIPF_EXPONENT

    def with_outage(self) -> Scenario:
        """Return this scenario with an outage of the platform."""
        return replace(self, name=f"{self.name}, platform down", outage=True)


def run_scenario(
    scenario: Scenario, deployment: Deployment, variant: Variant, seed: int
) -> dict[str, Any]:
    """Run an experiment and return its figures."""
    targets = deployment.keyed_targets if scenario.keyed else deployment.unkeyed_targets
    capacity = deployment.capacity(targets)
    workload = make_workload(
        scenario.load * capacity,
        scenario.seconds,
        seed,
        scenario.shift_times,
        exponent=scenario.exponent,
        service_seconds=deployment.service_seconds,
    )
    sim = DispatchSimulation(
        deployment,
        variant,
        workload,
        seed,
        keyed=scenario.keyed,
        caller_retries=scenario.caller_retries,
    )
    control = ControlPlane(sim)
    control.start(scenario.seconds)
    records = sim.records
    imbalances_after_shift: list[float] = []
    reference_move_counts: list[int] = []
    for time in scenario.shift_times:
        sim.call_at(
            time + 0.001,
            lambda: reference_move_counts.append(control.reference_moves(IMBALANCE_GOAL)),
        )
        sim.call_at(
            time + SETTLE_SECONDS,
            lambda: imbalances_after_shift.append(_current_imbalance(control)),
        )
    if scenario.outage:
        sim.call_at(WARM_UP_SECONDS - 1.0, control.set_platform, False)
    if scenario.faults is not None:
        sim.call_at(WARM_UP_SECONDS, scenario.faults, control, scenario.param)
    sim.call_at(WARM_UP_SECONDS - 0.5, _reset_counters, sim)
    sim.run(scenario.seconds)
    figures = records.figures(WARM_UP_SECONDS, scenario.seconds)
    servable_shares = [
        min(1.0, share / scenario.load)
        for time, share in records.usable_capacity
        if time > WARM_UP_SECONDS
    ]
    figures["allowed_percent"] = 100 * sum(servable_shares) / len(servable_shares)
    figures["goodput_share"] = figures["goodput"] / capacity
    if imbalances_after_shift:
        figures["imbalance_after_shift"] = max(imbalances_after_shift)
        figures["least_slices_moved"] = sum(reference_move_counts)
        figures["churn_ratio"] = figures["slices_moved"] / max(1, sum(reference_move_counts))
    if records.reference_moves:
        figures["least_slices_moved"] = records.reference_moves
        figures["churn_ratio"] = figures["slices_moved"] / records.reference_moves
    for percent in (50, 99):
        recovery_seconds = records.recovery_percentile(percent)
        if recovery_seconds is not None:
            figures[f"served_again_p{percent}_s"] = recovery_seconds
    figures["cold_over_bound"] = sum(lane.target.over_cold_limit for lane in sim.lanes)
    figures["cold_most_at_once"] = max(lane.target.max_outstanding_cold for lane in sim.lanes)
    figures["most_at_once"] = max(lane.target.max_outstanding for lane in sim.lanes)
    figures["connects"] = sum(lane.target.opened_connections for lane in sim.lanes)
    figures["hedges"] = sim.hedges
    figures["caller_repeats"] = records.caller_repeats
    return figures


def _reset_counters(sim: DispatchSimulation) -> None:
    """Reset the counters that are not timestamped, so that figures exclude the warm-up."""
    sim.records.unavailable_key_seconds = 0.0
    sim.records.caller_repeats = 0
    for lane in sim.lanes:
        lane.target.over_cold_limit = 0
        lane.target.max_outstanding_cold = 0
        lane.target.max_outstanding = 0
        lane.target.opened_connections = 0


def _current_imbalance(control: ControlPlane) -> float:
    loads = list(control.true_loads().values())
    return max(loads) / (sum(loads) / len(loads))


def lose_and_restore(control: ControlPlane, _param: None) -> None:
    """Lose three targets, one every 10 s, and restore each after 15 s."""
    sim = control.sim
    count = len(sim.lanes)
    for step, index in enumerate((0, count // 2, count - 1)):
        at = sim.now + 10.0 * step
        sim.call_at(at, control.lose_target, sim.lanes[index])
        sim.call_at(at + 15.0, control.restore_target, sim.lanes[index])


def lose_one(control: ControlPlane, _param: None) -> None:
    """Lose one target permanently."""
    control.lose_target(control.sim.lanes[0])


def cold_restart(control: ControlPlane, selection: str) -> None:
    """Restart one target, a third of the targets or all targets of a domain."""
    for lane in _selected_lanes(control, selection):
        control.restart_target(lane)


def cold_without_restart(control: ControlPlane, selection: str) -> None:
    """Make targets cold without closing their connections or revoking their grants."""
    for lane in _selected_lanes(control, selection):
        control.make_cold(lane)


def domain_out(control: ControlPlane, _param: None) -> None:
    """Take a failure domain out of use and restore it after 20 s."""
    sim = control.sim
    domain = sim.deployment.domains[0]
    names = {lane.target.name for lane in sim.lanes if lane.target.domain == domain}
    if sim.keyed:
        owned_slices = sum(1 for lane in sim.owner.values() if lane.target.name in names)
        # All slices of the domain must move away, and as many must move back to even the load.
        control.records.reference_moves = 2.0 * owned_slices
    control.take_out_domain(domain)
    sim.call_at(sim.now + 20.0, control.restore_domain, domain)


def stragglers(control: ControlPlane, param: tuple[int, float]) -> None:
    """Slow some targets down for 20 s."""
    count, factor = param
    sim = control.sim
    step = max(1, len(sim.lanes) // count)
    for lane in sim.lanes[::step][:count]:
        lane.target.slowdown = factor
        sim.call_at(sim.now + 20.0, setattr, lane.target, "slowdown", 1.0)


def slow_third(control: ControlPlane, seconds: float) -> None:
    """Slow a third of the targets down for some seconds, which starts a retry storm."""
    sim = control.sim
    for lane in sim.lanes[::3]:
        lane.target.slowdown = 5.0
        sim.call_at(sim.now + seconds, setattr, lane.target, "slowdown", 1.0)


def _selected_lanes(control: ControlPlane, selection: str) -> list[Any]:
    lanes = control.sim.lanes
    if selection == "one":
        return lanes[:1]
    if selection == "third":
        return lanes[::3]
    domain = control.sim.deployment.domains[0]
    return [lane for lane in lanes if lane.target.domain == domain]


STEADY = Scenario("steady")
LIGHT_LOAD = Scenario("light load", load=0.1)
RATE_SHIFT = Scenario("heat moves", seconds=180.0, shift_times=SHIFT_TIMES)
# Used by the sweeps.
RATE_SHIFT_SHORT = Scenario("heat moves, short", seconds=75.0, shift_times=(25.0, 50.0))
LOSE_AND_RESTORE = Scenario("targets come and go", seconds=60.0, faults=lose_and_restore)
LOSE_ONE = Scenario("target lost", seconds=30.0, faults=lose_one)
COLD = [
    Scenario(f"cold restart: {selection}", faults=cold_restart, param=selection)
    for selection in ("one", "third", "domain")
]
COLD_WITHOUT_RESTART = [
    Scenario(f"cold without warning: {selection}", faults=cold_without_restart, param=selection)
    for selection in ("one", "third")
]
DOMAIN_OUT = Scenario("domain out and back", seconds=70.0, faults=domain_out)
DOMAIN_OUT_080 = replace(DOMAIN_OUT, name="domain out and back, load 0.8", load=0.8)
STRAGGLERS = [
    Scenario(f"stragglers: {n} at {x:g}x", faults=stragglers, param=(n, x))
    for n, x in ((1, 5.0), (1, 10.0), (1, 20.0), (2, 10.0), (3, 5.0), (3, 20.0))
]
# With Zipf popularity, the static baseline overloads a target even without stragglers.
STRAGGLERS_EVEN = [
    replace(scenario, name=f"{scenario.name}, even keys", exponent=0.0)
    for scenario in (STRAGGLERS[0], STRAGGLERS[5])
]
LOADS = [Scenario(f"load {x:g}", load=x, seconds=40.0) for x in (0.7, 0.9, 1.2, 2.0)]
STORM = Scenario(
    "retry storm", load=0.8, seconds=60.0, faults=slow_third, param=5.0, caller_retries=True
)

KEYED = [
    STEADY,
    RATE_SHIFT,
    LOSE_AND_RESTORE,
    LOSE_ONE,
    *COLD,
    *COLD_WITHOUT_RESTART,
    DOMAIN_OUT,
    DOMAIN_OUT_080,
    *STRAGGLERS,
    *STRAGGLERS_EVEN,
    *LOADS,
    STORM,
]
OUTAGE = [
    scenario.with_outage()
    for scenario in (
        STEADY,
        replace(RATE_SHIFT, seconds=90.0, shift_times=(60.0,)),
        LOSE_AND_RESTORE,
        LOSE_ONE,
        *COLD,
        COLD_WITHOUT_RESTART[0],
        DOMAIN_OUT,
        STRAGGLERS[1],
        LOADS[3],
        STORM,
    )
]
UNKEYED = [
    replace(scenario, name=f"any target: {scenario.name}", keyed=False)
    for scenario in (
        STEADY,
        COLD[0],
        COLD_WITHOUT_RESTART[0],
        DOMAIN_OUT,
        *STRAGGLERS[:3],
        *LOADS,
        STORM,
    )
]
SCENARIOS = [*KEYED, *OUTAGE, *UNKEYED]
SCENARIOS_BY_NAME = {
    scenario.name: scenario for scenario in (*SCENARIOS, LIGHT_LOAD, RATE_SHIFT_SHORT)
}
