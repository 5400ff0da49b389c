"""Short experiments: the engine itself, and the bounds that the policies must keep in it."""

from __future__ import annotations

from dataclasses import replace

import pytest
from typer.testing import CliRunner

from radishshunt.cmd.main import app
from radishshunt.experiment.control import Control
from radishshunt.experiment.deployments import LANDESAMT, TOTARA
from radishshunt.experiment.profiles import AHEAD, POLICY, REPORTED, STATIC, Contender
from radishshunt.experiment.scenarios import ALL, BY_NAME, Scenario, run_scenario
from radishshunt.experiment.sharing import DISPATCHER, MODES, compare
from radishshunt.experiment.simulation import Simulation
from radishshunt.experiment.workload import make_workload

SMALL = replace(LANDESAMT, workers=9, anyone=6, hosts=4)


def short(name: str, seconds: float = 26.0) -> Scenario:
    return replace(BY_NAME[name], seconds=seconds)


@pytest.mark.parametrize("contender", [STATIC, POLICY, AHEAD], ids=lambda c: c.name)
@pytest.mark.parametrize("keyed", [True, False])
def test_every_request_ends_once(contender: Contender, keyed: bool) -> None:
    """Guards against figures that lose the requests that fared worst."""
    workload = make_workload(300.0, 12.0, 3)
    sim = Simulation(SMALL, contender, workload, 3, keyed=keyed)
    control = Control(sim)
    control.start(12.0)
    sim.at(4.0, control.restart, sim.lanes[0])
    sim.at(5.0, control.lose, sim.lanes[3])
    sim.at(6.0, control.take_out, LANDESAMT.domains[2])
    sim.at(8.0, control.bring_back, LANDESAMT.domains[2])
    sim.run(12.0)
    assert len(sim.records.arrived) == len(workload.times)
    assert all(not lane.state.running for lane in sim.lanes)
    assert all(not lane.state.waiting for lane in sim.lanes)


def test_same_seed_gives_the_same_figures() -> None:
    """Guards against experiments that can't be repeated."""
    scenario = short("stragglers: 1 at 10x", 20.0)
    assert run_scenario(scenario, SMALL, POLICY, 5) == run_scenario(scenario, SMALL, POLICY, 5)


@pytest.mark.parametrize("scenario", ALL, ids=lambda s: s.name)
def test_every_scenario_runs(scenario: Scenario) -> None:
    """Guards against scenarios that fail only in the long measurement."""
    figures = run_scenario(replace(scenario, seconds=18.0), SMALL, POLICY, 1)
    assert figures["requests"] > 0


@pytest.mark.parametrize("which", ["one", "third", "domain"])
@pytest.mark.parametrize("deployment", [LANDESAMT, TOTARA], ids=lambda d: d.name)
def test_restarted_targets_stay_within_their_cold_bound(
    which: str, deployment
) -> None:  # noqa: ANN001
    """Guards against a cold target that gets more than it bears."""
    figures = run_scenario(short(f"cold restart: {which}"), deployment, POLICY, 2)
    assert figures["cold_over_bound"] == 0
    assert figures["cold_most_at_once"] == 1


def test_target_that_turns_cold_unannounced_refuses_one_request_at_most() -> None:
    """Guards against going on after the first evidence of a cold start."""
    figures = run_scenario(short("cold without warning: one"), LANDESAMT, POLICY, 2)
    assert figures["cold_over_bound"] <= 2
    assert figures["cold_most_at_once"] == 1


def test_slots_are_never_exceeded() -> None:
    """Guards against more requests at once than slots, at twice the capacity."""
    figures = run_scenario(short("load 2", 18.0), LANDESAMT, POLICY, 2)
    assert figures["most_at_once"] <= 3


def test_policy_beats_static_with_a_straggler() -> None:
    """Guards against losing the goal of a third of the static p99."""
    scenario = short("stragglers: 1 at 10x")
    ours = run_scenario(scenario, LANDESAMT, POLICY, 2)
    plain = run_scenario(scenario, LANDESAMT, STATIC, 2)
    assert ours["p99_ms"] <= plain["p99_ms"] / 3


def test_policy_beats_both_baselines_without_keys() -> None:
    """Guards against a choice of target that believes late load reports."""
    scenario = short("any target: stragglers: 1 at 10x")
    ours = run_scenario(scenario, TOTARA, POLICY, 2)
    for baseline in (STATIC, REPORTED):
        assert ours["p99_ms"] < run_scenario(scenario, TOTARA, baseline, 2)["p99_ms"]


def test_heat_is_spread_after_a_shift() -> None:
    """Guards against an imbalance that lasts after the hottest keys change."""
    figures = run_scenario(short("heat moves, short", 57.0), LANDESAMT, POLICY, 1)
    assert figures["imbalance_after_shift"] <= 1.25


def test_one_dispatcher_bounds_what_shares_do_not() -> None:
    """Guards against a comparison in which the modes don't differ."""
    figures = {mode: compare(SMALL, mode, 0.6, 1, cold=True) for mode in MODES}
    assert figures[DISPATCHER]["most_at_once"] <= 3
    assert figures[DISPATCHER]["cold_over_bound"] == 0
    assert all(figures[m]["cold_over_bound"] > 0 for m in MODES if m != DISPATCHER)


def test_command_writes_tables_into_marked_sections(tmp_path) -> None:  # noqa: ANN001
    """Guards against a page whose text is lost when the tables are made anew."""
    page = tmp_path / "page.md"
    page.write_text("before\n<!-- scenarios: begin -->\nold\n<!-- scenarios: end -->\nafter\n")
    args = ["experiment", "--only", "any target: steady", "--report", str(tmp_path / "r")]
    result = CliRunner().invoke(app, [*args, "--write", str(page)])
    assert result.exit_code == 0, result.output
    text = page.read_text()
    assert text.startswith("before\n")
    assert text.endswith("<!-- scenarios: end -->\nafter\n")
    assert "old" not in text
    assert "#### any target: steady" in text
    assert (tmp_path / "r" / "p99_ms.svg").exists()
