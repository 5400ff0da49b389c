"""The project's processes, started and stopped as the platform does it."""

from __future__ import annotations

import asyncio
import os
import random
import socket
import subprocess
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import signal

    from stand_ins.record import Record

REPOSITORY = Path(__file__).resolve().parents[2]
RESTART_SECONDS = 0.5
MEMORY_MB = 300
MEMORY_CHECK_SECONDS = 0.02
BOUNDS = {
    "AddrReuseS": "2",
    "ContactMs": "3000",
    "DrainMs": "2000",
    "GraceS": "6",
    "ApplyMs": "2000",
    "RetryRatio": "0.2",
    "RetryWindowS": "10",
    "RetrySlack": "60",
    "ColdMultiplier": "1.5",
    "ColdSlack": "5",
    "EvacuateMs": "5000",
    "HoldMaxMs": "10000",
}


def loopback_network() -> str:
    """Return the first two numbers of unused loopback addresses."""
    return f"127.{random.randint(10, 250)}"


def free_ports(count: int) -> list[int]:
    """Return free ports, none next to another: a process also uses the one after its first."""
    sockets: list[socket.socket] = []
    ports: list[int] = []
    while len(ports) < count:
        sock = socket.socket()
        sockets.append(sock)
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
        if all(abs(port - other) > 1 for other in ports):
            ports.append(port)
    for sock in sockets:
        sock.close()
    return ports


class Host:
    """A machine with one process of the project.

    :ivar cpu_share: Share of a core that the machine has.
    :ivar own_ends: Number of times that the process has ended by itself.
    :ivar process: The process, ``None`` while none runs.
    """

    def __init__(
        self, name: str, ip: str, zone: str, ports: list[int], folder: Path, record: Record
    ) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.front = (ip, ports[0])
        self.ready = (ip, ports[1])
        self.cpu_share = 0.86
        self.own_ends = 0
        self.process: subprocess.Popen[bytes] | None = None
        self.settings = folder / f"{name}.conf"
        self.log = folder / f"{name}.log"
        self._range = ports[3]
        self._control = ports[2]
        self._record = record
        self._wanted = False

    def write_settings(self, store: tuple[str, int], seeds: list[str], *, first: bool) -> None:
        """Write the settings file."""
        fields = {
            "Grants": "direct",
            "Self.NodeId": self.name,
            "Self.Role": "router",
            "Self.MachineClass": "edge",
            "Self.Serves": "edge,control",
            "Self.Ip": self.ip,
            "Self.Zone": self.zone,
            "Self.Region": "akl",
            "Self.Bootstrap": "true" if first else "false",
            "Self.Limits.CpuShare": str(self.cpu_share),
            "Self.Limits.Cores": "1",
            "Self.Limits.MemoryMb": str(MEMORY_MB),
            "Self.Limits.MaxFds": "4100",
            "Self.Limits.LinkMbps": "1000.0",
            "Network.Bind.FrontAddr": f"{self.ip}:{self.front[1]}",
            "Network.Bind.Ready": f"{self.ip}:{self.ready[1]}",
            "Network.Bind.Control": f"{self.ip}:{self._control}",
            "Network.PortRange": f"{self._range},{self._range + 15}",
            "Network.Seeds": ",".join(f"{ip}:{self._control}" for ip in seeds),
            "Platform.Discovery": "platform",
            "Platform.HeartbeatMs": "1500",
            "Platform.Platform.Addr": f"{store[0]}:{store[1]}",
            "Platform.Platform.WritesPerS": "400",
            "Platform.Platform.ReadsPerS": "2000",
            "Platform.Platform.RowBytes": "65536",
        }
        fields |= {f"Terms.Bounds.{name}": value for name, value in BOUNDS.items()}
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        self.settings.write_text(text, "utf-8")

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text("utf-8"))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"RADISHSHUNT_CONFIG": str(self.settings)}
        env |= {"PYTHONPATH": str(REPOSITORY / "target/deps"), "PYTHONDONTWRITEBYTECODE": "1"}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"]["router"]["run"].split(),
                cwd=REPOSITORY,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._wanted = True
        self._record.write("start", host=self.name, pid=self.process.pid)

    async def keep_running(self) -> None:
        """Start the process again whenever it has ended by itself."""
        while True:
            await asyncio.sleep(0.05)
            if self._wanted and self.process is not None and self.process.poll() is not None:
                self.own_ends += 1
                self._record.write("own-end", host=self.name, status=self.process.returncode)
                await asyncio.sleep(RESTART_SECONDS)
                if self._wanted:
                    self.start()

    def resident_mb(self) -> float:
        """Return the resident memory of the process in MiB, 0 if none runs."""
        if self.process is None or self.process.poll() is not None:
            return 0.0
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text("ascii")
        except OSError:
            return 0.0
        lines = [line for line in status.splitlines() if line.startswith("VmRSS")]
        return int(lines[0].split()[1]) / 1024 if lines else 0.0

    async def limit_memory(self) -> None:
        """Kill the process whenever it exceeds its memory, as the platform does."""
        while True:
            await asyncio.sleep(MEMORY_CHECK_SECONDS)
            resident = self.resident_mb()
            if resident > MEMORY_MB and self.process is not None:
                self._record.write("over-memory", host=self.name, resident_mb=round(resident))
                self.process.kill()
                self.process.wait()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self._record.write("signal", host=self.name, signal=number.name)
            self.process.send_signal(number)

    def stop(self) -> None:
        """End the process for good."""
        self._wanted = False
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
