"""Runs a host of the gateway on the users' platform."""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

import trio

from radishshunt.errors import SettingsError
from radishshunt.gateway.app import GatewayHost
from radishshunt.logs import LogFormat, configure
from radishshunt.platform.catalog import CatalogReader
from radishshunt.platform.names import READY_PATH
from radishshunt.platform.settings_file import load_host_settings
from radishshunt.platform.store import HttpRowStore
from radishshunt.platform.target_protocol import HttpTargetProtocol

SETTINGS_VARIABLE = "RADISHSHUNT_CONFIG"
DEFAULT_SETTINGS = "/etc/radishshunt/settings.conf"


def main() -> None:
    """Run the host that the settings file describes until TERM."""
    try:
        cfg = load_host_settings(Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS)))
    except (SettingsError, OSError) as exc:
        sys.exit(f"radishshunt: {exc}")
    configure(LogFormat.JSON, cfg.name, sys.stdout)
    host = GatewayHost(
        cfg, HttpRowStore(cfg.store), CatalogReader(), HttpTargetProtocol(), READY_PATH
    )
    trio.run(_run, host)


async def _run(host: GatewayHost) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_signals, host, nursery.cancel_scope)
        await host.run()


async def _watch_signals(host: GatewayHost, scope: trio.CancelScope) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            await host.stop()
            scope.cancel()
            return


if __name__ == "__main__":
    main()
