"""Link of a machine, which carries a limited number of bits a second."""

from __future__ import annotations

import asyncio


class Link:
    """Delays what arrives at a machine as its link would.

    :ivar longest_wait: Longest time that anything waited at the link, in seconds.
    """

    def __init__(self, bits_per_second: float) -> None:
        self.longest_wait = 0.0
        self._bits_per_second = bits_per_second
        self._free_at = 0.0

    async def carry(self, size: int) -> None:
        """Return once a number of bytes has passed the link."""
        now = asyncio.get_running_loop().time()
        start = max(now, self._free_at)
        self.longest_wait = max(self.longest_wait, start - now)
        self._free_at = start + size * 8 / self._bits_per_second
        await asyncio.sleep(self._free_at - now)
