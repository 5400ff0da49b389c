"""A worker leaves while the machine that leads is cut off from the store for a moment."""

from __future__ import annotations

import asyncio
import os
import random
from pathlib import Path
from typing import TYPE_CHECKING

from stand_ins_3.deployment import BROKEN, HELD, Deployment, cancel, run_case, store_ip

if TYPE_CHECKING:
    from stand_ins_3.record import Record

MACHINES = 5
# Time after the start in which keys are assigned and all machines come in touch.
SETTLE_SECONDS = 8.0
# Nothing passes from one machine to the store for so long.
CUT_SECONDS = 1.2
# The worker reports that it is draining this long after the start of the cut.
DRAINED_AFTER_SECONDS = 0.45
DRAIN_SECONDS = 2.0
# The worker serves on for a little longer than that, and then exits.
EXIT_SECONDS = 2.3
WATCH_SECONDS = 4.0
REQUEST_INTERVAL_SECONDS = 0.02
DEADLINE_SECONDS = 2.0


async def load(deployment: Deployment) -> None:
    """Send requests with random keys to all machines in turn."""
    tasks: set[asyncio.Task] = set()
    while True:
        for machine in deployment.machines:
            key = random.randrange(65536)
            task = asyncio.create_task(
                deployment.clients[machine.name].get("/small", DEADLINE_SECONDS, key=key)
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)


async def case(folder: Path) -> tuple[int, Record]:
    """Run the case and return its result."""
    deployment = Deployment(
        folder, machines=MACHINES, workers=1, body_bytes=100, timeout_ms=2000, keyed=True
    )
    record, store, worker = deployment.record, deployment.store, deployment.workers[0]
    try:
        await deployment.start()
        requests = asyncio.create_task(load(deployment))
        await asyncio.sleep(SETTLE_SECONDS)
        leader = store.last_writer
        leading = next(
            machine.name
            for number, machine in enumerate(deployment.machines, 1)
            if store_ip(number) == leader
        )
        if os.environ.get("TROUBLE") != "0":
            record.note(f"{leading}, which last wrote under a condition, is cut off from the store")
            store.cut(leader)
        await asyncio.sleep(DRAINED_AFTER_SECONDS)
        worker.drain()
        store.put("servers", worker.id, worker.entry())
        drained_at = record.now()
        record.note(f"the store acknowledged that {worker.id} is draining")
        await asyncio.sleep(CUT_SECONDS - DRAINED_AFTER_SECONDS)
        store.heal(leader)
        record.note("the cut ends")
        await asyncio.sleep(drained_at + EXIT_SECONDS - record.now())
        worker.exit()
        store.remove("servers", worker.id)
        exited_at = record.now()
        record.note(f"{worker.id} exits")
        await asyncio.sleep(WATCH_SECONDS)
        await cancel(requests)
    finally:
        deployment.close()
    late = [
        item
        for item in record.exchanges.values()
        if item.arrived and item.machine != leading and item.arrived_at > drained_at + DRAIN_SECONDS
    ]
    latest = max((item.arrived_at - drained_at for item in late), default=0.0)
    lost = [item for item in late if item.outcome != "200" and item.ended_at >= exited_at]
    record.note(
        f"{len(late)} requests reached {worker.id} from machines that were not cut off later than"
        f" {DRAIN_SECONDS:g} s after the acknowledgement, the last after {latest:.2f} s;"
        f" {len(lost)} of them were at work when it exited and got {[i.outcome for i in lost]}"
    )
    record.note("DRAIN is broken" if late else "DRAIN held")
    return (BROKEN if late else HELD), record


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().with_name("record.txt"))
