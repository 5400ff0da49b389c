"""Timeouts that do not count the time during which the process was stalled."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from radishshunt.util.stall_tolerant_timeout import TICK_SECONDS, fail_after_running_time

TIMEOUT_SECONDS = 0.25


async def test_answer_that_arrived_during_a_stall_is_read(
    mock_clock: trio.testing.MockClock,
) -> None:
    # Guards against a host that considers all its targets silent after it was suspended: their
    # answers have arrived, but the timeouts expire before the host reads them.
    send, receive = trio.open_memory_channel(1)
    answers = []

    async def call() -> None:
        with fail_after_running_time(TIMEOUT_SECONDS):
            answers.append(await receive.receive())
            await trio.lowlevel.checkpoint()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call)
        await trio.testing.wait_all_tasks_blocked()
        send.send_nowait("granted")
        mock_clock.jump(3.0)
    assert answers == ["granted"]


async def test_call_without_an_answer_times_out(autojump_clock: trio.testing.MockClock) -> None:
    # Guards against a call that waits forever for a peer that does not answer.
    started_at = trio.current_time()
    with pytest.raises(trio.TooSlowError), fail_after_running_time(TIMEOUT_SECONDS):
        await trio.sleep_forever()
    assert trio.current_time() - started_at <= TIMEOUT_SECONDS + 2 * TICK_SECONDS


async def test_timeout_of_a_finished_call_cancels_nothing(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # Guards against a timeout that stays active after its call and cancels code that follows it.
    with fail_after_running_time(TIMEOUT_SECONDS):
        await trio.sleep(0.1)
    await trio.sleep(1.0)
    with fail_after_running_time(TIMEOUT_SECONDS) as scope:
        await trio.sleep(0.2)
    assert not scope.cancelled_caught
