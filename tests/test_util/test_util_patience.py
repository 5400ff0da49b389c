"""Time limits that do not count the time in which the process was held up."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from radishshunt.util.patience import TICK_SECONDS, patient_fail_after

LIMIT_SECONDS = 0.25


async def test_answer_that_came_during_a_stall_is_read(mock_clock: trio.testing.MockClock) -> None:
    # Guards against a host that takes all its targets for silent after it was suspended.
    send, receive = trio.open_memory_channel(1)
    answers = []

    async def call() -> None:
        with patient_fail_after(LIMIT_SECONDS):
            answers.append(await receive.receive())
            await trio.lowlevel.checkpoint()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call)
        await trio.testing.wait_all_tasks_blocked()
        send.send_nowait("granted")
        mock_clock.jump(3.0)
    assert answers == ["granted"]


async def test_silence_ends_the_call_in_time(autojump_clock: trio.testing.MockClock) -> None:
    # Guards against patience without end towards a peer that does not answer.
    began = trio.current_time()
    with pytest.raises(trio.TooSlowError), patient_fail_after(LIMIT_SECONDS):
        await trio.sleep_forever()
    assert trio.current_time() - began <= LIMIT_SECONDS + 2 * TICK_SECONDS


async def test_finished_call_leaves_nothing_to_cancel(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # Guards against a limit that applies to what follows the call.
    with patient_fail_after(LIMIT_SECONDS):
        await trio.sleep(0.1)
    await trio.sleep(1.0)
    with patient_fail_after(LIMIT_SECONDS) as scope:
        await trio.sleep(0.2)
    assert not scope.cancelled_caught
