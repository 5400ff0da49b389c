"""The ``experiment`` command: policies against baselines on a simulated clock."""

from __future__ import annotations

from enum import StrEnum
from pathlib import Path
from typing import Annotated

import typer

from radishshunt.errors import RadishshuntError


class Part(StrEnum):
    """What to run."""

    ALL = "all"
    SCENARIOS = "scenarios"
    SHARING = "sharing"
    SWEEPS = "sweeps"


class NothingToRun(RadishshuntError):
    """The options select no experiment."""

    category = "nothing to run"


def experiment(
    part: Annotated[Part, typer.Option(help="What to run.")] = Part.SCENARIOS,
    seeds: Annotated[int, typer.Option(min=1, max=100, help="Seeds of each experiment.")] = 1,
    processes: Annotated[int, typer.Option(min=1, max=64, help="Processes to use.")] = 1,
    only: Annotated[str, typer.Option(help="Part of the names of the scenarios to run.")] = "",
    report: Annotated[Path, typer.Option(help="Directory for figures and plots.")] = Path("report"),
    write: Annotated[
        Path | None, typer.Option(help="Markdown file whose marked sections are replaced.")
    ] = None,
) -> None:
    """Measure the policies against plain baselines on a simulated clock."""
    # Hosts load this module with the command line and must not pay for numpy and matplotlib.
    from radishshunt.experiment.deployments import DEPLOYMENTS
    from radishshunt.experiment.report import markdown, plots
    from radishshunt.experiment.runner import (
        run_jobs,
        scenario_jobs,
        sharing_jobs,
        summarise,
        sweep_jobs,
        write_json,
    )

    names = list(DEPLOYMENTS)
    numbers = range(1, seeds + 1)
    jobs = []
    if part in (Part.ALL, Part.SCENARIOS):
        jobs += scenario_jobs(numbers, names, only)
    if part in (Part.ALL, Part.SHARING):
        jobs += sharing_jobs(numbers, names)
    if part in (Part.ALL, Part.SWEEPS):
        jobs += sweep_jobs(numbers, names[:1])
    if not jobs:
        raise NothingToRun(f"no scenario's name contains {only!r}")
    results = run_jobs(jobs, processes)
    summary = summarise(results)
    report.mkdir(parents=True, exist_ok=True)
    write_json(results, report / f"{part.value}.json")
    sections = {
        name: markdown(summary, name) for name in ("goals", "scenarios", "sharing", "sweeps")
    }
    text = "\n".join(f"## {name}\n\n{tables}" for name, tables in sections.items())
    (report / f"{part.value}.md").write_text(text, "utf-8")
    if part in (Part.ALL, Part.SCENARIOS):
        plots(summary, report)
    if write is not None:
        ran = {kind for kind, _, _ in summary}
        ran |= {"goals"} if "scenarios" in ran else set()
        write.write_text(
            _replaced(write.read_text("utf-8"), {k: v for k, v in sections.items() if k in ran}),
            "utf-8",
        )
    typer.echo(sections["goals"] if part in (Part.ALL, Part.SCENARIOS) else text)
    typer.echo(f"{len(results)} runs; figures are in {report}")


def _replaced(text: str, sections: dict[str, str]) -> str:
    """Replace what is between the markers of each section."""
    for name, tables in sections.items():
        begin, end = f"<!-- {name}: begin -->", f"<!-- {name}: end -->"
        head, found, rest = text.partition(begin)
        if found:
            _, _, tail = rest.partition(end)
            text = f"{head}{begin}\n\n{tables}\n{end}{tail}"
    return text
