"""Helpers of the distribution tests: release notes, and rows that are written to the table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from radishshunt.model import GroupId, GroupRow, HostRef, SliceAssignment
from radishshunt.platform import Transaction
from radishshunt.platform.transactions import commit
from radishshunt.release.acceptance import submit
from radishshunt.release.note import ReleaseNote

if TYPE_CHECKING:
    from radishshunt.emulator.simulation import SimulatedHost, Simulation

SERVICE = "permits"


def first_note(targets: int = 20, name: str = "permits-{0:05d}") -> ReleaseNote:
    """Return a release note that adds all domains, the service and its targets."""
    return ReleaseNote.model_validate(
        {
            "predecessor": 0,
            "added": {
                "domains": ["akl-a", "akl-b"],
                "services": {SERVICE: {"keyed": True}},
                "targets": {
                    name.format(i): {
                        "service": SERVICE,
                        "address": f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}:9000",
                        "domain": ("akl-a", "akl-b")[i % 2],
                    }
                    for i in range(targets)
                },
            },
        }
    )


def toggle_domain_note(predecessor: int) -> ReleaseNote:
    """Return a release note that takes a domain out, or brings it back if it is out.

    :param predecessor: Version that the note follows; the domain is out after each even version.
    """
    part = "taken_out" if predecessor % 2 else "brought_back"
    return ReleaseNote.model_validate({"predecessor": predecessor, part: {"domains": ["akl-b"]}})


async def submit_note(sim: Simulation, host: SimulatedHost, note: ReleaseNote) -> None:
    """Submit a release note through a host, as the administration API does."""
    _, catalog = await submit(sim.platform, note, host.directory.catalog)
    host.sync.apply_catalog(catalog, "submitted here", note)


def row(number: int, generation: int, dispatcher: str = "host-00000") -> GroupRow:
    """Return the row of a group with one slice, which has the group's number."""
    return GroupRow(
        group=GroupId(SERVICE, number),
        generation=generation,
        dispatcher=HostRef(dispatcher, 1),
        standby_dispatcher=None,
        targets=("permits-00000", "permits-00001"),
        slices={number: SliceAssignment("permits-00000", "permits-00001")},
    )


async def write_row(sim: Simulation, new: GroupRow) -> GroupRow:
    """Write a row to the table, whatever its version there, and return it with its new version."""
    key = new.group.row_key
    version = (await sim.table.inner.read([key]))[key].version
    result = await commit(sim.table, Transaction({key: version}, {key: new.to_json()}))
    return GroupRow.from_json(new.to_json(), result.versions[key])
