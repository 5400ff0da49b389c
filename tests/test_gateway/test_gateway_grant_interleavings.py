"""Search over interleavings of the grant protocol for keys with two owners."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import pytest
import trio._core._run as trio_run

from radishshunt.gateway import target_grants
from tests.support.foreign_entry_simulation import ForeignEntrySimulation
from tests.support.grant_simulation import GrantSimulation
from tests.support.link_simulation import LinkSimulation
from tests.support.takeover_simulation import TakeoverSimulation

if TYPE_CHECKING:
    from radishshunt.gateway.settings import HostSettings

# More seeds are run by hand.
FOREIGN_ENTRY_SEEDS = int(os.environ.get("RADISHSHUNT_SEEDS", "12"))


# Seeds 3, 8, 9, 11, 21, 22, 28, 29, 31 and 39 gave keys two owners before an interrupted move was
# forgotten with its term and a restarted target had to release its keys.
@pytest.mark.parametrize("seed", [*range(24), 28, 29, 31, 36, 39])
async def test_no_interleaving_gives_a_key_two_owners(
    autojump_clock: object, monkeypatch: pytest.MonkeyPatch, cfg: HostSettings, seed: int
) -> None:
    """Guards against two targets that hold one key after late, lost or repeated commands."""
    monkeypatch.setattr(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    trio_run._r.seed(seed)
    simulation = GrantSimulation(cfg, seed)
    monkeypatch.setattr(target_grants, "TargetPool", simulation.pool_class)
    await simulation.run()
    assert simulation.errors == []


# With hints whose deltas are not decoded, seeds 3, 5, 18, 58 and 62, and the harsh seed 52 ended
# with an error. Seed 1 did when a leader without targets failed, and seed 10 when tokens of terms
# without a write were allocated again.
@pytest.mark.parametrize(
    ("seed", "harsh"),
    [*((seed, False) for seed in (1, 3, 5, 10, 18, 58, 62)), (52, True)],
)
async def test_no_end_of_a_leader_gives_a_key_two_owners(
    autojump_clock: object,
    monkeypatch: pytest.MonkeyPatch,
    cfg: HostSettings,
    seed: int,
    harsh: bool,
) -> None:
    """Guards against a host that leads with an older key map than the one in the store."""
    monkeypatch.setattr(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    trio_run._r.seed(seed)
    simulation = LinkSimulation(cfg, seed, harsh=harsh)
    simulation.install(monkeypatch)
    await simulation.run()
    assert simulation.errors == []


# Most of these seeds gave keys two owners while a term that had recorded no grants counted as one
# that a host may resume. Which of them did depends on the hashes of texts in a process.
@pytest.mark.parametrize("seed", [2, 4, 8, 14, 21, 26, 34, 48, 63, 70, 91, 99])
async def test_no_takeover_by_a_former_leader_gives_a_key_two_owners(
    autojump_clock: object, monkeypatch: pytest.MonkeyPatch, cfg: HostSettings, seed: int
) -> None:
    """Guards against a leader that forgets the grants of the one before it."""
    monkeypatch.setattr(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    trio_run._r.seed(seed)
    simulation = TakeoverSimulation(cfg, seed)
    monkeypatch.setattr(target_grants, "TargetPool", simulation.pool_class)
    await simulation.run()
    assert simulation.errors == []


@pytest.mark.parametrize("seed", range(FOREIGN_ENTRY_SEEDS))
async def test_no_entry_of_another_writer_gives_a_key_two_owners(
    autojump_clock: object, monkeypatch: pytest.MonkeyPatch, cfg: HostSettings, seed: int
) -> None:
    """Guards against keys that move without a release because of an entry that anybody wrote."""
    monkeypatch.setattr(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    trio_run._r.seed(seed)
    simulation = ForeignEntrySimulation(cfg, seed)
    monkeypatch.setattr(target_grants, "TargetPool", simulation.pool_class)
    await simulation.run()
    assert simulation.written
    assert simulation.errors == []
