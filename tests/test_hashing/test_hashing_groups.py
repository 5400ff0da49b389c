"""Choice of a group by hash."""

from __future__ import annotations

from radishshunt.hashing import preferred
from radishshunt.model import GroupId


def test_one_key_prefers_one_group() -> None:
    """Guards against a choice that fails, or that depends on the order of the groups."""
    groups = [GroupId("event-archive", number) for number in range(4)]
    chosen = preferred(groups, "01a23fd0")
    assert chosen in groups
    assert preferred(groups[::-1], "01a23fd0") == chosen
