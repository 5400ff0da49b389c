"""Asks targets whether they are cold while changes of their entries may not reach this host."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from radishshunt.gateway.exchange import Connection, ExchangeError
from radishshunt.logs import decision
from radishshunt.util.streams import ConnectFailed, connect

if TYPE_CHECKING:
    from radishshunt.gateway.model import TargetEntry
    from radishshunt.gateway.protocol import TargetProtocol
    from radishshunt.gateway.view import View

# Timeout for connecting to a target, and then for its answer.
CHECK_TIMEOUT_SECONDS = 0.15
MAX_CHECK_SECONDS = 2 * CHECK_TIMEOUT_SECONDS
# Time for which a result holds.
VALID_SECONDS = 0.3
MAX_RESULTS = 4096


@dataclass(slots=True, eq=False)
class _Check:
    """The last check of one process of a target.

    :ivar warm: Whether the process answered that it is not cold.
    :ivar valid_until: Time on trio's clock until which the result holds.
    :ivar done: Set at the end of the check.
    """

    warm: bool = False
    valid_until: float = float("inf")
    done: trio.Event = field(default_factory=trio.Event)


class ColdChecker:
    """Asks the health paths of targets, each at most once in :data:`VALID_SECONDS`.

    What a target states is recorded in the view, which tells other hosts.
    """

    def __init__(self, view: View, protocol: TargetProtocol) -> None:
        self._view = view
        self._protocol = protocol
        self._checks: dict[tuple[str, int], _Check] = {}

    def is_known(self, entry: TargetEntry) -> bool:
        """Return whether the last check of a target still holds."""
        check = self._checks.get((entry.id, entry.incarnation))
        return check is not None and check.done.is_set() and self._holds(check)

    def is_warm(self, entry: TargetEntry) -> bool:
        """Return whether a target answered a moment ago that it is not cold."""
        check = self._checks.get((entry.id, entry.incarnation))
        return check is not None and check.warm and self._holds(check)

    async def check(self, entry: TargetEntry, health_path: str) -> None:
        """Ask a target whether it is cold, or wait until it has answered another request."""
        process = (entry.id, entry.incarnation)
        check = self._checks.get(process)
        if check is not None and self._holds(check):
            await check.done.wait()
            return
        if len(self._checks) >= MAX_RESULTS:
            self._checks = {key: item for key, item in self._checks.items() if self._holds(item)}
        check = self._checks[process] = _Check()
        try:
            check.warm = await self._ask(entry, health_path)
            check.valid_until = trio.current_time() + VALID_SECONDS
        except trio.Cancelled:
            # The caller has left; the target may well answer the next check.
            check.valid_until = float("-inf")
            raise
        finally:
            check.done.set()
        decision("cold-check", target=entry.id, warm=check.warm)

    def _holds(self, check: _Check) -> bool:
        return trio.current_time() < check.valid_until

    async def _ask(self, entry: TargetEntry, health_path: str) -> bool:
        """Return whether a target answers that it is not cold."""
        try:
            stream = await connect(entry.address, CHECK_TIMEOUT_SECONDS)
        except ConnectFailed:
            return False
        conn = Connection(stream)
        try:
            with trio.move_on_after(CHECK_TIMEOUT_SECONDS):
                answer = await conn.exchange(
                    self._protocol.identity_check(entry.address, health_path)
                )
                if self._protocol.identity(answer) != entry.id:
                    return False
                statement = self._protocol.statement(answer, entry)
                if statement is None:
                    return True
                self._view.record_statements((statement,), own=True)
                return statement.cold_seconds <= 0.0
        except ExchangeError:
            return False
        finally:
            conn.close()
        return False
