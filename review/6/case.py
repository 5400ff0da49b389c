"""A foreign entry with the address of a worker that is up, shortly before that worker leaves.

Both with and without it (TROUBLE=0), one worker of the keyed service says that it leaves. Its keys
have to be released before another worker gets them. Writes record.txt.
"""

import asyncio
import sys
import time
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

from platform_stand_in import BROKEN, COULD_NOT_RUN, HELD, Bed, Hold, run_case  # noqa: E402

# RULES.md: "Two workers that are up hold the same keys for over half a second".
ALLOWED_SECONDS = 0.5


def common(a: Hold, b: Hold) -> tuple[int, int, float]:
    """Return the first and last key that two holds have in common, and for how long."""
    return max(a.first, b.first), min(a.last, b.last), min(a.until, b.until) - max(a.since, b.since)


async def play(bed: Bed) -> int:
    if not await bed.start(hosts=3, keyed_workers=4, other_workers=1):
        return COULD_NOT_RUN
    load = asyncio.create_task(bed.load(per_second=30))
    await asyncio.sleep(4)
    leaver = bed.workers[0]
    if bed.trouble:
        entry = {
            "Addr": leaver.address,
            "Info": {
                "Service": "inventory-agent",
                "Version": "v1",
                "Zone": leaver.zone,
                "Capacity": 1,
            },
            "Status": {"State": "ready", "Sequence": 1, "WarmupLeftMs": 0},
            "born": int(time.time() * 1000),
        }
        bed.record(f"another writer puts an entry with the address of {leaver.id}: {entry}")
        bed.store.put("servers", "i-inventory01", entry)
    await asyncio.sleep(2)
    bed.record(f"worker {leaver.id} says that it leaves")
    leaver.state = "draining"
    leaver.register()
    # It serves for DrainMs and longer, and ends when all that it was granted has run out.
    await asyncio.sleep(10)
    load.cancel()
    with suppress(asyncio.CancelledError):
        await load
    broken = False
    holds = [hold for worker in bed.workers for hold in worker.holds]
    for mine in leaver.holds:
        for other in holds:
            first, last, seconds = common(mine, other)
            if other.worker == leaver.id or first > last or seconds <= 0:
                continue
            text = f"{leaver.id} and {other.worker} both hold keys {first} to {last}"
            bed.record(f"{text} for {seconds:.3f} s, fences {mine.fence} and {other.fence}")
            broken = broken or seconds > ALLOWED_SECONDS
            for run in leaver.runs:
                at_work = run.since < other.since < run.until
                if at_work and run.key is not None and first <= run.key <= last:
                    bed.record(f"{leaver.id} is still at work on {run.attempt_id} then")
    return BROKEN if broken else HELD


run_case(FOLDER, play)
