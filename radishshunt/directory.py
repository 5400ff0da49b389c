"""Local view of the catalog, the groups and their dispatchers."""

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

    :param generation: Generation under which the host dispatches the group.
    :param load: Number of running and queued requests, divided by the slots of the group; 0 if not
        reported.
    """

    host: str
    generation: int
    load: float = 0.0


@dataclass(frozen=True, slots=True)
class Location:
    """Group and dispatcher to which a request is routed.

    :param slice: Slice of the key, ``None`` for services without keys.
    """

    group: GroupId
    slice: int | None
    dispatcher: Dispatcher


class Directory:
    """Catalog, rows and dispatchers in force, as far as this host knows.

    Versions and generations never decrease; older updates are ignored.
    """

    def __init__(self) -> None:
        self.catalog = Catalog()
        self.rows: dict[GroupId, GroupRow] = {}
        # Equal on two hosts that know the same generation of every row.
        self.rows_digest = 0
        self._dispatchers: dict[GroupId, Dispatcher] = {}
        # By service; see _index_slices.
        self._slice_indexes: dict[str, tuple[array, list[GroupId]]] = {}
        self._changed = trio.Event()

    async def wait_changed(self) -> None:
        """Wait until the catalog, a row or a dispatcher changes."""
        await self._changed.wait()

    def update_catalog(self, catalog: Catalog) -> bool:
        """Apply a catalog and drop the rows and dispatchers of services that it does not list.

        :return: Whether the catalog was newer than the one in force.
        """
        if catalog.version <= self.catalog.version:
            return False
        self.catalog = catalog
        gone = [group for group in self.rows if group.service not in catalog.services]
        for group in gone:
            self.rows_digest ^= _row_digest(self.rows.pop(group))
            self._dispatchers.pop(group, None)
        self._slice_indexes.clear()
        self._notify_changed()
        return True

    def update_row(self, row: GroupRow) -> bool:
        """Apply a group's row, and the dispatcher that it names.

        :return: Whether the row was newer than the known one.
        """
        known = self.rows.get(row.group)
        if known is not None and known.generation >= row.generation:
            return False
        self.rows_digest ^= _row_digest(known) ^ _row_digest(row)
        self.rows[row.group] = row
        self._slice_indexes.pop(row.group.service, None)
        self.update_dispatcher(row.group, Dispatcher(row.dispatcher.host, row.generation))
        self._notify_changed()
        return True

    def update_dispatcher(self, group: GroupId, dispatcher: Dispatcher) -> None:
        """Apply an update of a group's dispatcher, unless a later generation is known."""
        known = self._dispatchers.get(group)
        if known is None or dispatcher.generation >= known.generation:
            self._dispatchers[group] = dispatcher
            if known is None or dispatcher.generation > known.generation:
                self._notify_changed()

    def dispatcher_of(self, group: GroupId) -> Dispatcher | None:
        """Return the dispatcher of a group, or ``None`` if none is known."""
        return self._dispatchers.get(group)

    def groups_of(self, service: str) -> list[GroupId]:
        """Return the known groups of a service, sorted."""
        return sorted(group for group in self.rows if group.service == service)

    def group_of_slice(self, service: str, number: int) -> GroupId | None:
        """Return the group that a slice belongs to, or ``None`` if no known row lists it."""
        known = self._slice_indexes.get(service)
        if known is None:
            known = self._slice_indexes[service] = self._index_slices(service)
        indexes, groups = known
        index = indexes[number]
        return groups[index - 1] if index else None

    def locate(self, service: str, key: str) -> Location | None:
        """Return where requests for a key of a keyed service go, or ``None`` if that is unknown."""
        number = slice_of(key, self.catalog.services[service].slices)
        group = self.group_of_slice(service, number)
        dispatcher = self.dispatcher_of(group) if group else None
        if group is None or dispatcher is None:
            return None
        return Location(group, number, dispatcher)

    def unkeyed_locations(self, service: str) -> Iterable[Location]:
        """Yield the locations of all groups with a known dispatcher, for a service without keys."""
        for group in self.groups_of(service):
            dispatcher = self.dispatcher_of(group)
            if dispatcher is not None:
                yield Location(group, None, dispatcher)

    def _index_slices(self, service: str) -> tuple[array, list[GroupId]]:
        """Return an index of the slices of a service, and the list of groups that it refers to.

        The index holds the group's position for each slice, counted from 1, and 0 for no group.
        """
        indexes = array("I", bytes(4 * self.catalog.services[service].slices))
        # While a slice moves, two rows of different generations can list it; the newer one wins.
        groups = sorted(self.groups_of(service), key=lambda g: self.rows[g].generation)
        for index, group in enumerate(groups, start=1):
            for number in self.rows[group].slices:
                indexes[number] = index
        return indexes, groups

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def _row_digest(row: GroupRow | None) -> int:
    return xxh3_64_intdigest(f"{row.group}/{row.generation}".encode()) if row is not None else 0
