"""Runs a host of the gateway on the users' platform."""

from __future__ import annotations

import logging
import os
import signal
import sys
from pathlib import Path

import trio

from radishshunt.errors import SettingsError
from radishshunt.gateway.app import GatewayHost
from radishshunt.logs import configure_nonblocking_logging
from radishshunt.platform.catalog import CatalogReader
from radishshunt.platform.names import READY_PATH
from radishshunt.platform.settings_file import load_host_settings
from radishshunt.platform.store import HttpRowStore
from radishshunt.platform.target_protocol import HttpTargetProtocol

logger = logging.getLogger(__name__)

# Interval of checks of the settings file, which may change without a SIGHUP.
FILE_CHECK_INTERVAL_SECONDS = 2.0
SETTINGS_VARIABLE = "RADISHSHUNT_CONFIG"
DEFAULT_SETTINGS = "/etc/radishshunt/settings.conf"


def main() -> None:
    """Run the host that the settings file describes until SIGTERM or SIGINT."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS))
    try:
        cfg = load_host_settings(path)
    except (SettingsError, OSError) as exc:
        sys.exit(f"radishshunt: {exc}")
    configure_nonblocking_logging(cfg.name, sys.stdout.fileno())
    host = GatewayHost(
        cfg, HttpRowStore(cfg.store_address), CatalogReader(), HttpTargetProtocol(), READY_PATH
    )
    trio.run(_run, host, path)


async def _run(host: GatewayHost, path: Path) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_signals, host, path, nursery.cancel_scope)
        nursery.start_soon(_watch_file, host, path)
        await host.run()


async def _watch_signals(host: GatewayHost, path: Path, scope: trio.CancelScope) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for signal_number in signals:
            if signal_number == signal.SIGHUP:
                _reload(host, path)
            else:
                await host.stop()
                scope.cancel()
                return


async def _watch_file(host: GatewayHost, path: Path) -> None:
    """Reload the settings whenever the content of their file changes."""
    content = path.read_bytes()
    while True:
        await trio.sleep(FILE_CHECK_INTERVAL_SECONDS)
        try:
            new = path.read_bytes()
        except OSError as exc:
            logger.warning("reading the settings file %s failed: %s", path, exc)
            continue
        if new != content:
            content = new
            _reload(host, path)


def _reload(host: GatewayHost, path: Path) -> None:
    try:
        host.update_settings(load_host_settings(path))
    except (SettingsError, OSError) as exc:
        logger.warning("reloading the settings failed; the current settings stay in force: %s", exc)


if __name__ == "__main__":
    main()
