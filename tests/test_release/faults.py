"""In-memory platform with faults that a test chooses for each call."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any

import trio

from radishshunt.errors import PlatformOutcomeUnknown, PlatformUnavailable
from radishshunt.platform import ObjectStore, Platform, Table
from radishshunt.platform.memory import MemoryHostList, MemoryObjectStore, MemoryTable

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from radishshunt.platform import CommitResult, TableRow, Transaction

DELAY_SECONDS = 0.5


class Fault(Enum):
    """Fault of one call to the platform."""

    NONE = "none"
    # The call takes effect after a delay and is answered.
    SLOW = "slow"
    DOWN = "down"
    LOST_REQUEST = "lost-request"
    LOST_ANSWER = "lost-answer"
    # A commit is answered with an unknown outcome and takes effect later.
    DELAYED = "delayed"


class FaultyTable(Table):
    """In-memory table with faults.

    :param next_fault: Returns the fault of the next call.
    """

    def __init__(self, next_fault: Callable[[], Fault]) -> None:
        self.inner = MemoryTable()
        self._next_fault = next_fault
        self.nursery: trio.Nursery | None = None

    async def read(self, keys: Sequence[str]) -> dict[str, TableRow]:
        await _apply_fault(self._next_fault())
        return await self.inner.read(keys)

    async def scan(self, prefix: str) -> dict[str, TableRow]:
        await _apply_fault(self._next_fault())
        return await self.inner.scan(prefix)

    async def commit(self, tx: Transaction) -> CommitResult:
        fault = self._next_fault()
        await trio.sleep(DELAY_SECONDS if fault is Fault.SLOW else 0)
        if fault is Fault.DOWN:
            raise PlatformUnavailable("down")
        if fault is Fault.LOST_REQUEST:
            raise PlatformOutcomeUnknown("the request was lost")
        if fault is Fault.DELAYED:
            assert self.nursery is not None
            self.nursery.start_soon(self._commit_later, tx)
            raise PlatformOutcomeUnknown("the request is delayed")
        result = await self.inner.commit(tx)
        if fault is Fault.LOST_ANSWER:
            raise PlatformOutcomeUnknown("the answer was lost")
        return result

    async def outcome(self, transaction_id: str) -> CommitResult | None:
        await _apply_fault(self._next_fault())
        return await self.inner.outcome(transaction_id)

    async def _commit_later(self, tx: Transaction) -> None:
        await trio.sleep(DELAY_SECONDS)
        await self.inner.commit(tx)


class FaultyObjectStore(ObjectStore):
    """In-memory object store with faults."""

    def __init__(self, next_fault: Callable[[], Fault]) -> None:
        self.inner = MemoryObjectStore()
        self._next_fault = next_fault

    async def put(self, name: str, content: bytes) -> None:
        fault = self._next_fault()
        if fault is Fault.LOST_ANSWER:
            await self.inner.put(name, content)
        await _apply_fault(fault)
        await self.inner.put(name, content)

    async def get(self, name: str) -> bytes | None:
        await _apply_fault(self._next_fault())
        return await self.inner.get(name)


async def _apply_fault(fault: Fault) -> None:
    await trio.sleep(DELAY_SECONDS if fault is Fault.SLOW else 0)
    if fault not in (Fault.NONE, Fault.SLOW):
        raise PlatformUnavailable(fault.value)


def faulty_platform(faults: Sequence[Fault]) -> Platform:
    """Return a platform whose first calls have the given faults; later calls have none."""
    remaining: Any = iter(faults)

    def next_fault() -> Fault:
        return next(remaining, Fault.NONE)

    return Platform(FaultyTable(next_fault), FaultyObjectStore(next_fault), MemoryHostList())
