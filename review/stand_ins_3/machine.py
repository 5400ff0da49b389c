"""A machine of the small deployment with one process of the project."""

from __future__ import annotations

import asyncio
import os
import subprocess
import tomllib
from pathlib import Path
from typing import IO, TYPE_CHECKING

from stand_ins_3.http import read_head

if TYPE_CHECKING:
    from stand_ins_3.record import Record

ROOT = Path(__file__).resolve().parents[2]
READY_PORT_OFFSET = 1
CONTROL_PORT_OFFSET = 2
FIRST_PEER_PORT_OFFSET = 3
PORTS = 12
RESTART_DELAY_SECONDS = 0.5
MEMORY_CHECK_SECONDS = 0.02
# Bounds of the small site totara-permits.
BOUNDS = {
    "SeedLagS": "3",
    "AddrReuseS": "2",
    "ContactMs": "3000",
    "AckMs": "4000",
    "SyncS": "4",
    "DrainMs": "2000",
    "GraceS": "6",
    "LossSlackMs": "200",
    "ApplyMs": "2000",
    "RollbackSlackMs": "250",
    "OuterMs": "5000",
    "RetryRatio": "0.2",
    "RetryWindowS": "10",
    "RetrySlack": "60",
    "ColdMultiplier": "1.5",
    "ColdSlack": "5",
    "EvacuateMs": "5000",
    "RecoveryS": "15",
    "HoldMaxMs": "10000",
    "ThawMs": "300",
}


class Machine:
    """Starts the process of the deploy file, and ends it like the platform.

    :param port: Port for clients, which is followed by those of the other interfaces.
    :param memory_bytes: Memory above which the platform kills the process.
    :ivar memory_kills: Times at which it did, and since when the process had run.
    :ivar peak_bytes: Largest memory of the processes so far.
    """

    def __init__(
        self,
        record: Record,
        folder: Path,
        number: int,
        port: int,
        store: str,
        memory_bytes: int,
        zone: str = "zone-a",
    ) -> None:
        self.name = f"edge-{number}"
        self.ip = f"127.0.9.{number}"
        self.port = port
        self.memory_kills: list[tuple[float, float]] = []
        self.peak_bytes = 0
        self._record = record
        self._file = folder / f"{self.name}.conf"
        self._log_path = folder / f"{self.name}.log"
        self._store = store
        self._zone = zone
        self._memory_bytes = memory_bytes
        self._process: subprocess.Popen[bytes] | None = None
        self._log: IO[bytes] | None = None
        self._started_at = 0.0

    def start(self, *, first: bool = False) -> None:
        """Start the process with the command of the deploy file."""
        self._file.write_text(self._settings(first=first))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["router"]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "RADISHSHUNT_CONFIG": str(self._file),
        }
        self._log = self._log_path.open("ab")
        self._process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
            # A signal to the case must not reach it too.
            start_new_session=True,
        )
        self._started_at = self._record.now()
        self._record.note(f"{self.name} started")

    def kill(self) -> None:
        """Kill the process."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
        if self._log is not None:
            self._log.close()

    async def limit_memory(self) -> None:
        """Kill and restart the process whenever it exceeds the machine's memory."""
        while True:
            await asyncio.sleep(MEMORY_CHECK_SECONDS)
            used = self._resident_bytes()
            self.peak_bytes = max(self.peak_bytes, used)
            if used > self._memory_bytes:
                self.kill()
                self.memory_kills.append((self._record.now(), self._started_at))
                self._record.note(f"{self.name} used {used / 1e6:.0f} MB of memory and was killed")
                await asyncio.sleep(RESTART_DELAY_SECONDS)
                self.start()

    async def is_ready(self) -> bool:
        """Return whether the process counts as ready for clients."""
        try:
            async with asyncio.timeout(1.0):
                address = (self.ip, self.port + READY_PORT_OFFSET)
                reader, writer = await asyncio.open_connection(*address)
                writer.write(b"GET /radishshunt/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                (_, status, _), _ = await read_head(reader)
                writer.close()
                return status == "200"
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    def _resident_bytes(self) -> int:
        """Return the resident memory of the process."""
        if self._process is None or self._process.poll() is not None:
            return 0
        try:
            text = Path(f"/proc/{self._process.pid}/statm").read_text()
        except OSError:
            return 0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def _settings(self, *, first: bool) -> str:
        port = self.port
        peers = port + FIRST_PEER_PORT_OFFSET
        fields = {
            "Self.NodeId": self.name,
            "Self.Role": "router",
            "Self.MachineClass": "edge",
            "Self.Serves": "edge,control",
            "Self.Ip": self.ip,
            "Self.Zone": self._zone,
            "Self.Region": "region-a",
            "Self.InFaultBudget": "false",
            "Self.Bootstrap": "true" if first else "false",
            "Self.Limits.CpuShare": "0.86",
            "Self.Limits.Cores": "1",
            "Self.Limits.MemoryMb": str(self._memory_bytes // 1_000_000),
            "Self.Limits.MaxFds": "4100",
            "Self.Limits.LinkMbps": "1000.0",
            "Self.Limits.DiskMb": "0",
            "Network.Bind.FrontAddr": f"{self.ip}:{port}",
            "Network.Bind.Ready": f"{self.ip}:{port + READY_PORT_OFFSET}",
            "Network.Bind.Control": f"{self.ip}:{port + CONTROL_PORT_OFFSET}",
            "Network.PortRange": f"{peers},{port + PORTS - 1}",
            "Network.Seeds": f"127.0.9.1:{port + CONTROL_PORT_OFFSET}",
            "Network.Zones.zone-a": "region-a",
            "Network.Zones.zone-b": "region-a",
            "Platform.Discovery": "platform",
            "Platform.EntryKind": "vip",
            "Platform.HeartbeatMs": "1500",
            "Platform.Platform.Addr": self._store,
            "Platform.Platform.form": "table",
            "Platform.Platform.WritesPerS": "400",
            "Platform.Platform.ReadsPerS": "2000",
            "Platform.Platform.TxMs": "8.0",
            "Platform.Platform.PartWritesS": "150",
            "Platform.Platform.RowBytes": "65536",
            "Platform.Platform.CrossZone": "false",
            "Platform.Platform.RetentionS": "20",
            "Terms.Invariants": "base,drain,config,cost,retry,recover,own,places,platform",
        }
        fields |= {f"Terms.Bounds.{name}": value for name, value in BOUNDS.items()}
        return "".join(f"{name}={value}\n" for name, value in fields.items())
