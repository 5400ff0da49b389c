"""The hosts that exist, as news from the platform's list and from hosts says."""

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

# A list that lacks more than half of the hosts on the one before is more likely a fault of the
# platform than the truth, and to forget hosts has consequences; it has to be read this often.
SHRUNK_LISTS = 3
# A lost host that is on no list is forgotten after this time.
LOST_RETENTION_SECONDS = 60.0
# News in one heartbeat; more waits for the next one, so that a heartbeat stays small.
NEWS_PER_HEARTBEAT = 32
# Forgotten hosts are remembered this long, so that old news does not bring them back.
GONE_RETENTION_SECONDS = 600.0
# More news than this is as much as a whole view of the hosts, which is compressed and fetched once
# instead of arriving from every peer. It is not passed on; peers notice by the digest of the view.
MAX_NEWS_AT_ONCE = 256


# News from further in the future is ignored: no other news could ever replace it.
LARGEST_LEAD_SECONDS = 10.0
# Smallest difference in time between two items of news of one host.
TICK_SECONDS = 1e-3


class State(IntEnum):
    """What is known of a host; of two items of news with one time the larger state wins."""

    LISTED = 0
    ALIVE = 1
    LEAVING = 2
    LOST = 3
    GONE = 4


class Members:
    """News of all hosts, the latest of each, and what of it each peer has yet to hear.

    :param me: This host.
    """

    def __init__(self, me: HostInfo, network: PeerNetwork, clock: Clock) -> None:
        self.me = me
        self._network = network
        self._clock = clock
        self._records: dict[str, Member] = {}
        self._news: dict[str, dict[str, Member]] = {}
        self._listed: set[str] = set()
        self._shrunk = 0
        self._topology: Topology | None = None
        self._news_added = trio.Event()
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
    def tree(self) -> tuple[str, ...]:
        """Hosts that this one passes news of rows on to."""
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
        """Return all news, also of hosts that are gone."""
        return list(self._records.values())

    def get(self, host: str) -> Member | None:
        """Return what is known of a host."""
        return self._records.get(host)

    def exists(self, host: str) -> bool:
        """Return whether a host has been heard by any, and its loss has not been confirmed."""
        known = self._records.get(host)
        return known is not None and known.state in (State.ALIVE, State.LEAVING)

    def is_gone(self, host: str) -> bool:
        """Return whether a host is unknown or has left the platform's list."""
        known = self._records.get(host)
        return known is None or known.state == State.GONE

    def declare(self, *, leaving: bool = False) -> None:
        """Tell the other hosts of this one."""
        known = self._records.get(self.me.host)
        at = max(self._clock.now(), known.at + TICK_SECONDS if known else 0.0)
        self._take([self._own(State.LEAVING if leaving else State.ALIVE, at)], "")

    def report_lost(self, host: str) -> None:
        """Tell the other hosts that one is lost."""
        known = self._records.get(host)
        if known is not None and known.state in (State.ALIVE, State.LEAVING):
            logger.info("host %s is lost", host)
            self._take([_restated(known, State.LOST, self._clock.now())], "")

    def hear(self, info: HostInfo) -> bool:
        """Take a host's own heartbeat.

        :return: Whether the host belongs to the system; one that left the list does not.
        """
        known = self._records.get(info.host)
        state = State.LEAVING if info.leaving else State.ALIVE
        if known is not None and known.incarnation == info.incarnation:
            if known.state == State.GONE:
                return False
            # The platform's list may say that a host is leaving before the host does.
            if known.state in (state, State.LEAVING):
                return True
        at = max(self._clock.now(), known.at + TICK_SECONDS if known else 0.0)
        member = Member(info.host, info.incarnation, info.domain, info.address, state, at)
        self._take([member], info.host)
        return True

    def merge(self, news: Iterable[Member], source: str) -> bool:
        """Take news that a peer passed on.

        :return: Whether any of it was newer than what was known.
        """
        fresh = []
        latest = self._clock.now() + LARGEST_LEAD_SECONDS
        for member in news:
            known = self._records.get(member.host)
            if not (0.0 <= member.at <= latest and _is_newer(member, known)):
                continue
            if member.host == self.me.host:
                self._contradict(member)
            else:
                fresh.append(member)
        self._take(fresh, source)
        return bool(fresh)

    def take_host_list(self, hosts: list[HostInfo]) -> None:
        """Take the platform's list, as read by this host."""
        now = self._clock.now()
        listed = {info.host for info in hosts}
        if self._is_doubtful(listed):
            return
        fresh = []
        for info in hosts:
            known = self._records.get(info.host)
            if known is None or known.state == State.GONE:
                fresh.append(
                    Member(
                        info.host, info.incarnation, info.domain, info.address, State.LISTED, now
                    )
                )
            elif info.leaving and known.state in (State.LISTED, State.ALIVE):
                fresh.append(_restated(known, State.LEAVING, now))
        # Only a host that was listed before can have left the list: a new one may not be on it yet.
        left = self._listed - listed | self._long_lost(now) - listed
        for host in sorted(left):
            known = self._records.get(host)
            if known is not None and known.state != State.GONE and host != self.me.host:
                logger.info("host %s left the platform's list and is forgotten", host)
                fresh.append(_restated(known, State.GONE, now))
        self._take(fresh, "")
        self._listed = listed
        self._purge(now)

    def _is_doubtful(self, listed: set[str]) -> bool:
        """Return whether a list has to be read again before it counts."""
        missing = len(self._listed - listed)
        if 2 * missing <= len(self._listed):
            self._shrunk = 0
            return False
        self._shrunk += 1
        if self._shrunk >= SHRUNK_LISTS:
            return False
        logger.error("the platform's list lacks %d of %d hosts", missing, len(self._listed))
        return True

    def _long_lost(self, now: float) -> set[str]:
        return {
            r.host
            for r in self._records.values()
            if r.state == State.LOST and now - r.at > LOST_RETENTION_SECONDS
        }

    def has_news(self, peer: str) -> bool:
        """Return whether there is news that a peer has yet to hear."""
        return bool(self._news.get(peer))

    async def wait_news(self) -> None:
        """Wait until there is news for any peer."""
        await self._news_added.wait()

    def take_news(self, peer: str) -> list[Member]:
        """Return the news that a peer has yet to hear, at most :data:`NEWS_PER_HEARTBEAT`."""
        waiting = self._news.get(peer)
        if not waiting:
            return []
        batch = list(islice(waiting.values(), NEWS_PER_HEARTBEAT))
        for member in batch:
            del waiting[member.host]
        return batch

    def return_news(self, peer: str, news: list[Member]) -> None:
        """Take back news that did not reach a peer."""
        if peer in self.peers:
            waiting = self._news.setdefault(peer, {})
            for member in news:
                waiting.setdefault(member.host, member)

    def _own(self, state: State, at: float) -> Member:
        me = self.me
        return Member(me.host, me.incarnation, me.domain, me.address, state, at)

    def _contradict(self, member: Member) -> None:
        """Correct news of this host that is wrong."""
        known = self._records.get(self.me.host)
        if member.state == State.GONE and member.incarnation == self.me.incarnation:
            # The platform took this host off its list, which is final for this run of it.
            logger.warning("this host left the platform's list")
            self._take([member], "")
            return
        leaving = known is not None and known.state == State.LEAVING
        # The other host's clock may be ahead of this one's.
        at = max(self._clock.now(), member.at + TICK_SECONDS)
        self._take([self._own(State.LEAVING if leaving else State.ALIVE, at)], "")

    def _take(self, fresh: list[Member], source: str) -> None:
        news = [member for member in fresh if self._accept(member)]
        if len(news) > MAX_NEWS_AT_ONCE:
            return
        for member in news:
            for peer in self.peers:
                if peer != source:
                    waiting = self._news.setdefault(peer, {})
                    waiting[member.host] = member
                    if len(waiting) > MAX_NEWS_AT_ONCE:
                        waiting.clear()
        if news:
            self._news_added.set()
            self._news_added = trio.Event()

    def _accept(self, member: Member) -> bool:
        """Remember news.

        :return: Whether it says something new, and not only the same at a later time.
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
                self._news.pop(host, None)
            else:
                self._network.update_hosts([_info(member)])
        return True

    def _purge(self, now: float) -> None:
        old = [
            r.host
            for r in self._records.values()
            if r.state == State.GONE and r.at < now - GONE_RETENTION_SECONDS
        ]
        for host in old:
            del self._records[host]
        peers = set(self.peers)
        for peer in [name for name in self._news if name not in peers]:
            del self._news[peer]


def _content(member: Member) -> tuple:
    return member.incarnation, member.state, member.domain, member.address


def _is_newer(member: Member, known: Member | None) -> bool:
    """Return whether news replaces what is known."""
    if known is None:
        return True
    if member.state == State.LISTED:
        # The list says nothing of a host that has been heard, and it lags.
        return known.state == State.GONE and member.at > known.at
    if known.state == State.LISTED:
        return True
    if known.state == State.GONE and known.incarnation == member.incarnation:
        return False
    return (member.at, member.state) > (known.at, known.state)


def _restated(member: Member, state: State, now: float) -> Member:
    at = max(now, member.at + TICK_SECONDS)
    return Member(member.host, member.incarnation, member.domain, member.address, state, at)


def _info(member: Member) -> HostInfo:
    return HostInfo(
        member.host,
        member.domain,
        member.address,
        member.incarnation,
        member.state == State.LEAVING,
    )


def _digest(member: Member | None) -> int:
    # Forgotten hosts are purged at different times and therefore don't count.
    if member is None or member.state == State.GONE:
        return 0
    return xxh3_64_intdigest(f"{member.host}/{member.incarnation}/{int(member.state)}".encode())
