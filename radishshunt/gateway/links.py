"""Connections between the leader and the other hosts.

Calls to the store are billed, so only the leader reads changes from the store and forwards them to
the other hosts. A host that gets no recent updates from a leader connected to the store reads the
store itself.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import ProtocolError
from radishshunt.gateway.messages import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    Report,
    StateUpdate,
    decode,
    encode,
)
from radishshunt.gateway.row_deltas import DeltaEncoder, decode_deltas
from radishshunt.gateway.rows import Change
from radishshunt.logs import decision
from radishshunt.util.streams import ConnectFailed, connect

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.gateway.settings import HostSettings
    from radishshunt.gateway.view import View
    from radishshunt.wire.messages import Suspect

logger = logging.getLogger(__name__)

# Interval between messages in each direction. Above HOSTS_AT_FULL_RATE hosts it grows with their
# number, up to the maximum, to limit the load of the leader.
UPDATE_INTERVAL_SECONDS = 0.2
MAX_UPDATE_INTERVAL_SECONDS = 0.4
HOSTS_AT_FULL_RATE = 20
# Changes within this time are sent in one message.
COALESCE_SECONDS = 0.005
# A host reads the store itself once the leader's state is older than this, counted from the
# store's last response to the leader. Operators require changes to be applied within 2 s; the
# remaining time is for the store's first response to the host.
MAX_UPDATE_AGE_SECONDS = 1.5
# A link on which nothing arrives for this long is closed.
RECEIVE_TIMEOUT_SECONDS = 1.5
CONNECT_TIMEOUT_SECONDS = 0.5
RECONNECT_DELAY_SECONDS = 0.25
READ_BYTES = 64 * 1024
# Time for which the encoded full state is reused for new links; the age that it states may be off
# by this much.
FULL_STATE_CACHE_SECONDS = 0.1
# Maximum number of frames queued for a host that does not read. Beyond it the link is closed and
# the host has to reconnect.
MAX_QUEUED_FRAMES = 64
# Long enough for a 5 Mbit/s link to carry the full state, about 40 kB, and the updates of
# neighbouring hosts.
SEND_TIMEOUT_SECONDS = 3.0


def _message_interval(hosts: int) -> float:
    """Return the seconds between two messages for a number of connected hosts."""
    return min(
        MAX_UPDATE_INTERVAL_SECONDS, UPDATE_INTERVAL_SECONDS * max(1.0, hosts / HOSTS_AT_FULL_RATE)
    )


class FrameReader:
    """Reads messages from a stream of length-prefixed frames."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def read(self) -> StateUpdate | Report | None:
        """Return the next message, or ``None`` at the end of the stream or after a timeout.

        The timeout restarts with each received chunk, so a long message on a slow link does not
        time out while its bytes keep arriving.

        :raises ProtocolError: If a frame is malformed.
        """
        while True:
            if len(self._buffer) >= LENGTH_BYTES:
                size = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
                if size > MAX_FRAME_BYTES:
                    raise ProtocolError(f"frame of {size} bytes exceeds the limit")
                end = LENGTH_BYTES + size
                if len(self._buffer) >= end:
                    data = bytes(self._buffer[LENGTH_BYTES:end])
                    del self._buffer[:end]
                    return decode(data)
            data = b""
            with trio.move_on_after(RECEIVE_TIMEOUT_SECONDS):
                data = await self._stream.receive_some(READ_BYTES)
            if not data:
                return None
            self._buffer += data


class LinkServer:
    """Accepts links from the other hosts and sends them state updates while this host leads.

    :param is_leader: Returns whether this host leads.
    :param on_report: Called with each load report of a host.
    :param get_suspects: Returns the requests suspected of crashing targets.
    """

    def __init__(
        self,
        cfg: HostSettings,
        view: View,
        is_leader: Callable[[], bool],
        on_report: Callable[[Report], None],
        get_suspects: Callable[[], tuple[Suspect, ...]],
    ) -> None:
        self._cfg = cfg
        self._view = view
        self._is_leader = is_leader
        self._on_report = on_report
        self._get_suspects = get_suspects
        self._links: set[_LinkQueue] = set()
        self._changes: list[Change] = []
        self._delta_encoder = DeltaEncoder()
        self._wake = trio.Event()
        # Time at which the cached frame with the full state was encoded, and the frame.
        self._full_state_cache = (float("-inf"), b"")
        view.listeners.append(self._queue_change)

    @property
    def hosts(self) -> int:
        """Number of connected hosts, including this one."""
        return len(self._links) + 1

    async def run(self) -> None:
        """Accept links and send updates until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_updates)
            await trio.serve_tcp(self._serve, self._cfg.peer_port, host=self._cfg.ip)

    async def _send_updates(self) -> None:
        """Send one frame to all links when there are changes, and at least once an interval."""
        while True:
            with trio.move_on_after(_message_interval(self.hosts) if self._links else float("inf")):
                await self._wake.wait()
                await trio.sleep(COALESCE_SECONDS)
            self._wake = trio.Event()
            changes, self._changes = self._changes, []
            if self._links:
                frame = encode(self._build_update(self._delta_encoder.encode(changes)))
                for link in self._links:
                    link.enqueue(frame)

    def _build_update(self, changes: tuple[Change, ...]) -> StateUpdate:
        """Return an update with changes and the current state of this host."""
        return StateUpdate(
            leading=self._is_leader(),
            followed_age=max(0.0, self._view.followed_age),
            hosts=self.hosts,
            changes=changes,
            moving=self._view.moving,
            overloaded=self._view.overloaded,
            suspects=self._get_suspects(),
        )

    def _queue_change(self, change: Change | None) -> None:
        """Queue a change for the links; most hosts have no links and queue nothing.

        :param change: ``None`` if key moves began or ended.
        """
        self._full_state_cache = (float("-inf"), b"")
        if not self._links:
            return
        if change is not None:
            self._changes.append(change)
        self._wake.set()

    def _full_state_frame(self) -> bytes:
        """Return a frame with the full state, shared by hosts that connect at the same time."""
        built_at, frame = self._full_state_cache
        if self._view.clock.now() - built_at > FULL_STATE_CACHE_SECONDS:
            frame = encode(self._build_update(self._full_state()))
            self._full_state_cache = (self._view.clock.now(), frame)
        return frame

    def _full_state(self) -> tuple[Change, ...]:
        return tuple(
            Change(topic, tuple(self._view.rows[topic].values()), version, whole=True)
            for topic, version in self._view.versions.items()
            if version
        )

    async def _serve(self, stream: trio.SocketStream) -> None:
        link = _LinkQueue(stream)
        link.enqueue(self._full_state_frame())
        if not self._links:
            # Rows sent only to closed links must not serve as a base for differences on this one.
            self._delta_encoder, self._changes = DeltaEncoder(), []
        self._links.add(link)
        self._wake.set()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.send, nursery.cancel_scope)
                await self._receive(stream)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError, ProtocolError) as group:
            logger.info("link from a host closed: %r", group.exceptions[0])
        finally:
            self._links.discard(link)
            stream.socket.close()

    async def _receive(self, stream: trio.SocketStream) -> None:
        reader = FrameReader(stream)
        while True:
            msg = await reader.read()
            if msg is None or not self._is_leader():
                return
            if isinstance(msg, Report):
                self._on_report(msg)


class _LinkQueue:
    """Queue of outgoing frames of the link to one host."""

    def __init__(self, stream: trio.SocketStream) -> None:
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


class LinkClient:
    """This host's link to the leader.

    :param build_report: Returns the load since the last report.
    :param on_suspects: Called with the suspects of each update.
    :ivar hosts: Number of hosts connected to the leader, including the leader.
    """

    def __init__(
        self,
        cfg: HostSettings,
        view: View,
        build_report: Callable[[], Report],
        on_suspects: Callable[[tuple[Suspect, ...]], None],
    ) -> None:
        self.hosts = 0
        self._cfg = cfg
        self._view = view
        self._build_report = build_report
        self._on_suspects = on_suspects
        # Time up to which the updates received so far include all changes in the store.
        self._synchronized_at = float("-inf")
        self._was_fresh = False

    @property
    def fresh(self) -> bool:
        """Whether the leader's updates are recent enough to be used instead of the store."""
        fresh = self._view.clock.now() - self._synchronized_at < MAX_UPDATE_AGE_SECONDS
        if fresh != self._was_fresh:
            self._was_fresh = fresh
            if fresh:
                decision("leader-heard", leader=self._view.leader.host)
            else:
                decision("leader-silent", leader=self._view.leader.host)
        return fresh

    async def run(self) -> None:
        """Keep a link to the current leader until cancelled."""
        own_address = f"{self._cfg.ip}:{self._cfg.peer_port}"
        while True:
            leader = self._view.leader
            if leader.host and leader.address != own_address:
                try:
                    await self._connect(leader.address)
                except* (
                    ConnectFailed,
                    trio.BrokenResourceError,
                    trio.ClosedResourceError,
                    ProtocolError,
                ) as group:
                    logger.info("link to leader %s closed: %r", leader.host, group.exceptions[0])
            self._view.overloaded = {}
            await trio.sleep(RECONNECT_DELAY_SECONDS)

    async def _connect(self, address: str) -> None:
        ip, _, port = address.rpartition(":")
        stream = await connect(ip, int(port), CONNECT_TIMEOUT_SECONDS)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_reports, stream)
                await self._receive(stream, address)
                nursery.cancel_scope.cancel()
        finally:
            stream.socket.close()

    async def _send_reports(self, stream: trio.SocketStream) -> None:
        while True:
            await stream.send_all(encode(self._build_report()))
            await trio.sleep(_message_interval(self.hosts))

    async def _receive(self, stream: trio.SocketStream, address: str) -> None:
        reader = FrameReader(stream)
        while self._view.leader.address == address:
            msg = await reader.read()
            if not isinstance(msg, StateUpdate) or not msg.leading:
                return
            self.apply_update(msg)

    def apply_update(self, update: StateUpdate) -> None:
        """Apply an update from the leader.

        :raises ProtocolError: If it contains a difference to a row that this host does not have.
        """
        for change in update.changes:
            self._view.apply(decode_deltas(change, self._view.rows[change.topic]))
        self._view.set_moving(update.moving)
        self._view.overloaded = update.overloaded
        self._on_suspects(update.suspects)
        self.hosts = update.hosts
        if all(self._view.versions.values()):
            self._synchronized_at = max(
                self._synchronized_at, self._view.clock.now() - update.followed_age
            )
            if update.followed_age < MAX_UPDATE_AGE_SECONDS:
                self._view.record_store_answer()
