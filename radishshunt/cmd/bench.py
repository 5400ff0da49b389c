"""The ``bench`` command: cost of the router's hops."""

from __future__ import annotations

import json
from typing import Annotated

import typer

from radishshunt.cmd.admin_client import AsJson
from radishshunt.emulator.bench import Bench


def bench(
    profile: Annotated[
        bool, typer.Option("--profile", help="Show a CPU profile of the hosts.")
    ] = False,
    net: Annotated[
        int, typer.Option(min=1, max=254, help="Second octet of the loopback addresses.")
    ] = 41,
    as_json: AsJson = False,
) -> None:
    """Measure requests to a target directly, through one entry host and through two, in one run."""
    results = Bench(lambda line: typer.echo(line, err=as_json), net).run(profile=profile)
    if as_json:
        typer.echo(json.dumps(results))
        return
    for name, value in results.items():
        if isinstance(value, dict):
            typer.echo(f"{name}: " + json.dumps(value))
        else:
            typer.echo(f"{name}: {value:.3f}" if isinstance(value, float) else f"{name}: {value}")
