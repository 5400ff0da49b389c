"""What a host says to targets and reads from their answers, as an interface."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from radishshunt.gateway.exchange import Answer, OutgoingRequest
    from radishshunt.gateway.model import KeyRange


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a target says of its load in an answer.

    :param running: Requests that it processes.
    :param waiting: Requests in its queue.
    :param slots: Requests that it can process at once.
    :param slowdown: Time that work takes now, relative to the usual.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclass(slots=True)
class CallerRequest:
    """A request of a caller, with its body.

    :param target: Path and query as the caller wrote them.
    :param attempt_id: Names this request; empty if the caller gave none.
    :param key: Key that an owner has to hold, ``None`` if there is none.
    :param received_at: Moment on trio's clock.
    :param deadline: Moment on trio's clock until which the caller waits.
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


class TargetProtocol(ABC):
    """Translates between the product and the targets' HTTP interface."""

    @abstractmethod
    def caller_fields(
        self, headers: list[tuple[bytes, bytes]]
    ) -> tuple[str, float | None, int | None]:
        """Return the attempt id, the caller's time left in seconds and the key of a request."""

    @abstractmethod
    def outgoing(self, req: CallerRequest, target_id: str, seconds: float) -> OutgoingRequest:
        """Return a request as it goes to a target.

        :param seconds: Time that the target has for it.
        """

    @abstractmethod
    def load(self, answer: Answer) -> LoadReport | None:
        """Return the load report of an answer, if it has one."""

    @abstractmethod
    def not_run(self, answer: Answer) -> bool:
        """Return whether the target states that it has not run the request."""

    @abstractmethod
    def is_wrong_target(self, answer: Answer) -> bool:
        """Return whether the target does not hold the key, or is not the one that was meant."""

    @abstractmethod
    def identity_check(self, host: str, path: str) -> OutgoingRequest:
        """Return the request that makes a target name itself."""

    @abstractmethod
    def identity(self, answer: Answer) -> str:
        """Return the registration that a target names in an answer, empty if it names none."""

    @abstractmethod
    def grant(self, host: str, keys: KeyRange, seconds: float, handover: str) -> OutgoingRequest:
        """Return the order that grants keys to a target for a time."""

    @abstractmethod
    def release(self, host: str, keys: KeyRange) -> OutgoingRequest:
        """Return the order that takes keys from a target."""

    @abstractmethod
    def handover(self, answer: Answer) -> str:
        """Return the handover in the answer to a release, empty if there is none."""
