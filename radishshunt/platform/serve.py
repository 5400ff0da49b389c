"""Runs a host of the gateway on the users' platform."""

from __future__ import annotations

import signal

if __name__ == "__main__":
    # The default action would end the process. The platform may signal a process that has just been
    # started, while the other modules are still being imported, or one that is about to exit.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import logging
import os
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import SettingsError
from radishshunt.gateway.app import GatewayHost
from radishshunt.logs import configure_nonblocking_logging
from radishshunt.platform.catalog import CatalogReader
from radishshunt.platform.names import READY_PATH
from radishshunt.platform.settings_file import SettingsFile
from radishshunt.platform.store import HttpRowStore
from radishshunt.platform.target_protocol import HttpTargetProtocol
from radishshunt.util.heap import return_large_blocks

if TYPE_CHECKING:
    from radishshunt.gateway.settings import HostSettings

logger = logging.getLogger(__name__)

# Interval of checks of the settings file, which may change without a SIGHUP.
FILE_CHECK_INTERVAL_SECONDS = 2.0
# Time for which a starting host waits for valid settings, and the interval between its attempts.
START_WAIT_SECONDS = 2.0
START_POLL_SECONDS = 0.05
SETTINGS_VARIABLE = "RADISHSHUNT_CONFIG"
DEFAULT_SETTINGS = "/etc/radishshunt/settings.conf"


def main() -> None:
    """Run the host that the settings file describes until SIGTERM or SIGINT."""
    settings_file = SettingsFile(Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS)))
    try:
        cfg = _load_settings(settings_file)
    except SettingsError as exc:
        sys.exit(f"radishshunt: {exc}")
    return_large_blocks()
    configure_nonblocking_logging(cfg.name, sys.stdout.fileno())
    host = GatewayHost(
        cfg, HttpRowStore(cfg.store_address), CatalogReader(), HttpTargetProtocol(), READY_PATH
    )
    trio.run(_run, host, settings_file)


def _load_settings(settings_file: SettingsFile) -> HostSettings:
    """Return the settings, once the platform has written them completely.

    :raises SettingsError: If the file is not valid after :data:`START_WAIT_SECONDS`.
    """
    deadline = time.monotonic() + START_WAIT_SECONDS
    while True:
        try:
            return settings_file.load()
        except SettingsError:
            if time.monotonic() >= deadline:
                raise
        time.sleep(START_POLL_SECONDS)


async def _run(host: GatewayHost, settings_file: SettingsFile) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_signals, host, settings_file, nursery.cancel_scope)
        nursery.start_soon(_watch_file, host, settings_file)
        await host.run()


async def _watch_signals(
    host: GatewayHost, settings_file: SettingsFile, scope: trio.CancelScope
) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        if settings_file.has_changed():
            # A SIGHUP during the start had no effect.
            _reload(host, settings_file)
        async for signal_number in signals:
            if signal_number == signal.SIGHUP:
                _reload(host, settings_file)
            else:
                await host.stop()
                scope.cancel()
                return


async def _watch_file(host: GatewayHost, settings_file: SettingsFile) -> None:
    """Reload the settings whenever the content of their file changes."""
    while True:
        await trio.sleep(FILE_CHECK_INTERVAL_SECONDS)
        if settings_file.has_changed():
            _reload(host, settings_file)


def _reload(host: GatewayHost, settings_file: SettingsFile) -> None:
    try:
        host.update_settings(settings_file.load())
    except SettingsError as exc:
        logger.warning("reloading the settings failed; the current settings stay in force: %s", exc)


if __name__ == "__main__":
    main()
