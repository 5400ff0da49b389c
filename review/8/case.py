"""A request that crashes workers comes again and again, and all hosts are killed at once.

A client sends the same unrepeatable request to one host after the other, some seconds apart. With
the disruption, the processes of all hosts are killed at the same moment, three times, and start
again one second later; the client waits until each host is in touch. Without it (TROUBLE=0) the
client does the same. Writes record.txt.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

from platform_stand_in import BROKEN, COULD_NOT_RUN, HELD, Bed, Worker, run_case  # noqa: E402

CONTACT_SECONDS = 3.0
# RULES.md: "reaches workers in more than three retries".
ALLOWED_RETRIES = 3
KILLS = 3
PATH = "/bookings/fair-17"
# A worker that has crashed is back after some seconds.
DOWN_SECONDS = 2.5
PAUSE_SECONDS = 4.0


async def restart_crashed(worker: Worker) -> None:
    """Start a worker again after each crash, under the id that it had."""
    seen = 0
    while True:
        await asyncio.sleep(0.05)
        if len(worker.crashes) > seen:
            seen = len(worker.crashes)
            await asyncio.sleep(DOWN_SECONDS)
            await worker.start()
            worker.record(f"worker {worker.id} is back")


async def play(bed: Bed) -> int:
    if not await bed.start(hosts=3, keyed_workers=2, other_workers=6):
        return COULD_NOT_RUN
    restarts = []
    for worker in bed.workers:
        worker.crash_path = PATH
        restarts.append(asyncio.create_task(restart_crashed(worker)))
    sent: dict[str, tuple[float, bool]] = {}

    async def send_in_turn() -> None:
        for host in bed.hosts:
            attempt_id = f"poison{len(sent):04d}"
            now = time.monotonic()
            sent[attempt_id] = (now, now - host.started_at > CONTACT_SECONDS)
            await bed.request(host, PATH, method="POST", attempt_id=attempt_id)
            await asyncio.sleep(PAUSE_SECONDS)

    await asyncio.sleep(CONTACT_SECONDS)
    await send_in_turn()
    for _ in range(KILLS):
        if bed.trouble:
            bed.record("all hosts are killed")
            for host in bed.hosts:
                host.send_signal(signal.SIGKILL)
            await asyncio.sleep(1.0)
            for host in bed.hosts:
                host.kill()
                host.start()
            bed.record("all hosts start again")
        if not await bed.wait_until_served():
            return COULD_NOT_RUN
        await asyncio.sleep(CONTACT_SECONDS + 0.2)
        await send_in_turn()
    for task in restarts:
        task.cancel()
    runs = sorted(
        (run.since, run.attempt_id)
        for worker in bed.workers
        for run in worker.runs
        if run.attempt_id in sent
    )
    bed.record(f"the request has crashed {len(runs)} workers")
    if len(runs) < 3:
        return HELD
    late = runs[2][0] + CONTACT_SECONDS
    retries = {
        attempt_id for _, attempt_id in runs if sent[attempt_id][0] > late and sent[attempt_id][1]
    }
    bed.record(
        f"{len(retries)} retries reached workers later than ContactMs after the third crash,"
        f" sent by machines in touch: {sorted(retries)}"
    )
    return BROKEN if len(retries) > ALLOWED_RETRIES else HELD


run_case(FOLDER, play)
