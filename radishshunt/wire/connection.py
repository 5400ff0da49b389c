"""Multiplexed connections between hosts."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import trio

from radishshunt.errors import PeerUnavailable, ProtocolError
from radishshunt.wire.codec import LENGTH_BYTES, MAX_FRAME_BYTES, decode, encode
from radishshunt.wire.messages import PROTOCOL_VERSION, Cancel, Chunk, Hello, Message, Window

logger = logging.getLogger(__name__)

# Bytes of chunks that a sender may have in flight on one stream.
STREAM_WINDOW_BYTES = 256 * 1024
# The receiver reports consumed bytes in steps of this size, to save messages.
WINDOW_STEP_BYTES = 64 * 1024
CHUNK_BYTES = 64 * 1024
OUTGOING_FRAMES = 1024
INCOMING_MESSAGES = 64
# A host opens at most this many streams on one connection before it refuses more.
MAX_STREAMS = 4096
READ_BYTES = 64 * 1024
HELLO_TIMEOUT_SECONDS = 2.0


class Stream:
    """One exchange of messages on a connection.

    :param conn: Connection that carries the stream.
    :param number: Number of the stream, chosen by the host that opened it.
    """

    def __init__(self, conn: PeerConnection, number: int) -> None:
        self.conn = conn
        self.number = number
        self._incoming_send, self._incoming = trio.open_memory_channel[Message](INCOMING_MESSAGES)
        self._credit = STREAM_WINDOW_BYTES
        self._credit_changed = trio.Event()
        self._consumed = 0
        self.cancelled = trio.Event()
        # The scope of the handler of a stream that the peer opened.
        self.handling = trio.CancelScope()

    async def send(self, msg: Message) -> None:
        """Send a message; a chunk waits until the receiver has room.

        :raises PeerUnavailable: If the connection is closed.
        """
        if isinstance(msg, Chunk):
            await self._take_credit(len(msg.data))
        await self.conn.send_frame(self.number, msg)

    async def receive(self) -> Message:
        """Return the next message of the stream.

        :raises PeerUnavailable: If the connection broke first.
        """
        try:
            try:
                # Without a checkpoint: messages of a short exchange mostly arrive together.
                msg = self._incoming.receive_nowait()
            except trio.WouldBlock:
                msg = await self._incoming.receive()
        except trio.EndOfChannel:
            raise PeerUnavailable(
                f"connection to {self.conn.peer_name} closed", may_have_arrived=True
            ) from None
        if isinstance(msg, Chunk):
            await self._report_consumed(len(msg.data))
        return msg

    async def deliver(self, msg: Message) -> None:
        """Take a message that the connection has read for this stream."""
        if isinstance(msg, Window):
            self._credit += msg.size
            self._credit_changed.set()
            self._credit_changed = trio.Event()
            return
        if isinstance(msg, Cancel):
            self.cancelled.set()
            self.handling.cancel()
            self.close()
            return
        try:
            self._incoming_send.send_nowait(msg)
        except trio.WouldBlock:
            raise ProtocolError("peer exceeded the window of a stream") from None
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    def finish(self) -> None:
        """End a stream whose last message has been received."""
        self.conn.end_stream(self.number)

    def cancel(self) -> None:
        """End the stream early and tell the peer."""
        self.conn.end_stream(self.number, Cancel())

    def close(self) -> None:
        """Make waiting receivers see the end of the stream."""
        self._incoming_send.close()
        self._credit_changed.set()

    async def _take_credit(self, size: int) -> None:
        while self._credit < size:
            if self.conn.closed or self.cancelled.is_set():
                raise PeerUnavailable("stream closed by the peer", may_have_arrived=True)
            await self._credit_changed.wait()
        self._credit -= size

    async def _report_consumed(self, size: int) -> None:
        self._consumed += size
        if self._consumed >= WINDOW_STEP_BYTES:
            consumed, self._consumed = self._consumed, 0
            await self.conn.send_frame(self.number, Window(consumed))


StreamHandler = Callable[["PeerConnection", Stream, Message], Awaitable[None]]


class PeerConnection:
    """A TCP connection to another host that carries many streams.

    :param sock: Connected byte stream.
    :param hello: What this host says of itself.
    :param handler: Called in a task of its own for each stream that the peer opens.
    :param opens_even: Whether streams opened here have even numbers (the accepting side).
    """

    def __init__(
        self, sock: trio.abc.Stream, hello: Hello, handler: StreamHandler, *, opens_even: bool
    ) -> None:
        self._sock = sock
        self._hello = hello
        self._handler = handler
        self._next_stream = 2 if opens_even else 1
        self._streams: dict[int, Stream] = {}
        self._outgoing_send, self._outgoing = trio.open_memory_channel[bytes](OUTGOING_FRAMES)
        self._parity = 0 if opens_even else 1
        self.peer: Hello | None = None
        # Time of trio's clock at which data last arrived.
        self.received_at = trio.current_time()
        self.ready = trio.Event()
        self.closed = False

    @property
    def streams(self) -> int:
        """Number of open streams."""
        return len(self._streams)

    @property
    def peer_name(self) -> str:
        """Name of the peer's host, or ``?`` before its hello."""
        return self.peer.host if self.peer else "?"

    async def run(self) -> None:
        """Serve the connection until it closes.

        :raises ProtocolError: If the peer breaks the protocol.
        """
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write_loop)
                await self.send_frame(0, self._hello)
                await self._read_loop(nursery)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError, OSError) as group:
            logger.debug("connection to %s broke: %s", self.peer_name, group.exceptions[0])
        finally:
            self._close()
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self._sock)

    async def send_frame(self, stream: int, msg: Message) -> None:
        """Queue a message for sending.

        :raises PeerUnavailable: If the connection is closed.
        """
        frame = encode(stream, msg)
        try:
            try:
                self._outgoing_send.send_nowait(frame)
            except trio.WouldBlock:
                await self._outgoing_send.send(frame)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            raise PeerUnavailable(
                f"connection to {self.peer_name} closed", may_have_arrived=False
            ) from None

    async def open_stream(self, first: Message) -> Stream:
        """Open a stream with its first message.

        The caller ends it with :meth:`Stream.finish` or :meth:`Stream.cancel`.

        :raises PeerUnavailable: If the connection is closed; nothing was sent then.
        """
        if self.closed:
            raise PeerUnavailable(f"connection to {self.peer_name} closed", may_have_arrived=False)
        number = self._next_stream
        self._next_stream += 2
        stream = self._streams[number] = Stream(self, number)
        try:
            await stream.send(first)
        except BaseException:
            self.end_stream(number)
            raise
        return stream

    def end_stream(self, number: int, last: Message | None = None) -> None:
        """Forget a stream, with an optional last message that is dropped if the queue is full."""
        if self._streams.pop(number, None) is None or last is None:
            return
        try:
            self._outgoing_send.send_nowait(encode(number, last))
        except (trio.WouldBlock, trio.BrokenResourceError, trio.ClosedResourceError):
            logger.debug("dropped a %s to %s", type(last).__name__, self.peer_name)

    async def call(self, msg: Message) -> Message:
        """Send one message and return the one that answers it.

        :raises PeerUnavailable: If the connection breaks first.
        """
        stream = await self.open_stream(msg)
        try:
            answer = await stream.receive()
        except BaseException:
            stream.cancel()
            raise
        stream.finish()
        return answer

    def abort(self) -> None:
        """Close the connection at once; :meth:`run` then ends."""
        self._close()
        sock = getattr(self._sock, "socket", None)
        if sock is not None:
            sock.close()

    def _close(self) -> None:
        self.closed = True
        self.ready.set()
        self._outgoing_send.close()
        for stream in list(self._streams.values()):
            stream.close()
        self._streams.clear()

    async def _write_loop(self) -> None:
        async for data in self._outgoing:
            batch = [data]
            size = len(data)
            while size < READ_BYTES:
                try:
                    data = self._outgoing.receive_nowait()
                except (trio.WouldBlock, trio.EndOfChannel):
                    break
                batch.append(data)
                size += len(data)
            await self._sock.send_all(b"".join(batch))

    async def _read_loop(self, nursery: trio.Nursery) -> None:
        buffer = bytearray()
        with trio.move_on_after(HELLO_TIMEOUT_SECONDS) as hello_scope:
            while True:
                data = await self._sock.receive_some(READ_BYTES)
                if not data:
                    return
                self.received_at = trio.current_time()
                buffer += data
                for frame in _split_frames(buffer):
                    number, msg = decode(frame)
                    if self.peer is None:
                        self._accept_hello(msg)
                        hello_scope.deadline = float("inf")
                    else:
                        await self._dispatch(number, msg, nursery)
        raise ProtocolError("peer sent no hello in time")

    def _accept_hello(self, msg: Message) -> None:
        if not isinstance(msg, Hello):
            raise ProtocolError("peer did not begin with a hello")
        if msg.protocol != PROTOCOL_VERSION:
            raise ProtocolError(f"peer speaks protocol {msg.protocol}, not {PROTOCOL_VERSION}")
        self.peer = msg
        self.ready.set()

    async def _dispatch(self, number: int, msg: Message, nursery: trio.Nursery) -> None:
        stream = self._streams.get(number)
        if stream is not None:
            await stream.deliver(msg)
        elif number and number % 2 != self._parity and not isinstance(msg, (Cancel, Window)):
            if len(self._streams) >= MAX_STREAMS:
                raise ProtocolError("peer opened too many streams")
            if isinstance(msg, Chunk) or not _opens_stream(msg):
                return  # The rest of a stream that has ended here.
            stream = self._streams[number] = Stream(self, number)
            nursery.start_soon(self._run_handler, stream, msg)

    async def _run_handler(self, stream: Stream, msg: Message) -> None:
        try:
            with stream.handling:
                await self._handler(self, stream, msg)
        except* (PeerUnavailable, ProtocolError) as group:
            logger.info("stream from %s ended: %s", self.peer_name, group.exceptions[0])
        except* Exception:
            # A fault in one handler must not close the connection of all the others.
            logger.exception("handler of a stream from %s failed", self.peer_name)
        finally:
            self._streams.pop(stream.number, None)


def _opens_stream(msg: Message) -> bool:
    return type(msg).__name__ in {
        "Heartbeat",
        "Pulse",
        "RequestHead",
        "Probe",
        "Intents",
        "IntentFetch",
        "Fetch",
        "Announce",
        "Notice",
    }


def _split_frames(buffer: bytearray) -> list[bytes]:
    """Take the complete frames from the start of a buffer."""
    frames = []
    start = 0
    while len(buffer) - start >= LENGTH_BYTES:
        size = int.from_bytes(buffer[start : start + LENGTH_BYTES], "big")
        if size > MAX_FRAME_BYTES:
            raise ProtocolError(f"peer announced a frame of {size} bytes")
        end = start + LENGTH_BYTES + size
        if len(buffer) < end:
            break
        frames.append(bytes(buffer[start + LENGTH_BYTES : end]))
        start = end
    del buffer[:start]
    return frames
