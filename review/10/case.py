"""A worker says in its answers that it leaves, while the store is down.

With the disruption the store answers nothing for 4.4 s, and the worker cannot report there that it
leaves; its answers say so. Without it (TROUBLE=0) the same worker leaves while the store is up, in
the same way. Writes record.txt.
"""

import asyncio
import random
import sys
import time
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

from platform_stand_in import (  # noqa: E402
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    LAST_KEY,
    Bed,
    Host,
    run_case,
)

DRAIN_SECONDS = 2.0
STORE_DOWN_SECONDS = 4.4
# A request is sent this long before it reaches the worker, at most.
SLACK_SECONDS = 0.05


async def play(bed: Bed) -> int:
    if not await bed.start(hosts=3, keyed_workers=4, other_workers=1):
        return COULD_NOT_RUN
    leaver = bed.workers[0]
    # When each host first passed on an answer of the leaving worker that says so, and when clients
    # sent the requests that reached it.
    told: dict[str, float] = {}
    sent: dict[str, tuple[float, Host]] = {}

    async def send(host: Host, number: int) -> None:
        attempt_id = f"read{number:06d}"
        sent[attempt_id] = (time.monotonic(), host)
        answer = await bed.request(
            host, f"/reads/{number}", random.randint(0, LAST_KEY), attempt_id=attempt_id
        )
        if "server-leaving" in answer.headers:
            told.setdefault(host.name, time.monotonic())

    async def load() -> None:
        number = 0
        async with asyncio.TaskGroup() as group:
            while True:
                number += 1
                group.create_task(send(bed.hosts[number % len(bed.hosts)], number))
                await asyncio.sleep(0.03)

    task = asyncio.create_task(load())
    await asyncio.sleep(4)
    bed.store.silent = bed.trouble
    bed.record(f"the store is {'down' if bed.trouble else 'up'}")
    await asyncio.sleep(0.2)
    bed.record(f"worker {leaver.id} leaves and says so in its answers")
    leaver.leaving, leaver.state = True, "draining"
    leaver.register()
    await asyncio.sleep(STORE_DOWN_SECONDS - 0.2)
    bed.store.silent = False
    bed.record("the store is up")
    leaver.register()
    await asyncio.sleep(3)
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
    late = []
    for run in leaver.runs:
        if run.attempt_id not in sent:
            continue
        sent_at, host = sent[run.attempt_id]
        seconds = sent_at - told.get(host.name, float("inf"))
        if seconds > DRAIN_SECONDS + SLACK_SECONDS:
            late.append(seconds)
            bed.record(f"{run.attempt_id}: sent {seconds:.3f} s after {host.name} had been told")
    bed.record(f"told {len(told)} hosts; {len(late)} requests reached {leaver.id} too late")
    if bed.trouble and not told:
        return COULD_NOT_RUN
    # With the store up, the keys may have moved before any answer says that the worker leaves.
    return BROKEN if late else HELD


run_case(FOLDER, play)
