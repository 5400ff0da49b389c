"""What a host knows of the catalog, the groups and their dispatchers."""

from __future__ import annotations

from array import array
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio
from xxhash import xxh3_64_intdigest

from radishshunt.hashing import slice_of
from radishshunt.release.catalog import Catalog

if TYPE_CHECKING:
    from collections.abc import Iterable

    from radishshunt.model import GroupId, GroupRow


@dataclass(frozen=True, slots=True)
class Dispatcher:
    """The host that dispatches a group.

    :param generation: Generation that it uses.
    """

    host: str
    generation: int
    load: float = 0.0


@dataclass(frozen=True, slots=True)
class Location:
    """Where a key's requests go.

    :param slice: Slice of the key, ``None`` for services without keys.
    """

    group: GroupId
    slice: int | None
    dispatcher: Dispatcher


class Directory:
    """Catalog, rows and dispatchers in force, as far as this host knows.

    Versions and generations only rise: older news is ignored.
    """

    def __init__(self) -> None:
        self.catalog = Catalog()
        self.rows: dict[GroupId, GroupRow] = {}
        # Equal on two hosts that know the same generation of every row.
        self.rows_digest = 0
        self._dispatchers: dict[GroupId, Dispatcher] = {}
        self._slice_groups: dict[str, tuple[array, list[GroupId]]] = {}
        self._changed = trio.Event()

    async def wait_changed(self) -> None:
        """Wait until the catalog, a row or a dispatcher changes."""
        await self._changed.wait()

    def update_catalog(self, catalog: Catalog) -> bool:
        """Take a catalog.

        :return: Whether it was newer than the one in force.
        """
        if catalog.version <= self.catalog.version:
            return False
        self.catalog = catalog
        gone = [group for group in self.rows if group.service not in catalog.services]
        for group in gone:
            self.rows_digest ^= _row_digest(self.rows.pop(group))
            self._dispatchers.pop(group, None)
        self._slice_groups.clear()
        self._notify()
        return True

    def update_row(self, row: GroupRow) -> bool:
        """Take a group's row.

        :return: Whether it was newer than the known one.
        """
        known = self.rows.get(row.group)
        if known is not None and known.generation >= row.generation:
            return False
        self.rows_digest ^= _row_digest(known) ^ _row_digest(row)
        self.rows[row.group] = row
        self._slice_groups.pop(row.group.service, None)
        self.update_dispatcher(row.group, Dispatcher(row.dispatcher.host, row.generation))
        self._notify()
        return True

    def update_dispatcher(self, group: GroupId, dispatcher: Dispatcher) -> None:
        """Take news of who dispatches a group."""
        known = self._dispatchers.get(group)
        if known is None or dispatcher.generation >= known.generation:
            self._dispatchers[group] = dispatcher
            if known is None or dispatcher.generation > known.generation:
                self._notify()

    def dispatcher_of(self, group: GroupId) -> Dispatcher | None:
        """Return who dispatches a group, or ``None`` if nobody is known to."""
        return self._dispatchers.get(group)

    def groups_of(self, service: str) -> list[GroupId]:
        """Return the known groups of a service, in order."""
        return sorted(group for group in self.rows if group.service == service)

    def group_of_slice(self, service: str, number: int) -> GroupId | None:
        """Return the group that a slice belongs to, or ``None`` if no known row lists it."""
        known = self._slice_groups.get(service)
        if known is None:
            known = self._slice_groups[service] = self._build_slices(service)
        indexes, groups = known
        index = indexes[number]
        return groups[index - 1] if index else None

    def locate(self, service: str, key: str) -> Location | None:
        """Return where a keyed service's key is served, or ``None`` if that is unknown."""
        number = slice_of(key, self.catalog.services[service].slices)
        group = self.group_of_slice(service, number)
        dispatcher = self.dispatcher_of(group) if group else None
        if group is None or dispatcher is None:
            return None
        return Location(group, number, dispatcher)

    def candidates(self, service: str) -> Iterable[Location]:
        """Yield every group of a service without keys."""
        for group in self.groups_of(service):
            dispatcher = self.dispatcher_of(group)
            if dispatcher is not None:
                yield Location(group, None, dispatcher)

    def _build_slices(self, service: str) -> tuple[array, list[GroupId]]:
        """Return each slice's index into a list of groups, counted from 1, with 0 for none."""
        indexes = array("I", bytes(4 * self.catalog.services[service].slices))
        # Rows of two groups can be of different age while a slice moves; the newer one wins.
        groups = sorted(self.groups_of(service), key=lambda g: self.rows[g].generation)
        for index, group in enumerate(groups, start=1):
            for number in self.rows[group].slices:
                indexes[number] = index
        return indexes, groups

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def _row_digest(row: GroupRow | None) -> int:
    return xxh3_64_intdigest(f"{row.group}/{row.generation}".encode()) if row is not None else 0
