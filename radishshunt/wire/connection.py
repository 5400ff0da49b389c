"""Connections between hosts that multiplex many streams over TCP."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import trio

from radishshunt.errors import PeerUnavailable, ProtocolError
from radishshunt.wire.codec import LENGTH_BYTES, MAX_FRAME_BYTES, decode, encode
from radishshunt.wire.messages import PROTOCOL_VERSION, Cancel, Chunk, Hello, Message, Window

logger = logging.getLogger(__name__)

# Flow-control window: bytes of chunks that a sender may have in flight on one stream.
STREAM_WINDOW_BYTES = 256 * 1024
# The receiver sends one window update per this many consumed bytes, to save messages.
WINDOW_UPDATE_BYTES = 64 * 1024
CHUNK_BYTES = 64 * 1024
MAX_OUTGOING_FRAMES = 1024
MAX_INCOMING_MESSAGES = 64
# Limit of open streams on one connection, those of both hosts together; if the peer opens more, the
# connection is closed.
MAX_STREAMS = 4096
# Largest read, and size at which a batch of outgoing frames is written.
IO_BATCH_BYTES = 64 * 1024
HELLO_TIMEOUT_SECONDS = 2.0


class Stream:
    """A bidirectional sequence of messages on a connection.

    :param conn: Connection that carries the stream.
    :param number: Number of the stream, assigned by the host that opened it.
    :ivar cancelled: Set when the peer cancels the stream.
    :ivar handler_scope: Cancel scope of the handler, if the peer opened the stream.
    """

    def __init__(self, conn: PeerConnection, number: int) -> None:
        self.conn = conn
        self.number = number
        self._incoming_send, self._incoming = trio.open_memory_channel[Message](
            MAX_INCOMING_MESSAGES
        )
        self._send_window_bytes = STREAM_WINDOW_BYTES
        self._send_window_changed = trio.Event()
        self._unreported_bytes = 0
        self.cancelled = trio.Event()
        self.handler_scope = trio.CancelScope()

    async def send(self, msg: Message) -> None:
        """Send a message; a chunk waits until the send window has room for it.

        :raises PeerUnavailable: If the connection is closed.
        """
        if isinstance(msg, Chunk):
            await self._consume_send_window(len(msg.data))
        await self.conn.send_frame(self.number, msg)

    async def receive(self) -> Message:
        """Return the next message of the stream.

        :raises PeerUnavailable: If the stream or its connection closes first.
        """
        try:
            try:
                # Avoids a checkpoint: messages of a short exchange mostly arrive together.
                msg = self._incoming.receive_nowait()
            except trio.WouldBlock:
                msg = await self._incoming.receive()
        except trio.EndOfChannel:
            raise PeerUnavailable(
                f"connection to {self.conn.peer_name} closed", may_have_arrived=True
            ) from None
        if isinstance(msg, Chunk):
            await self._report_consumed_bytes(len(msg.data))
        return msg

    async def deliver(self, msg: Message) -> None:
        """Apply or queue a message that the connection has read for this stream.

        :raises ProtocolError: If the receive queue is full.
        """
        if isinstance(msg, Window):
            self._send_window_bytes += msg.size
            self._send_window_changed.set()
            self._send_window_changed = trio.Event()
            return
        if isinstance(msg, Cancel):
            self.cancelled.set()
            self.handler_scope.cancel()
            self.close()
            return
        try:
            self._incoming_send.send_nowait(msg)
        except trio.WouldBlock:
            raise ProtocolError(
                "peer sent more messages on a stream than its receive queue holds"
            ) from None
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    def finish(self) -> None:
        """Remove the stream after its last message has been received."""
        self.conn.end_stream(self.number)

    def cancel(self) -> None:
        """Remove the stream early and send the peer a cancel message."""
        self.conn.end_stream(self.number, Cancel())

    def close(self) -> None:
        """Close the receive queue and wake waiting receivers and senders."""
        self._incoming_send.close()
        self._send_window_changed.set()

    async def _consume_send_window(self, size: int) -> None:
        while self._send_window_bytes < size:
            if self.conn.closed or self.cancelled.is_set():
                raise PeerUnavailable(
                    "stream closed while the sender waited for the send window",
                    may_have_arrived=True,
                )
            await self._send_window_changed.wait()
        self._send_window_bytes -= size

    async def _report_consumed_bytes(self, size: int) -> None:
        self._unreported_bytes += size
        if self._unreported_bytes >= WINDOW_UPDATE_BYTES:
            consumed, self._unreported_bytes = self._unreported_bytes, 0
            await self.conn.send_frame(self.number, Window(consumed))


StreamHandler = Callable[["PeerConnection", Stream, Message], Awaitable[None]]


class PeerConnection:
    """A TCP connection to another host that multiplexes many streams.

    :param sock: Connected byte stream.
    :param hello: Hello message that this host sends.
    :param handler: Called in a separate task for each stream that the peer opens.
    :param opens_even: Whether streams opened here have even numbers, which is the case on the host
        that accepted the connection.
    :ivar peer: Hello message of the peer, ``None`` before it arrives.
    :ivar last_received_at: Time at which data last arrived, on trio's clock.
    :ivar ready: Set when the peer's hello has arrived or the connection has closed.
    """

    def __init__(
        self, sock: trio.abc.Stream, hello: Hello, handler: StreamHandler, *, opens_even: bool
    ) -> None:
        self._sock = sock
        self._hello = hello
        self._handler = handler
        self._next_stream = 2 if opens_even else 1
        self._streams: dict[int, Stream] = {}
        self._outgoing_send, self._outgoing = trio.open_memory_channel[bytes](MAX_OUTGOING_FRAMES)
        self._own_parity = 0 if opens_even else 1
        self.peer: Hello | None = None
        self.last_received_at = trio.current_time()
        self.ready = trio.Event()
        self.closed = False

    @property
    def open_stream_count(self) -> int:
        """Number of open streams."""
        return len(self._streams)

    @property
    def peer_name(self) -> str:
        """Name of the peer's host, or ``?`` before its hello message."""
        return self.peer.host if self.peer else "?"

    async def run(self) -> None:
        """Read and write messages until the connection closes.

        :raises ProtocolError: If the peer violates the protocol.
        """
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write_loop)
                await self.send_frame(0, self._hello)
                await self._read_loop(nursery)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError, OSError) as group:
            logger.debug("connection to %s failed: %s", self.peer_name, group.exceptions[0])
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

        The caller must end it with :meth:`Stream.finish` or :meth:`Stream.cancel`.

        :raises PeerUnavailable: If the connection is closed; nothing has been sent then.
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
        """Remove a stream and send an optional last message.

        The last message is dropped if the outgoing queue is full.
        """
        if self._streams.pop(number, None) is None or last is None:
            return
        try:
            self._outgoing_send.send_nowait(encode(number, last))
        except (trio.WouldBlock, trio.BrokenResourceError, trio.ClosedResourceError):
            logger.debug(
                "dropped a %s message to %s: outgoing queue is full or closed",
                type(last).__name__,
                self.peer_name,
            )

    async def call(self, msg: Message) -> Message:
        """Send one message on a new stream and return the first message of the answer.

        :raises PeerUnavailable: If the connection closes first.
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
        """Close the connection immediately, which ends :meth:`run`."""
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
            while size < IO_BATCH_BYTES:
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
                data = await self._sock.receive_some(IO_BATCH_BYTES)
                if not data:
                    return
                self.last_received_at = trio.current_time()
                buffer += data
                for frame in _split_frames(buffer):
                    number, msg = decode(frame)
                    if self.peer is None:
                        self._check_hello(msg)
                        hello_scope.deadline = float("inf")
                    else:
                        await self._deliver_message(number, msg, nursery)
        raise ProtocolError("peer sent no hello message before the timeout")

    def _check_hello(self, msg: Message) -> None:
        if not isinstance(msg, Hello):
            raise ProtocolError("first message of the peer is not a hello message")
        if msg.protocol != PROTOCOL_VERSION:
            raise ProtocolError(
                f"peer uses protocol version {msg.protocol}, expected {PROTOCOL_VERSION}"
            )
        self.peer = msg
        self.ready.set()

    async def _deliver_message(self, number: int, msg: Message, nursery: trio.Nursery) -> None:
        stream = self._streams.get(number)
        if stream is not None:
            await stream.deliver(msg)
        elif number and number % 2 != self._own_parity and not isinstance(msg, (Cancel, Window)):
            if len(self._streams) >= MAX_STREAMS:
                raise ProtocolError("peer opened too many streams")
            if isinstance(msg, Chunk) or not _may_open_stream(msg):
                return  # Belongs to a stream that has already ended here.
            stream = self._streams[number] = Stream(self, number)
            nursery.start_soon(self._run_handler, stream, msg)

    async def _run_handler(self, stream: Stream, msg: Message) -> None:
        try:
            with stream.handler_scope:
                await self._handler(self, stream, msg)
        except* (PeerUnavailable, ProtocolError) as group:
            logger.info("stream opened by %s ended: %s", self.peer_name, group.exceptions[0])
        except* Exception:
            # An error in one handler must not close the connection, which other streams share.
            logger.exception("handler of a stream opened by %s failed", self.peer_name)
        finally:
            self._streams.pop(stream.number, None)


def _may_open_stream(msg: Message) -> bool:
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
    """Remove the complete frames from the start of a buffer and return them.

    :raises ProtocolError: If a length prefix exceeds :data:`MAX_FRAME_BYTES`.
    """
    frames = []
    start = 0
    while len(buffer) - start >= LENGTH_BYTES:
        size = int.from_bytes(buffer[start : start + LENGTH_BYTES], "big")
        if size > MAX_FRAME_BYTES:
            raise ProtocolError(f"length prefix of a frame exceeds the limit: {size} bytes")
        end = start + LENGTH_BYTES + size
        if len(buffer) < end:
            break
        frames.append(bytes(buffer[start + LENGTH_BYTES : end]))
        start = end
    del buffer[:start]
    return frames
