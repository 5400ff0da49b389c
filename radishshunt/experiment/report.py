"""Markdown tables and SVG plots of measured figures."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from radishshunt.experiment.goals import evaluate_goals
from radishshunt.experiment.sweeps import SWEEPS

if TYPE_CHECKING:
    from pathlib import Path

    from radishshunt.experiment.runner import Figure, Summary

logger = logging.getLogger(__name__)

SCENARIO_FIGURES = (
    "imbalance",
    "imbalance_after_shift",
    "slices_moved",
    "keys_moved",
    "unavailable_key_seconds",
    "service_percent",
    "allowed_percent",
    "goodput_share",
    "p50_ms",
    "p99_ms",
    "p999_ms",
    "p99_answered_ms",
    "served_again_p99_s",
    "cold_over_bound",
    "cold_most_at_once",
    "caller_repeats",
    "hedges",
)
SHARING_FIGURES = (
    "service_percent",
    "p50_ms",
    "p99_ms",
    "p999_ms",
    "most_at_once",
    "cold_most_at_once",
    "cold_over_bound",
    "connects",
)
TITLES = {
    "imbalance": "imbalance (max/mean)",
    "imbalance_after_shift": "imbalance 5 s after a shift",
    "slices_moved": "slices moved",
    "least_slices_moved": "slices, reference",
    "keys_moved": "keys moved",
    "unavailable_key_seconds": "unavailable key-seconds",
    "service_percent": "service %",
    "allowed_percent": "service % that capacity allows",
    "goodput_share": "goodput / capacity",
    "p50_ms": "p50 ms",
    "p99_ms": "p99 ms",
    "p999_ms": "p99.9 ms",
    "p50_answered_ms": "p50 ms, answered",
    "p99_answered_ms": "p99 ms, answered",
    "served_again_p99_s": "served again, p99 s",
    "cold_over_bound": "requests over the cold bound",
    "cold_most_at_once": "most at once, cold",
    "most_at_once": "most at once",
    "caller_repeats": "repeats by callers",
    "hedges": "hedges",
    "connects": "new connections",
}


def markdown_tables(summary: Summary, part: str) -> str:
    """Return the Markdown tables of one part: a part of the runs, or ``goals``."""
    if part == "goals":
        return _goals_table(summary)
    if part == "sweeps":
        return _sweeps_tables(summary)
    names = SHARING_FIGURES if part == "sharing" else SCENARIO_FIGURES
    lines = []
    for case in dict.fromkeys(case for row_part, case, _ in summary if row_part == part):
        columns = {
            f"{deployment}, {side}": figures
            for (row_part, row_case, deployment), sides in summary.items()
            if (row_part, row_case) == (part, case)
            for side, figures in sides.items()
        }
        lines += [f"#### {case}", "", *_figures_table(columns, names), ""]
    return "\n".join(lines)


def write_plots(summary: Summary, directory: Path) -> list[Path]:
    """Write the plots as SVG files.

    :return: Paths of the files; none without matplotlib, which is a development dependency.
    """
    try:
        import matplotlib

        matplotlib.use("svg")
        from matplotlib import pyplot
    except ImportError:
        logger.warning("matplotlib is not installed, so no plots are drawn")
        return []
    written = []
    for name, title in (("p99_ms", "p99 in ms"), ("service_percent", "service in %")):
        path = directory / f"{name}.svg"
        _bar_plot(pyplot, summary, name, title).savefig(path, bbox_inches="tight")
        written.append(path)
    path = directory / "goodput.svg"
    _goodput_plot(pyplot, summary).savefig(path, bbox_inches="tight")
    written.append(path)
    pyplot.close("all")
    return written


def _figures_table(sides: dict[str, dict[str, Figure]], names: tuple[str, ...]) -> list[str]:
    present = [n for n in names if any(_is_nonzero(figures.get(n)) for figures in sides.values())]
    lines = ["| figure | " + " | ".join(sides) + " |", "|---|" + "---|" * len(sides)]
    for name in present:
        cells = [_format_cell(figures.get(name)) for figures in sides.values()]
        lines.append(f"| {TITLES[name]} | " + " | ".join(cells) + " |")
    return lines


def _is_nonzero(figure: Figure | None) -> bool:
    return figure is not None and (figure.low != 0 or figure.high != 0)


def _format_cell(figure: Figure | None) -> str:
    if figure is None:
        return ""
    if figure.low == figure.high:
        return _format(figure.mean)
    return f"{_format(figure.mean)} ({_format(figure.low)}–{_format(figure.high)})"


def _format(value: float) -> str:
    return f"{value:.0f}" if abs(value) >= 1000 else f"{value:.4g}"


def _goals_table(summary: Summary) -> str:
    lines = [
        "| goal | target | deployment | side | measured | met |",
        "|---|---|---|---|---|---|",
    ]
    for result in evaluate_goals(summary):
        met = "yes" if result.met else "**no**"
        lines.append(
            f"| {result.goal} | {result.target} | {result.deployment} | {result.side} "
            f"| {result.value} | {met} |"
        )
    return "\n".join(lines) + "\n"


def _sweeps_tables(summary: Summary) -> str:
    lines = []
    for sweep in SWEEPS:
        case = f"{sweep.name} ({sweep.scenario})"
        for (row_part, row_case, deployment), sides in summary.items():
            if row_part != "sweeps" or row_case != case:
                continue
            head = " | ".join(TITLES[name] for name in sweep.figures)
            lines += [f"#### {case}, {deployment}", "", f"| value | {head} |"]
            lines.append("|---|" + "---|" * len(sweep.figures))
            for side, figures in sides.items():
                cells = " | ".join(_format_cell(figures.get(name)) for name in sweep.figures)
                lines.append(f"| {side} | {cells} |")
            lines.append("")
    return "\n".join(lines)


def _bar_plot(pyplot, summary: Summary, name: str, title: str):  # noqa: ANN001, ANN202
    rows = [
        (f"{case}, {deployment}", sides)
        for (part, case, deployment), sides in summary.items()
        if part == "scenarios"
    ]
    figure, axes = pyplot.subplots(figsize=(9, 0.35 * len(rows) + 1))
    for offset, side in ((-0.2, "static"), (0.2, "policy")):
        figures = [sides[side][name] for _, sides in rows]
        errors = [
            [max(0.0, f.mean - f.low) for f in figures],
            [max(0.0, f.high - f.mean) for f in figures],
        ]
        positions = [index + offset for index in range(len(rows))]
        axes.barh(positions, [f.mean for f in figures], height=0.38, xerr=errors, label=side)
    axes.set_yticks(range(len(rows)), [label for label, _ in rows], fontsize=7)
    axes.invert_yaxis()
    axes.set_xlabel(title)
    axes.legend()
    return figure


def _goodput_plot(pyplot, summary: Summary):  # noqa: ANN001, ANN202
    figure, axes = pyplot.subplots(figsize=(6, 4))
    lines: dict[str, list[tuple[float, float]]] = {}
    for (part, case, deployment), sides in summary.items():
        words = case.split()
        if part == "scenarios" and len(words) == 2 and words[0] == "load":
            for side, figures in sides.items():
                point = (float(words[1]), figures["goodput_share"].mean)
                lines.setdefault(f"{side}, {deployment}", []).append(point)
    for label, points in lines.items():
        points.sort()
        axes.plot([p[0] for p in points], [p[1] for p in points], marker="o", label=label)
    axes.set_xlabel("offered load / capacity")
    axes.set_ylabel("goodput / capacity")
    if lines:
        axes.legend(fontsize=7)
    return figure
