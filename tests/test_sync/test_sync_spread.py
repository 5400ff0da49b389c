"""Distribution of releases and rows to every host, in simulated time."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from radishshunt.clock import TrioClock
from radishshunt.directory import Dispatcher
from radishshunt.emulator.simulation import Simulation
from radishshunt.platform import Transaction
from radishshunt.platform.transactions import commit
from radishshunt.release.acceptance import load_catalog
from tests.test_sync.helpers import first_note, row, submit_note, toggle_domain_note, write_row

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

IN_FORCE_SECONDS = 3.0


@asynccontextmanager
async def running(hosts: int, domains: int = 3) -> AsyncIterator[Simulation]:
    """Run a simulation in which the first release is in force on every host."""
    sim = Simulation(hosts, domains, TrioClock())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sim.run)
        await trio.sleep(3.0)
        await submit_note(sim, next(iter(sim.hosts.values())), first_note())
        with trio.fail_after(IN_FORCE_SECONDS):
            await sim.wait_for_version(1)
        await trio.sleep(3.0)
        sim.nursery = nursery  # type: ignore[attr-defined]
        yield sim
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(("hosts", "domains"), [(2, 1), (11, 4), (60, 6)])
async def test_note_is_in_force_on_every_host_in_time(
    hosts: int, domains: int, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against new work for a domain more than 3 s after it was taken out."""
    async with running(hosts, domains) as sim:
        for version in range(1, 4):
            submitter = sim.hosts[f"host-{version % hosts:05d}"]
            await submit_note(sim, submitter, toggle_domain_note(version))
            with trio.fail_after(IN_FORCE_SECONDS):
                await sim.wait_for_version(version + 1)


@pytest.mark.parametrize("hosts", [11, 40])
async def test_submitter_that_dies_after_acceptance_does_not_delay_the_note(
    hosts: int, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against an accepted note that spreads only from its submitter, which has died."""
    async with running(hosts) as sim:
        sim.kill_host("host-00004")
        await submit_note(sim, sim.hosts["host-00004"], toggle_domain_note(1))
        others = [name for name in sim.hosts if name != "host-00004"]
        with trio.fail_after(IN_FORCE_SECONDS):
            await sim.wait_for_version(2, others)


@pytest.mark.parametrize("hosts", [5, 40])
async def test_cut_off_host_stops_and_catches_up(
    hosts: int, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against new work from a cut-off host, which cannot learn of a newer release note."""
    async with running(hosts) as sim:
        host = sim.hosts["host-00002"]
        sim.fabric.isolate(host.me.host)
        sim.table.cut_off_hosts.add(host.me.host)
        await trio.sleep(0.5)
        await submit_note(sim, sim.hosts["host-00000"], toggle_domain_note(1))
        await trio.sleep(IN_FORCE_SECONDS - 0.5)
        assert host.version == 1
        assert not host.contact.may_send_new_work(host.clock.now())
        others = [h for h in sim.hosts.values() if h is not host]
        assert all(h.contact.may_send_new_work(h.clock.now()) for h in others)
        sim.fabric.reconnect(host.me.host)
        with trio.fail_after(IN_FORCE_SECONDS):
            while not host.contact.may_send_new_work(host.clock.now()):
                assert host.version == 1 or host.directory.catalog.version == 2
                await trio.sleep(0.01)
        # New work is sent again only once the note that was accepted in the meantime is in force.
        assert host.version == 2


async def test_paused_host_does_not_send_before_it_learns_of_the_note(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against new work from a resumed host under an outdated release.

    Messages that waited in buffers during its pause must not count as recent contact.
    """
    async with running(5) as sim:
        host = sim.hosts["host-00003"]
        sim.fabric.pause(host.me.host)
        sim.table.cut_off_hosts.add(host.me.host)
        await trio.sleep(0.1)
        await submit_note(sim, sim.hosts["host-00000"], toggle_domain_note(1))
        await trio.sleep(20.0)
        sim.fabric.resume(host.me.host)
        resumed_at = trio.current_time()
        while host.version == 1:
            assert not host.contact.may_send_new_work(host.clock.now())
            await trio.sleep(0.0005)
        assert trio.current_time() - resumed_at < IN_FORCE_SECONDS


@pytest.mark.parametrize("hosts", [5, 40])
async def test_replaced_host_starts_from_peers_while_the_platform_is_down(
    hosts: int, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a replacement host that cannot start during an outage of the platform."""
    async with running(hosts) as sim:
        for number in range(5):
            written = await write_row(sim, row(number, 2))
            await sim.hosts["host-00000"].sync.announce_row(written)
        await trio.sleep(1.0)
        sim.table.down = True
        sim.kill_host("host-00001")
        await trio.sleep(5.0)
        seeds = [sim.hosts["host-00001"].me.address, sim.hosts["host-00002"].me.address]
        new = sim.add_host("host-00001", "domain-01", incarnation=99, seeds=seeds)
        sim.nursery.start_soon(new.run)  # type: ignore[attr-defined]
        with trio.fail_after(IN_FORCE_SECONDS):
            while not (new.sync.loaded and new.version):
                await trio.sleep(0.01)
        assert len(new.directory.rows) == 5
        assert new.contact.may_send_new_work(new.clock.now())
        # The other hosts learn the new incarnation, which planning needs.
        await trio.sleep(8.0)
        for host in sim.hosts.values():
            live = {info.host: info.incarnation for info in host.membership.live_hosts()}
            assert live.get("host-00001") == 99, host.me.host


async def test_host_with_neither_peers_nor_platform_is_not_loaded(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a host that reports ready although it has read no rows."""
    sim = Simulation(3, 1, TrioClock())
    sim.table.down = True
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sim.hosts["host-00000"].run)
        await trio.sleep(30.0)
        assert not sim.hosts["host-00000"].sync.loaded
        nursery.cancel_scope.cancel()


async def test_catalog_larger_than_a_frame_reaches_a_new_host(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a catalog that cannot be sent because it exceeds the largest frame."""
    # The names hardly compress, so that even the compressed catalog is larger than a frame.
    from hashlib import sha256

    import radishshunt.sync

    monkeypatch.setattr(radishshunt.sync, "PART_BYTES", 1 << 40)  # no threads in simulated time
    note = first_note(2)
    entry = next(iter(note.added.targets.values()))
    names = [sha256(str(i).encode()).hexdigest()[:60] for i in range(30_000)]
    targets = {
        name: entry.model_copy(update={"address": f"10.9.{i >> 8}.{i & 255}:9000"})
        for i, name in enumerate(names)
    }
    added = note.added.model_copy(update={"targets": targets})
    sim = Simulation(3, 1, TrioClock())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sim.run)
        await trio.sleep(3.0)
        await submit_note(sim, sim.hosts["host-00000"], note.model_copy(update={"added": added}))
        sim.table.down = True
        with trio.fail_after(IN_FORCE_SECONDS):
            await sim.wait_for_version(1)
        sent = sim.fabric.traffic["host-00000"].sent_bytes
        assert sent > 2 * 1024 * 1024
        assert len(sim.hosts["host-00002"].directory.catalog.targets) == 30_000
        nursery.cancel_scope.cancel()


async def test_host_that_is_behind_fetches_notes_and_not_the_catalog(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against the whole catalog, of 3 MB, being sent to every host for each release note.

    At 14,000 notes a day, hosts have to fetch only the notes that they lack.
    """
    async with running(11) as sim:
        before = sum(traffic.sent_bytes for traffic in sim.fabric.traffic.values())
        started_at = trio.current_time()
        await trio.sleep(1.0)
        idle = sum(traffic.sent_bytes for traffic in sim.fabric.traffic.values()) - before
        for version in range(1, 6):
            await submit_note(sim, sim.hosts["host-00000"], toggle_domain_note(version))
        with trio.fail_after(IN_FORCE_SECONDS):
            await sim.wait_for_version(6)
        total = sum(traffic.sent_bytes for traffic in sim.fabric.traffic.values()) - before
        extra = total - idle * (trio.current_time() - started_at)
        catalog = len(sim.hosts["host-00000"].directory.catalog.to_json())
        assert extra < 10 * catalog


async def test_messages_of_a_release_are_bounded_by_the_number_of_peers(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a release whose messages grow with the square of the number of hosts."""
    async with running(60, 6) as sim:
        for traffic in sim.fabric.traffic.values():
            traffic.messages_by_kind.clear()
        await submit_note(sim, sim.hosts["host-00007"], toggle_domain_note(1))
        await sim.wait_for_version(2)
        await trio.sleep(5.0)
        for name, traffic in sim.fabric.traffic.items():
            peers = len(sim.hosts[name].members.peers)
            assert peers <= 8
            assert traffic.messages_by_kind["Announce"] <= peers
            assert traffic.messages_by_kind["Document"] <= peers


@pytest.mark.parametrize("hosts", [11, 40])
async def test_rows_reach_every_host(hosts: int, autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a host that misses a row and keeps forwarding to a former dispatcher."""
    async with running(hosts) as sim:
        # The writer of one row announces it; the other row is only written, as if its writer died.
        written = await write_row(sim, row(0, 4))
        await sim.hosts["host-00003"].sync.announce_row(written)
        await write_row(sim, row(1, 6))
        await trio.sleep(IN_FORCE_SECONDS)
        for host in sim.hosts.values():
            rows = {r.group.group: r.generation for r in host.directory.rows.values()}
            assert rows == {0: 4, 1: 6}, host.me.host


async def test_rows_reach_hosts_below_a_lost_one(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against hosts that receive no rows because their parent in the tree is lost."""
    async with running(60, 6) as sim:
        sim.table.down = True
        # The tree of 60 hosts has about 14 inner hosts. One of them is lost; the writer is a leaf.
        inner = next(h for h in sim.hosts if len(sim.hosts[h].members.tree_neighbours) == 5)
        writer = next(h for h in sim.hosts.values() if len(h.members.tree_neighbours) == 1)
        sim.kill_host(inner)
        for number in range(20):
            writer.sync.apply_row(row(number, 2))
        await trio.sleep(15.0)
        for host in sim.hosts.values():
            assert host.me.host == inner or len(host.directory.rows) == 20, host.me.host


async def test_row_reaches_each_host_of_a_large_system_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against rows that every host receives from all of its peers and from all readers."""
    async with running(60, 6) as sim:
        for traffic in sim.fabric.traffic.values():
            traffic.messages_by_kind.clear()
        for number in range(10):
            written = await write_row(sim, row(number, 2))
            await sim.hosts["host-00003"].sync.announce_row(written)
            await trio.sleep(2.0)
        announced = sum(t.messages_by_kind["Announce"] for t in sim.fabric.traffic.values())
        assert announced == 10 * 59


async def test_takeover_is_announced_to_all_hosts(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a host that forwards to a lost dispatcher until the table names a new one."""
    async with running(60, 6) as sim:
        sim.table.down = True
        writer = sim.hosts["host-00003"]
        writer.sync.apply_row(row(0, 2, "host-00009"))
        await trio.sleep(3.0)
        group = next(iter(writer.directory.rows))
        writer.directory.update_dispatcher(group, Dispatcher("host-00003", 3))
        await writer.sync.announce_dispatcher(group)
        await trio.sleep(1.0)
        for host in sim.hosts.values():
            known = host.directory.dispatcher_of(group)
            assert (known.host, known.generation) == ("host-00003", 3), host.me.host


async def test_missed_rows_are_detected_by_digest(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a host that missed announcements of rows and never fetches the rows."""
    async with running(40) as sim:
        sim.table.down = True
        sim.fabric.isolate("host-00005")
        for number in range(100):
            host = sim.hosts["host-00003"]
            host.sync.apply_row(row(number, 2))
        await trio.sleep(10.0)
        sim.fabric.reconnect("host-00005")
        await trio.sleep(6.0)
        assert len(sim.hosts["host-00005"].directory.rows) == 100


async def test_malformed_rows_stop_neither_a_host_nor_other_rows(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against one malformed row in the table that stops all hosts."""
    async with running(5) as sim:
        bad = {"group/permits/7": b"{", "group/permits/8": b"[]", "group/permits/9": b"{}"}
        await commit(sim.table, Transaction({}, dict(bad)))
        await write_row(sim, row(0, 4))
        await trio.sleep(IN_FORCE_SECONDS)
        for host in sim.hosts.values():
            assert [r.group.group for r in host.directory.rows.values()] == [0]
        # The row of the current release is malformed; hosts keep the release in force and continue.
        version = (await sim.table.inner.read(["release/current"]))["release/current"].version
        await commit(
            sim.table, Transaction({"release/current": version}, {"release/current": b"x"})
        )
        await write_row(sim, row(1, 4))
        await trio.sleep(IN_FORCE_SECONDS)
        assert {host.version for host in sim.hosts.values()} == {1}
        assert all(len(host.directory.rows) == 2 for host in sim.hosts.values())
        assert all(h.contact.may_send_new_work(h.clock.now()) for h in sim.hosts.values())


async def test_steady_system_reads_one_small_row_and_scans_nothing(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against platform reads that grow with the number of hosts."""
    async with running(60, 6) as sim:
        sim.table.reads = sim.table.rows_read = sim.table.scans = 0
        await trio.sleep(20.0)
        readers = 2 * 6
        assert sim.table.scans == 0
        assert sim.table.reads <= readers * 21
        assert sim.table.rows_read <= 2 * sim.table.reads


async def test_outage_does_not_increase_calls_to_the_platform(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against retries that call the platform more often during an outage than before it."""
    async with running(30, 6) as sim:
        sim.table.attempts = 0
        await trio.sleep(20.0)
        steady = sim.table.attempts
        sim.table.down = True
        await trio.sleep(30.0)
        sim.table.attempts = 0
        await trio.sleep(20.0)
        assert sim.table.attempts < steady


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ["note", "isolate", "rejoin", "pause", "resume", "platform-down", "platform-up"]
        ),
        st.integers(0, 4),  # host
        st.floats(0.0, 1.0),  # seconds until the next action
    ),
    max_size=25,
)


@settings(max_examples=25, deadline=None)
@given(actions=ACTIONS)
def test_versions_never_revert_and_all_hosts_agree_at_the_end(
    actions: list[tuple[str, int, float]],
) -> None:
    """Guards against a host on which an accepted release note is undone or never arrives.

    Random sequences of notes, isolation, pauses and platform outages try to cause it.
    """

    async def run() -> None:
        async with running(5) as sim:
            digests: dict[int, str] = {}
            sim.nursery.start_soon(_check_versions, sim, digests)  # type: ignore[attr-defined]
            for action, number, pause in actions:
                await _perform_action(sim, action, f"host-{number:05d}")
                await trio.sleep(pause)
            for name in sim.hosts:
                sim.fabric.reconnect(name)
                if name in sim.fabric.paused:
                    sim.fabric.resume(name)
            sim.table.cut_off_hosts.clear()
            sim.table.down = False
            final = (await load_catalog(sim.platform)).version
            with trio.fail_after(IN_FORCE_SECONDS):
                await sim.wait_for_version(final)
            assert {host.version for host in sim.hosts.values()} == {final}

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


async def _perform_action(sim: Simulation, action: str, name: str) -> None:
    host = sim.hosts[name]
    if action == "note" and not sim.table.down and name not in sim.table.cut_off_hosts:
        await submit_note(sim, host, toggle_domain_note((await load_catalog(sim.platform)).version))
    elif action == "isolate":
        sim.fabric.isolate(name)
        sim.table.cut_off_hosts.add(name)
    elif action == "rejoin":
        sim.fabric.reconnect(name)
        sim.table.cut_off_hosts.discard(name)
    elif action == "pause" and name not in sim.fabric.paused:
        sim.fabric.pause(name)
    elif action == "resume" and name in sim.fabric.paused:
        sim.fabric.resume(name)
    elif action in ("platform-down", "platform-up"):
        sim.table.down = action == "platform-down"


async def _check_versions(sim: Simulation, digests: dict[int, str]) -> None:
    versions = dict.fromkeys(sim.hosts, 0)
    while True:
        for name, host in sim.hosts.items():
            catalog = host.directory.catalog
            assert catalog.version >= versions[name]
            versions[name] = catalog.version
            assert digests.setdefault(catalog.version, catalog.digest) == catalog.digest
        await trio.sleep(0.05)
