"""Simulation of many hosts in one process.

The hosts exchange messages over an in-memory network and share a platform that counts its calls.
"""

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
    """Network traffic of a host.

    :ivar messages: Number of messages sent.
    :ivar sent_bytes: Number of bytes sent.
    :ivar received_bytes: Number of bytes sent to the host by others.
    :ivar messages_by_kind: Number of messages sent, by class name of the message.
    :ivar bytes_by_kind: Number of bytes sent, by class name of the message.
    """

    messages: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    messages_by_kind: Counter[str] = field(default_factory=Counter)
    bytes_by_kind: Counter[str] = field(default_factory=Counter)

    def total_bytes(self) -> int:
        """Return the number of bytes in both directions."""
        return self.sent_bytes + self.received_bytes


class Fabric:
    """Connects the networks of simulated hosts.

    :param latency_seconds: One-way latency.
    :ivar networks: Networks by host.
    :ivar traffic: Traffic counters by host.
    :ivar cut_pairs: Pairs of hosts, sorted by name, that cannot reach each other.
    :ivar down: Hosts whose process has ended.
    :ivar paused: Hosts that neither send nor answer until they are resumed. Messages to them are
        delayed until then.
    """

    def __init__(self, latency_seconds: float = 0.001) -> None:
        self.latency_seconds = latency_seconds
        self.networks: dict[str, MemoryPeerNetwork] = {}
        self.traffic: dict[str, Traffic] = {}
        self.cut_pairs: set[tuple[str, str]] = set()
        self.down: set[str] = set()
        self.paused: dict[str, trio.Event] = {}

    def isolate(self, host: str) -> None:
        """Cut a host off from all others."""
        self.cut_pairs |= {sorted_pair(host, other) for other in self.networks if other != host}

    def reconnect(self, host: str) -> None:
        """End the isolation of a host."""
        self.cut_pairs = {hosts for hosts in self.cut_pairs if host not in hosts}

    def pause(self, host: str) -> None:
        """Pause a host: delay all messages from and to it until it is resumed."""
        self.paused[host] = trio.Event()

    def resume(self, host: str) -> None:
        """Resume a paused host."""
        self.paused.pop(host).set()

    async def transmit(self, sender: str, receiver: str, msg: Message) -> Message:
        """Transmit a message and return it as decoded by the receiver.

        A message between hosts of a cut pair is lost: the call blocks until it is cancelled.
        """
        data = encode(1, msg)
        traffic = self.traffic[sender]
        traffic.messages += 1
        traffic.sent_bytes += len(data)
        traffic.messages_by_kind[type(msg).__name__] += 1
        traffic.bytes_by_kind[type(msg).__name__] += len(data)
        self.traffic[receiver].received_bytes += len(data)
        await self._wait_until_resumed(sender)
        await trio.sleep(self.latency_seconds)
        if sorted_pair(sender, receiver) in self.cut_pairs:
            await trio.sleep_forever()
        await self._wait_until_resumed(receiver)
        return decode(data[LENGTH_BYTES:])[1]

    async def _wait_until_resumed(self, host: str) -> None:
        while host in self.paused:
            await self.paused[host].wait()


def sorted_pair(first: str, second: str) -> tuple[str, str]:
    """Return two hosts sorted by name."""
    return (first, second) if first < second else (second, first)


class _MemoryConnection:
    """Connection of a message, with the attributes that message handlers use."""

    def __init__(self, peer_name: str) -> None:
        self.peer_name = peer_name
        self.aborted = False

    def abort(self) -> None:
        self.aborted = True


class _MemoryStream:
    """Stream that stores the answer of a message handler."""

    def __init__(self) -> None:
        self.answer: Message | None = None

    async def send(self, msg: Message) -> None:
        self.answer = msg


class MemoryPeerNetwork(PeerNetwork):
    """In-memory network of a simulated host; every message is encoded and decoded."""

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

    async def identify(self, address: str) -> HostInfo:
        for host, network in self._fabric.networks.items():
            reachable = (
                host not in self._fabric.down
                and host not in self._fabric.paused
                and sorted_pair(self.me.host, host) not in self._fabric.cut_pairs
            )
            if network.me.address == address and reachable:
                self.update_hosts([network.me])
                return network.me
        raise PeerUnavailable(f"{address} does not answer", may_have_arrived=False)

    async def _exchange(self, peer: MemoryPeerNetwork, msg: Message) -> Message:
        me, other = self.me.host, peer.me.host
        received = await self._fabric.transmit(me, other, msg)
        conn, stream = _MemoryConnection(me), _MemoryStream()
        await peer._dispatch_message(conn, stream, received)  # type: ignore[arg-type]
        if stream.answer is None or other in self._fabric.down:
            raise PeerUnavailable(f"{other} closed the connection", may_have_arrived=True)
        return await self._fabric.transmit(other, me, stream.answer)


class SimulatedTable(Table):
    """In-memory table with latency, outages and call counters.

    :ivar down: Whether all calls fail.
    :ivar cut_off_hosts: Hosts whose calls fail.
    :ivar reads: Number of successful calls of :meth:`read`.
    :ivar scans: Number of successful calls of :meth:`scan`.
    :ivar rows_read: Number of rows requested by reads and returned by scans.
    :ivar attempts: Number of all calls, successful or not.
    :ivar commits: Number of successful calls of :meth:`commit`.
    """

    def __init__(self, latency_seconds: float = 0.005) -> None:
        self.inner = MemoryTable()
        self.latency_seconds = latency_seconds
        self.down = False
        self.cut_off_hosts: set[str] = set()
        self.reads = 0
        self.scans = 0
        self.rows_read = 0
        self.attempts = 0
        self.commits = 0

    async def begin_call(self, host: str = "") -> None:
        """Simulate the latency of a call.

        :raises PlatformUnavailable: If the table is down or the host cannot reach it.
        """
        self.attempts += 1
        await trio.sleep(self.latency_seconds)
        if self.down or host in self.cut_off_hosts:
            raise PlatformUnavailable("the platform is down")

    async def read(self, keys: Sequence[str]) -> dict[str, TableRow]:
        await self.begin_call()
        self.reads += 1
        self.rows_read += len(keys)
        return await self.inner.read(keys)

    async def scan(self, prefix: str) -> dict[str, TableRow]:
        await self.begin_call()
        self.scans += 1
        rows = await self.inner.scan(prefix)
        self.rows_read += len(rows)
        return rows

    async def commit(self, tx: Transaction) -> CommitResult:
        await self.begin_call()
        self.commits += 1
        return await self.inner.commit(tx)

    async def outcome(self, transaction_id: str) -> CommitResult | None:
        await self.begin_call()
        return await self.inner.outcome(transaction_id)


class _HostTableAccess(Table):
    """Access of one host to the table; fails while the host is cut off."""

    def __init__(self, table: SimulatedTable, host: str) -> None:
        self._table = table
        self._host = host

    async def _check_reachable(self) -> None:
        if self._host in self._table.cut_off_hosts:
            await self._table.begin_call(self._host)

    async def read(self, keys: Sequence[str]) -> dict[str, TableRow]:
        await self._check_reachable()
        return await self._table.read(keys)

    async def scan(self, prefix: str) -> dict[str, TableRow]:
        await self._check_reachable()
        return await self._table.scan(prefix)

    async def commit(self, tx: Transaction) -> CommitResult:
        await self._check_reachable()
        return await self._table.commit(tx)

    async def outcome(self, transaction_id: str) -> CommitResult | None:
        await self._check_reachable()
        return await self._table.outcome(transaction_id)


class _SimulatedHostList(MemoryHostList):
    """Host list that is unavailable while the table is."""

    def __init__(self, table: SimulatedTable) -> None:
        super().__init__()
        self._table = table
        self.reads = 0

    async def hosts(self) -> list[HostInfo]:
        await self._table.begin_call()
        self.reads += 1
        return await super().hosts()


class _HostListAccess(MemoryHostList):
    """Access of one host to the host list; fails while the host is cut off."""

    def __init__(self, inner: HostList, table: SimulatedTable, host: str) -> None:
        super().__init__()
        self._inner = inner
        self._table = table
        self._host = host

    async def hosts(self) -> list[HostInfo]:
        if self._host in self._table.cut_off_hosts:
            await self._table.begin_call(self._host)
        return await self._inner.hosts()


class SimulatedHost:
    """The components of an entry host that distribute configuration and monitor the other hosts.

    :ivar groups: Groups that the heartbeats of the host report.
    :ivar group_partners: Hosts that share a group with this one as dispatcher and standby
        dispatcher.
    :ivar in_force_at: Time at which each catalog version came into force here, by trio's clock.
    :ivar scope: Cancel scope of the running host.
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
        self.group_partners: set[str] = set()
        self.in_force_at: dict[int, float] = {}
        self.membership = Membership(
            self.network,
            clock,
            self.build_heartbeat,
            self._on_heartbeat,
            self.members,
            self.contact,
            lambda: self.group_partners,
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
        """Version of the release in force on this host."""
        return self.directory.catalog.version

    def build_heartbeat(self) -> Heartbeat:
        """Return a heartbeat with the current state of this host."""
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

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        self.sync.apply_heartbeat(heartbeat)

    def _on_catalog(self, catalog: Catalog) -> None:
        self.in_force_at[catalog.version] = trio.current_time()


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
            self.add_host(f"host-{number:05d}", f"domain-{number % domains:02d}")

    def mark_all_alive(self) -> None:
        """Make every host know all others as alive, as after a long run."""
        at = self.clock.now()
        records = [
            Member(
                h.me.host, h.me.incarnation, h.me.domain, h.me.address, int(State.ALIVE), at - 1.0
            )
            for h in self.hosts.values()
        ]
        for host in self.hosts.values():
            host.members.merge(records, "")

    def add_host(
        self, name: str, domain: str, *, incarnation: int = 0, seeds: Iterable[str] = ()
    ) -> SimulatedHost:
        """Add a host, or a new incarnation of one, to the platform's list without running it."""
        number = len(self.fabric.networks) if name not in self.hosts else 0
        address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8082"
        if name in self.hosts:
            address = self.hosts[name].me.address
        me = HostInfo(name, domain, address, incarnation or number + 1)
        table = _HostTableAccess(self.table, name)
        host_list = _HostListAccess(self.host_list, self.table, name)
        platform = Platform(table, self.platform.objects, host_list)
        self.hosts[name] = SimulatedHost(me, self.fabric, platform, self.clock, seeds)
        self.host_list.entries[name] = HostInfo(name, domain, address)
        self.fabric.down.discard(name)
        return self.hosts[name]

    def kill_host(self, name: str) -> None:
        """Kill a host without a graceful shutdown."""
        self.fabric.down.add(name)
        self.hosts[name].scope.cancel()

    async def run(self) -> None:
        """Run all hosts until cancelled."""
        async with trio.open_nursery() as nursery:
            for host in self.hosts.values():
                nursery.start_soon(host.run)

    async def wait_for_version(self, version: int, hosts: Iterable[str] | None = None) -> float:
        """Wait until a version is in force on the hosts.

        :param hosts: Names of the hosts to wait for; all hosts by default.
        :return: Time at which it came into force on the last of them, by trio's clock.
        """
        names = list(hosts) if hosts is not None else list(self.hosts)
        while any(self.hosts[name].version < version for name in names):
            await trio.sleep(0.01)
        return max(_in_force_at(self.hosts[name], version) for name in names)


def _in_force_at(host: SimulatedHost, version: int) -> float:
    return min(at for reached, at in host.in_force_at.items() if reached >= version)
