"""Copy of a random generator that is made only when it is used."""

from __future__ import annotations

from random import Random


class RandomCopy(Random):
    """Draws the numbers that another generator would draw next, without effect on it.

    The state of a generator has 625 numbers, and most copies are never used. Only :meth:`random` is
    provided, and the source must not be used meanwhile.
    """

    def __new__(cls, _source: Random) -> RandomCopy:
        # Saves the seed from the operating system.
        return super().__new__(cls, 0)

    def __init__(self, source: Random) -> None:
        self._source: Random | None = source

    def random(self) -> float:
        """Return the next number."""
        if self._source is not None:
            self.setstate(self._source.getstate())
            self._source = None
        return super().random()
