"""The process of a host on the users' platform."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
import trio

from radishshunt.platform.fakes import FakeStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterator

START_SECONDS = 20.0
STOP_SECONDS = 10.0
UNREADABLE = [b"", b"\xff\xfe\x00", b"Self.NodeId=edge-1\nSelf.Ip", b"Self.Ip=" + b"\xc3"]


class HostProcess:
    """A host in a process of its own.

    :ivar settings: Its settings file.
    """

    def __init__(self, settings: Path, ip: str, store_address: str) -> None:
        self.settings = settings
        self.process: subprocess.Popen[bytes] | None = None
        self._ip = ip
        self.text = f"""\
Self.NodeId=edge-1
Self.Ip={ip}
Self.Zone=munich
Network.Bind.FrontAddr={ip}:8144
Network.Bind.Ready={ip}:8140
Network.PortRange=7660,7675
Platform.Platform.Addr={store_address}
Terms.Bounds.GraceS=4
"""

    def write_settings(self) -> None:
        """Write valid settings."""
        self.settings.write_text(self.text, "utf-8")

    def start(self) -> None:
        """Start the process."""
        self.process = subprocess.Popen(
            [sys.executable, "-m", "radishshunt.platform.serve"],
            env={**os.environ, "RADISHSHUNT_CONFIG": str(self.settings)},
            stdout=subprocess.DEVNULL,
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def ignores(self, number: signal.Signals) -> bool:
        """Return whether the process ignores a signal."""
        assert self.process is not None
        assert self.status is None, f"the process ended with status {self.status}"
        lines = Path(f"/proc/{self.process.pid}/status").read_text("ascii").splitlines()
        mask = next(line.split()[1] for line in lines if line.startswith("SigIgn:"))
        return bool(int(mask, 16) >> number - 1 & 1)

    def has_loaded(self, library: str) -> bool:
        """Return whether the process has loaded a compiled library."""
        assert self.process is not None
        return library in Path(f"/proc/{self.process.pid}/maps").read_text("utf-8")

    @property
    def status(self) -> int | None:
        """Exit status of the process, ``None`` while it runs."""
        return self.process.poll() if self.process is not None else None

    async def wait_until_serving(self) -> None:
        """Wait until the process answers the readiness check, with whatever status."""
        with trio.fail_after(START_SECONDS):
            while self.status is None:
                try:
                    stream = await trio.open_tcp_stream(self._ip, 8140)
                    await stream.aclose()
                    return
                except OSError:
                    await trio.sleep(0.02)
        raise AssertionError(f"the process ended with status {self.status}")

    async def wait_for_end(self) -> int:
        """Return the exit status once the process has ended."""
        with trio.fail_after(STOP_SECONDS):
            while self.status is None:
                await trio.sleep(0.02)
        return self.status

    def kill(self) -> None:
        """End the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


@pytest.fixture
async def store_address(loopback: Callable[[], str]) -> AsyncIterator[str]:
    """Run a store, and return its address."""
    address = loopback()
    async with trio.open_nursery() as nursery:
        await nursery.start(FakeStore(address).server.run)
        yield address
        nursery.cancel_scope.cancel()


@pytest.fixture
def host(tmp_path: Path, loopback: Callable[[], str], store_address: str) -> Iterator[HostProcess]:
    """Return a host with valid settings that has not been started."""
    ip = loopback().partition(":")[0]
    host_process = HostProcess(tmp_path / "settings.conf", ip, store_address)
    host_process.write_settings()
    yield host_process
    host_process.kill()


@pytest.mark.parametrize("content", [*UNREADABLE, None])
async def test_unreadable_settings_do_not_end_a_running_host(
    host: HostProcess, content: bytes | None
) -> None:
    """Guards against requests without an answer, as the platform is replacing the settings."""
    host.start()
    await host.wait_until_serving()
    if content is None:
        host.settings.unlink()
    else:
        host.settings.write_bytes(content)
    host.send_signal(signal.SIGHUP)
    # The file is also checked every two seconds.
    await trio.sleep(2.5)
    assert host.status is None
    await host.wait_until_serving()


@pytest.mark.parametrize("content", [*UNREADABLE, None])
async def test_host_waits_for_settings_that_are_being_written(
    host: HostProcess, content: bytes | None
) -> None:
    """Guards against a process that ends as it starts while the settings are replaced."""
    if content is None:
        host.settings.unlink()
    else:
        host.settings.write_bytes(content)
    host.start()
    await trio.sleep(1.0)
    host.write_settings()
    await host.wait_until_serving()


async def test_host_does_not_start_without_settings(host: HostProcess) -> None:
    """Guards against a process that waits for ever for settings that nobody writes."""
    host.settings.unlink()
    host.start()
    assert await host.wait_for_end() == 1


async def test_signal_during_the_start_does_not_end_the_host(host: HostProcess) -> None:
    """Guards against a process that SIGHUP ends, as its settings change while it starts."""
    host.start()
    with trio.fail_after(START_SECONDS):
        # The interpreter itself takes some time until it runs the first line of the host.
        while not (host.ignores(signal.SIGHUP) or host.has_loaded("msgspec")):
            await trio.sleep(0.001)
    host.settings.write_text(host.text.replace("GraceS=4", "GraceS=3"), "utf-8")
    with trio.move_on_after(1.0):
        while True:
            host.send_signal(signal.SIGHUP)
            await trio.sleep(0.01)
    await host.wait_until_serving()


async def test_signal_while_the_host_stops_does_not_end_it(host: HostProcess) -> None:
    """Guards against a stop that ends by SIGHUP, as the settings change meanwhile."""
    host.start()
    await host.wait_until_serving()
    await trio.sleep(0.5)
    host.send_signal(signal.SIGTERM)
    with trio.fail_after(STOP_SECONDS):
        while host.status is None:
            host.send_signal(signal.SIGHUP)
            await trio.sleep(0.01)
    assert host.status == 0
