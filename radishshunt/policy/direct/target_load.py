"""Estimate of a target's load by a host that sends only a part of it.

Load pattern: many hosts send to one target with a few slots, and each host sees only its own
requests and the load reports in its own answers.
"""

from __future__ import annotations

from dataclasses import dataclass

# Work time assumed before the first answer of a target, from the operators' sheets.
FIRST_WORK_SECONDS = 0.14
# Weight of a new measurement of the work time.
WORK_SMOOTHING = 0.1
# A report of other hosts' requests loses its meaning after about the time of a few requests.
REPORT_DECAY_SECONDS = 0.4
# Bounds on one measurement, against answers held up by the network.
SHORTEST_WORK_SECONDS = 0.005
LONGEST_WORK_SECONDS = 2.0


@dataclass(slots=True)
class _Report:
    """A load report.

    :param others: Requests of other hosts at the target.
    """

    others: float
    at: float


class TargetLoad:
    """Own requests at a target, and what its reports say of those of other hosts.

    :param slots: Requests that the target processes at once.
    :ivar own: Requests of this host that are at the target.
    :ivar samples: Answers measured since the last report to the leader.
    :ivar work_seconds: Mean time for which a request holds a slot.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.own = 0
        self.work_seconds = FIRST_WORK_SECONDS
        self.slowdown = 1.0
        self.samples = 0
        self._report: _Report | None = None

    def sent(self) -> None:
        """Count a request that goes to the target."""
        self.own += 1

    def ended(self) -> None:
        """Count the end of a request, in whichever way."""
        self.own -= 1

    def reported(self, running: int, waiting: int, slowdown: float, now: float) -> None:
        """Take a load report; the answered request no longer counts in it.

        Call it before :meth:`ended`.
        """
        self.slowdown = slowdown
        self._report = _Report(max(0.0, running + waiting - (self.own - 1)), now)

    def worked(self, seconds: float, expected_wait: float) -> None:
        """Take the time that an answer took.

        :param expected_wait: Time that the request was expected to wait in the target's queue.
        """
        work = min(LONGEST_WORK_SECONDS, max(SHORTEST_WORK_SECONDS, seconds - expected_wait))
        self.samples += 1
        self.work_seconds += WORK_SMOOTHING * (work - self.work_seconds)

    def occupancy(self, now: float) -> float:
        """Return the expected number of requests at the target."""
        if self._report is None:
            return float(self.own)
        age = max(0.0, now - self._report.at)
        return self.own + self._report.others * max(0.0, 1 - age / REPORT_DECAY_SECONDS)

    def expected_wait(self, now: float) -> float:
        """Return the seconds until the target begins a request sent now."""
        ahead = self.occupancy(now) - self.slots + 1
        return max(0.0, ahead) * self.work_seconds / self.slots
