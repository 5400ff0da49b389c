"""Short experiments that test the simulation itself and the limits that policies must keep."""

from __future__ import annotations

from dataclasses import replace

import pytest
from typer.testing import CliRunner

from radishshunt.cmd.main import app
from radishshunt.experiment.control import ControlPlane
from radishshunt.experiment.deployments import LANDESAMT, TOTARA
from radishshunt.experiment.profiles import POLICY, REPORTED, SEND_AHEAD, STATIC, Variant
from radishshunt.experiment.scenarios import SCENARIOS, SCENARIOS_BY_NAME, Scenario, run_scenario
from radishshunt.experiment.sharing import DISPATCHER, MODES, run_mode
from radishshunt.experiment.simulation import DispatchSimulation
from radishshunt.experiment.workload import make_workload

SMALL = replace(LANDESAMT, keyed_targets=9, unkeyed_targets=6, hosts=4)


def shortened(name: str, seconds: float = 26.0) -> Scenario:
    return replace(SCENARIOS_BY_NAME[name], seconds=seconds)


@pytest.mark.parametrize("variant", [STATIC, POLICY, SEND_AHEAD], ids=lambda c: c.name)
@pytest.mark.parametrize("keyed", [True, False])
def test_every_request_ends_once(variant: Variant, keyed: bool) -> None:
    """Guards against requests without a record after restarts, losses and domain changes.

    Missing records of failed requests would make the figures look better.
    """
    workload = make_workload(300.0, 12.0, 3)
    sim = DispatchSimulation(SMALL, variant, workload, 3, keyed=keyed)
    control = ControlPlane(sim)
    control.start(12.0)
    sim.call_at(4.0, control.restart_target, sim.lanes[0])
    sim.call_at(5.0, control.lose_target, sim.lanes[3])
    sim.call_at(6.0, control.take_out_domain, LANDESAMT.domains[2])
    sim.call_at(8.0, control.restore_domain, LANDESAMT.domains[2])
    sim.run(12.0)
    assert len(sim.records.arrival_times) == len(workload.times)
    assert all(not lane.state.running for lane in sim.lanes)
    assert all(not lane.state.waiting for lane in sim.lanes)


def test_same_seed_gives_the_same_figures() -> None:
    """Guards against runs that differ although they have the same seed."""
    scenario = shortened("stragglers: 1 at 10x", 20.0)
    assert run_scenario(scenario, SMALL, POLICY, 5) == run_scenario(scenario, SMALL, POLICY, 5)


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda s: s.name)
def test_every_scenario_runs(scenario: Scenario) -> None:
    """Guards against scenarios that raise an error, which only a long measurement would show."""
    figures = run_scenario(replace(scenario, seconds=18.0), SMALL, POLICY, 1)
    assert figures["requests"] > 0


@pytest.mark.parametrize("which", ["one", "third", "domain"])
@pytest.mark.parametrize("deployment", [LANDESAMT, TOTARA], ids=lambda d: d.name)
def test_restarted_targets_stay_within_their_cold_bound(
    which: str, deployment
) -> None:  # noqa: ANN001
    """Guards against more concurrent requests than a restarted, cold target is allowed."""
    figures = run_scenario(shortened(f"cold restart: {which}"), deployment, POLICY, 2)
    assert figures["cold_over_bound"] == 0
    assert figures["cold_most_at_once"] == 1


def test_target_that_becomes_cold_without_restart_exceeds_its_limit_at_most_twice() -> None:
    """Guards against sending at the warm rate after the first answer that shows a cold target.

    The target becomes cold without a restart, so only its answers show it.
    """
    figures = run_scenario(shortened("cold without warning: one"), LANDESAMT, POLICY, 2)
    assert figures["cold_over_bound"] <= 2
    assert figures["cold_most_at_once"] == 1


def test_slots_are_never_exceeded() -> None:
    """Guards against more concurrent requests than slots at twice the capacity."""
    figures = run_scenario(shortened("load 2", 18.0), LANDESAMT, POLICY, 2)
    assert figures["most_at_once"] <= 3


def test_policy_beats_static_with_a_straggler() -> None:
    """Guards against a p99 with a straggler that exceeds a third of the static baseline's."""
    scenario = shortened("stragglers: 1 at 10x")
    policy_figures = run_scenario(scenario, LANDESAMT, POLICY, 2)
    static_figures = run_scenario(scenario, LANDESAMT, STATIC, 2)
    assert policy_figures["p99_ms"] <= static_figures["p99_ms"] / 3


def test_policy_beats_both_baselines_without_keys() -> None:
    """Guards against a choice of target that relies on outdated load reports."""
    scenario = shortened("any target: stragglers: 1 at 10x")
    policy_figures = run_scenario(scenario, TOTARA, POLICY, 2)
    for baseline in (STATIC, REPORTED):
        assert policy_figures["p99_ms"] < run_scenario(scenario, TOTARA, baseline, 2)["p99_ms"]


def test_load_is_rebalanced_after_the_hottest_keys_change() -> None:
    """Guards against an imbalance that persists after the hottest keys have changed."""
    figures = run_scenario(shortened("heat moves, short", 57.0), LANDESAMT, POLICY, 1)
    assert figures["imbalance_after_shift"] <= 1.25


def test_only_one_dispatcher_keeps_the_limit_of_a_cold_target() -> None:
    """Guards against a comparison whose modes don't differ, and a dispatcher over the limits."""
    figures = {mode: run_mode(SMALL, mode, 0.6, 1, cold=True) for mode in MODES}
    assert figures[DISPATCHER]["most_at_once"] <= 3
    assert figures[DISPATCHER]["cold_over_bound"] == 0
    assert all(figures[m]["cold_over_bound"] > 0 for m in MODES if m != DISPATCHER)


def test_command_writes_tables_into_marked_sections(tmp_path) -> None:  # noqa: ANN001
    """Guards against text outside the marked sections being lost when tables are regenerated."""
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
