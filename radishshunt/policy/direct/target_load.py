"""Load estimate of a target by a host that sends only a part of that load.

Load pattern: many hosts send to one target with a few slots, and each host sees only its own
requests and the load reports in its own answers. A work time that contained the wait in the
target's queue would make an overloaded target seem slow for as long as the overload lasts, so that
less is sent to it and its keys are moved away without need.

With dozens of hosts, each gets too few answers from a target to learn its speed. Then the speed
that the leader has learned from all hosts replaces this host's own mean, as long as it is recent.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from dataclasses import dataclass

# Work time assumed before the first answer of a service, as a share of its latency objective.
INITIAL_OBJECTIVE_SHARE = 0.3
DEFAULT_WORK_SECONDS = 0.15
# Weight of the newest measurement in the moving average of the work time of a whole service.
SERVICE_WORK_TIME_WEIGHT = 0.05
# Weight of the newest measurement in the moving average of the work time.
WORK_TIME_WEIGHT = 0.1
# Time for which a report tells how busy a target is. The requests that it counts end meanwhile.
REPORT_VALID_SECONDS = 0.5
# Bounds of one measurement, because the network can delay answers.
MIN_WORK_SECONDS = 0.005
MAX_WORK_SECONDS = 2.0


@dataclass(slots=True)
class _Report:
    """A target's load report.

    :param other_requests: Number of requests of other hosts at the target.
    :param received_at: Time at which the report arrived, on trio's clock in seconds.
    """

    other_requests: float
    received_at: float


class LearnedLoad(ABC):
    """What the leader has learned of a target from all hosts."""

    @abstractmethod
    def work_seconds(self) -> float | None:
        """Return the mean work time, ``None`` if none is known or it is too old."""

    @abstractmethod
    def limit(self) -> float | None:
        """Return the number of requests in progress that the target takes well."""


class TargetLoadEstimate:
    """Counts this host's requests at a target and estimates those of other hosts from load reports.

    :param slots: Number of requests that the target runs concurrently.
    :param work_seconds: Work time that is assumed before the first answer.
    :param learned: What has been learned of the target from all hosts, if that is in use.
    :ivar own_requests: Number of requests of this host at the target.
    :ivar samples: Number of answers measured since the last report to the leader.
    :ivar slowdown: Work time relative to the usual work time, as last reported by the target.
    :ivar own_work_seconds: Mean time for which a request of this host holds a slot.
    :ivar response_seconds: Mean time until an answer, with the wait in the target's queue. It tells
        how busy a target has been, also after its last report is no longer valid.
    """

    def __init__(
        self,
        slots: int,
        work_seconds: float = DEFAULT_WORK_SECONDS,
        learned: LearnedLoad | None = None,
    ) -> None:
        self.slots = slots
        self.own_requests = 0
        self.own_work_seconds = work_seconds
        self._learned = learned
        self.response_seconds = work_seconds
        self.slowdown = 1.0
        self.samples = 0
        self._report: _Report | None = None

    @property
    def work_seconds(self) -> float:
        """Expected time for which a request holds a slot."""
        learned = self._learned.work_seconds() if self._learned is not None else None
        return self.own_work_seconds if learned is None else learned

    @property
    def limit(self) -> float:
        """Number of requests in progress that the target takes well, infinite if unknown."""
        learned = self._learned.limit() if self._learned is not None else None
        return math.inf if learned is None else learned

    @property
    def usable_slots(self) -> float:
        """Number of requests that the target runs concurrently without slowing down."""
        return min(self.slots, self.limit)

    def on_sent(self) -> None:
        """Count a request that is sent to the target."""
        self.own_requests += 1

    def on_ended(self) -> None:
        """Count the end of a request, whatever its outcome."""
        self.own_requests -= 1

    def on_report(self, running: int, waiting: int, slowdown: float, now: float) -> None:
        """Record the load report of an answer, which excludes the answered request.

        Must be called before :meth:`on_ended`.
        """
        self.slowdown = slowdown
        self._report = _Report(max(0.0, running + waiting - (self.own_requests - 1)), now)

    def on_answer(self, seconds: float, running: int, waiting: int) -> float:
        """Update the work time with the response time of an answer.

        With a queue at the target, the answered request has waited for about as many others as are
        there when it ends.

        :param running: Number of requests that the target was running when it answered.
        :param waiting: Number of requests in the target's queue at that time.
        :return: Work time of the answered request in seconds.
        """
        at_target = running + waiting + 1
        work = seconds * min(1.0, self.slots / at_target) if waiting else seconds
        work = min(MAX_WORK_SECONDS, max(MIN_WORK_SECONDS, work))
        self.samples += 1
        self.own_work_seconds += WORK_TIME_WEIGHT * (work - self.own_work_seconds)
        self._record_response(seconds)
        return work

    def on_no_answer(self, seconds: float) -> None:
        """Record that a request was given up, which took at least this long.

        Without it, a target that answers only its fastest requests in time would seem fast.
        """
        if seconds > self.work_seconds:
            self.samples += 1
            seconds = min(MAX_WORK_SECONDS, seconds)
            self.own_work_seconds += WORK_TIME_WEIGHT * (seconds - self.own_work_seconds)
            self._record_response(seconds)

    def _record_response(self, seconds: float) -> None:
        seconds = min(MAX_WORK_SECONDS, max(MIN_WORK_SECONDS, seconds))
        self.response_seconds += WORK_TIME_WEIGHT * (seconds - self.response_seconds)

    def is_reported(self, now: float) -> bool:
        """Return whether the target has reported its load recently."""
        return self._report is not None and now - self._report.received_at < REPORT_VALID_SECONDS

    def occupancy(self, now: float) -> float:
        """Return the expected number of requests of all hosts at the target."""
        if self._report is None or not self.is_reported(now):
            return float(self.own_requests)
        ended = (now - self._report.received_at) * self.usable_slots / self.work_seconds
        return self.own_requests + max(0.0, self._report.other_requests - ended)

    @property
    def last_report(self) -> tuple[float, float] | None:
        """Number of other hosts' requests in the last report, and the time of its arrival."""
        report = self._report
        return (report.other_requests, report.received_at) if report is not None else None

    def expected_wait(self, now: float) -> float:
        """Return the expected seconds until the target starts a request sent now."""
        return self.wait_at(self.occupancy(now))

    def wait_at(self, occupancy: float) -> float:
        """Return the expected seconds until the target starts a request.

        :param occupancy: Number of requests at the target.
        """
        slots = self.usable_slots
        ahead = occupancy - slots + 1
        return max(0.0, ahead) * self.work_seconds / slots


class ServiceWorkTimes:
    """Mean work time of each service, assumed for its targets that have not answered yet.

    Load pattern: hundreds of targets, of which a host sees an answer every few minutes. Each of
    them would keep the first assumption, whatever the others show.
    """

    def __init__(self) -> None:
        self._seconds: dict[str, float] = {}

    def assumed(self, service: str, objective: float | None) -> float:
        """Return the work time in seconds to assume for a target of a service.

        :param objective: Shortest latency objective of the service's routes in seconds, if known.
        """
        if service in self._seconds:
            return self._seconds[service]
        return INITIAL_OBJECTIVE_SHARE * objective if objective else DEFAULT_WORK_SECONDS

    def on_work(self, service: str, seconds: float) -> None:
        """Record the work time of an answered request."""
        mean = self._seconds.setdefault(service, seconds)
        self._seconds[service] = mean + SERVICE_WORK_TIME_WEIGHT * (seconds - mean)
