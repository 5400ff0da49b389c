"""Links from other hosts, which get state updates from the leader or from one of its backups.

Calls to the store are billed, so the other hosts do not read the store. When they hear nothing from
the leader they follow one of a few backup hosts, which read the store for them.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import ProtocolError
from radishshunt.gateway.frames import FrameReader
from radishshunt.gateway.host_versions import HostVersions
from radishshunt.gateway.leader_row import LEADER_KEY
from radishshunt.gateway.messages import Hello, Report, ReportAnswer, StateUpdate, encode
from radishshunt.gateway.report_answers import UnansweredReport, grant_nothing
from radishshunt.gateway.row_deltas import DeltaEncoder
from radishshunt.gateway.rows import Change, Topic

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from radishshunt.gateway.messages import TargetSpeed
    from radishshunt.gateway.report_answers import GrantTokens
    from radishshunt.gateway.settings import HostSettings
    from radishshunt.gateway.suspect_exchange import SuspectExchange
    from radishshunt.gateway.view import View
    from radishshunt.policy.direct.target_statements import TargetStatement
    from radishshunt.suspect import Suspect
    from radishshunt.target_model import TargetModel

logger = logging.getLogger(__name__)

# Interval between messages in each direction. Above HOSTS_AT_FULL_RATE hosts it grows with their
# number, up to the maximum, to limit the load of the leader.
UPDATE_INTERVAL_SECONDS = 0.2
MAX_UPDATE_INTERVAL_SECONDS = 0.4
HOSTS_AT_FULL_RATE = 20
# Changes within this time are sent in one message.
COALESCE_SECONDS = 0.005
# Time for which the encoded full state is reused for new links; the age that it states may be off
# by this much.
FULL_STATE_CACHE_SECONDS = 0.1
# Maximum number of frames queued for a host that does not read. Beyond it the link is closed and
# the host has to reconnect.
MAX_QUEUED_FRAMES = 64
# Long enough for a 5 Mbit/s link to carry the full state, about 40 kB, and the updates of
# neighbouring hosts.
SEND_TIMEOUT_SECONDS = 3.0
# Number of hosts that read the store for the others while the leader is silent.
BACKUP_HOSTS = 3
# A host does not serve as a source for others if its state counts as old in less than this time.
MIN_SOURCE_SECONDS = 0.1


def message_interval(hosts: int) -> float:
    """Return the seconds between two messages for a number of connected hosts."""
    return min(
        MAX_UPDATE_INTERVAL_SECONDS, UPDATE_INTERVAL_SECONDS * max(1.0, hosts / HOSTS_AT_FULL_RATE)
    )


def choose_backups(hellos: Iterable[Hello]) -> tuple[str, ...]:
    """Return the addresses of the hosts that read the store while the leader is silent.

    The strongest hosts are chosen, of different failure domains as far as there are enough.
    """
    ranked = sorted(hellos, key=lambda hello: (-hello.capacity, hello.address))
    chosen: list[Hello] = []
    for hello in ranked:
        if hello.domain not in {other.domain for other in chosen}:
            chosen.append(hello)
    chosen += [hello for hello in ranked if hello not in chosen]
    return tuple(hello.address for hello in chosen[:BACKUP_HOSTS])


class LinkServer:
    """Accepts links from the other hosts and sends them state updates.

    :param is_leader: Returns whether this host leads.
    :param on_report: Called with each load report of a host while this host leads.
    :param suspects: Suspects that are exchanged with other hosts.
    :param grant_tokens: Returns the tokens that a host may use, while this host leads.
    :param target_model: Learned speeds, if they may be stated.
    :param resigned_term: Returns the last term that this host has ended before its lease.
    :ivar backups: Addresses of the backup hosts that the leader has named last.
    :ivar host_versions: Configuration in force on the hosts that are linked to this one.
    :ivar known_hosts: Number of hosts that the leader has stated last, including the leader.
    """

    def __init__(
        self,
        cfg: HostSettings,
        view: View,
        is_leader: Callable[[], bool],
        on_report: Callable[[Report], None],
        suspects: SuspectExchange,
        grant_tokens: GrantTokens = grant_nothing,
        target_model: TargetModel | None = None,
        resigned_term: Callable[[], str] = lambda: "",
    ) -> None:
        self.backups: tuple[str, ...] = ()
        self.host_versions = HostVersions(view.clock)
        self.known_hosts = 1
        self._cfg = cfg
        self._view = view
        self._is_leader = is_leader
        self._on_report = on_report
        self._suspects = suspects
        self._grant_tokens = grant_tokens
        self._target_model = target_model
        self._resigned_term = resigned_term
        self._links: set[_Link] = set()
        self._changes: list[Change] = []
        self._delta_encoder = DeltaEncoder()
        self._wake = trio.Event()
        # Time at which the cached frame with the full state was encoded, the number of changes of
        # suspects until then, and the frame.
        self._full_state_cache = (float("-inf"), 0, b"")
        view.listeners.append(self._queue_change)

    def update_settings(self, cfg: HostSettings) -> None:
        """Apply changed bounds."""
        self._cfg = cfg

    @property
    def hosts(self) -> int:
        """Number of connected hosts, including this one."""
        return len(self._links) + 1

    async def run(self) -> None:
        """Accept links and send updates until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_updates)
            await trio.serve_tcp(self._serve, self._cfg.peer_port, host=self._cfg.ip)

    def announce_resignation(self) -> None:
        """Tell all linked hosts soon that this host no longer leads."""
        self._wake.set()

    async def _send_updates(self) -> None:
        """Send one frame to all links when there are changes, and at least once an interval."""
        while True:
            with trio.move_on_after(message_interval(self.hosts) if self._links else float("inf")):
                await self._wake.wait()
                await trio.sleep(COALESCE_SECONDS)
            self._wake = trio.Event()
            self._send_update()

    def _send_update(self) -> None:
        """Send all changes so far to all links, and then the answers to their reports."""
        changes, self._changes = self._changes, []
        if not self._links:
            return
        speeds = ()
        if self._target_model is not None:
            speeds = self._target_model.next_update(leading=self._is_leader())
        update = self._build_update(
            self._delta_encoder.encode(changes),
            self._suspects.next_update(),
            speeds,
            self._view.statements.next_update(self._view.clock.now()),
        )
        frame = encode(update)
        for link in self._links:
            link.enqueue(frame)
            self._answer_report(link)

    def _answer_report(self, link: _Link) -> None:
        """Answer the last report on a link whose queue has all changes that this host applied."""
        number, demands = link.unanswered.take()
        cfg = self._view.cfg
        if not number or cfg is None or (cfg.workspaces is None and not demands):
            return
        grants = self._grant_tokens(link.host, demands) if self._is_leader() else ()
        age = self._view.confirmation.age(self._view.clock.now())
        link.enqueue(encode(ReportAnswer(number, age, grants)))

    def _build_update(
        self,
        changes: tuple[Change, ...],
        suspects: tuple[Suspect, ...],
        target_speeds: tuple[TargetSpeed, ...],
        statements: tuple[TargetStatement, ...],
    ) -> StateUpdate:
        """Return an update with changes and the current state of this host."""
        leading = self._is_leader()
        if leading:
            self.known_hosts = self.hosts
        return StateUpdate(
            leading=leading,
            followed_age=max(0.0, self._view.freshness.followed_age),
            hosts=self.known_hosts,
            changes=changes,
            moving=self._view.moving,
            overloaded=self._view.overloaded,
            suspects=suspects,
            backups=self.backups,
            target_speeds=target_speeds,
            statements=statements,
            sent_at=self._view.clock.now(),
            complete_until=min(
                map(self._view.freshness.complete_until, (Topic.OPERATOR, Topic.TARGETS))
            ),
            resigned_term=self._resigned_term(),
        )

    def _queue_change(self, change: Change | None) -> None:
        """Queue a change for the links; most hosts have no links and queue nothing.

        :param change: ``None`` if key moves began or ended, or targets stated something.
        """
        self._full_state_cache = (float("-inf"), 0, b"")
        if not self._links:
            return
        if change is not None:
            self._changes.append(change)
        self._wake.set()

    def _first_frame(self, hello: Hello) -> bytes:
        """Return the frame that gives a host all that it does not have yet.

        The full state is shared by hosts that connect at the same time.
        """
        if any(hello.versions.values()):
            return self._encode_first_update(hello.versions)
        built_at, suspect_changes, frame = self._full_state_cache
        age = self._view.clock.now() - built_at
        if age > FULL_STATE_CACHE_SECONDS or suspect_changes != self._suspects.changes:
            frame = self._encode_first_update({})
            self._full_state_cache = (self._view.clock.now(), self._suspects.changes, frame)
        return frame

    def _encode_first_update(self, versions: Mapping[Topic, int]) -> bytes:
        """Return the frame for a host that has all rows up to the given versions."""
        changes = self._view.changes_since(versions)
        speeds = ()
        if self._target_model is not None:
            speeds = self._target_model.known(leading=self._is_leader())
        statements = self._view.statements.known(self._view.clock.now())
        return encode(self._build_update(changes, self._suspects.known(), speeds, statements))

    def _hint_frame(self) -> bytes:
        """Return the frame that names the leader and the backups, for a host that looks for it."""
        row = self._view.rows[Topic.OWN].get(LEADER_KEY)
        changes = (Change(Topic.OWN, (row,), 0, whole=False),) if row is not None else ()
        return encode(
            StateUpdate(
                leading=False,
                followed_age=float("inf"),
                hosts=self.known_hosts,
                changes=changes,
                backups=self.backups,
                sent_at=self._view.clock.now(),
                resigned_term=self._resigned_term(),
            )
        )

    def _may_serve(self, hello: Hello) -> bool:
        if self._is_leader():
            return True
        if not hello.follow or not self._view.complete:
            return False
        age = self._view.freshness.followed_age
        if f"{self._cfg.ip}:{self._cfg.peer_port}" in self.backups:
            # A backup that has lost its source too is about to read the store.
            age = min(age, self._view.freshness.linked_age)
        return age < self._cfg.bounds.max_state_age_seconds - MIN_SOURCE_SECONDS

    async def _serve(self, stream: trio.SocketStream) -> None:
        link = None
        try:
            reader = FrameReader(stream)
            msg = await reader.read()
            if not isinstance(msg, Report):
                return
            hello = msg.hello or Hello()
            if not self._may_serve(hello):
                with trio.move_on_after(SEND_TIMEOUT_SECONDS):
                    await stream.send_all(self._hint_frame())
                return
            link = _Link(stream, hello, msg.host)
            link.enqueue(self._first_frame(hello))
            if not self._links:
                # Rows sent only to closed links must not serve as a base for deltas on this
                # one.
                self._delta_encoder, self._changes = DeltaEncoder(), []
            self._links.add(link)
            self._update_backups()
            self._wake.set()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.send, nursery.cancel_scope)
                await self._receive(link, reader, msg)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError, ProtocolError) as group:
            logger.info("link from a host closed: %r", group.exceptions[0])
        except* Exception as group:
            # An exception in one link must not close the links of the other hosts.
            logger.error("unexpected exception in a link from a host", exc_info=group)
        finally:
            if link is not None:
                self._links.discard(link)
                self.host_versions.remove(msg.host)
                self._update_backups()
            stream.socket.close()

    async def _receive(self, link: _Link, reader: FrameReader, first_report: Report) -> None:
        """Pass reports on until the link ends or this host stops leading."""
        msg: object = first_report
        was_leader = self._is_leader()
        while msg is not None:
            if isinstance(msg, Report):
                # Also while no host leads, as the request may come again at any host meanwhile.
                self._suspects.merge(msg.suspects)
                self._view.record_statements(msg.statements, own=False)
                link.unanswered.record(msg)
            if self._is_leader():
                was_leader = True
                if isinstance(msg, Report):
                    self.host_versions.record(msg.host, msg.configuration)
                    self._on_report(msg)
            elif was_leader:
                return
            if isinstance(msg, Report) and msg.demands and not self._changes:
                # Requests may be waiting for the tokens.
                self._answer_report(link)
            msg = await reader.read()

    def _update_backups(self) -> None:
        if self._is_leader():
            self.backups = choose_backups(link.hello for link in self._links if link.hello.address)


class _Link:
    """Link to one host, with the queue of its outgoing frames."""

    def __init__(self, stream: trio.SocketStream, hello: Hello, host: str) -> None:
        self.hello = hello
        self.host = host
        self.unanswered = UnansweredReport()
        self._stream = stream
        self._queue: list[bytes] = []
        self._wake = trio.Event()

    def enqueue(self, frame: bytes) -> None:
        """Add a frame to the queue."""
        self._queue.append(frame)
        self._wake.set()

    async def send(self, scope: trio.CancelScope) -> None:
        """Send queued frames until the host stops reading, then cancel a scope.

        :param scope: Cancel scope of the link.
        """
        while len(self._queue) <= MAX_QUEUED_FRAMES:
            await self._wake.wait()
            self._wake = trio.Event()
            frames, self._queue = self._queue, []
            with trio.move_on_after(SEND_TIMEOUT_SECONDS) as send_scope:
                await self._stream.send_all(b"".join(frames))
            if send_scope.cancelled_caught:
                break
        scope.cancel()
