"""Client of one target's HTTP interface."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import httpx
import trio

from radishshunt.errors import NotRun, OutcomeOfRequestUnknown, RadishshuntError
from radishshunt.model import Response
from radishshunt.target_transport import TargetTransport
from radishshunt.util.headers import HOP_HEADERS, connection_options

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from radishshunt.model import Request
    from radishshunt.ownership_state import Fence, Grant
    from radishshunt.release.catalog import TargetSpec

CONNECT_TIMEOUT_SECONDS = 0.5
CONTROL_TIMEOUT_SECONDS = 0.25
# Connections kept for grants and fences, beside one for each slot.
CONTROL_CONNECTIONS = 2
# Shorter than the keep-alive time of targets, so that no request meets a closing connection.
KEEPALIVE_SECONDS = 4.0

NOT_RUN_HEADER = "radishshunt-not-run"
REQUEST_ID_HEADER = "radishshunt-request-id"


class GrantRejected(RadishshuntError):
    """A target refused a grant or a fence.

    :param reason: ``fenced`` or ``incarnation``.
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

    :param held_standby: Slices for which the target has held a step-1 grant.
    :param busy: Latest deadline of requests running under lower epochs, by slice.
    """

    incarnation: int
    held_standby: frozenset[int]
    busy: dict[int, float]


class TargetClient:
    """Owns the connections to one target.

    :param local_address: IP number that connections come from.
    """

    def __init__(self, spec: TargetSpec, local_address: str | None = None) -> None:
        self.spec = spec
        self._transport = TargetTransport(
            spec.address,
            connections=min(spec.slots + CONTROL_CONNECTIONS, spec.connections),
            idle_seconds=KEEPALIVE_SECONDS,
            local_address=local_address,
        )
        self._client = httpx.AsyncClient(
            base_url=f"http://{spec.address}", transport=self._transport
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def fence(self, service: str, group: int, command: Fence) -> FenceAnswer:
        """Fence the target.

        :raises GrantRejected: If the target is fenced at a higher generation.
        :raises TargetUnreachable: If there is no answer.
        """
        doc = {
            "service": service,
            "group": group,
            "generation": command.generation,
            "slices": command.slices,
        }
        answer = await self._control("/_target/fence", doc)
        return FenceAnswer(
            answer["incarnation"],
            frozenset(answer.get("held_standby", ())),
            _busy_of(answer, command.slices),
        )

    async def grant(self, service: str, group: int, command: Grant) -> None:
        """Grant slices to the target, or renew its grant.

        :raises GrantRejected: If the target is fenced higher or was restarted.
        :raises TargetUnreachable: If there is no answer.
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
        await self._control("/_target/grant", doc)

    async def send(
        self,
        req: Request,
        body: bytes,
        *,
        now: float,
        group: int,
        slice_number: int | None,
        epoch: int,
        deadline: float,
    ) -> Response:
        """Send a request and return the answer as soon as its head is here.

        :param now: Seconds since the Unix epoch.
        :param deadline: End of the request's and the grant's time, seconds since the epoch.
        :raises NotRun: If the target did not run the request.
        :raises OutcomeOfRequestUnknown: If it may have run.
        """
        left = deadline - now
        headers = _headers(req, self.spec.address, group, slice_number, epoch, deadline, body)
        try:
            with trio.fail_after(max(0.0, left)):
                resp = await self._transport.request(
                    req.method,
                    req.path.encode("latin-1"),
                    headers,
                    body,
                    seconds=max(0.001, left),
                    connect_seconds=min(CONNECT_TIMEOUT_SECONDS, left),
                )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as exc:
            raise NotRun("connect-failed", f"target {self.spec.name}: {exc!r}") from exc
        except (httpx.HTTPError, trio.TooSlowError) as exc:
            raise OutcomeOfRequestUnknown(
                "no-answer", f"target {self.spec.name} gave no answer: {exc!r}"
            ) from exc
        return await self._check_answer(req, resp)

    async def _check_answer(self, req: Request, resp: httpx.Response) -> Response:
        if resp.headers.get(REQUEST_ID_HEADER) != req.id:
            await resp.aclose()
            raise OutcomeOfRequestUnknown(
                "wrong-answer", f"target {self.spec.name} answered another request", status=502
            )
        reason = resp.headers.get(NOT_RUN_HEADER)
        if reason:
            await resp.aclose()
            raise NotRun(reason, f"target {self.spec.name} did not run the request")
        items = [(n.decode("latin-1").lower(), v.decode("latin-1")) for n, v in resp.headers.raw]
        dropped = (HOP_HEADERS - {"content-length"}) | connection_options(items)
        headers = [(name, value) for name, value in items if name not in dropped]
        return Response(resp.status_code, headers, _body(self.spec.name, resp))

    async def _control(self, path: str, doc: dict) -> dict:
        try:
            resp = await self._client.post(path, json=doc, timeout=CONTROL_TIMEOUT_SECONDS)
            answer = resp.json()
        except (httpx.HTTPError, ValueError) as exc:
            sent = not isinstance(exc, (httpx.ConnectError, httpx.PoolTimeout))
            raise TargetUnreachable(f"target {self.spec.name}: {exc!r}", sent=sent) from exc
        if resp.status_code == 409:
            raise GrantRejected(answer.get("reason", "fenced"), answer.get("incarnation", 0))
        if resp.status_code != 200:
            raise TargetUnreachable(f"target {self.spec.name}: status {resp.status_code}")
        return answer


def _busy_of(answer: dict, slices: tuple[int, ...]) -> dict[int, float]:
    """Return until when requests run; a target that names no slices may be busy with any."""
    if "busy" in answer:
        return {int(number): deadline for number, deadline in answer["busy"].items()}
    until = answer.get("busy_until", 0.0)
    return dict.fromkeys(slices, until) if until else {}


def _headers(
    req: Request,
    address: str,
    group: int,
    slice_number: int | None,
    epoch: int,
    deadline: float,
    body: bytes,
) -> list[tuple[bytes, bytes]]:
    headers = [("host", address)]
    headers += [(n, v) for n, v in req.headers if n not in HOP_HEADERS]
    if body or req.method in ("POST", "PUT", "PATCH"):
        headers.append(("content-length", str(len(body))))
    headers += [
        (REQUEST_ID_HEADER, req.id),
        ("radishshunt-service", req.service),
        ("radishshunt-key", req.key),
        ("radishshunt-group", str(group)),
        ("radishshunt-epoch", str(epoch)),
        ("radishshunt-deadline", f"{deadline:.6f}"),
    ]
    if slice_number is not None:
        headers.append(("radishshunt-slice", str(slice_number)))
    if req.idempotency_key:
        headers.append(("idempotency-key", req.idempotency_key))
    # Not ASCII, since values may hold any byte (RFC 9110, section 5.5).
    return [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]


async def _body(target: str, resp: httpx.Response) -> AsyncIterator[bytes]:
    try:
        async for chunk in resp.stream:
            yield chunk
    except httpx.HTTPError as exc:
        raise OutcomeOfRequestUnknown(
            "answer-cut", f"target {target} cut its answer: {exc!r}", status=502
        ) from exc
    finally:
        with trio.CancelScope(shield=True):
            await resp.aclose()
