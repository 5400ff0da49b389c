"""Records of all hosts, from the platform's list and from state updates of other hosts."""

from __future__ import annotations

import logging
from enum import IntEnum
from itertools import islice
from sys import intern
from typing import TYPE_CHECKING

import trio
from xxhash import xxh3_64_intdigest

from radishshunt.model import HostInfo
from radishshunt.topology import Topology, topology_of
from radishshunt.wire.messages import Member

if TYPE_CHECKING:
    from collections.abc import Iterable

    from radishshunt.clock import Clock
    from radishshunt.peers import PeerNetwork

logger = logging.getLogger(__name__)

# A list that lacks more than half of the hosts on the previous one is more likely a fault of the
# platform than correct, and removing hosts has consequences. Such a list is applied only after this
# many consecutive reads.
SHRUNK_LIST_READS = 3
# A lost host that is not on the platform's list is removed after this time.
LOST_RETENTION_SECONDS = 60.0
# Maximum number of updates in one heartbeat; the others wait for the next one, so that a heartbeat
# stays small.
UPDATES_PER_HEARTBEAT = 32
# Records of hosts that are gone are kept this long, so that old updates do not restore the hosts.
GONE_RETENTION_SECONDS = 600.0
# Sending more updates than this costs as much as sending the complete records. A peer fetches the
# complete records once and compressed, but receives updates from each of its own peers. Larger
# batches are therefore not passed on; peers notice by the digest that their records differ.
MAX_QUEUED_UPDATES = 256
# Updates from further in the future are ignored: no later update could replace them.
MAX_CLOCK_LEAD_SECONDS = 10.0
# Smallest difference between the times of two updates about one host.
MIN_TIME_STEP_SECONDS = 1e-3


class State(IntEnum):
    """State of a host; of two updates with the same time, the one with the larger state wins."""

    LISTED = 0
    ALIVE = 1
    LEAVING = 2
    LOST = 3
    GONE = 4


class Members:
    """Latest record of every host, and the updates that are still to be sent to each peer.

    :param me: This host.
    """

    def __init__(self, me: HostInfo, network: PeerNetwork, clock: Clock) -> None:
        self.me = me
        self._network = network
        self._clock = clock
        self._records: dict[str, Member] = {}
        self._pending_updates: dict[str, dict[str, Member]] = {}
        self._listed: set[str] = set()
        self._shrunk_list_reads = 0
        self._topology: Topology | None = None
        self._updates_added = trio.Event()
        self.digest = 0

    @property
    def topology(self) -> Topology:
        """Topology of the hosts that are not gone, including this one."""
        if self._topology is None:
            domains = {r.host: r.domain for r in self._records.values() if r.state != State.GONE}
            domains[self.me.host] = self.me.domain
            self._topology = topology_of(domains)
        return self._topology

    @property
    def peers(self) -> tuple[str, ...]:
        """Hosts that this one exchanges heartbeats with."""
        return self.topology.peers_of(self.me.host)

    @property
    def tree_neighbours(self) -> tuple[str, ...]:
        """Parent and children of this host in the tree along which rows are sent."""
        return self.topology.tree_of(self.me.host)

    @property
    def is_reader(self) -> bool:
        """Whether this host reads the platform for its domain."""
        return self.me.host in self.topology.readers(self.me.domain)

    @property
    def only_host(self) -> bool:
        """Whether no other host is known or listed."""
        return all(r.state == State.GONE or r.host == self.me.host for r in self._records.values())

    def records(self) -> list[Member]:
        """Return the records of all hosts, including those that are gone."""
        return list(self._records.values())

    def get(self, host: str) -> Member | None:
        """Return the record of a host, or ``None`` if the host is unknown."""
        return self._records.get(host)

    def is_recorded_alive(self, host: str) -> bool:
        """Return whether some host has heard a host, and its loss has not been confirmed since."""
        known = self._records.get(host)
        return known is not None and known.state in (State.ALIVE, State.LEAVING)

    def is_gone(self, host: str) -> bool:
        """Return whether a host is unknown or has left the platform's list."""
        known = self._records.get(host)
        return known is None or known.state == State.GONE

    def announce_self(self, *, leaving: bool = False) -> None:
        """Announce this host to the other hosts.

        :param leaving: Whether this host is about to stop.
        """
        known = self._records.get(self.me.host)
        at = max(self._clock.now(), known.at + MIN_TIME_STEP_SECONDS if known else 0.0)
        self._apply([self._own_record(State.LEAVING if leaving else State.ALIVE, at)], "")

    def report_lost(self, host: str) -> None:
        """Record the loss of a host and announce it to the other hosts."""
        known = self._records.get(host)
        if known is not None and known.state in (State.ALIVE, State.LEAVING):
            logger.info("host %s is lost", host)
            self._apply([_with_state(known, State.LOST, self._clock.now())], "")

    def record_heartbeat(self, info: HostInfo) -> bool:
        """Record that a heartbeat of a host arrived.

        :return: Whether the host is a member of the system; one that left the list is not.
        """
        known = self._records.get(info.host)
        state = State.LEAVING if info.leaving else State.ALIVE
        if known is not None and known.incarnation == info.incarnation:
            if known.state == State.GONE:
                return False
            # The platform's list may say that a host is leaving before the host does.
            if known.state in (state, State.LEAVING):
                return True
        at = max(self._clock.now(), known.at + MIN_TIME_STEP_SECONDS if known else 0.0)
        member = Member(info.host, info.incarnation, info.domain, info.address, state, at)
        self._apply([member], info.host)
        return True

    def merge(self, updates: Iterable[Member], source: str) -> bool:
        """Apply updates that a peer passed on.

        :param source: The peer, empty if the updates do not come from a peer.
        :return: Whether any update of another host was newer than its record here.
        """
        newer = []
        latest = self._clock.now() + MAX_CLOCK_LEAD_SECONDS
        for member in updates:
            known = self._records.get(member.host)
            if not (0.0 <= member.at <= latest and _is_newer(member, known)):
                continue
            if member.host == self.me.host:
                self._refute(member)
            else:
                newer.append(member)
        self._apply(newer, source)
        return bool(newer)

    def apply_host_list(self, hosts: list[HostInfo]) -> None:
        """Apply the platform's list, as read by this host."""
        now = self._clock.now()
        listed = {info.host for info in hosts}
        if self._needs_confirmation(listed):
            return
        updates = []
        for info in hosts:
            known = self._records.get(info.host)
            if known is None or known.state == State.GONE:
                updates.append(
                    Member(
                        info.host, info.incarnation, info.domain, info.address, State.LISTED, now
                    )
                )
            elif info.leaving and known.state in (State.LISTED, State.ALIVE):
                updates.append(_with_state(known, State.LEAVING, now))
        # Only a host that was listed before can have left the list; a new one may not be on it yet.
        left = self._listed - listed | self._expired_losses(now) - listed
        for host in sorted(left):
            known = self._records.get(host)
            if known is not None and known.state != State.GONE and host != self.me.host:
                logger.info("removed host %s, which is no longer on the platform's list", host)
                updates.append(_with_state(known, State.GONE, now))
        self._apply(updates, "")
        self._listed = listed
        self._purge(now)

    def _needs_confirmation(self, listed: set[str]) -> bool:
        """Return whether a list has to be read again before it is applied."""
        missing = len(self._listed - listed)
        if 2 * missing <= len(self._listed):
            self._shrunk_list_reads = 0
            return False
        self._shrunk_list_reads += 1
        if self._shrunk_list_reads >= SHRUNK_LIST_READS:
            return False
        logger.error(
            "the platform's list lacks %d of %d hosts; it is not applied until it is confirmed",
            missing,
            len(self._listed),
        )
        return True

    def _expired_losses(self, now: float) -> set[str]:
        return {
            r.host
            for r in self._records.values()
            if r.state == State.LOST and now - r.at > LOST_RETENTION_SECONDS
        }

    def has_updates(self, peer: str) -> bool:
        """Return whether updates are waiting to be sent to a peer."""
        return bool(self._pending_updates.get(peer))

    async def wait_updates(self) -> None:
        """Wait until an update for any peer is queued."""
        await self._updates_added.wait()

    def take_updates(self, peer: str) -> list[Member]:
        """Remove updates for a peer from its queue, at most :data:`UPDATES_PER_HEARTBEAT`.

        :return: The updates to send.
        """
        queued = self._pending_updates.get(peer)
        if not queued:
            return []
        batch = list(islice(queued.values(), UPDATES_PER_HEARTBEAT))
        for member in batch:
            del queued[member.host]
        return batch

    def requeue_updates(self, peer: str, updates: list[Member]) -> None:
        """Queue updates again that did not reach a peer; newer ones in the queue are kept."""
        if peer in self.peers:
            queued = self._pending_updates.setdefault(peer, {})
            for member in updates:
                queued.setdefault(member.host, member)

    def _own_record(self, state: State, at: float) -> Member:
        me = self.me
        return Member(me.host, me.incarnation, me.domain, me.address, state, at)

    def _refute(self, member: Member) -> None:
        """Refute an update about this host, unless it says that this host left the list."""
        known = self._records.get(self.me.host)
        if member.state == State.GONE and member.incarnation == self.me.incarnation:
            # The platform removed this host from its list, which is final for this incarnation.
            logger.warning("this host was removed from the platform's list")
            self._apply([member], "")
            return
        leaving = known is not None and known.state == State.LEAVING
        # The other host's clock may be ahead of this one's.
        at = max(self._clock.now(), member.at + MIN_TIME_STEP_SECONDS)
        self._apply([self._own_record(State.LEAVING if leaving else State.ALIVE, at)], "")

    def _apply(self, updates: list[Member], source: str) -> None:
        """Store updates and queue those that change a record for all peers but their source."""
        changes = [member for member in updates if self._store_record(member)]
        if len(changes) > MAX_QUEUED_UPDATES:
            return
        for member in changes:
            for peer in self.peers:
                if peer != source:
                    queued = self._pending_updates.setdefault(peer, {})
                    queued[member.host] = member
                    if len(queued) > MAX_QUEUED_UPDATES:
                        queued.clear()
        if changes:
            self._updates_added.set()
            self._updates_added = trio.Event()

    def _store_record(self, member: Member) -> bool:
        """Store a record.

        :return: Whether it differs from the previous record in more than its time.
        """
        host = member.host = intern(member.host)
        member.domain = intern(member.domain)
        known = self._records.get(host)
        self.digest ^= _digest(known) ^ _digest(member)
        self._records[host] = member
        if known is not None and _content(known) == _content(member):
            return False
        if (
            known is None
            or (known.state == State.GONE) != (member.state == State.GONE)
            or known.domain != member.domain
        ):
            self._topology = None
        if host != self.me.host:
            if member.state == State.GONE:
                self._network.forget(host)
                self._pending_updates.pop(host, None)
            else:
                self._network.update_hosts([_host_info(member)])
        return True

    def _purge(self, now: float) -> None:
        expired = [
            r.host
            for r in self._records.values()
            if r.state == State.GONE and r.at < now - GONE_RETENTION_SECONDS
        ]
        for host in expired:
            del self._records[host]
        peers = set(self.peers)
        for peer in [name for name in self._pending_updates if name not in peers]:
            del self._pending_updates[peer]


def _content(member: Member) -> tuple:
    return member.incarnation, member.state, member.domain, member.address


def _is_newer(member: Member, known: Member | None) -> bool:
    """Return whether an update replaces the present record of its host."""
    if known is None:
        return True
    if member.state == State.LISTED:
        # The list lags and adds nothing about a host that has been heard.
        return known.state == State.GONE and member.at > known.at
    if known.state == State.LISTED:
        return True
    if known.state == State.GONE and known.incarnation == member.incarnation:
        return False
    return (member.at, member.state) > (known.at, known.state)


def _with_state(member: Member, state: State, now: float) -> Member:
    at = max(now, member.at + MIN_TIME_STEP_SECONDS)
    return Member(member.host, member.incarnation, member.domain, member.address, state, at)


def _host_info(member: Member) -> HostInfo:
    return HostInfo(
        member.host,
        member.domain,
        member.address,
        member.incarnation,
        member.state == State.LEAVING,
    )


def _digest(member: Member | None) -> int:
    # Hosts purge the records of gone hosts at different times, so these do not count.
    if member is None or member.state == State.GONE:
        return 0
    return xxh3_64_intdigest(f"{member.host}/{member.incarnation}/{int(member.state)}".encode())
