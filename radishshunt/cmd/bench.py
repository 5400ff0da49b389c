"""The ``bench`` command: what the router's hops cost."""

from __future__ import annotations

import json
from typing import Annotated

import typer

from radishshunt.cmd.admin_client import AsJson
from radishshunt.emulator.bench import Bench


def bench(
    profile: Annotated[
        bool, typer.Option("--profile", help="Show where the hosts' time goes.")
    ] = False,
    net: Annotated[
        int, typer.Option(min=1, max=254, help="Second number of the loopback addresses.")
    ] = 41,
    as_json: AsJson = False,
) -> None:
    """Measure a target directly, through one entry host and through two, in one run."""
    figures = Bench(lambda line: typer.echo(line, err=as_json), net).run(profile=profile)
    if as_json:
        typer.echo(json.dumps(figures))
        return
    for name, value in figures.items():
        if isinstance(value, dict):
            typer.echo(f"{name}: " + json.dumps(value))
        else:
            typer.echo(f"{name}: {value:.3f}" if isinstance(value, float) else f"{name}: {value}")
