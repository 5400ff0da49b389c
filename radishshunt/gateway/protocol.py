"""Interface to the HTTP protocol between hosts and targets."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.body_memory import BodyReservation
    from radishshunt.gateway.exchange import HttpResponse, OutgoingRequest
    from radishshunt.gateway.model import KeyRange, TargetEntry
    from radishshunt.policy.direct.target_statements import TargetStatement
    from radishshunt.workspaces.authentication import Caller, KeyRefusal


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a target reports in a response.

    :param running: Number of requests being processed.
    :param waiting: Number of requests in the target's queue.
    :param slots: Number of requests that the target can process at once.
    :param slowdown: Current work time relative to the usual work time.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclass(slots=True)
class CallerRequest:
    """A request of a caller, with its body.

    :param target: Request target of HTTP: path and query exactly as the caller sent them.
    :param attempt_id: Identifier of this request from the caller; empty if there is none.
    :param key: Key that the target must own, or ``None`` if the request has no key.
    :param received_at: Time of arrival on trio's clock.
    :param deadline: Time on trio's clock until which the caller waits.
    :param memory: Reservation for the body, and for that of the response.
    :param caller: Sender by its API key, ``None`` if the request needs none.
    :param key_refusal: Returns why the request must not be sent to a target now because of its API
        key, ``None`` if it needs none.
    :param sent: Whether a target may have received the request.
    """

    method: str
    host: str
    path: str
    target: bytes
    headers: list[tuple[bytes, bytes]]
    attempt_id: str
    key: int | None
    received_at: float
    deadline: float
    body: bytes = b""
    memory: BodyReservation | None = None
    caller: Caller | None = None
    key_refusal: Callable[[], KeyRefusal | None] | None = None
    sent: bool = False


class TargetProtocol(ABC):
    """Builds requests to targets and interprets their responses."""

    @abstractmethod
    def parse_caller_headers(
        self, headers: list[tuple[bytes, bytes]]
    ) -> tuple[str, float | None, int | None]:
        """Return the attempt id, the caller's timeout in seconds and the key of a request.

        The timeout and the key are ``None`` if the request has none.
        """

    @abstractmethod
    def api_keys(self, headers: list[tuple[bytes, bytes]]) -> list[bytes]:
        """Return the values of all headers of a caller that are to contain its API key."""

    @abstractmethod
    def remove_identity(self, headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
        """Return headers without any that targets could take for the API key or the workspace."""

    @abstractmethod
    def build_request(self, req: CallerRequest, target_id: str, seconds: float) -> OutgoingRequest:
        """Return a caller's request in the form to be sent to a target.

        :param seconds: Time that the target has to respond.
        """

    @abstractmethod
    def load_report(self, response: HttpResponse) -> LoadReport | None:
        """Return the load report in a response, or ``None`` if there is none."""

    @abstractmethod
    def request_limit(self, response: HttpResponse) -> float | None:
        """Return the requests per second that the target takes from all hosts together.

        :return: Infinity if the response names no limit, ``None`` if it names one that is no
            number.
        """

    @abstractmethod
    def statement(self, response: HttpResponse, entry: TargetEntry) -> TargetStatement | None:
        """Return what a target states about itself in a response.

        :param entry: Entry of the target that the request was meant for.
        :return: ``None`` if it states nothing, or if another process may have responded.
        """

    @abstractmethod
    def is_not_run(self, response: HttpResponse) -> bool:
        """Return whether a response states that the target did not run the request."""

    @abstractmethod
    def is_wrong_target(self, response: HttpResponse) -> bool:
        """Return whether the target does not hold the key, or is not the intended target."""

    @abstractmethod
    def identity_check(self, host: str, path: str) -> OutgoingRequest:
        """Return the request that asks a target for its registration."""

    @abstractmethod
    def identity(self, response: HttpResponse) -> str:
        """Return the target's registration from a response; empty if there is none."""

    @abstractmethod
    def grant(self, host: str, keys: KeyRange, seconds: float, handover: str) -> OutgoingRequest:
        """Return the command that grants keys to a target.

        :param seconds: Duration of the grant.
        :param handover: Handover from the previous owner's release, empty if there is none.
        """

    @abstractmethod
    def release(self, host: str, keys: KeyRange) -> OutgoingRequest:
        """Return the command that revokes keys from a target."""

    @abstractmethod
    def handover(self, response: HttpResponse) -> str:
        """Return the handover in the response to a release; empty if there is none."""
