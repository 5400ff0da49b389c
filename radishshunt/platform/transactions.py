"""Commits whose lost answers are resolved by reading back."""

from __future__ import annotations

import trio

from radishshunt.errors import OutcomeUnknown, PlatformUnavailable, ProtocolError
from radishshunt.platform import CommitResult, CommitStatus, Table, Transaction
from radishshunt.platform.changes import mark_changes

READ_BACK_ATTEMPTS = 3
READ_BACK_PAUSE_SECONDS = 0.2


async def commit(table: Table, tx: Transaction) -> CommitResult:
    """Commit a transaction; if the answer is lost, find out how it ended.

    Rows of groups are marked as changed in the same transaction.

    :raises OutcomeUnknown: If the table does not say how the transaction ended.
    :raises PlatformUnavailable: If the transaction had no effect.
    """
    tx = mark_changes(tx)
    try:
        return await table.commit(tx)
    except OutcomeUnknown as exc:
        return await _read_back(table, tx, exc)


async def _read_back(table: Table, tx: Transaction, cause: OutcomeUnknown) -> CommitResult:
    for _ in range(READ_BACK_ATTEMPTS):
        await trio.sleep(READ_BACK_PAUSE_SECONDS)
        try:
            result = await table.outcome(tx.transaction_id)
            if result is not None:
                return result
            # A delayed commit may still arrive. Sending it again is safe, since the table runs a
            # transaction id once, and gives a definite answer.
            return await table.commit(tx)
        except (OutcomeUnknown, PlatformUnavailable, ProtocolError):
            continue
    raise cause


def committed(result: CommitResult) -> bool:
    """Return whether a transaction took effect."""
    return result.status is CommitStatus.COMMITTED
