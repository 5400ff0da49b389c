"""A worker leaves while the machine that leads is cut off from the store for a moment."""

from __future__ import annotations

import asyncio
import os
import random
from pathlib import Path
from typing import TYPE_CHECKING

from stand_ins_3.deployment import BROKEN, HELD, NOT_RUN, Deployment, cancel, run_case, store_ip

if TYPE_CHECKING:
    from stand_ins_3.record import Record

MACHINES = 5
# Workers in zone-a, which is emptied; one more is in zone-b, so that it is a quarter of them all.
EMPTIED_WORKERS = 3
# Time after the start in which keys are assigned and all machines come in touch.
SETTLE_SECONDS = 8.0
# Time for which keys move to the worker in zone-b before it leaves. It is longer than EvacuateMs,
# and than the time for which a machine that was cut off counts as out of touch.
MOVE_SECONDS = 10.0
ROUNDS = 4
# Nothing passes from one machine to the store for so long.
CUT_SECONDS = 0.95
# The worker reports that it is draining this long after the start of the cut.
DRAINED_AFTER_SECONDS = 0.3
DRAIN_SECONDS = 2.0
# The worker serves on for a little longer than that, and then exits.
EXIT_SECONDS = 2.3
REQUEST_INTERVAL_SECONDS = 0.02
DEADLINE_SECONDS = 2.0
# So many requests are answered in the second before a worker leaves, or the round says nothing.
MIN_SERVED = 10


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


async def leave(deployment: Deployment) -> int:
    """Let the worker in zone-b leave, and return how many requests reached it too late.

    :raises RuntimeError: If it was not serving before.
    """
    record, store = deployment.record, deployment.store
    worker = await deployment.add_worker("zone-b")
    record.note(f"{worker.id} starts in zone-b")
    await asyncio.sleep(MOVE_SECONDS)
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
    record.note(f"{worker.id} exits")
    await asyncio.sleep(DEADLINE_SECONDS)
    served = [
        item
        for item in record.exchanges.values()
        if item.outcome == "200" and drained_at - 1.0 < item.sent_at < drained_at
    ]
    if len(served) < MIN_SERVED:
        raise RuntimeError(f"only {len(served)} answers in the second before {worker.id} left")
    late = [
        item
        for item in record.exchanges.values()
        if item.arrived
        and item.worker == worker.id
        and item.machine != leading
        and item.arrived_at > drained_at + DRAIN_SECONDS
    ]
    latest = max((item.arrived_at - drained_at for item in late), default=0.0)
    lost = [item.id for item in late if item.outcome != "200"]
    record.note(
        f"{len(late)} requests reached {worker.id} from machines that were not cut off later than"
        f" {DRAIN_SECONDS:g} s after the acknowledgement, the last after {latest:.2f} s;"
        f" {len(lost)} of them got no answer of the worker: {', '.join(lost) or 'none'}"
    )
    return len(late)


async def case(folder: Path) -> tuple[int, Record]:
    """Run the case and return its result."""
    deployment = Deployment(
        folder,
        machines=MACHINES,
        workers=EMPTIED_WORKERS,
        body_bytes=100,
        timeout_ms=2000,
        keyed=True,
    )
    record, store = deployment.record, deployment.store
    late = 0
    try:
        await deployment.start()
        requests = asyncio.create_task(load(deployment))
        await asyncio.sleep(SETTLE_SECONDS)
        store.put("op", "evacuate/zone-a", {})
        record.note("the store acknowledged the evacuation of zone-a")
        for _ in range(ROUNDS):
            late += await leave(deployment)
        await cancel(requests)
    except RuntimeError as exc:
        record.note(str(exc))
        return NOT_RUN, record
    finally:
        deployment.close()
    record.note("DRAIN is broken" if late else "DRAIN held")
    return (BROKEN if late else HELD), record


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().with_name("record.txt"))
