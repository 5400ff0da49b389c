"""Client for the control endpoints of a target."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import httpx
import trio

from radishshunt.connections import NoConnectionFree
from radishshunt.errors import RadishshuntError
from radishshunt.util.stall_tolerant_timeout import fail_after_running_time

if TYPE_CHECKING:
    from radishshunt.connections import ConnectionPool
    from radishshunt.ownership_state import Fence, Grant
    from radishshunt.release.catalog import TargetSpec

CONTROL_TIMEOUT_SECONDS = 0.25
# Time after which a control call on a pooled connection is repeated on a new one, so that a silent
# connection alone never makes the target count as lost.
POOLED_CALL_TIMEOUT_SECONDS = 0.1
# Header of an answer to DELETE /_target/requests/<id>: the request will not run, even if it arrives
# later.
ENDED_HEADER = "radishshunt-ended"


class GrantRejected(RadishshuntError):
    """A target refused a grant or a fence.

    :param reason: ``fenced`` or ``incarnation``.
    :param incarnation: Incarnation of the target, 0 if its answer does not name it.
    """

    category = "grant rejected"

    def __init__(self, reason: str, incarnation: int) -> None:
        super().__init__(f"target rejected the grant: {reason}")
        self.reason = reason
        self.incarnation = incarnation


class TargetUnreachable(RadishshuntError):
    """A target did not answer a control call.

    :param sent: Whether the call may have reached the target.
    """

    category = "target unreachable"

    def __init__(self, message: str, *, sent: bool = True) -> None:
        super().__init__(message)
        self.sent = sent


@dataclass(frozen=True, slots=True)
class FenceAnswer:
    """Answer to a fence.

    :param held_standby: Slices for which the target has held a step-1 grant, that is, which it has
        taken over as standby.
    :param busy: Latest deadline of the requests that still run under lower epochs, by slice.
    """

    incarnation: int
    held_standby: frozenset[int]
    busy: dict[int, float]


class ControlClient:
    """Makes control calls to one target.

    :ivar incarnation: Incarnation of the target as last seen, 0 if that one has ended and the next
        one has not been seen yet.
    """

    def __init__(self, spec: TargetSpec, pool: ConnectionPool) -> None:
        self._name = spec.name
        self._pool = pool
        self.incarnation = 0

    async def fence(self, service: str, group: int, command: Fence) -> FenceAnswer:
        """Fence the target.

        :raises GrantRejected: If the target is fenced at a higher generation.
        :raises TargetUnreachable: If there is no valid answer.
        """
        doc = {
            "service": service,
            "group": group,
            "generation": command.generation,
            "slices": command.slices,
        }
        answer = await self._post("/_target/fence", doc)
        self.incarnation = answer["incarnation"]
        return FenceAnswer(
            answer["incarnation"],
            frozenset(answer.get("held_standby", ())),
            _running_until(answer, command.slices),
        )

    async def grant(self, service: str, group: int, command: Grant) -> None:
        """Grant slices to the target, or renew its grant.

        :raises GrantRejected: If the target is fenced at a higher generation or was restarted.
        :raises TargetUnreachable: If there is no valid answer.
        """
        doc = {
            "service": service,
            "group": group,
            "generation": command.generation,
            "incarnation": command.incarnation,
            "owned": [s for s, step in command.steps.items() if step == 0],
            "taken_over": [s for s, step in command.steps.items() if step == 1],
            "deadline": command.deadline,
        }
        await self._post("/_target/grant", doc)

    async def has_incarnation_ended(self, incarnation: int) -> bool:
        """Return whether the incarnation of the target that a broken connection led to has ended.

        It has ended if a new connection is refused or broken, or if another incarnation answers on
        it. A target that accepts a connection but does not answer may only be slow.

        :param incarnation: Incarnation that the connection belonged to, 0 if unknown.
        """
        try:
            resp = await self._call(
                "GET", "/_target/health", fresh=True, timeout=CONTROL_TIMEOUT_SECONDS
            )
            seen = resp.json().get("incarnation", incarnation)
            if self.incarnation == incarnation:
                self.incarnation = seen
            return bool(incarnation) and seen != incarnation
        except (httpx.TimeoutException, NoConnectionFree, ValueError):
            return False
        except httpx.HTTPError:
            if self.incarnation == incarnation:
                self.incarnation = 0
            return True

    async def is_running(self, request_id: str) -> bool | None:
        """Return whether the target runs a request, or ``None`` if it does not tell."""
        try:
            resp = await self._call(
                "GET",
                f"/_target/requests/{request_id}",
                fresh=True,
                timeout=CONTROL_TIMEOUT_SECONDS,
            )
            return resp.json()["running"] if resp.status_code == 200 else None
        except (httpx.HTTPError, NoConnectionFree, ValueError, KeyError, TypeError):
            return None

    async def cancel(self, request_id: str) -> tuple[int, bool]:
        """Cancel a request.

        :return: Status of the target's answer, and whether the target guarantees that the request
            is not running and will not run later.
        :raises httpx.HTTPError: If there is no answer.
        :raises NoConnectionFree: If the connection limit is reached.
        """
        resp = await self._call(
            "DELETE",
            f"/_target/requests/{request_id}",
            fresh=False,
            timeout=CONTROL_TIMEOUT_SECONDS,
        )
        return resp.status_code, ENDED_HEADER in resp.headers

    async def _post(self, path: str, doc: dict) -> dict:
        """Send a fence or a grant and return the answer.

        :raises GrantRejected: If the target refuses the command.
        :raises TargetUnreachable: If there is no valid answer.
        """
        try:
            resp = await self._call_with_retry("POST", path, doc)
            answer = resp.json()
        except (httpx.HTTPError, NoConnectionFree, ValueError) as exc:
            not_sent_errors = (httpx.ConnectError, httpx.ConnectTimeout, NoConnectionFree)
            sent = not isinstance(exc, not_sent_errors)
            raise TargetUnreachable(f"target {self._name}: {exc!r}", sent=sent) from exc
        if resp.status_code == 409:
            raise GrantRejected(answer.get("reason", "fenced"), answer.get("incarnation", 0))
        if resp.status_code != 200:
            raise TargetUnreachable(f"target {self._name} answered with status {resp.status_code}")
        return answer

    async def _call_with_retry(self, method: str, path: str, doc: dict) -> httpx.Response:
        """Make a control call, and repeat it on a new connection if the pooled one fails."""
        try:
            return await self._call(
                method, path, doc, fresh=False, timeout=POOLED_CALL_TIMEOUT_SECONDS
            )
        except httpx.HTTPError:
            await self._pool.close_idle()
        left = CONTROL_TIMEOUT_SECONDS - POOLED_CALL_TIMEOUT_SECONDS
        return await self._call(method, path, doc, fresh=True, timeout=left)

    async def _call(
        self, method: str, path: str, doc: dict | None = None, *, fresh: bool, timeout: float
    ) -> httpx.Response:
        """Make a control call. Control calls are idempotent, so callers may repeat them."""
        conn = await self._pool.acquire(fresh=fresh, control=True)
        try:
            with fail_after_running_time(timeout):
                resp = await conn.call(method, path, doc)
        except trio.TooSlowError as exc:
            await self._pool.discard(conn)
            raise httpx.ReadTimeout(f"no answer within {timeout} s") from exc
        except BaseException:
            await self._pool.discard(conn)
            raise
        await self._pool.release(conn)
        return resp


def _running_until(answer: dict, slices: tuple[int, ...]) -> dict[int, float]:
    """Return the latest deadline of running requests by slice.

    A target that reports a single deadline may be running requests of any of the slices.
    """
    if "busy" in answer:
        return {int(number): deadline for number, deadline in answer["busy"].items()}
    latest = answer.get("busy_until", 0.0)
    return dict.fromkeys(slices, latest) if latest else {}
