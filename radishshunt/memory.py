"""Accounting of the memory that request bodies occupy."""

from __future__ import annotations

from radishshunt.errors import NotRun


class BodyMemory:
    """Limits the memory that all request bodies on a host occupy together.

    :param limit: Limit in bytes.
    :ivar used: Bytes reserved at present.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def lease(self) -> BodyLease:
        """Return the reservation of one body; close it once the body has been released."""
        return BodyLease(self)


class BodyLease:
    """Memory reserved for the body of one request.

    :ivar size: Reserved bytes.
    """

    def __init__(self, memory: BodyMemory) -> None:
        self._memory = memory
        self.size = 0

    def add(self, size: int) -> None:
        """Reserve further bytes.

        :raises NotRun: If all bodies together would exceed the limit.
        """
        if self._memory.used + size > self._memory.limit:
            raise NotRun(
                "body-memory",
                "the request bodies on this host exceed its memory limit",
                retry_after=1.0,
                status=503,
            )
        self._memory.used += size
        self.size += size

    def close(self) -> None:
        """Release all reserved bytes."""
        self._memory.used -= self.size
        self.size = 0
