"""Keys of one service during a term of the leader."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from radishshunt.gateway.model import KeyMap


@dataclass(slots=True, eq=False)
class ActiveMove:
    """A move in progress.

    :param handover: Handover text from the source's answer to the release, empty if there is none.
    :param held_until: Time until which the new owner may hold keys by grants of before the move.
    """

    service: str
    first: int
    last: int
    source: str
    to: str
    handover: str = ""
    held_until: float = float("-inf")


@dataclass(slots=True)
class ServiceKeys:
    """Keys of one service in this term.

    :param version: Version of the row that holds the key map or its index.
    :param parts: Number of parts into which the key map is divided in the store; 0 if it is not.
    :param written: Value of each row of the key map as last written in this term, by key.
    :param moves: Moves in progress.
    :param ready_moves: Moves whose keys no former owner holds any more; not yet committed.
    :param next_unused_fence: Fencing token that is allocated next.
    """

    key_map: KeyMap
    version: int
    parts: int = 0
    written: dict[str, bytes] = field(default_factory=dict)
    moves: list[ActiveMove] = field(default_factory=list)
    ready_moves: list[ActiveMove] = field(default_factory=list)
    next_unused_fence: int = 0
    # Serializes writes, since each key map is built from the one written before.
    write_lock: trio.Lock = field(default_factory=trio.Lock)

    def allocate_fence(self) -> int:
        """Return a fencing token that has never been used."""
        self.next_unused_fence = max(self.next_unused_fence, self.key_map.next_fence)
        fence = self.next_unused_fence
        self.next_unused_fence += 1
        return fence
