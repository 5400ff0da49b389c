"""Batching of concurrent reads."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

import trio

from radishshunt.platform import TableRow

# Time for which a read waits for others before the call is sent; far below a call's duration.
BATCH_WINDOW_SECONDS = 0.002
KEYS_PER_CALL = 500

ReadRows = Callable[[Sequence[str]], Awaitable[dict[str, TableRow]]]


class _Batch:
    """Keys of the reads that share one call, and its result."""

    def __init__(self) -> None:
        self.keys: dict[str, None] = {}
        self.done = trio.Event()
        self.rows: dict[str, TableRow] | None = None
        self.error: Exception | None = None


class BatchedReads:
    """Reads rows, with one call for several concurrent reads.

    A read joins only a call that has not been sent yet, so it never returns a row that is older
    than the read.

    :param read: Reads rows with one platform call.
    """

    def __init__(self, read: ReadRows) -> None:
        self._read = read
        self._open_batch: _Batch | None = None

    async def read(self, keys: Sequence[str]) -> dict[str, TableRow]:
        """Return the rows of the keys.

        :raises PlatformUnavailable: If the platform does not answer.
        """
        rows: dict[str, TableRow] = {}
        for start in range(0, len(keys), KEYS_PER_CALL):
            rows |= await self._read_in_batch(keys[start : start + KEYS_PER_CALL])
        return rows

    async def _read_in_batch(self, keys: Sequence[str]) -> dict[str, TableRow]:
        while True:
            batch = self._open_batch
            if batch is None or len(batch.keys) + len(keys) > KEYS_PER_CALL:
                batch = self._open_batch = _Batch()
                batch.keys.update(dict.fromkeys(keys))
                await self._send(batch)
            else:
                batch.keys.update(dict.fromkeys(keys))
                await batch.done.wait()
            if batch.error is not None:
                raise batch.error
            if batch.rows is not None:
                return {key: batch.rows[key] for key in keys}
            # The task that sent the call was cancelled; the other tasks read again.

    async def _send(self, batch: _Batch) -> None:
        try:
            await trio.sleep(BATCH_WINDOW_SECONDS)
            if self._open_batch is batch:
                self._open_batch = None
            batch.rows = await self._read(list(batch.keys))
        except Exception as exc:
            batch.error = exc
        finally:
            if self._open_batch is batch:
                self._open_batch = None
            batch.done.set()
