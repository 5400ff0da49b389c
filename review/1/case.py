"""An entry of another writer whose bytes can't be read, in the table of the workers."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING

from stand_ins.system import run_case, trouble

if TYPE_CHECKING:
    from stand_ins.client import Client
    from stand_ins.system import System

CLIENTS = 12
CALM_SECONDS = 5.0
TROUBLED_SECONDS = 25.0
# Objects within objects, without an end: 16 kB of the 64 kB that a row may have.
UNREADABLE_ENTRY = b'{"Info":' * 2000
MIN_MACHINES = 2
MIN_ENDS = 3


async def _send_requests(client: Client) -> None:
    while True:
        key = client.rng.randrange(65536)
        if client.rng.random() < 0.7:
            await client.send("GET", f"/lookup/{key}", key=key)
        else:
            await client.send("POST", f"/renewal/{key}", key=key, body=b"renew")
        await asyncio.sleep(0.2)


def _answered_share(system: System, start: float, end: float) -> float:
    attempts = [a for a in system.attempts if start <= a.sent_at < end and a.ended_at]
    return sum(a.status == 200 for a in attempts) / max(1, len(attempts))


async def case(system: System) -> bool:
    """Return whether the rule Fault was kept."""
    for number in range(CLIENTS):
        system.spawn(_send_requests(system.client(f"c{number}")))
    await asyncio.sleep(CALM_SECONDS)
    if trouble():
        system.record.write("row", table="servers", key="i-7f3a91c2", bytes=len(UNREADABLE_ENTRY))
        system.store.put("servers", "i-7f3a91c2", UNREADABLE_ENTRY)
    await asyncio.sleep(TROUBLED_SECONDS)
    before = _answered_share(system, 0, CALM_SECONDS)
    after = _answered_share(system, CALM_SECONDS + 10, CALM_SECONDS + TROUBLED_SECONDS - 5)
    ends = {host.name: host.own_ends for host in system.hosts}
    system.record.write("summary", answered_before=before, answered_after=after, own_ends=ends)
    print(f"answered before: {before:.3f}, after: {after:.3f}; processes ended: {ends}")
    # The day counts 0 if on a tenth of the machines in use (two at least) processes end by
    # themselves three times in the day with no disruption there.
    return sum(count >= MIN_ENDS for count in ends.values()) < MIN_MACHINES


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
