"""Local view of the configuration, targets and key owners, built from rows of the store."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import ProtocolError
from radishshunt.gateway.disputed_rows import DisputedRows
from radishshunt.gateway.freshness import Freshness
from radishshunt.gateway.key_maps import KEY_MAP_PART_PREFIX, KEY_MAP_PREFIX, KeyMapRows
from radishshunt.gateway.leader_row import LEADER_KEY, Leader, decode_leader
from radishshunt.gateway.rows import Change, Row, Topic, restore_count
from radishshunt.gateway.settings import Bounds
from radishshunt.gateway.view_state import Target
from radishshunt.logs import decision
from radishshunt.policy.direct.target_statements import NEVER, TargetStatements
from radishshunt.workspaces.confirmation import Confirmation

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from radishshunt.clock import Clock
    from radishshunt.gateway.key_maps import KeyIndex
    from radishshunt.gateway.model import Configuration, KeyRange, Route, TargetEntry
    from radishshunt.gateway.rows import RowReader
    from radishshunt.policy.direct.target_statements import StatedState, TargetStatement

logger = logging.getLogger(__name__)

# Targets whose entries expired during an outage of the store have registered again this long after
# its end.
REREGISTRATION_SECONDS = 2.2
# Time for which an absent target is kept. It exceeds every grant, so that the end of a former
# owner's process is still recognised.
GONE_RETENTION_SECONDS = 30.0
# After a restore of the store, its writers write again what the copy lacks, and the entries of
# targets that have left expire after three heartbeats. Until then, newer knowledge goes first.
RESTORED_ROW_HEARTBEATS = 4.0
# A gap of more than this between two answers of the store delays the settlement of its rows.
DISPUTE_GAP_SECONDS = 1.0


class View:
    """Local view of one host; its rows change only by :meth:`apply` and after a restore.

    :param heartbeat_seconds: Interval in which targets renew their entries.

    :ivar versions: Newest known version of the store by topic; 0 before the first read.
    :ivar first_versions: Version of the store up to which a topic was known first.
    :ivar changed: Set at each change, then replaced by a new event.
    """

    def __init__(self, reader: RowReader, clock: Clock, heartbeat_seconds: float = 1.0) -> None:
        self.clock = clock
        self._bounds = Bounds()
        self._restored_row_seconds = RESTORED_ROW_HEARTBEATS * heartbeat_seconds
        self.cfg: Configuration | None = None
        self.targets: dict[str, Target] = {}
        # Time until which the owners of keys in each evacuated domain are used.
        self.evacuated: dict[str, float] = {}
        self._key_map_rows = KeyMapRows()
        self.key_map_versions: dict[str, int] = {}
        self.moving: dict[str, list[tuple[int, int]]] = {}
        # Load from all hosts relative to the capacity, of the overloaded targets only.
        self.overloaded: dict[str, float] = {}
        self.leader = Leader()
        # Term that its leader has ended before its lease; never that of an unknown leader.
        self.resigned_term: str | None = None
        # Set when such a term is recorded, then replaced by a new event.
        self.resignation_recorded = trio.Event()
        self.leader_row_seen_at = clock.now()
        self.versions: dict[Topic, int] = dict.fromkeys(Topic, 0)
        self.first_versions: dict[Topic, int] = dict.fromkeys(Topic, 0)
        # Version and time of the removal of each row that was removed recently.
        self._removals: dict[Topic, dict[str, tuple[int, float]]] = {topic: {} for topic in Topic}
        # Version since which no removal has been forgotten.
        self._removals_since: dict[Topic, int] = dict.fromkeys(Topic, 0)
        # Rows of a restored store that contradict what this host knew before, by key.
        self._disputed_rows = DisputedRows(clock)
        self.rows: dict[Topic, dict[str, Row]] = {topic: {} for topic in Topic}
        self.changed = trio.Event()
        # Called with each applied change, or with ``None`` when anything but rows changed.
        self.listeners: list[Callable[[Change | None], None]] = []
        self._reader = reader
        self._by_service: dict[str, list[Target]] = {}
        self._routes: dict[str, list[Route]] = {}
        self.freshness = Freshness(clock)
        self.confirmation = Confirmation()
        self.statements = TargetStatements()

    def update_bounds(self, bounds: Bounds) -> None:
        """Apply changed bounds."""
        self._bounds = bounds

    @property
    def key_maps(self) -> dict[str, KeyIndex]:
        """Index of the key map of each service."""
        return self._key_map_rows.indexes

    @property
    def uncertain_key_maps(self) -> set[str]:
        """Services whose targets may hold keys by a newer key map that was lost."""
        return self._key_map_rows.uncertain

    @property
    def complete(self) -> bool:
        """Whether every topic has been read and a configuration is known."""
        return self.cfg is not None and all(self.versions.values())

    def record_store_answer(self, age: float = 0.0) -> None:
        """Record an answer of the store, direct or through a host that follows it.

        :param age: Seconds since the answer.
        """
        gap = self.freshness.record_store_answer(age)
        if gap > DISPUTE_GAP_SECONDS:
            self._disputed_rows.delay(gap - DISPUTE_GAP_SECONDS)

    def apply(self, change: Change) -> None:
        """Apply changed rows; versions of a row that are not newer are ignored.

        :raises ProtocolError: If a row is a delta that has not been decoded.
        """
        if any(row.base for row in change.rows):
            raise ProtocolError(f"change of topic {change.topic.value} contains a delta")
        topic = change.topic
        applied = change.rows
        if change.whole:
            if change.version < self.versions[topic]:
                return
            if not self.versions[topic]:
                self._removals_since[topic] = change.version
            applied = self._remove_missing_rows(change) + applied
        applied = tuple(row for row in applied if self._apply_if_newer(topic, row))
        if change.version > self.versions[topic] or change.rows:
            known_version = self.versions[topic]
            restored = known_version and restore_count(change.version) > restore_count(
                known_version
            )
            self.versions[topic] = max(self.versions[topic], change.version)
            self.first_versions[topic] = self.first_versions[topic] or change.version
            if restored:
                # Other hosts have the same knowledge, so they need only what was applied here.
                change = Change(topic, applied, change.version, whole=False)
            self._notify(change)

    def _remove_missing_rows(self, change: Change) -> tuple[Row, ...]:
        """Return removals for the known rows that a complete read lacks.

        The router does not remove its own rows, so a missing one was lost when the store was
        restored.
        """
        if change.topic is Topic.OWN:
            return ()
        present = {row.key for row in change.rows}
        removed = []
        for key, row in self.rows[change.topic].items():
            if key in present:
                continue
            if restore_count(change.version) > restore_count(row.version):
                missing_target = change.topic is Topic.TARGETS
                seconds = REREGISTRATION_SECONDS if missing_target else self._restored_row_seconds
                self._disputed_rows.add(change.topic, key, None, change.version, seconds)
            else:
                removed.append(Row(key, change.version, None))
        return tuple(removed)

    def _apply_if_newer(self, topic: Topic, row: Row) -> bool:
        """Apply a row, and return whether it was newer than what is known."""
        known = self.rows[topic].get(row.key)
        removed_version = self._removals[topic].get(row.key, (0, 0.0))[0]
        known_version = max(known.version if known is not None else 0, removed_version)
        if known_version >= row.version:
            # Also an older row than one that was removed, from a source that lags behind.
            return False
        if (
            row.value is not None
            and known_version
            and restore_count(known_version) < restore_count(row.version)
            and self._contradicts_newer_knowledge(topic, row)
        ):
            self._disputed_rows.add(topic, row.key, row, row.version, self._restored_row_seconds)
            return False
        self._disputed_rows.discard(topic, row.key)
        return self._apply_newer(topic, row)

    def _apply_newer(self, topic: Topic, row: Row) -> bool:
        """Apply a row that is newer than the known one, and return whether it was recorded."""
        known_rows, removals = self.rows[topic], self._removals[topic]
        if row.value is None:
            known_rows.pop(row.key, None)
            removals[row.key] = (row.version, self.clock.now())
            self._apply_removal(topic, row)
            return True
        if not self._apply_row(topic, row):
            return False
        removals.pop(row.key, None)
        known_rows[row.key] = row
        return True

    def _contradicts_newer_knowledge(self, topic: Topic, row: Row) -> bool:
        """Return whether a row of a restored store is older than what this host knew before."""
        if topic is not Topic.TARGETS:
            # The row of an evacuation that had ended.
            return topic is Topic.OPERATOR and row.key not in self.rows[topic]
        known = self.targets.get(row.key)
        if known is None:
            return False
        try:
            entry = self._reader.target(row.key, row.value or b"")
        except ProtocolError:
            return False
        position = (entry.incarnation, entry.sequence)
        known_position = (known.entry.incarnation, known.entry.sequence)
        return position <= known_position if known.gone else position < known_position

    def settle_disputed_rows(self) -> None:
        """Apply rows of a restored store that nobody has written again in time."""
        for topic, key, row in self._disputed_rows.take_due(self.freshness.store_answered_at):
            version = self.versions[topic]
            decision("row-settled", topic=topic.value, key=key, exists=row is not None)
            if row is None:
                settled = Row(key, version, None)
            else:
                # Hosts may have been told that the row was removed.
                settled = replace(row, version=max(version, row.version + 2))
            if self._apply_newer(topic, settled):
                self._notify(Change(topic, (settled,), 0, whole=False))

    def changes_since(self, versions: Mapping[Topic, int]) -> tuple[Change, ...]:
        """Return what a host lacks that has all rows up to the given versions.

        :param versions: Version by topic; a topic without one is returned whole.
        """
        changes = []
        for topic, version in self.versions.items():
            known = versions.get(topic, 0)
            if not version:
                continue
            if not known or known < self._removals_since[topic]:
                rows = tuple(self.rows[topic].values())
                changes.append(Change(topic, rows, version, whole=True))
                continue
            rows = tuple(row for row in self.rows[topic].values() if row.version > known)
            rows += tuple(
                Row(key, removed_at, None)
                for key, (removed_at, _) in self._removals[topic].items()
                if removed_at > known
            )
            # A host that has started since a restore of the store knows only the copy.
            rows += tuple(
                Row(row.key, row.version + 1, None) for row in self._disputed_rows.rows(topic)
            )
            if topic is not Topic.OWN and restore_count(known) == restore_count(version):
                rows += tuple(
                    replace(row, version=version)
                    for row in self.rows[topic].values()
                    if restore_count(row.version) < restore_count(version)
                )
            if rows or known < version:
                changes.append(Change(topic, rows, version, whole=False))
        return tuple(changes)

    def forget_removed(self) -> None:
        """Forget targets and rows that were removed :data:`GONE_RETENTION_SECONDS` ago."""
        gone_before = self.clock.now() - GONE_RETENTION_SECONDS
        for topic, removals in self._removals.items():
            for key, (version, removed_at) in list(removals.items()):
                if removed_at < gone_before:
                    del removals[key]
                    self._removals_since[topic] = max(self._removals_since[topic], version)
        gone = [
            key
            for key, target in self.targets.items()
            if target.gone and (target.leaving_since or 0.0) < gone_before
        ]
        for key in gone:
            del self.targets[key]
        if gone:
            self._index_services()
        processes = {(t.entry.id, t.entry.incarnation) for t in self.targets.values()}
        self.statements.forget_old(processes, self.clock.now())

    def record_statements(self, statements: Iterable[TargetStatement], *, own: bool) -> None:
        """Record what targets have stated about themselves.

        :param own: Whether they stated it to this host, in contrast to another one.
        """
        changed = False
        for statement in statements:
            if not self.statements.record(statement, self.clock.now(), own=own):
                continue
            changed = True
            decision(
                "target-statement",
                target=statement.target,
                leaving=statement.leaving_age != NEVER,
                cold_seconds=statement.cold_seconds,
                own=own,
            )
            target = self.targets.get(statement.target)
            if target is not None:
                target.apply_stated(self._stated(target.entry))
        if changed:
            self._notify(None)

    def _stated(self, entry: TargetEntry) -> StatedState | None:
        return self.statements.state(entry.id, entry.incarnation)

    def record_resignation(self, term: str) -> None:
        """Record that a leader has ended its term before its lease."""
        if term and term != self.resigned_term:
            self.resigned_term = term
            decision("leader-resigned", leader=self.leader.host, term=term)
            self.resignation_recorded.set()
            self.resignation_recorded = trio.Event()

    def set_moving(self, moving: dict[str, list[tuple[int, int]]]) -> None:
        """Set the ranges of keys that the leader is moving, by service."""
        if moving != self.moving:
            self.moving = moving
            self._notify(None)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest match for the path."""
        for route in self._routes.get(host.partition(":")[0].lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_key_range(self, service: str, key: int) -> KeyRange | None:
        """Return the range that contains a key, or ``None`` if no key map is known."""
        index = self.key_maps.get(service)
        return index.find(key) if index is not None else None

    def is_moving(self, service: str, key: int) -> bool:
        """Return whether the leader is moving the key to another owner."""
        return any(first <= key <= last for first, last in self.moving.get(service, ()))

    def targets_of(self, service: str) -> list[Target]:
        """Return all known targets of a service."""
        return self._by_service.get(service, [])

    def may_use(self, target: Target, *, owner: bool) -> bool:
        """Return whether new requests may go to a target.

        :param owner: Whether the target owns the request's key, so that no other target can serve
            the request.
        """
        now = self.clock.now()
        if target.leaving_since is not None:
            used_until = target.leaving_since + self._bounds.leaving_use_seconds
            if target.gone and target.expired_in_outage:
                return now < min(
                    self.freshness.outage_ended_at + REREGISTRATION_SECONDS, used_until
                )
            return owner and not target.gone and now < used_until
        evacuated_until = self.evacuated.get(target.entry.domain)
        return evacuated_until is None or (owner and now < evacuated_until)

    def is_cold(self, target: Target) -> bool:
        """Return whether a target is cold."""
        return self.clock.now() < target.cold_until

    def _notify(self, change: Change | None) -> None:
        self.changed.set()
        self.changed = trio.Event()
        for listener in self.listeners:
            listener(change)

    def _apply_row(self, topic: Topic, row: Row) -> bool:
        """Apply a row that exists.

        :return: Whether the row is to be recorded.
        """
        try:
            if topic is Topic.OPERATOR:
                return self._apply_operator_row(row)
            if topic is Topic.TARGETS:
                entry = self._reader.target(row.key, row.value or b"")
                self._apply_target_entry(entry, self._changed_after(topic, row))
            else:
                self._apply_own_row(row)
        except ProtocolError as exc:
            logger.warning("ignoring row %s of topic %s: %s", row.key, topic.value, exc)
            if topic is Topic.TARGETS:
                self._apply_removal(topic, row)
            # Only a copy of an own row can be malformed, so that the row itself is still unknown.
            return topic is not Topic.OWN
        return True

    def _apply_operator_row(self, row: Row) -> bool:
        """Apply a row of the operators, and return whether it is to be recorded."""
        domain = self._reader.evacuated_domain(row.key)
        if domain is not None:
            used_until = min(
                self.clock.now() + self._bounds.leaving_use_seconds,
                self._changed_after(Topic.OPERATOR, row) + self._bounds.evacuated_use_seconds,
            )
            self.evacuated.setdefault(domain, used_until)
            decision("evacuate", domain=domain, version=row.version)
        elif self._reader.is_configuration(row.key):
            cfg = self.confirmation.read_configuration(self._reader, row, self.cfg)
            if self.cfg is not None and cfg.version <= self.cfg.version:
                # A restored store may have an older one until the operators write theirs again.
                return cfg.version == self.cfg.version
            self.cfg = cfg
            routes: dict[str, list[Route]] = {}
            for route in sorted(cfg.routes, key=lambda r: -len(r.prefix)):
                routes.setdefault(route.host, []).append(route)
            self._routes = routes
            decision("configuration", version=cfg.version, routes=len(cfg.routes))
        return True

    def _apply_target_entry(self, entry: TargetEntry, changed_after: float) -> None:
        now = self.clock.now()
        old = self.targets.get(entry.id)
        if old is not None and old.entry == entry and not old.gone:
            return
        target = Target(entry, now + entry.cold_seconds if entry.cold_seconds else now)
        if old is not None and old.entry.incarnation == entry.incarnation and not old.gone:
            target.leaving_since = old.leaving_since if entry.draining else None
        if entry.draining and target.leaving_since is None:
            target.leaving_since = changed_after
        target.apply_stated(self._stated(entry))
        self.targets[entry.id] = target
        self._index_services()
        decision(
            "target",
            target=entry.id,
            service=entry.service,
            draining=entry.draining,
            cold_seconds=entry.cold_seconds,
        )

    def _apply_own_row(self, row: Row) -> None:
        if row.key == LEADER_KEY:
            self.leader = decode_leader(row.value or b"", row.version)
            self.leader_row_seen_at = self.clock.now()
        elif row.key.startswith(KEY_MAP_PREFIX):
            service = row.key[len(KEY_MAP_PREFIX) :]
            self._key_map_rows.apply_index_row(service, row.value or b"")
            self.key_map_versions[service] = row.version
        elif row.key.startswith(KEY_MAP_PART_PREFIX):
            self._key_map_rows.apply_part_row(row.key[len(KEY_MAP_PART_PREFIX) :], row.value or b"")

    def _apply_removal(self, topic: Topic, row: Row) -> None:
        key = row.key
        if topic is Topic.OPERATOR:
            domain = self._reader.evacuated_domain(key)
            if domain is not None and self.evacuated.pop(domain, None) is not None:
                decision("evacuate-end", domain=domain)
            self.confirmation.suspended |= self._reader.is_configuration(key)
        elif topic is Topic.TARGETS:
            target = self.targets.get(key)
            if target is not None and not target.gone:
                now = self.clock.now()
                target.gone = True
                target.expired_in_outage = (
                    now - self.freshness.outage_ended_at < REREGISTRATION_SECONDS
                )
                if target.leaving_since is None:
                    expired = target.expired_in_outage
                    target.leaving_since = now if expired else self._changed_after(topic, row)
                decision("target-gone", target=key, lapsed=target.expired_in_outage)

    def _changed_after(self, topic: Topic, row: Row) -> float:
        """Return a time on the host's clock before which a row did not have its state.

        A source that did not see the change itself states none; this host knew all earlier ones.
        """
        if row.changed_after > float("-inf"):
            return min(self.clock.now(), row.changed_after)
        return self.freshness.complete_until(topic)

    def _index_services(self) -> None:
        by_service: dict[str, list[Target]] = {}
        for target in self.targets.values():
            by_service.setdefault(target.entry.service, []).append(target)
        self._by_service = by_service
