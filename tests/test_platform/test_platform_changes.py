"""Reading the changed rows of groups."""

from __future__ import annotations

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from radishshunt.emulator.simulation import SimulatedTable
from radishshunt.errors import PlatformUnavailable
from radishshunt.platform import Transaction
from radishshunt.platform.changes import ChangeReader
from radishshunt.platform.transactions import commit


async def write(table: SimulatedTable, *numbers: int) -> None:
    """Write the rows of groups in one transaction."""
    await commit(table, Transaction({}, {f"group/permits/{n}": b"%d" % n for n in numbers}))


@settings(max_examples=60, deadline=None)
@given(rounds=st.lists(st.lists(st.lists(st.integers(0, 200), max_size=4), max_size=6), max_size=6))
def test_reader_misses_no_change_of_a_known_row(rounds: list[list[list[int]]]) -> None:
    """Guards against an outdated row whose change marker another change has overwritten."""

    async def run() -> None:
        table = SimulatedTable()
        await write(table, *range(201))
        known: dict[str, int] = {}
        reader = ChangeReader(table, lambda: known)
        for transactions in rounds:
            found = await reader.read([])
            known.update({key: row.version for key, row in found.groups.items()})
            for numbers in transactions:
                await write(table, *numbers)
        found = await reader.read([])
        known.update({key: row.version for key, row in found.groups.items()})
        rows = await table.inner.scan("group/")
        assert known == {key: row.version for key, row in rows.items()}

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


async def test_reader_needs_one_read_and_three_more_for_a_change(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against reading thousands of rows per second to find one change."""
    table = SimulatedTable()
    await write(table, *range(1000))
    rows = await table.inner.scan("group/")
    reader = ChangeReader(table, lambda: rows)
    assert (await reader.read(["release/current"])).complete
    table.reads = table.rows_read = table.scans = 0
    found = await reader.read(["release/current"])
    assert (found.groups, table.reads, table.rows_read) == ({}, 1, 2)
    await write(table, 7)
    found = await reader.read(["release/current"])
    assert set(found.groups) == {"group/permits/7"}
    assert (table.reads, table.rows_read, table.scans) == (4, 2 + 2 + 64 + 1, 0)


async def test_new_row_is_found(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against missing a new group because the reader does not know its key yet."""
    table = SimulatedTable()
    reader = ChangeReader(table, lambda: [])
    await reader.read([])
    await write(table, 1, 2, 3)
    assert len((await reader.read([])).groups) == 3


async def test_failed_read_is_repeated(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a change that is missed because reading it failed once."""
    table = SimulatedTable()
    await write(table, 1)
    reader = ChangeReader(table, lambda: ["group/permits/1"])
    await reader.read([])
    await write(table, 1)
    original = table.read
    read_calls = 0

    async def read(keys):
        nonlocal read_calls
        read_calls += 1
        if read_calls == 3:
            table.down = True
        return await original(keys)

    table.read = read  # type: ignore[method-assign]
    with pytest.raises(PlatformUnavailable):
        await reader.read([])
    table.down = False
    assert set((await reader.read([])).groups) == {"group/permits/1"}
