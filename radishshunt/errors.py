"""Exceptions of radishshunt and exit statuses of its commands."""

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
    """Base class of the exceptions that radishshunt raises.

    :cvar category: Short readable kind of error, which commands print before the message.
    :cvar exit_status: Exit status of a command that fails with this error.
    """

    category = "error"
    exit_status = ExitStatus.FAILED


class SettingsError(RadishshuntError):
    """A settings file or a release note is invalid.

    :param problems: One line per problem, with the path of the invalid value in the document.
    """

    category = "invalid settings"
    exit_status = ExitStatus.INVALID_INPUT

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class PlatformUnavailable(RadishshuntError):
    """The platform did not respond, or rejected the call without executing it."""

    category = "platform unavailable"
    exit_status = ExitStatus.UNAVAILABLE


class AdminUnreachable(RadishshuntError):
    """The administration API did not respond; the call had no effect."""

    category = "host unreachable"
    exit_status = ExitStatus.UNREACHABLE


class PlatformOutcomeUnknown(RadishshuntError):
    """A platform call may or may not have taken effect."""

    category = "outcome unknown"
    exit_status = ExitStatus.UNKNOWN


class ConflictError(RadishshuntError):
    """A compare-and-set failed because of a concurrent write."""

    category = "conflict"
    exit_status = ExitStatus.CONFLICT


class ProtocolError(RadishshuntError):
    """A peer or target violated its protocol."""

    category = "protocol error"


class PeerUnavailable(RadishshuntError):
    """There is no working connection to another host.

    :param may_have_arrived: Whether the message may have reached the host.
    """

    category = "peer unavailable"

    def __init__(self, message: str, *, may_have_arrived: bool) -> None:
        super().__init__(message)
        self.may_have_arrived = may_have_arrived


class RequestError(RadishshuntError):
    """A request ended without a usable response from its target.

    :param reason: Short machine-readable reason, for example ``queue-full``.
    :param detail: Human-readable description in one sentence.
    :param status: HTTP status of the response to the caller.
    :param retry_after: Seconds after which the caller may retry, or ``None`` if unknown.
    :cvar outcome: What is known of the request: ``not-run``, ``unknown`` or ``ran``.
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
    """The request has not run on any target and will not run later."""

    category = "not run"
    outcome = "not-run"


class NotOwner(NotRun):
    """The host that received the request is not the dispatcher of the request's group.

    The name refers to the ownership of groups by dispatchers, not of keys by targets.
    """

    category = "not dispatcher"


class OutcomeOfRequestUnknown(RequestError):
    """It is not known whether the request ran."""

    category = "unknown outcome"
    outcome = "unknown"

    def __init__(self, reason: str, detail: str = "", *, status: int = 504) -> None:
        super().__init__(reason, detail, status=status)


class RanWithoutResponse(RequestError):
    """The request ran, but its response is not stored."""

    category = "ran"
    outcome = "ran"

    def __init__(self, reason: str, detail: str = "", *, status: int = 409) -> None:
        super().__init__(reason, detail, status=status)
