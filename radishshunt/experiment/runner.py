"""Runs experiments in several processes and collects their figures."""

from __future__ import annotations

import json
from collections import defaultdict
from dataclasses import dataclass, replace
from multiprocessing import get_context
from statistics import mean
from typing import TYPE_CHECKING, Any

from radishshunt.experiment.deployments import DEPLOYMENTS
from radishshunt.experiment.profiles import POLICY, REPORTED, SEND_AHEAD, STATIC, Variant
from radishshunt.experiment.scenarios import SCENARIOS, SCENARIOS_BY_NAME, Scenario, run_scenario
from radishshunt.experiment.sharing import MODES, run_mode
from radishshunt.experiment.sweeps import SWEEPS

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from pathlib import Path

SHARING_LOADS = (0.3, 0.6, 0.9)
# Prefixes of the scenarios that also run with one request sent ahead. Their goals depend on the
# share of time in which slots wait for the network.
SEND_AHEAD_SCENARIOS = ("load", "domain", "cold restart: domain", "steady")


@dataclass(frozen=True, slots=True)
class Job:
    """One run.

    :param part: ``scenarios``, ``sharing`` or ``sweeps``.
    :param case: Scenario, load or sweep.
    :param side: Name of the policy variant, of the sharing mode or of the swept value.
    """

    part: str
    case: str
    side: str
    deployment: str
    seed: int
    variant: Variant = POLICY
    scenario: str = ""
    service_seconds: float | None = None
    seconds: float | None = None


@dataclass(frozen=True, slots=True)
class Result:
    """Figures of one run."""

    job: Job
    figures: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Figure:
    """Mean and range of a figure over seeds."""

    mean: float
    low: float
    high: float


Summary = dict[tuple[str, str, str], dict[str, dict[str, Figure]]]


def run_job(job: Job) -> Result:
    """Run a job in this process."""
    deployment = DEPLOYMENTS[job.deployment]
    if job.service_seconds is not None:
        deployment = replace(deployment, service_seconds=job.service_seconds)
    if job.part == "sharing":
        cold = job.case.endswith("cold target")
        load = float(job.case.split()[1].rstrip(","))
        return Result(job, run_mode(deployment, job.side, load, job.seed, cold=cold))
    scenario = SCENARIOS_BY_NAME[job.scenario]
    if job.seconds is not None:
        scenario = replace(scenario, seconds=job.seconds)
    return Result(job, run_scenario(scenario, deployment, job.variant, job.seed))


def run_jobs(jobs: Sequence[Job], processes: int) -> list[Result]:
    """Run jobs and return their results in the same order."""
    if processes <= 1:
        return [run_job(job) for job in jobs]
    with get_context("spawn").Pool(processes) as pool:
        return pool.map(run_job, jobs, chunksize=1)


def variants_of(scenario: Scenario) -> list[Variant]:
    """Return the policy variants that a scenario compares."""
    variants = [STATIC, POLICY]
    if not scenario.keyed:
        variants.insert(1, REPORTED)
    elif any(scenario.name.startswith(name) for name in SEND_AHEAD_SCENARIOS):
        variants.append(SEND_AHEAD)
    return variants


def scenario_jobs(
    seeds: Iterable[int],
    deployments: Sequence[str],
    name_filter: str = "",
    seconds: float | None = None,
) -> list[Job]:
    """Return the runs of the scenarios.

    :param name_filter: Text that the names of the scenarios to run contain.
    :param seconds: Length of each run, by default the scenario's own.
    """
    return [
        Job(
            "scenarios",
            scenario.name,
            variant.name,
            deployment,
            seed,
            variant,
            scenario.name,
            seconds=seconds,
        )
        for scenario in SCENARIOS
        if name_filter in scenario.name
        for deployment in deployments
        for variant in variants_of(scenario)
        for seed in seeds
    ]


def sharing_jobs(seeds: Iterable[int], deployments: Sequence[str]) -> list[Job]:
    """Return the runs that compare one dispatcher with limits shared among hosts."""
    return [
        Job("sharing", f"load {load:g}{suffix}", mode, deployment, seed)
        for load in SHARING_LOADS
        for suffix in ("", ", cold target")
        for deployment in deployments
        for mode in MODES
        for seed in seeds
    ]


def sweep_jobs(seeds: Iterable[int], deployments: Sequence[str]) -> list[Job]:
    """Return the runs of the sweeps of constants."""
    return [
        Job(
            "sweeps",
            f"{sweep.name} ({sweep.scenario})",
            value.label,
            deployment,
            seed,
            Variant("policy", value.constants),
            sweep.scenario,
            value.service_seconds,
            sweep.seconds,
        )
        for sweep in SWEEPS
        for deployment in deployments
        for value in sweep.values
        for seed in seeds
    ]


def summarise(results: Iterable[Result]) -> Summary:
    """Return mean and range over seeds by part, case and deployment, then by side and figure."""
    values: dict = defaultdict(lambda: defaultdict(lambda: defaultdict(list)))
    for result in results:
        job = result.job
        sides = values[(job.part, job.case, job.deployment)]
        for name, value in result.figures.items():
            sides[job.side][name].append(float(value))
    return {
        key: {
            side: {n: Figure(mean(v), min(v), max(v)) for n, v in figures.items()}
            for side, figures in sides.items()
        }
        for key, sides in values.items()
    }


def write_json(results: Sequence[Result], path: Path) -> None:
    """Write the figures of every run."""
    rows = [
        {
            "part": r.job.part,
            "case": r.job.case,
            "side": r.job.side,
            "deployment": r.job.deployment,
            "seed": r.job.seed,
            "figures": r.figures,
        }
        for r in results
    ]
    path.write_text(json.dumps(rows, indent=1, sort_keys=True) + "\n", "utf-8")
