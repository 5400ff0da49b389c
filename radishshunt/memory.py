"""Account of the memory that request bodies take at once."""

from __future__ import annotations

from radishshunt.errors import NotRun


class BodyMemory:
    """Bounds the bytes of all request bodies held by a host.

    :param limit: Bytes held at once.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def lease(self) -> BodyLease:
        """Return the account of one body; close it when the body is no longer held."""
        return BodyLease(self)


class BodyLease:
    """Bytes that one request's body holds."""

    def __init__(self, memory: BodyMemory) -> None:
        self._memory = memory
        self.size = 0

    def add(self, size: int) -> None:
        """Account for further bytes.

        :raises NotRun: If all bodies together would exceed the limit.
        """
        if self._memory.used + size > self._memory.limit:
            raise NotRun(
                "body-memory", "too many large bodies are held at once", retry_after=1.0, status=503
            )
        self._memory.used += size
        self.size += size

    def close(self) -> None:
        """Give all bytes back."""
        self._memory.used -= self.size
        self.size = 0
