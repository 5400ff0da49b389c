"""Errors of radishshunt and the exit statuses of its commands."""

from __future__ import annotations

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit statuses of the command line; docs/reference/command-line.md describes them."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID_INPUT = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNKNOWN = 6
    UNREACHABLE = 7


class RadishshuntError(Exception):
    """Base of all errors that radishshunt raises on purpose.

    :cvar category: Short readable kind, used in logs and as the problem type.
    :cvar exit_status: Status that the command line ends with.
    """

    category = "error"
    exit_status = ExitStatus.FAILED


class SettingsError(RadishshuntError):
    """A settings file or a release note is invalid.

    :param problems: One line for each problem, with its path in the document.
    """

    category = "invalid settings"
    exit_status = ExitStatus.INVALID_INPUT

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class PlatformUnavailable(RadishshuntError):
    """The platform did not answer, or refused the call before running it."""

    category = "platform unavailable"
    exit_status = ExitStatus.UNAVAILABLE


class AdminUnreachable(RadishshuntError):
    """The administration API did not answer; a call had no effect."""

    category = "host unreachable"
    exit_status = ExitStatus.UNREACHABLE


class OutcomeUnknown(RadishshuntError):
    """A platform call may or may not have taken effect."""

    category = "outcome unknown"
    exit_status = ExitStatus.UNKNOWN


class Conflict(RadishshuntError):
    """A compare-and-set lost against another writer."""

    category = "conflict"
    exit_status = ExitStatus.CONFLICT


class ProtocolError(RadishshuntError):
    """A peer or target sent something that its protocol does not allow."""

    category = "protocol error"


class PeerUnavailable(RadishshuntError):
    """No working connection to another host.

    :param may_have_arrived: Whether a message may have reached the host.
    """

    category = "peer unavailable"

    def __init__(self, message: str, *, may_have_arrived: bool) -> None:
        super().__init__(message)
        self.may_have_arrived = may_have_arrived


class RequestError(RadishshuntError):
    """A request ended without an answer from its target.

    :param reason: Short machine-readable reason, for example ``queue-full``.
    :param detail: One sentence for people.
    :param status: HTTP status shown to the caller.
    :param retry_after: Seconds after which a new attempt makes sense, or ``None``.
    """

    outcome = "unknown"

    def __init__(
        self, reason: str, detail: str = "", *, status: int = 503, retry_after: float | None = None
    ) -> None:
        super().__init__(detail or reason)
        self.reason = reason
        self.detail = detail or reason
        self.status = status
        self.retry_after = retry_after


class NotRun(RequestError):
    """The request did not run on any target and will not run later."""

    category = "not run"
    outcome = "not-run"


class NotOwner(NotRun):
    """The host asked is not the dispatcher of the request's group."""

    category = "not dispatcher"


class OutcomeOfRequestUnknown(RequestError):
    """The request may have run; nobody can say."""

    category = "unknown outcome"
    outcome = "unknown"

    def __init__(self, reason: str, detail: str = "", *, status: int = 504) -> None:
        super().__init__(reason, detail, status=status)


class RanWithoutRecord(RequestError):
    """The request ran, but its answer is not kept."""

    category = "ran"
    outcome = "ran"

    def __init__(self, reason: str, detail: str = "", *, status: int = 409) -> None:
        super().__init__(reason, detail, status=status)
