"""Commits that read back the outcome if the answer is lost."""

from __future__ import annotations

import trio

from radishshunt.errors import PlatformOutcomeUnknown, PlatformUnavailable, ProtocolError
from radishshunt.platform import CommitResult, CommitStatus, Table, Transaction
from radishshunt.platform.changes import add_change_markers

READ_BACK_ATTEMPTS = 3
READ_BACK_PAUSE_SECONDS = 0.2


async def commit(table: Table, tx: Transaction) -> CommitResult:
    """Commit a transaction; if the answer is lost, read back the outcome.

    The same transaction also writes the change markers of the groups' rows.

    :raises PlatformOutcomeUnknown: If the outcome of the transaction can't be read back.
    :raises PlatformUnavailable: If the transaction had no effect.
    """
    tx = add_change_markers(tx)
    try:
        return await table.commit(tx)
    except PlatformOutcomeUnknown as exc:
        return await _read_back(table, tx, exc)


async def _read_back(table: Table, tx: Transaction, cause: PlatformOutcomeUnknown) -> CommitResult:
    for _ in range(READ_BACK_ATTEMPTS):
        await trio.sleep(READ_BACK_PAUSE_SECONDS)
        try:
            result = await table.outcome(tx.transaction_id)
            if result is not None:
                return result
            # The first commit may still arrive late. Sending it again is safe, because the table
            # runs each transaction id only once, and gives a definite answer.
            return await table.commit(tx)
        except (PlatformOutcomeUnknown, PlatformUnavailable, ProtocolError):
            continue
    raise cause


def is_committed(result: CommitResult) -> bool:
    """Return whether a transaction took effect."""
    return result.status is CommitStatus.COMMITTED
