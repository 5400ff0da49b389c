"""What happens in each experiment."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from radishshunt.experiment.control import Control
from radishshunt.experiment.deployments import ZIPF_EXPONENT
from radishshunt.experiment.simulation import Simulation
from radishshunt.experiment.workload import make_workload

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.experiment.deployments import Deployment
    from radishshunt.experiment.profiles import Contender

# Time for placement to adapt to the load before anything is measured.
WARM_UP_SECONDS = 15.0
# Goals of section 1.3 that scenarios measure against.
IMBALANCE_GOAL = 1.15
SETTLE_SECONDS = 5.0
SHIFT_TIMES = (60.0, 120.0)


@dataclass(frozen=True, slots=True)
class Scenario:
    """One experiment.

    :param load: Offered load relative to the capacity of all targets.
    :param faults: Arranges what goes wrong, from :data:`WARM_UP_SECONDS` on.
    :param param: Parameter of the faults.
    :param exponent: Exponent of the keys' popularity; at 0 the static baseline has even load.
    :param outage: Whether the platform is down from shortly before the faults to the end.
    """

    name: str
    load: float = 0.6
    seconds: float = 45.0
    keyed: bool = True
    faults: Callable[[Control, Any], None] | None = None
    param: Any = None
    shift_times: tuple[float, ...] = ()
    caller_retries: bool = False
    outage: bool = False
    exponent: float = ZIPF_EXPONENT

    def with_outage(self) -> Scenario:
        """Return the scenario with the platform down."""
        return replace(self, name=f"{self.name}, platform down", outage=True)


def run_scenario(
    scenario: Scenario, deployment: Deployment, contender: Contender, seed: int
) -> dict[str, Any]:
    """Run an experiment and return its figures."""
    targets = deployment.workers if scenario.keyed else deployment.anyone
    capacity = deployment.capacity(targets)
    workload = make_workload(
        scenario.load * capacity,
        scenario.seconds,
        seed,
        scenario.shift_times,
        exponent=scenario.exponent,
        service_seconds=deployment.service_seconds,
    )
    sim = Simulation(
        deployment,
        contender,
        workload,
        seed,
        keyed=scenario.keyed,
        caller_retries=scenario.caller_retries,
    )
    control = Control(sim)
    control.start(scenario.seconds)
    before = sim.records
    shifts: list[float] = []
    least: list[int] = []
    for time in scenario.shift_times:
        sim.at(time + 0.001, lambda: least.append(control.least_moves(IMBALANCE_GOAL)))
        sim.at(time + SETTLE_SECONDS, lambda: shifts.append(_imbalance(control)))
    if scenario.outage:
        sim.at(WARM_UP_SECONDS - 1.0, control.set_platform, False)
    if scenario.faults is not None:
        sim.at(WARM_UP_SECONDS, scenario.faults, control, scenario.param)
    sim.at(WARM_UP_SECONDS - 0.5, _forget_warm_up, sim)
    sim.run(scenario.seconds)
    figures = before.figures(WARM_UP_SECONDS, scenario.seconds)
    allowed = [
        min(1.0, share / scenario.load) for time, share in before.usable if time > WARM_UP_SECONDS
    ]
    figures["allowed_percent"] = 100 * sum(allowed) / len(allowed)
    figures["goodput_share"] = figures["goodput"] / capacity
    if shifts:
        figures["imbalance_after_shift"] = max(shifts)
        figures["least_slices_moved"] = sum(least)
        figures["churn_ratio"] = figures["slices_moved"] / max(1, sum(least))
    if before.least_moves:
        figures["least_slices_moved"] = before.least_moves
        figures["churn_ratio"] = figures["slices_moved"] / before.least_moves
    for percent in (50, 99):
        again = before.served_again(percent)
        if again is not None:
            figures[f"served_again_p{percent}_s"] = again
    figures["cold_over_bound"] = sum(lane.target.over_bound for lane in sim.lanes)
    figures["cold_most_at_once"] = max(lane.target.most_cold for lane in sim.lanes)
    figures["most_at_once"] = max(lane.target.most_at_once for lane in sim.lanes)
    figures["connects"] = sum(lane.target.connects for lane in sim.lanes)
    figures["hedges"] = sim.hedges
    figures["caller_repeats"] = before.repeated
    return figures


def _forget_warm_up(sim: Simulation) -> None:
    """Start counting what a run's figures count over all of its time."""
    sim.records.unavailable_key_seconds = 0.0
    sim.records.repeated = 0
    for lane in sim.lanes:
        lane.target.over_bound = 0
        lane.target.most_cold = 0
        lane.target.most_at_once = 0
        lane.target.connects = 0


def _imbalance(control: Control) -> float:
    loads = list(control.true_loads().values())
    return max(loads) / (sum(loads) / len(loads))


def come_and_go(control: Control, _param: None) -> None:
    """Lose a target every 10 s; each is back 15 s later."""
    sim = control.sim
    count = len(sim.lanes)
    for step, index in enumerate((0, count // 2, count - 1)):
        at = sim.now + 10.0 * step
        sim.at(at, control.lose, sim.lanes[index])
        sim.at(at + 15.0, control.bring, sim.lanes[index])


def lose_one(control: Control, _param: None) -> None:
    """Lose a target for good."""
    control.lose(control.sim.lanes[0])


def cold_restart(control: Control, which: str) -> None:
    """Restart one target, a third of them, or those of a domain."""
    for lane in _chosen(control, which):
        control.restart(lane)


def cold_unannounced(control: Control, which: str) -> None:
    """Make targets cold that keep their connections and grants."""
    for lane in _chosen(control, which):
        control.chill(lane)


def domain_out(control: Control, _param: None) -> None:
    """Take a failure domain out at once, and bring it back after 20 s."""
    sim = control.sim
    domain = sim.deployment.domains[0]
    names = {lane.target.name for lane in sim.lanes if lane.target.domain == domain}
    if sim.keyed:
        held = sum(1 for lane in sim.owner.values() if lane.target.name in names)
        # Every slice must leave; the same number must come back to share the load again.
        control.records.least_moves = 2.0 * held
    control.take_out(domain)
    sim.at(sim.now + 20.0, control.bring_back, domain)


def stragglers(control: Control, param: tuple[int, float]) -> None:
    """Slow some targets down for 20 s."""
    count, factor = param
    sim = control.sim
    step = max(1, len(sim.lanes) // count)
    for lane in sim.lanes[::step][:count]:
        lane.target.slowdown = factor
        sim.at(sim.now + 20.0, setattr, lane.target, "slowdown", 1.0)


def slow_third(control: Control, seconds: float) -> None:
    """Slow a third of the targets down for a short time, which sets off a retry storm."""
    sim = control.sim
    for lane in sim.lanes[::3]:
        lane.target.slowdown = 5.0
        sim.at(sim.now + seconds, setattr, lane.target, "slowdown", 1.0)


def _chosen(control: Control, which: str) -> list[Any]:
    lanes = control.sim.lanes
    if which == "one":
        return lanes[:1]
    if which == "third":
        return lanes[::3]
    domain = control.sim.deployment.domains[0]
    return [lane for lane in lanes if lane.target.domain == domain]


STEADY = Scenario("steady")
LIGHT = Scenario("light load", load=0.1)
HEAT = Scenario("heat moves", seconds=180.0, shift_times=SHIFT_TIMES)
# For sweeps.
HEAT_SHORT = Scenario("heat moves, short", seconds=75.0, shift_times=(25.0, 50.0))
COME_AND_GO = Scenario("targets come and go", seconds=60.0, faults=come_and_go)
LOSE_ONE = Scenario("target lost", seconds=30.0, faults=lose_one)
COLD = [
    Scenario(f"cold restart: {which}", faults=cold_restart, param=which)
    for which in ("one", "third", "domain")
]
COLD_UNANNOUNCED = [
    Scenario(f"cold without warning: {which}", faults=cold_unannounced, param=which)
    for which in ("one", "third")
]
DOMAIN_OUT = Scenario("domain out and back", seconds=70.0, faults=domain_out)
DOMAIN_OUT_080 = replace(DOMAIN_OUT, name="domain out and back, load 0.8", load=0.8)
STRAGGLERS = [
    Scenario(f"stragglers: {n} at {x:g}x", faults=stragglers, param=(n, x))
    for n, x in ((1, 5.0), (1, 10.0), (1, 20.0), (2, 10.0), (3, 5.0), (3, 20.0))
]
# The static baseline overloads a target with Zipf popularity even without stragglers.
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
    HEAT,
    COME_AND_GO,
    LOSE_ONE,
    *COLD,
    *COLD_UNANNOUNCED,
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
        replace(HEAT, seconds=90.0, shift_times=(60.0,)),
        COME_AND_GO,
        LOSE_ONE,
        *COLD,
        COLD_UNANNOUNCED[0],
        DOMAIN_OUT,
        STRAGGLERS[1],
        LOADS[3],
        STORM,
    )
]
ANYONE = [
    replace(scenario, name=f"any target: {scenario.name}", keyed=False)
    for scenario in (
        STEADY,
        COLD[0],
        COLD_UNANNOUNCED[0],
        DOMAIN_OUT,
        *STRAGGLERS[:3],
        *LOADS,
        STORM,
    )
]
ALL = [*KEYED, *OUTAGE, *ANYONE]
BY_NAME = {scenario.name: scenario for scenario in (*ALL, LIGHT, HEAT_SHORT)}
