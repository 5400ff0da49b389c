"""Accounting of the memory that the bodies of requests and responses occupy."""

from __future__ import annotations

from io import BytesIO

from radishshunt.errors import NotRun

# Memory of a process that holds no bodies: about 70 MB.
IDLE_BYTES = 70_000_000
# Share of the other memory that bodies may occupy. The rest is for heads, buffers of connections,
# bytes that the system has received and the process has not read yet, and unused parts of the heap.
BODY_SHARE = 0.65
# Share of the memory for bodies that request bodies above this size may occupy together. The rest
# remains for responses and small requests, so that a few uploads do not stop all other traffic.
LARGE_REQUESTS_SHARE = 0.8
LARGE_REQUEST_BYTES = 64 * 1024
# A host without memory for one body still has to serve small ones.
MIN_LIMIT_BYTES = 8_000_000
# Larger bodies grow in steps, since the memory of a body that has not arrived yet should be free.
MAX_ALLOCATED_BYTES = 1024 * 1024
# Another host, or this one after a few uploads, may have room.
RETRY_SECONDS = 1.0


def body_buffer(expected: int | None) -> BytesIO:
    """Return the buffer that collects a body, whose ``getvalue()`` does not copy it.

    :param expected: Length of the body in bytes if it is known. Memory for common lengths is
        allocated at once: growing in steps took a fifth of the processor time of a request with a
        response of 540 kB.
    """
    buffer = BytesIO()
    if expected and expected <= MAX_ALLOCATED_BYTES:
        buffer.seek(expected - 1)
        buffer.write(b"\0")
        buffer.seek(0)
    return buffer


def buffered_body(buffer: BytesIO) -> bytes:
    """Return the bytes written to a buffer of :func:`body_buffer`."""
    buffer.truncate()
    return buffer.getvalue()


def body_limit(memory_bytes: int) -> int:
    """Return the memory for bodies in bytes.

    :param memory_bytes: Memory at which the platform ends the process.
    """
    return max(MIN_LIMIT_BYTES, int((memory_bytes - IDLE_BYTES) * BODY_SHARE))


class BodyMemory:
    """Limits the memory that all bodies on a host occupy together.

    :param limit_bytes: Limit in bytes.
    :param large_requests_share: Share of the limit that large request bodies may occupy, by
        :meth:`BodyReservation.add_request`.
    :ivar used_bytes: Bytes reserved at present.
    :ivar large_request_bytes: Those of large request bodies.
    """

    def __init__(self, limit_bytes: int, large_requests_share: float = 1.0) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.large_request_bytes = 0
        self._large_requests_share = large_requests_share

    @property
    def large_requests_limit(self) -> float:
        """Number of bytes that large request bodies may occupy together."""
        return self.limit_bytes * self._large_requests_share

    def reserve(self) -> BodyReservation:
        """Return the reservation of one request; close it once its bodies have been released."""
        return BodyReservation(self)


class BodyReservation:
    """Memory reserved for the bodies of one request and its response.

    :ivar size: Number of reserved bytes.
    """

    def __init__(self, memory: BodyMemory) -> None:
        self._memory = memory
        self.size = 0
        self._large_request_bytes = 0
        # Part of the size that the response may fill without reserving further bytes.
        self._expected = 0

    def add(self, size: int) -> None:
        """Reserve further bytes, those expected first.

        :raises NotRun: If all bodies together would exceed the limit.
        """
        expected = min(size, self._expected)
        self._expected -= expected
        self._grow(size - expected)

    def add_request(self, size: int, total: int) -> None:
        """Reserve bytes of the request's body.

        :param total: Length of the body in bytes as far as it is known.
        :raises NotRun: If there is no room for it.
        """
        if total <= LARGE_REQUEST_BYTES:
            self._grow(size)
            return
        memory = self._memory
        if memory.large_request_bytes + size > memory.large_requests_limit:
            raise _no_memory()
        self._grow(size)
        memory.large_request_bytes += size
        self._large_request_bytes += size

    def expect(self, size: int) -> None:
        """Reserve bytes for the response before the request is sent.

        :raises NotRun: If there is no room for it.
        """
        self._grow(size)
        self._expected += size

    def _grow(self, size: int) -> None:
        if size > 0 and self._memory.used_bytes + size > self._memory.limit_bytes:
            raise _no_memory()
        self._memory.used_bytes += size
        self.size += size

    def keep(self, size: int) -> None:
        """Release all but the bytes of a response, once the request's body is not needed any more.

        :param size: Number of bytes that are still in memory, at most :attr:`size`.
        """
        self._memory.used_bytes -= self.size - size
        self._memory.large_request_bytes -= self._large_request_bytes
        self.size = size
        self._large_request_bytes = self._expected = 0

    def close(self) -> None:
        """Release all reserved bytes."""
        self.keep(0)


def _no_memory() -> NotRun:
    return NotRun(
        "body-memory",
        "the bodies on this host exceed its memory limit",
        retry_after=RETRY_SECONDS,
        status=503,
    )
