"""Finds out whether a target ended while it ran a request.

Load pattern: an overloaded target resets connections and leaves requests unanswered, many at a
time, and none of them has crashed it. A target that a request has crashed looks the same to the
host that sent the request, until it asks the target.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import trio
from xxhash import xxh3_64_intdigest

from radishshunt.gateway.exchange import Connection, ExchangeError
from radishshunt.gateway.rows import Topic
from radishshunt.logs import decision
from radishshunt.util.streams import ConnectFailed, ConnectTimeout, connect

if TYPE_CHECKING:
    from radishshunt.clock import Clock
    from radishshunt.gateway.model import TargetEntry
    from radishshunt.gateway.protocol import TargetProtocol
    from radishshunt.gateway.rows import Change
    from radishshunt.gateway.view import View
    from radishshunt.quarantine import Quarantine

logger = logging.getLogger(__name__)

# Timeout for connecting to a target, and then for its answer.
CHECK_TIMEOUT_SECONDS = 0.3
CHECK_INTERVAL_SECONDS = 0.1
# A target that leaves a request unanswered is checked after this time, unless it answers another
# request before.
UNANSWERED_GRACE_SECONDS = 1.0
# A target to which no connection can be established for this long counts as lost.
UNREACHABLE_SECONDS = 1.0
# If no target answers and connections to this many cannot be established, this host is cut off.
CUT_OFF_TARGETS = 3
# Time for which a target that seems to run is watched for a restart.
WATCH_SECONDS = 8.0
MAX_CHECKED_TARGETS = 256
# Maximum number of requests of one target that wait for a check.
MAX_LOST_REQUESTS = 64
MAX_WATCHED_REQUESTS = 1024


class TargetFate(Enum):
    """What has become of a target's process.

    ``UNKNOWN`` means that it does not answer connection attempts.
    """

    RUNNING = "running"
    ENDED = "ended"
    REPLACED = "replaced"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class LostRequest:
    """A request that got no response from a target.

    :param known_losses: Losses of the request that were known when it was sent.
    :param lost_at: Time on trio's clock.
    """

    fingerprint: int
    known_losses: frozenset[int]
    lost_at: float


@dataclass(slots=True, eq=False)
class _Check:
    """Check of one process of a target.

    :ivar lost: Requests that it left unanswered.
    :ivar answered_at: Time at which the newest request that it answered meanwhile was sent.
    :ivar unreachable: Whether the last connection attempt timed out.
    :ivar urgent: Set if a connection to the target broke, so that it is asked at once.
    :ivar done: Set at the end of the check.
    """

    entry: TargetEntry
    health_path: str
    lost: list[LostRequest] = field(default_factory=list)
    answered_at: float = float("-inf")
    unreachable: bool = False
    urgent: trio.Event = field(default_factory=trio.Event)
    done: trio.Event = field(default_factory=trio.Event)


@dataclass(frozen=True, slots=True)
class _WatchedRequest:
    """A lost request whose target seemed to run."""

    entry: TargetEntry
    health_path: str
    request: LostRequest


class CrashChecker:
    """Records in the quarantine which requests were running on targets that ended.

    :param clock: Clock with Unix time, which the expiry of suspects refers to.
    """

    def __init__(
        self, view: View, protocol: TargetProtocol, quarantine: Quarantine, clock: Clock
    ) -> None:
        self._view = view
        self._protocol = protocol
        self._quarantine = quarantine
        self._clock = clock
        self._nursery: trio.Nursery | None = None
        self._checks: dict[tuple[str, int], _Check] = {}
        self._watched: list[_WatchedRequest] = []
        # Time at which the newest request was sent that any target has answered.
        self._answered_at = float("-inf")
        view.listeners.append(self._on_change)

    async def run(self) -> None:
        """Check targets until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await trio.sleep_forever()
            finally:
                # Requests that are given up at the end of the process start no further checks.
                self._nursery = None

    def on_answer(self, entry: TargetEntry, sent_at: float) -> None:
        """Record that a target has answered a request.

        :param sent_at: Time at which the request was sent, on trio's clock.
        """
        self._answered_at = max(self._answered_at, sent_at)
        check = self._checks.get(_process(entry))
        if check is not None:
            check.answered_at = max(check.answered_at, sent_at)

    def on_other_process(self, entry: TargetEntry) -> None:
        """Record that another process has answered at a target's address."""
        check = self._checks.get(_process(entry))
        if check is not None:
            self._record_losses(entry, check.lost, TargetFate.REPLACED)
            check.lost = []
        self._record_watched(entry)

    def check(
        self, entry: TargetEntry, health_path: str, request: LostRequest, *, broken: bool
    ) -> trio.Event:
        """Find out whether a target ended while it ran a request.

        :param broken: Whether the connection broke, in contrast to a request that was given up.
        :return: Event that is set at the end of the check.
        """
        check = self._checks.get(_process(entry))
        if check is None:
            check = _Check(entry, health_path)
            if self._nursery is None or len(self._checks) >= MAX_CHECKED_TARGETS:
                logger.warning("not checking whether target %s crashed", entry.id)
                check.done.set()
                return check.done
            self._checks[_process(entry)] = check
            self._nursery.start_soon(self._run_check, check)
        if len(check.lost) < MAX_LOST_REQUESTS:
            check.lost.append(request)
        if broken:
            check.urgent.set()
        return check.done

    async def _run_check(self, check: _Check) -> None:
        try:
            with trio.move_on_after(UNANSWERED_GRACE_SECONDS):
                await check.urgent.wait()
            unreachable_at = trio.current_time() + UNREACHABLE_SECONDS
            while self._drop_answered(check):
                asked_at = trio.current_time()
                fate = await self._ask(check.entry, check.health_path)
                check.unreachable = fate is TargetFate.UNKNOWN
                if self._settle(check, fate, asked_at, unreachable_at):
                    return
                await trio.sleep(CHECK_INTERVAL_SECONDS)
        finally:
            del self._checks[_process(check.entry)]
            check.done.set()

    def _drop_answered(self, check: _Check) -> bool:
        """Drop requests after whose loss the target took others; return whether some remain."""
        check.lost = [request for request in check.lost if request.lost_at >= check.answered_at]
        return bool(check.lost)

    def _settle(
        self, check: _Check, fate: TargetFate, asked_at: float, unreachable_at: float
    ) -> bool:
        """Act on what the target's process did; return whether the check is over."""
        if fate in (TargetFate.ENDED, TargetFate.REPLACED):
            self._record_losses(check.entry, check.lost, fate)
            return True
        if fate is TargetFate.RUNNING:
            self._watch(check, [request for request in check.lost if request.lost_at <= asked_at])
            return not check.lost
        if trio.current_time() < unreachable_at or not self._drop_answered(check):
            return False
        if self._is_cut_off(check):
            logger.info("cannot tell whether target %s crashed: no target answers", check.entry.id)
        else:
            self._record_losses(check.entry, check.lost, fate)
        return True

    def _is_cut_off(self, check: _Check) -> bool:
        """Return whether rather this host than a target has lost its connections."""
        first_lost_at = min(request.lost_at for request in check.lost)
        unreachable = sum(other.unreachable for other in self._checks.values())
        return self._answered_at <= first_lost_at and unreachable >= CUT_OFF_TARGETS

    async def _ask(self, entry: TargetEntry, health_path: str) -> TargetFate:
        """Ask for the process at a target's address."""
        try:
            stream = await connect(entry.address, CHECK_TIMEOUT_SECONDS)
        except ConnectTimeout:
            return TargetFate.UNKNOWN
        except ConnectFailed:
            return TargetFate.ENDED
        conn = Connection(stream)
        name = ""
        try:
            with trio.move_on_after(CHECK_TIMEOUT_SECONDS):
                request = self._protocol.identity_check(entry.address, health_path)
                answer = await conn.exchange(request)
                name = self._protocol.identity(answer)
                statement = self._protocol.statement(answer, entry)
                if name and statement is not None:
                    self._view.record_statements((statement,), own=True)
        except ExchangeError:
            # An overloaded target resets connections.
            name = ""
        finally:
            conn.close()
        return TargetFate.REPLACED if name and name != entry.id else TargetFate.RUNNING

    def _watch(self, check: _Check, requests: list[LostRequest]) -> None:
        """Move requests from a check to the watched ones."""
        check.lost = [request for request in check.lost if request not in requests]
        self._forget_old_requests()
        self._watched += [
            _WatchedRequest(check.entry, check.health_path, request) for request in requests
        ]
        del self._watched[:-MAX_WATCHED_REQUESTS]

    def _forget_old_requests(self) -> None:
        """Stop watching requests that were lost longer than :data:`WATCH_SECONDS` ago."""
        watched_since = trio.current_time() - WATCH_SECONDS
        self._watched = [item for item in self._watched if item.request.lost_at > watched_since]

    def _on_change(self, change: Change | None) -> None:
        """Look for restarts of watched targets in changed entries."""
        if change is None or change.topic is not Topic.TARGETS:
            return
        self._forget_old_requests()
        if not self._watched:
            return
        for item in {_process(item.entry): item for item in self._watched}.values():
            if self._has_restarted(item.entry):
                self._record_watched(item.entry)
            elif self._seems_replaced(item.entry) and self._nursery is not None:
                self._nursery.start_soon(self._ask_watched, item)

    def _has_restarted(self, entry: TargetEntry) -> bool:
        """Return whether a later process is registered under a target's name at its address."""
        known = self._view.targets.get(entry.id)
        return (
            known is not None
            and known.entry.incarnation > entry.incarnation
            and known.entry.address == entry.address
        )

    def _seems_replaced(self, entry: TargetEntry) -> bool:
        """Return whether a later process is registered at a target's address, or it elsewhere.

        The entry may come from another writer, so it proves nothing.
        """
        return any(
            other.incarnation > entry.incarnation
            and (other.id == entry.id) != (other.address == entry.address)
            for other in (target.entry for target in self._view.targets.values())
        )

    async def _ask_watched(self, item: _WatchedRequest) -> None:
        """Record the watched requests of a target if it answers no more at its address."""
        fate = await self._ask(item.entry, item.health_path)
        if fate in (TargetFate.ENDED, TargetFate.REPLACED):
            self._record_watched(item.entry)

    def _record_watched(self, entry: TargetEntry) -> None:
        """Record the watched requests of a target whose process has ended."""
        self._forget_old_requests()
        ended = [item for item in self._watched if _process(item.entry) == _process(entry)]
        self._watched = [item for item in self._watched if item not in ended]
        self._record_losses(entry, [item.request for item in ended], TargetFate.REPLACED)

    def _record_losses(self, entry: TargetEntry, lost: list[LostRequest], fate: TargetFate) -> None:
        incarnation = xxh3_64_intdigest(f"{entry.id}/{entry.incarnation}".encode())
        for request in lost:
            decision(
                "crash",
                target=entry.id,
                fingerprint=f"{request.fingerprint:016x}",
                evidence=fate.value,
            )
            self._quarantine.record_loss(
                request.fingerprint, "", incarnation, self._clock.now(), request.known_losses
            )


def _process(entry: TargetEntry) -> tuple[str, int]:
    """Return what tells a process of a target from others."""
    return entry.id, entry.incarnation
