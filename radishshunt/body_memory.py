"""Accounting of the memory that request bodies occupy."""

from __future__ import annotations

from radishshunt.errors import NotRun


class BodyMemory:
    """Limits the memory that all request bodies on a host occupy together.

    :param limit_bytes: Limit in bytes.
    :ivar used_bytes: Bytes reserved at present.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def reserve(self) -> BodyReservation:
        """Return the reservation of one body; close it once the body has been released."""
        return BodyReservation(self)


class BodyReservation:
    """Memory reserved for the body of one request.

    :ivar size: Number of reserved bytes.
    """

    def __init__(self, memory: BodyMemory) -> None:
        self._memory = memory
        self.size = 0

    def add(self, size: int) -> None:
        """Reserve further bytes.

        :raises NotRun: If all bodies together would exceed the limit.
        """
        if self._memory.used_bytes + size > self._memory.limit_bytes:
            raise NotRun(
                "body-memory",
                "the request bodies on this host exceed its memory limit",
                retry_after=1.0,
                status=503,
            )
        self._memory.used_bytes += size
        self.size += size

    def close(self) -> None:
        """Release all reserved bytes."""
        self._memory.used_bytes -= self.size
        self.size = 0
