"""The ``experiment`` command: policies on a simulated clock, and upper bounds of days."""

from __future__ import annotations

import json
from enum import StrEnum
from pathlib import Path
from typing import Annotated

import typer

from radishshunt.errors import RadishshuntError


class Part(StrEnum):
    """Experiments to run."""

    ALL = "all"
    SCENARIOS = "scenarios"
    SHARING = "sharing"
    SWEEPS = "sweeps"
    BOUND = "bound"


class NothingToRun(RadishshuntError):
    """The command-line options select no experiment."""

    category = "nothing to run"


def experiment(
    file: Annotated[
        Path | None, typer.Argument(help="Description of a day, as YAML (only for part bound).")
    ] = None,
    part: Annotated[Part, typer.Option(help="Experiments to run.")] = Part.SCENARIOS,
    seeds: Annotated[int, typer.Option(min=1, max=100, help="Number of seeds per experiment.")] = 1,
    processes: Annotated[int, typer.Option(min=1, max=64, help="Number of processes.")] = 1,
    only: Annotated[
        str, typer.Option(help="Run only scenarios whose names contain this text.")
    ] = "",
    report: Annotated[Path, typer.Option(help="Directory for results and plots.")] = Path("report"),
    write: Annotated[
        Path | None, typer.Option(help="Markdown file whose marked sections are replaced.")
    ] = None,
) -> None:
    """Compare the policies with simple baselines on a simulated clock.

    Part bound computes how much of the owed value any scheduler could earn on a described day.
    """
    if (file is not None) != (part is Part.BOUND):
        raise typer.BadParameter("FILE is needed for part bound, and only for that part")
    if file is not None:
        _compute_bound(file, report)
        return
    # Imported here because hosts load this module with the command line and must not load numpy
    # and matplotlib.
    from radishshunt.experiment.deployments import DEPLOYMENTS
    from radishshunt.experiment.report import markdown_tables, write_plots
    from radishshunt.experiment.runner import (
        run_jobs,
        scenario_jobs,
        sharing_jobs,
        summarise,
        sweep_jobs,
        write_json,
    )

    names = list(DEPLOYMENTS)
    seed_numbers = range(1, seeds + 1)
    jobs = []
    if part in (Part.ALL, Part.SCENARIOS):
        jobs += scenario_jobs(seed_numbers, names, only)
    if part in (Part.ALL, Part.SHARING):
        jobs += sharing_jobs(seed_numbers, names)
    if part in (Part.ALL, Part.SWEEPS):
        jobs += sweep_jobs(seed_numbers, names[:1])
    if not jobs:
        raise NothingToRun(f"no scenario's name contains {only!r}")
    results = run_jobs(jobs, processes)
    summary = summarise(results)
    report.mkdir(parents=True, exist_ok=True)
    write_json(results, report / f"{part.value}.json")
    sections = {
        name: markdown_tables(summary, name) for name in ("goals", "scenarios", "sharing", "sweeps")
    }
    text = "\n".join(f"## {name}\n\n{tables}" for name, tables in sections.items())
    (report / f"{part.value}.md").write_text(text, "utf-8")
    if part in (Part.ALL, Part.SCENARIOS):
        write_plots(summary, report)
    if write is not None:
        ran_kinds = {kind for kind, _, _ in summary}
        ran_kinds |= {"goals"} if "scenarios" in ran_kinds else set()
        write.write_text(
            _replace_sections(
                write.read_text("utf-8"), {k: v for k, v in sections.items() if k in ran_kinds}
            ),
            "utf-8",
        )
    typer.echo(sections["goals"] if part in (Part.ALL, Part.SCENARIOS) else text)
    typer.echo(f"{len(results)} runs; results are in {report}")


def _compute_bound(file: Path, report: Path) -> None:
    # Imported here for the same reason as in experiment().
    from radishshunt.experiment.bound import compute_bound
    from radishshunt.experiment.bound_input import read_day

    bound = compute_bound(read_day(file))
    report.mkdir(parents=True, exist_ok=True)
    (report / "bound.json").write_text(json.dumps(bound.to_json(), indent=1) + "\n", "utf-8")
    (report / "bound.md").write_text(bound.to_text(), "utf-8")
    typer.echo(bound.to_text())
    typer.echo(f"results are in {report}")


def _replace_sections(text: str, sections: dict[str, str]) -> str:
    """Replace the text between the begin and end markers of each section."""
    for name, tables in sections.items():
        begin, end = f"<!-- {name}: begin -->", f"<!-- {name}: end -->"
        head, found, rest = text.partition(begin)
        if found:
            _, _, tail = rest.partition(end)
            text = f"{head}{begin}\n\n{tables}\n{end}{tail}"
    return text
