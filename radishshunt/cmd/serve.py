"""The ``serve`` command: an entry host."""

from __future__ import annotations

import cProfile
import signal
from pathlib import Path
from typing import Annotated

import trio
import typer

from radishshunt.app import Host
from radishshunt.logs import LogFormat, configure_logging
from radishshunt.settings import load_settings


def serve(
    settings: Annotated[Path, typer.Argument(help="Settings file, as YAML.")],
    log_format: Annotated[LogFormat, typer.Option(help="Format of log lines.")] = (LogFormat.JSON),
    profile: Annotated[
        Path | None, typer.Option(hidden=True, help="File to write a CPU profile to on exit.")
    ] = None,
) -> None:
    """Run an entry host until SIGTERM or Ctrl+C; a second signal stops it immediately."""
    cfg = load_settings(settings.read_text("utf-8"), str(settings))
    configure_logging(log_format, cfg.host.name)
    if profile is None:
        trio.run(_run, Host(cfg))
        return
    profiler = cProfile.Profile()
    profiler.runcall(trio.run, _run, Host(cfg))
    profiler.dump_stats(profile)


async def _run(host: Host) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_signals, host, nursery.cancel_scope)
        await host.run()
        nursery.cancel_scope.cancel()


async def _watch_signals(host: Host, scope: trio.CancelScope) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if host.leaving:
                scope.cancel()
                return
            host.stop()
