"""Stand-in for a worker of a service that is divided by key."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from stand_ins_3.http import encode_response
from stand_ins_3.worker import Worker

Hold = tuple[int, int, float]


class KeyedWorker(Worker):
    """Runs the requests whose keys it holds."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        # First key, last key and end of each hold, and the highest token of each range.
        self._holds: list[Hold] = []
        self._fences: dict[tuple[int, int], int] = {}

    async def _obey(self, target: str, order: dict[str, Any]) -> bytes:
        first, last = order["From"], order["Target"]
        if target == "/radishshunt/grant":
            seen = [fence for (a, b), fence in self._fences.items() if a <= last and first <= b]
            if seen and order["fence"] < max(seen):
                return encode_response(409, {})
            self._fences[first, last] = order["fence"]
            self._give_up(first, last)
            self._holds.append((first, last, time.monotonic() + order["HoldMs"] / 1000))
            return encode_response(200, {})
        self._give_up(first, last)
        while self._at_work:
            await asyncio.sleep(0.01)
        return encode_response(200, {"X-Radishshunt-Handover": "handover"})

    def _give_up(self, first: int, last: int) -> None:
        """Hold a range of keys no more."""
        kept: list[Hold] = []
        for start, end, until in self._holds:
            if end < first or last < start:
                kept.append((start, end, until))
                continue
            if start < first:
                kept.append((start, first - 1, until))
            if last < end:
                kept.append((last + 1, end, until))
        self._holds = kept

    def _holds_key(self, headers: dict[str, str]) -> bool:
        key = int(headers.get("x-radishshunt-shard-key", "-1"))
        now = time.monotonic()
        return any(first <= key <= last and now < until for first, last, until in self._holds)
