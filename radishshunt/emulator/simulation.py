"""Hosts as objects in one process: an in-memory network and a platform that counts its calls."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from radishshunt.contact import Contact
from radishshunt.directory import Directory
from radishshunt.errors import PeerUnavailable, PlatformUnavailable
from radishshunt.members import Members, State
from radishshunt.membership import Membership
from radishshunt.model import HostInfo
from radishshunt.peers import PeerNetwork
from radishshunt.platform import Platform, Table
from radishshunt.platform.memory import MemoryHostList, MemoryObjectStore, MemoryTable
from radishshunt.sync import Sync
from radishshunt.wire.codec import LENGTH_BYTES, decode, encode
from radishshunt.wire.messages import Heartbeat, Member

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from radishshunt.clock import Clock
    from radishshunt.platform import CommitResult, HostList, TableRow, Transaction
    from radishshunt.release.catalog import Catalog
    from radishshunt.wire.messages import GroupState, Message


@dataclass
class Traffic:
    """What a host has sent.

    :ivar received: Bytes that were sent to the host.
    :ivar kinds: Messages by kind.
    :ivar kind_bytes: Bytes by kind.
    """

    messages: int = 0
    bytes: int = 0
    received: int = 0
    kinds: Counter[str] = field(default_factory=Counter)
    kind_bytes: Counter[str] = field(default_factory=Counter)

    def total(self) -> int:
        """Return the bytes in both directions."""
        return self.bytes + self.received


class Fabric:
    """Connects the networks of simulated hosts.

    :param latency_seconds: One-way latency.
    :ivar cut: Pairs of hosts, in order of name, that don't reach each other.
    :ivar down: Hosts whose process has ended.
    :ivar paused: Hosts that neither send nor answer until resumed; what reaches them waits.
    """

    def __init__(self, latency_seconds: float = 0.001) -> None:
        self.latency_seconds = latency_seconds
        self.networks: dict[str, MemoryPeerNetwork] = {}
        self.traffic: dict[str, Traffic] = {}
        self.cut: set[tuple[str, str]] = set()
        self.down: set[str] = set()
        self.paused: dict[str, trio.Event] = {}

    def isolate(self, host: str) -> None:
        """Cut a host off from all others."""
        self.cut |= {pair(host, other) for other in self.networks if other != host}

    def rejoin(self, host: str) -> None:
        """End the isolation of a host."""
        self.cut = {two for two in self.cut if host not in two}

    def pause(self, host: str) -> None:
        """Stop a host's messages."""
        self.paused[host] = trio.Event()

    def resume(self, host: str) -> None:
        """Let a paused host go on."""
        self.paused.pop(host).set()

    async def transmit(self, sender: str, receiver: str, msg: Message) -> Message:
        """Carry a message and return it as the receiver decodes it."""
        data = encode(1, msg)
        traffic = self.traffic[sender]
        traffic.messages += 1
        traffic.bytes += len(data)
        traffic.kinds[type(msg).__name__] += 1
        traffic.kind_bytes[type(msg).__name__] += len(data)
        self.traffic[receiver].received += len(data)
        await self._wait_running(sender)
        await trio.sleep(self.latency_seconds)
        if pair(sender, receiver) in self.cut:
            await trio.sleep_forever()
        await self._wait_running(receiver)
        return decode(data[LENGTH_BYTES:])[1]

    async def _wait_running(self, host: str) -> None:
        while host in self.paused:
            await self.paused[host].wait()


def pair(one: str, other: str) -> tuple[str, str]:
    """Return two hosts in order of name."""
    return (one, other) if one < other else (other, one)


class _MemoryConnection:
    """What a handler sees of the connection that a message came on."""

    def __init__(self, peer_name: str) -> None:
        self.peer_name = peer_name
        self.aborted = False

    def abort(self) -> None:
        self.aborted = True


class _MemoryStream:
    """Takes a handler's answer."""

    def __init__(self) -> None:
        self.answer: Message | None = None

    async def send(self, msg: Message) -> None:
        self.answer = msg


class MemoryPeerNetwork(PeerNetwork):
    """Network of a simulated host; every message passes through the codec."""

    def __init__(self, me: HostInfo, fabric: Fabric) -> None:
        super().__init__(me, me.address)
        self._fabric = fabric
        fabric.networks[me.host] = self
        fabric.traffic.setdefault(me.host, Traffic())

    async def call(self, host: str, msg: Message, timeout_seconds: float) -> Message:
        info = self._hosts.get(host)
        peer = self._fabric.networks.get(host)
        if info is None or peer is None or host in self._fabric.down:
            await trio.sleep(2 * self._fabric.latency_seconds)
            raise PeerUnavailable(f"host {host} is not known or down", may_have_arrived=False)
        with trio.move_on_after(timeout_seconds):
            return await self._exchange(peer, msg)
        raise PeerUnavailable(f"host {host} did not answer", may_have_arrived=True)

    async def learn(self, address: str) -> HostInfo:
        for host, network in self._fabric.networks.items():
            reachable = (
                host not in self._fabric.down
                and host not in self._fabric.paused
                and pair(self.me.host, host) not in self._fabric.cut
            )
            if network.me.address == address and reachable:
                self.update_hosts([network.me])
                return network.me
        raise PeerUnavailable(f"{address} does not answer", may_have_arrived=False)

    async def _exchange(self, peer: MemoryPeerNetwork, msg: Message) -> Message:
        me, other = self.me.host, peer.me.host
        received = await self._fabric.transmit(me, other, msg)
        conn, stream = _MemoryConnection(me), _MemoryStream()
        await peer._handle(conn, stream, received)  # type: ignore[arg-type]
        if stream.answer is None or other in self._fabric.down:
            raise PeerUnavailable(f"{other} closed the connection", may_have_arrived=True)
        return await self._fabric.transmit(other, me, stream.answer)


class SimulatedTable(Table):
    """Table in memory with latency, outages and a count of calls.

    :ivar reads: Calls of reads and scans.
    :ivar rows_read: Rows that they returned.
    """

    def __init__(self, latency_seconds: float = 0.005) -> None:
        self.inner = MemoryTable()
        self.latency_seconds = latency_seconds
        self.down = False
        self.cut_off: set[str] = set()
        self.reads = 0
        self.scans = 0
        self.rows_read = 0
        self.attempts = 0
        self.commits = 0

    async def enter(self, host: str = "") -> None:
        """Wait for the table, or refuse a call."""
        self.attempts += 1
        await trio.sleep(self.latency_seconds)
        if self.down or host in self.cut_off:
            raise PlatformUnavailable("the platform is down")

    async def read(self, keys: Sequence[str]) -> dict[str, TableRow]:
        await self.enter()
        self.reads += 1
        self.rows_read += len(keys)
        return await self.inner.read(keys)

    async def scan(self, prefix: str) -> dict[str, TableRow]:
        await self.enter()
        self.scans += 1
        rows = await self.inner.scan(prefix)
        self.rows_read += len(rows)
        return rows

    async def commit(self, tx: Transaction) -> CommitResult:
        await self.enter()
        self.commits += 1
        return await self.inner.commit(tx)

    async def outcome(self, transaction_id: str) -> CommitResult | None:
        await self.enter()
        return await self.inner.outcome(transaction_id)


class _TableOfHost(Table):
    """The table as one host reaches it."""

    def __init__(self, table: SimulatedTable, host: str) -> None:
        self._table = table
        self._host = host

    async def _check(self) -> None:
        if self._host in self._table.cut_off:
            await self._table.enter(self._host)

    async def read(self, keys: Sequence[str]) -> dict[str, TableRow]:
        await self._check()
        return await self._table.read(keys)

    async def scan(self, prefix: str) -> dict[str, TableRow]:
        await self._check()
        return await self._table.scan(prefix)

    async def commit(self, tx: Transaction) -> CommitResult:
        await self._check()
        return await self._table.commit(tx)

    async def outcome(self, transaction_id: str) -> CommitResult | None:
        await self._check()
        return await self._table.outcome(transaction_id)


class _SimulatedHostList(MemoryHostList):
    """Host list that fails with its table."""

    def __init__(self, table: SimulatedTable) -> None:
        super().__init__()
        self._table = table
        self.reads = 0

    async def hosts(self) -> list[HostInfo]:
        await self._table.enter()
        self.reads += 1
        return await super().hosts()


class _HostListOfHost(MemoryHostList):
    def __init__(self, inner: HostList, table: SimulatedTable, host: str) -> None:
        super().__init__()
        self._inner = inner
        self._table = table
        self._host = host

    async def hosts(self) -> list[HostInfo]:
        if self._host in self._table.cut_off:
            await self._table.enter(self._host)
        return await self._inner.hosts()


class SimulatedHost:
    """The parts of an entry host that spread configuration and watch the other hosts.

    :ivar catalog_at: Time at which each version came into force here, by trio's clock.
    """

    def __init__(
        self,
        me: HostInfo,
        fabric: Fabric,
        platform: Platform,
        clock: Clock,
        seeds: Iterable[str] = (),
    ) -> None:
        self.me = me
        self.clock = clock
        self.directory = Directory()
        self.network = MemoryPeerNetwork(me, fabric)
        self.members = Members(me, self.network, clock)
        self.contact = Contact(self.directory, self.members)
        self.groups: list[GroupState] = []
        self.pairs: set[str] = set()
        self.catalog_at: dict[int, float] = {}
        self.membership = Membership(
            self.network,
            clock,
            self.describe,
            self._on_heartbeat,
            self.members,
            self.contact,
            lambda: self.pairs,
        )
        self.sync = Sync(
            self.directory,
            self.network,
            platform,
            clock,
            self._on_catalog,
            self.members,
            self.contact,
            tuple(seeds),
        )
        self.scope = trio.CancelScope()

    @property
    def version(self) -> int:
        """Version of the release in force here."""
        return self.directory.catalog.version

    def describe(self) -> Heartbeat:
        """Return the heartbeat that describes this host now."""
        return Heartbeat(
            host=self.me.host,
            incarnation=self.me.incarnation,
            domain=self.me.domain,
            address=self.me.address,
            catalog_version=self.version,
            groups=list(self.groups),
            sent_at=self.clock.now(),
            platform_seen_at=self.sync.platform_seen_at,
            rows_digest=self.directory.rows_digest,
        )

    async def run(self) -> None:
        """Run the host until its scope is cancelled."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.membership.run)
                nursery.start_soon(self.sync.run_fetches)
                nursery.start_soon(self.sync.run_platform)

    def _on_heartbeat(self, beat: Heartbeat) -> None:
        self.sync.note_heartbeat(beat)

    def _on_catalog(self, catalog: Catalog) -> None:
        self.catalog_at[catalog.version] = trio.current_time()


class Simulation:
    """A number of simulated hosts and their platform.

    :param domains: Number of failure domains, over which the hosts are spread evenly.
    """

    def __init__(self, hosts: int, domains: int, clock: Clock, latency_seconds: float = 0.001):
        self.clock = clock
        self.fabric = Fabric(latency_seconds)
        self.table = SimulatedTable()
        self.host_list = _SimulatedHostList(self.table)
        self.platform = Platform(self.table, MemoryObjectStore(), self.host_list)
        self.hosts: dict[str, SimulatedHost] = {}
        for number in range(hosts):
            self.add(f"host-{number:05d}", f"domain-{number % domains:02d}")

    def settle(self) -> None:
        """Let every host know all others, as if they had run for long."""
        at = self.clock.now()
        records = [
            Member(
                h.me.host, h.me.incarnation, h.me.domain, h.me.address, int(State.ALIVE), at - 1.0
            )
            for h in self.hosts.values()
        ]
        for host in self.hosts.values():
            host.members.merge(records, "")

    def add(
        self, name: str, domain: str, *, incarnation: int = 0, seeds: Iterable[str] = ()
    ) -> SimulatedHost:
        """Add a host that is on the platform's list; it does not run yet."""
        number = len(self.fabric.networks) if name not in self.hosts else 0
        address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8082"
        if name in self.hosts:
            address = self.hosts[name].me.address
        me = HostInfo(name, domain, address, incarnation or number + 1)
        table = _TableOfHost(self.table, name)
        host_list = _HostListOfHost(self.host_list, self.table, name)
        platform = Platform(table, self.platform.objects, host_list)
        self.hosts[name] = SimulatedHost(me, self.fabric, platform, self.clock, seeds)
        self.host_list.entries[name] = HostInfo(name, domain, address)
        self.fabric.down.discard(name)
        return self.hosts[name]

    def kill(self, name: str) -> None:
        """End a host at once."""
        self.fabric.down.add(name)
        self.hosts[name].scope.cancel()

    async def run(self) -> None:
        """Run all hosts until cancelled."""
        async with trio.open_nursery() as nursery:
            for host in self.hosts.values():
                nursery.start_soon(host.run)

    async def wait_for_version(self, version: int, hosts: Iterable[str] | None = None) -> float:
        """Wait until a version is in force and return when it was on the last host."""
        names = list(hosts) if hosts is not None else list(self.hosts)
        while any(self.hosts[name].version < version for name in names):
            await trio.sleep(0.01)
        return max(_reached_at(self.hosts[name], version) for name in names)


def _reached_at(host: SimulatedHost, version: int) -> float:
    return min(at for reached, at in host.catalog_at.items() if reached >= version)
