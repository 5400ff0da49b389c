"""A busy worker becomes cold again while the leading host is away.

A third of the reads is for one key for 5 s, in which its owner becomes cold again for 2.9 s. With
the disruption, the process of the host that leads is killed 50 ms before that and started again
after 3 s. Without it (TROUBLE=0) the worker becomes cold in the same way. Writes record.txt.
"""

import asyncio
import random
import signal
import sys
import time
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

from platform_stand_in import BROKEN, COULD_NOT_RUN, HELD, LAST_KEY, Bed, run_case  # noqa: E402

# RULES.md: more requests in one second than ColdPerS x ColdMultiplier + ColdSlack.
ALLOWED_PER_SECOND = 7.0 * 1.5 + 5.0
COLD_SECONDS = 2.9
DOWN_SECONDS = 3.0
LEAD_SECONDS = 0.05
# One key gets a third of the reads, and for less than 5.5 s.
HOT_EVERY = 3
HOT_BEFORE_SECONDS = 2.0
REQUESTS_PER_SECOND = 57.0
KEY = 20_000
WORK_SECONDS = 0.09


async def play(bed: Bed) -> int:
    if not await bed.start(hosts=3, keyed_workers=8, other_workers=1):
        return COULD_NOT_RUN
    for worker in bed.workers:
        worker.work_seconds = WORK_SECONDS

    hot = asyncio.Event()

    async def load() -> None:
        number = 0
        async with asyncio.TaskGroup() as group:
            while True:
                number += 1
                hosts = [host for host in bed.hosts if host.is_running]
                host = random.choice(hosts)
                is_hot = hot.is_set() and number % HOT_EVERY == 0
                key = KEY if is_hot else random.randint(0, LAST_KEY)
                group.create_task(bed.request(host, f"/reads/{number}", key))
                await asyncio.sleep(1 / REQUESTS_PER_SECOND)

    task = asyncio.create_task(load())
    await asyncio.sleep(3)
    bed.record(f"key {KEY} becomes hot")
    hot.set()
    await asyncio.sleep(HOT_BEFORE_SECONDS)
    leader = bed.leader()
    if bed.trouble:
        bed.record(f"the leader {leader.name} is killed")
        leader.send_signal(signal.SIGKILL)
    await asyncio.sleep(LEAD_SECONDS)
    owners = [
        hold.worker
        for worker in bed.workers
        for hold in worker.active_holds()
        if hold.first <= KEY <= hold.last
    ]
    if len(owners) != 1:
        return COULD_NOT_RUN
    owner = next(worker for worker in bed.workers if worker.id == owners[0])
    cold_since = time.monotonic()
    owner.cold_until = cold_since + COLD_SECONDS
    owner.register()
    bed.record(f"worker {owner.id} is cold for {COLD_SECONDS} s, and its entry says so")
    await asyncio.sleep(DOWN_SECONDS - LEAD_SECONDS)
    if bed.trouble:
        leader.kill()
        leader.start()
        bed.record(f"{leader.name} starts again")
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
    arrived = sorted(run.since for run in owner.runs if cold_since <= run.since < owner.cold_until)
    most = max((sum(at <= other < at + 1.0 for other in arrived) for at in arrived), default=0)
    bed.record(f"the cold worker got up to {most} requests in one second, {len(arrived)} in all")
    return BROKEN if most > ALLOWED_PER_SECOND else HELD


run_case(FOLDER, play)
