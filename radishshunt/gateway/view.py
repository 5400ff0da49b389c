"""What a host believes of configuration, targets and owners, from rows of the store."""

from __future__ import annotations

import json
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import ProtocolError
from radishshunt.gateway.key_maps import KEY_MAP_PREFIX, KeyIndex, decode_key_map
from radishshunt.gateway.rows import Topic
from radishshunt.logs import decision

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.clock import Clock
    from radishshunt.gateway.model import Configuration, KeyRange, Route, TargetEntry
    from radishshunt.gateway.rows import Change, Row, RowReader

logger = logging.getLogger(__name__)

LEADER_KEY = "leader"
# Entries that expired during an outage of the store are back this long after its return.
ENTRY_RETURN_SECONDS = 2.2
# A target that left is used for at most this long, under the 2 s that operators demand.
LEAVING_USE_SECONDS = 1.6
# Longer than any grant, so that the end of a former owner is still recognised.
FORGET_SECONDS = 30.0
# Time since the last answer of the store after which it counts as having been away.
STORE_AWAY_SECONDS = 2.5


@dataclass(slots=True)
class Target:
    """A target and what is believed of it.

    :param cold_until: Moment on the host's clock until which it is cold.
    :param leaving_since: Moment at which it was seen draining or gone, or ``None``.
    :param gone: Whether its entry is absent.
    """

    entry: TargetEntry
    cold_until: float
    leaving_since: float | None = None
    gone: bool = False
    lapsed: bool = False


@dataclass(frozen=True, slots=True)
class Leader:
    """The host that orders keys, as its row says.

    :param term: Random text of one term.
    :param address: Address of its inner port.
    """

    host: str = ""
    address: str = ""
    term: str = ""
    version: int = 0


class View:
    """Beliefs of one host; changed only by :meth:`apply`.

    :ivar versions: Newest version of the store by topic; 0 before the first read.
    :ivar changed: Set and replaced at each change.
    """

    def __init__(self, reader: RowReader, clock: Clock) -> None:
        self.clock = clock
        self.cfg: Configuration | None = None
        self.targets: dict[str, Target] = {}
        self.evacuated: dict[str, float] = {}
        self.key_maps: dict[str, KeyIndex] = {}
        self.key_map_versions: dict[str, int] = {}
        self.moving: dict[str, list[tuple[int, int]]] = {}
        # Load of all hosts relative to the capacity, of the targets where it is too much.
        self.overloaded: dict[str, float] = {}
        self.leader = Leader()
        self.leader_seen_at = clock.now()
        self.versions: dict[Topic, int] = dict.fromkeys(Topic, 0)
        self.rows: dict[Topic, dict[str, Row]] = {topic: {} for topic in Topic}
        self.changed = trio.Event()
        # Called with each change that was taken, or ``None`` for moves that began or ended.
        self.listeners: list[Callable[[Change | None], None]] = []
        self._reader = reader
        self._by_service: dict[str, list[Target]] = {}
        self._routes: dict[str, list[Route]] = {}
        self._followed_at = dict.fromkeys(Topic, float("-inf"))
        self._store_back_at = float("-inf")
        self._store_seen_at = clock.now()

    @property
    def complete(self) -> bool:
        """Whether every topic was read once and there is a configuration."""
        return self.cfg is not None and all(self.versions.values())

    def store_answered(self) -> None:
        """Take that the store, or a host that follows it, has answered."""
        now = self.clock.now()
        if now - self._store_seen_at > STORE_AWAY_SECONDS:
            self._store_back_at = now
        self._store_seen_at = now

    @property
    def store_age(self) -> float:
        """Seconds since the store answered, directly or through another host."""
        return self.clock.now() - self._store_seen_at

    def followed(self, topic: Topic) -> None:
        """Take that this host knows all changes of a topic from the store."""
        self._followed_at[topic] = self.clock.now()

    @property
    def followed_age(self) -> float:
        """Seconds since all changes by operators and targets were known."""
        oldest = min(self._followed_at[Topic.OPERATOR], self._followed_at[Topic.TARGETS])
        return self.clock.now() - oldest

    def apply(self, change: Change) -> None:
        """Take changed rows; older versions of a row are ignored."""
        known = self.rows[change.topic]
        if change.whole:
            if change.version < self.versions[change.topic]:
                return
            present = {row.key for row in change.rows}
            for key in [key for key in known if key not in present]:
                del known[key]
                self._remove(change.topic, key)
        for row in change.rows:
            old = known.get(row.key)
            if old is not None and old.version >= row.version:
                continue
            if row.value is None:
                if old is not None:
                    del known[row.key]
                self._remove(change.topic, row.key)
            else:
                known[row.key] = row
                self._put(change.topic, row)
        if change.version > self.versions[change.topic] or change.rows:
            self.versions[change.topic] = max(self.versions[change.topic], change.version)
            self._notify(change)

    def forget_gone(self) -> None:
        """Forget targets whose entries have been absent for :data:`FORGET_SECONDS`."""
        limit = self.clock.now() - FORGET_SECONDS
        gone = [
            key
            for key, target in self.targets.items()
            if target.gone and (target.leaving_since or 0.0) < limit
        ]
        for key in gone:
            del self.targets[key]
        if gone:
            self._index()

    def set_moving(self, moving: dict[str, list[tuple[int, int]]]) -> None:
        """Take which keys the leader is moving."""
        if moving != self.moving:
            self.moving = moving
            self._notify(None)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        for route in self._routes.get(host.partition(":")[0].lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def owner(self, service: str, key: int) -> KeyRange | None:
        """Return the range of a key, or ``None`` if no key map is known."""
        index = self.key_maps.get(service)
        return index.find(key) if index is not None else None

    def is_moving(self, service: str, key: int) -> bool:
        """Return whether the leader is taking the key from its owner."""
        return any(first <= key <= last for first, last in self.moving.get(service, ()))

    def targets_of(self, service: str) -> list[Target]:
        """Return all known targets of a service."""
        return self._by_service.get(service, [])

    def may_use(self, target: Target, *, owner: bool) -> bool:
        """Return whether new requests may go to a target.

        :param owner: Whether it holds the request's key, so that nobody else can serve it.
        """
        now = self.clock.now()
        if target.leaving_since is not None:
            if target.gone and target.lapsed:
                return now < min(
                    self._store_back_at + ENTRY_RETURN_SECONDS,
                    target.leaving_since + LEAVING_USE_SECONDS,
                )
            return owner and not target.gone and now < target.leaving_since + LEAVING_USE_SECONDS
        since = self.evacuated.get(target.entry.domain)
        return since is None or (owner and now < since + LEAVING_USE_SECONDS)

    def is_cold(self, target: Target) -> bool:
        """Return whether a target is cold."""
        return self.clock.now() < target.cold_until

    def _notify(self, change: Change | None) -> None:
        self.changed.set()
        self.changed = trio.Event()
        for listener in self.listeners:
            listener(change)

    def _put(self, topic: Topic, row: Row) -> None:
        try:
            if topic is Topic.OPERATOR:
                self._put_operator(row)
            elif topic is Topic.TARGETS:
                self._put_target(self._reader.target(row.key, row.value or b""))
            else:
                self._put_own(row)
        except ProtocolError as exc:
            logger.warning("row %s of %s is ignored: %s", row.key, topic.value, exc)
            if topic is Topic.TARGETS:
                self._remove(topic, row.key)

    def _put_operator(self, row: Row) -> None:
        domain = self._reader.evacuated_domain(row.key)
        if domain is not None:
            self.evacuated.setdefault(domain, self.clock.now())
            decision("evacuate", domain=domain, version=row.version)
        elif self._reader.is_configuration(row.key):
            cfg = self._reader.configuration(row.value or b"")
            if self.cfg is not None and cfg.version <= self.cfg.version:
                return
            self.cfg = cfg
            routes: dict[str, list[Route]] = {}
            for route in sorted(cfg.routes, key=lambda r: -len(r.prefix)):
                routes.setdefault(route.host, []).append(route)
            self._routes = routes
            decision("configuration", version=cfg.version, routes=len(cfg.routes))

    def _put_target(self, entry: TargetEntry) -> None:
        now = self.clock.now()
        old = self.targets.get(entry.id)
        target = Target(entry, now + entry.cold_seconds if entry.cold_seconds else now)
        if old is not None and old.entry.life == entry.life and not old.gone:
            target.leaving_since = old.leaving_since if entry.draining else None
        if entry.draining and target.leaving_since is None:
            target.leaving_since = now
        self.targets[entry.id] = target
        self._index()
        decision(
            "target",
            target=entry.id,
            service=entry.service,
            draining=entry.draining,
            cold_seconds=entry.cold_seconds,
        )

    def _put_own(self, row: Row) -> None:
        if row.key == LEADER_KEY:
            try:
                doc = json.loads(row.value or b"{}")
                self.leader = Leader(doc["host"], doc["address"], doc["term"], row.version)
            except (ValueError, KeyError, TypeError) as exc:
                raise ProtocolError(f"leader: {exc!r}") from exc
            self.leader_seen_at = self.clock.now()
        elif row.key.startswith(KEY_MAP_PREFIX):
            service = row.key[len(KEY_MAP_PREFIX) :]
            self.key_maps[service] = KeyIndex(decode_key_map(row.value or b""))
            self.key_map_versions[service] = row.version

    def _remove(self, topic: Topic, key: str) -> None:
        if topic is Topic.OPERATOR:
            domain = self._reader.evacuated_domain(key)
            if domain is not None and self.evacuated.pop(domain, None) is not None:
                decision("evacuate-end", domain=domain)
        elif topic is Topic.TARGETS:
            target = self.targets.get(key)
            if target is not None and not target.gone:
                now = self.clock.now()
                target.gone = True
                target.lapsed = now - self._store_back_at < ENTRY_RETURN_SECONDS
                if target.leaving_since is None:
                    target.leaving_since = now
                decision("target-gone", target=key, lapsed=target.lapsed)

    def _index(self) -> None:
        by_service: dict[str, list[Target]] = {}
        for target in self.targets.values():
            by_service.setdefault(target.entry.service, []).append(target)
        self._by_service = by_service
