"""Connections between the leader and the other hosts.

The leader alone follows the store and passes the changes on, since calls to the store are priced.
A host that does not hear a leader in touch with the store follows it itself.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import ProtocolError
from radishshunt.gateway.messages import LENGTH_BYTES, MAX_FRAME_BYTES, News, Report, decode, encode
from radishshunt.gateway.row_deltas import RowHistory, expand
from radishshunt.gateway.rows import Change
from radishshunt.logs import decision
from radishshunt.util.streams import ConnectFailed, connect

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.gateway.settings import HostSettings
    from radishshunt.gateway.view import View
    from radishshunt.wire.messages import Suspect

logger = logging.getLogger(__name__)

# Time between two messages of either side. With many hosts the leader sends and hears more rarely,
# so that its work does not grow with them without bound.
NEWS_SECONDS = 0.2
LONGEST_NEWS_SECONDS = 0.4
HOSTS_AT_FULL_RATE = 20
# Changes that come close together go out in one message.
COALESCE_SECONDS = 0.005
# A host asks the store itself when the leader's news is this old, counted from the store's answer
# to the leader. The rest of the 2 s that operators demand is for the first answer to the host.
FRESH_SECONDS = 1.5
# A link without a message for this long is closed.
SILENT_SECONDS = 1.5
CONNECT_SECONDS = 0.5
RECONNECT_SECONDS = 0.25
READ_BYTES = 64 * 1024
# The age in the first frame of a link may be wrong by this much.
FIRST_FRAME_SECONDS = 0.1
# Frames that wait for a host that does not read; it then has to connect anew.
QUEUED_FRAMES = 64
# A link of 5 Mbit/s takes the whole state, some 40 kB, and the news of its neighbours in this time.
SEND_SECONDS = 3.0


def _interval(hosts: int) -> float:
    """Return the seconds between two messages of a system with some number of hosts."""
    return min(LONGEST_NEWS_SECONDS, NEWS_SECONDS * max(1.0, hosts / HOSTS_AT_FULL_RATE))


class FrameReader:
    """Reads frames from a stream."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def read(self) -> News | Report | None:
        """Return the next message, or ``None`` at the end or if nothing arrives.

        A long message on a slow link counts as silent only when its bytes stop.

        :raises ProtocolError: If a frame is malformed.
        """
        while True:
            if len(self._buffer) >= LENGTH_BYTES:
                size = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
                if size > MAX_FRAME_BYTES:
                    raise ProtocolError(f"frame of {size} bytes")
                end = LENGTH_BYTES + size
                if len(self._buffer) >= end:
                    data = bytes(self._buffer[LENGTH_BYTES:end])
                    del self._buffer[:end]
                    return decode(data)
            data = b""
            with trio.move_on_after(SILENT_SECONDS):
                data = await self._stream.receive_some(READ_BYTES)
            if not data:
                return None
            self._buffer += data


class LinkServer:
    """Accepts the other hosts while this one leads.

    :param leading: Whether this host leads.
    :param moving: Ranges of keys that are being moved.
    :param take_report: Takes what a host reports.
    """

    def __init__(
        self,
        cfg: HostSettings,
        view: View,
        leading: Callable[[], bool],
        take_report: Callable[[Report], None],
        suspects: Callable[[], tuple[Suspect, ...]],
    ) -> None:
        self._cfg = cfg
        self._view = view
        self._leading = leading
        self._take_report = take_report
        self._suspects = suspects
        self._links: set[_Link] = set()
        self._changes: list[Change] = []
        self._history = RowHistory()
        self._wake = trio.Event()
        # When the first frame for new links was built, and the frame.
        self._first = (float("-inf"), b"")
        view.listeners.append(self._take_change)

    @property
    def hosts(self) -> int:
        """Number of hosts with a link, this one included."""
        return len(self._links) + 1

    async def run(self) -> None:
        """Accept links and send news until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_news)
            await trio.serve_tcp(self._serve, self._cfg.inner_port, host=self._cfg.ip)

    async def _send_news(self) -> None:
        """Encode one frame for all links as changes come, and at least at the interval of news."""
        while True:
            with trio.move_on_after(_interval(self.hosts) if self._links else float("inf")):
                await self._wake.wait()
                await trio.sleep(COALESCE_SECONDS)
            self._wake = trio.Event()
            changes, self._changes = self._changes, []
            if self._links:
                frame = encode(self._news(self._history.encode(changes)))
                for link in self._links:
                    link.put(frame)

    def _news(self, changes: tuple[Change, ...]) -> News:
        """Return a message with changes and the state of this host."""
        return News(
            leading=self._leading(),
            followed_age=max(0.0, self._view.followed_age),
            hosts=self.hosts,
            changes=changes,
            moving=self._view.moving,
            overloaded=self._view.overloaded,
            suspects=self._suspects(),
        )

    def _take_change(self, change: Change | None) -> None:
        """Note a change for the links; a host without links, as most are, does nothing."""
        self._first = (float("-inf"), b"")
        if not self._links:
            return
        if change is not None:
            self._changes.append(change)
        self._wake.set()

    def _first_frame(self) -> bytes:
        """Return the whole state, encoded once for hosts that connect at the same time."""
        built_at, frame = self._first
        if self._view.clock.now() - built_at > FIRST_FRAME_SECONDS:
            frame = encode(self._news(self._whole_state()))
            self._first = (self._view.clock.now(), frame)
        return frame

    def _whole_state(self) -> tuple[Change, ...]:
        return tuple(
            Change(topic, tuple(self._view.rows[topic].values()), version, whole=True)
            for topic, version in self._view.versions.items()
            if version
        )

    async def _serve(self, stream: trio.SocketStream) -> None:
        link = _Link(stream)
        link.put(self._first_frame())
        if not self._links:
            # What was sent before to links that have ended is no basis for this one.
            self._history, self._changes = RowHistory(), []
        self._links.add(link)
        self._wake.set()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.send, nursery.cancel_scope)
                await self._receive(stream)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError, ProtocolError) as group:
            logger.info("link of a host ended: %r", group.exceptions[0])
        finally:
            self._links.discard(link)
            stream.socket.close()

    async def _receive(self, stream: trio.SocketStream) -> None:
        reader = FrameReader(stream)
        while True:
            msg = await reader.read()
            if msg is None or not self._leading():
                return
            if isinstance(msg, Report):
                self._take_report(msg)


class _Link:
    """Frames on their way to one host."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._queue: list[bytes] = []
        self._wake = trio.Event()

    def put(self, frame: bytes) -> None:
        """Add a frame to those that wait."""
        self._queue.append(frame)
        self._wake.set()

    async def send(self, scope: trio.CancelScope) -> None:
        """Send frames as they come; end if the host does not read."""
        while len(self._queue) <= QUEUED_FRAMES:
            await self._wake.wait()
            self._wake = trio.Event()
            frames, self._queue = self._queue, []
            with trio.move_on_after(SEND_SECONDS) as sending:
                await self._stream.send_all(b"".join(frames))
            if sending.cancelled_caught:
                break
        scope.cancel()


class LinkClient:
    """This host's link to the leader.

    :param report: Returns what to report since the last time.
    :ivar hosts: Hosts that the leader hears.
    """

    def __init__(
        self,
        cfg: HostSettings,
        view: View,
        report: Callable[[], Report],
        take_suspects: Callable[[tuple[Suspect, ...]], None],
    ) -> None:
        self.hosts = 0
        self._cfg = cfg
        self._view = view
        self._report = report
        self._take_suspects = take_suspects
        # When the leader knew all changes that its news has told so far.
        self._current_at = float("-inf")
        self._was_fresh = False

    @property
    def fresh(self) -> bool:
        """Whether the leader passes the store's changes on."""
        fresh = self._view.clock.now() - self._current_at < FRESH_SECONDS
        if fresh != self._was_fresh:
            self._was_fresh = fresh
            if fresh:
                decision("leader-heard", leader=self._view.leader.host)
            else:
                decision("leader-silent", leader=self._view.leader.host)
        return fresh

    async def run(self) -> None:
        """Keep a link to whichever host leads."""
        own = f"{self._cfg.ip}:{self._cfg.inner_port}"
        while True:
            leader = self._view.leader
            if leader.host and leader.address != own:
                try:
                    await self._connect(leader.address)
                except* (
                    ConnectFailed,
                    trio.BrokenResourceError,
                    trio.ClosedResourceError,
                    ProtocolError,
                ) as group:
                    logger.info("link to %s ended: %r", leader.host, group.exceptions[0])
            self._view.overloaded = {}
            await trio.sleep(RECONNECT_SECONDS)

    async def _connect(self, address: str) -> None:
        ip, _, port = address.rpartition(":")
        stream = await connect(ip, int(port), CONNECT_SECONDS)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_reports, stream)
                await self._receive(stream, address)
                nursery.cancel_scope.cancel()
        finally:
            stream.socket.close()

    async def _send_reports(self, stream: trio.SocketStream) -> None:
        while True:
            await stream.send_all(encode(self._report()))
            await trio.sleep(_interval(self.hosts))

    async def _receive(self, stream: trio.SocketStream, address: str) -> None:
        reader = FrameReader(stream)
        while self._view.leader.address == address:
            msg = await reader.read()
            if not isinstance(msg, News) or not msg.leading:
                return
            self.take(msg)

    def take(self, news: News) -> None:
        """Take a message of the leader.

        :raises ProtocolError: If it holds differences to rows that are not known here.
        """
        for change in news.changes:
            self._view.apply(expand(change, self._view.rows[change.topic]))
        self._view.set_moving(news.moving)
        self._view.overloaded = news.overloaded
        self._take_suspects(news.suspects)
        self.hosts = news.hosts
        if all(self._view.versions.values()):
            self._current_at = max(self._current_at, self._view.clock.now() - news.followed_age)
            if news.followed_age < FRESH_SECONDS:
                self._view.store_answered()
