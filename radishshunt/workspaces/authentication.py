"""Whose request it is: the API key of a request, and whether it still counts."""

from __future__ import annotations

import re
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from radishshunt.errors import NotRun
from radishshunt.logs import decision
from radishshunt.workspaces.api_keys import MAX_KEY_BYTES, key_digest
from radishshunt.workspaces.directory import Directory

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.gateway.model import Configuration, Route, Workspace
    from radishshunt.gateway.settings import Bounds
    from radishshunt.gateway.view import View

_KEY = re.compile(rb"[!-~]{1,%d}" % MAX_KEY_BYTES)
# Reasons of refusals because of a request's key.
KEY_REASONS = frozenset(
    {
        "key-missing",
        "key-ambiguous",
        "key-malformed",
        "key-unknown",
        "key-maybe-new",
        "key-unconfirmed",
        "key-removed",
    }
)
UNAUTHORIZED_STATUS = 401
UNCONFIRMED_DETAIL = "this host cannot confirm at this moment that the API key is still valid"
# The clocks of two hosts may run apart by 0.1%, and ages in messages are rounded.
REVOKE_MARGIN_SECONDS = 0.02
# A host that hears of all changes is confirmed within 2.5 s. Beyond this age, messages are held
# back, and a key that this host does not know may be new.
MAX_CONFIRMATION_AGE_SECONDS = 3.0
# The next connection of the caller may reach a host that hears of changes.
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class Caller:
    """Sender of a request.

    :param workspace: Workspace of its key at the time of arrival.
    """

    workspace: Workspace
    digest: str


@dataclass(frozen=True, slots=True)
class KeyRefusal:
    """Why a request is not sent to a target although its key was accepted on arrival."""

    reason: str
    detail: str
    retry_after: float


class Authentication:
    """Identifies the callers of one host.

    :param bounds: Returns the bounds in force.
    :param state_age: Returns the seconds since this host last heard of changes, from the store or
        from another host.
    """

    def __init__(
        self,
        view: View,
        bounds: Callable[[], Bounds],
        state_age: Callable[[], float],
        rng: Random | None = None,
    ) -> None:
        self._view = view
        self._bounds = bounds
        self._state_age = state_age
        self._rng = rng or Random()
        self._directory: Directory | None = None

    def identify(self, keys: list[bytes]) -> Caller:
        """Return the sender of a request that has to have a key.

        :param keys: Values of all headers that are to contain the key.
        :raises NotRun: If there is not exactly one key that this host knows and may accept.
        """
        if len(keys) > 1:
            raise _unauthorized("key-ambiguous", "the request has several API keys")
        if not keys or not keys[0]:
            raise _unauthorized("key-missing", "the request has no API key")
        if not _KEY.fullmatch(keys[0]):
            raise _unauthorized("key-malformed", "the API key is malformed or too long")
        digest = key_digest(keys[0])
        workspace = self._current_directory().find(digest)
        if workspace is not None:
            if not self._is_confirmed():
                raise _not_run(self._unconfirmed())
            return Caller(workspace, digest)
        if self._may_lack_keys():
            detail = "the API key is unknown here and may be new"
            raise _not_run(KeyRefusal("key-maybe-new", detail, self._retry_after()))
        raise _unauthorized("key-unknown", "the API key is unknown")

    @property
    def can_confirm(self) -> bool:
        """Whether a key that this host knows would be accepted now."""
        return self._is_confirmed()

    def effective_route(self, route: Route, caller: Caller) -> Route:
        """Return a route with the priority that it has for a caller."""
        return self._current_directory().effective_route(route, caller.workspace)

    def refusal(self, caller: Caller) -> KeyRefusal | None:
        """Return why the request of a caller must not be sent to a target now, if it must not.

        Without strict revocation, what was in force on arrival decides.
        """
        if not self._bounds().strict_revoke:
            return None
        if not self._is_confirmed():
            return self._unconfirmed()
        cfg = self._view.cfg
        # Without workspaces, requests need no key.
        if cfg is not None and cfg.workspaces is None:
            return None
        if self._current_directory().find(caller.digest) is None:
            detail = "the API key was removed while the request waited"
            return KeyRefusal("key-removed", detail, self._retry_after())
        return None

    def log_refusal(self, request_id: str, reason: str, caller: Caller | None) -> None:
        """Log that a request is refused because of its key."""
        age = self._view.confirmation.age(self._view.clock.now())
        decision(
            "key-refused",
            request_id=request_id,
            reason=reason,
            workspace=caller.workspace.name if caller is not None else "",
            state_age=_loggable_age(self._state_age()),
            confirmed_age=_loggable_age(age),
            suspended=self._view.confirmation.suspended,
        )

    def _current_directory(self) -> Directory:
        cfg: Configuration | None = self._view.cfg
        if cfg is None:
            raise NotRun("no-configuration", "this host has no configuration", retry_after=0.5)
        if self._directory is None or self._directory.cfg is not cfg:
            self._directory = Directory(cfg)
        return self._directory

    def _is_confirmed(self) -> bool:
        bounds = self._bounds()
        age = self._view.confirmation.age(self._view.clock.now())
        return not bounds.strict_revoke or age < bounds.revoke_seconds - REVOKE_MARGIN_SECONDS

    def _may_lack_keys(self) -> bool:
        confirmation = self._view.confirmation
        return (
            confirmation.suspended
            or self._state_age() > self._bounds().max_state_age_seconds
            or confirmation.age(self._view.clock.now()) > MAX_CONFIRMATION_AGE_SECONDS
        )

    def _unconfirmed(self) -> KeyRefusal:
        return KeyRefusal("key-unconfirmed", UNCONFIRMED_DETAIL, self._retry_after())

    def _retry_after(self) -> float:
        return self._rng.uniform(MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS)


def _unauthorized(reason: str, detail: str) -> NotRun:
    return NotRun(reason, detail, status=UNAUTHORIZED_STATUS)


def _not_run(refusal: KeyRefusal) -> NotRun:
    return NotRun(refusal.reason, refusal.detail, retry_after=refusal.retry_after)


def _loggable_age(seconds: float) -> float | None:
    """Return an age as a number of JSON, ``None`` if it is infinite."""
    return round(seconds, 3) if seconds < float("inf") else None
