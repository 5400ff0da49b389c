"""Clocks; deadlines that machines exchange are in wall clock time."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod

import trio

# Assumed upper bound on the difference between the clocks of any two machines, in seconds.
CLOCK_SKEW_BOUND_SECONDS = 0.1


class Clock(ABC):
    """Source of the current time in seconds since the Unix epoch."""

    @abstractmethod
    def now(self) -> float:
        """Return the current time in seconds since the Unix epoch."""

    async def sleep_until(self, deadline: float) -> None:
        """Sleep until a deadline in seconds since the Unix epoch.

        :param deadline: Time to wake up; if it has passed, this returns after a checkpoint.
        """
        await trio.sleep(max(0.0, deadline - self.now()))


class SystemClock(Clock):
    """Wall clock time of the operating system."""

    def now(self) -> float:
        return time.time()


class BootClock(Clock):
    """Clock for leases on one machine.

    Unlike the times of other clocks, its times count from the start of the machine, including
    suspension, and are comparable only on this machine.
    """

    def now(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class TrioClock(Clock):
    """Time of the current trio run, so that tests can use ``trio.testing.MockClock``.

    :param offset: Seconds added to trio's time, to give hosts different clocks.
    """

    def __init__(self, offset: float = 1_000_000.0) -> None:
        self.offset = offset

    def now(self) -> float:
        return trio.current_time() + self.offset
