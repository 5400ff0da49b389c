"""Choice of a group by rendezvous hashing."""

from __future__ import annotations

from radishshunt.hashing import rendezvous_group
from radishshunt.model import GroupId


def test_group_choice_is_independent_of_order() -> None:
    """Guards against a choice that raises, or that depends on the order of the groups."""
    groups = [GroupId("event-archive", number) for number in range(4)]
    chosen = rendezvous_group(groups, "01a23fd0")
    assert chosen in groups
    assert rendezvous_group(groups[::-1], "01a23fd0") == chosen
