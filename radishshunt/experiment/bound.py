"""Upper bound of the value that any scheduler could earn in one day of a deployment.

The bound holds for schedulers that know all demand, events and target speeds in advance, and that
know requests by kind, service, part of the tail and key, not by the work time of each one. It is
an upper bound because every step of the computation only relaxes what limits such a scheduler:

- Requests are a fluid. Nothing waits by chance, no slot is idle while there is work, and any target
  takes any request whose key is not hot, at once and at no cost.
- A request may wait at no cost until its latency objective for the full value or its deadline for
  the late value, both rounded up to whole steps. (Starts and ends of events are rounded to the
  nearest step, so they should be multiples of the step.)
- A hot key may be at the fastest target at each moment, never one that is slowed by chance.
- Work that would exceed the route's timeout even on the fastest target is never started.
- The value of the best fluid schedule is bounded by prices of capacity (weak duality, see
  :mod:`.fluid`), so that the bound holds also where the search for the schedule ends early.

It leaves out: queueing by chance, uneven spread of keys, differences of work times outside the
described tail, moves of keys, cold starts that no event names, traffic between failure domains and
its price, the hosts' own capacity, rate limits, retries, work under way on a target when it is
lost, and priorities, since only value counts.

The bound counts for the whole day. Its split by kind and reason is that of a schedule whose value
differs from the bound by ``gap``, which is usually below 0.0001 of the owed value.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from math import ceil
from typing import TYPE_CHECKING

import numpy as np

from radishshunt.experiment.bound_input import EventKind
from radishshunt.experiment.fluid import FluidProblem, solve

if TYPE_CHECKING:
    from numpy.typing import NDArray

    from radishshunt.experiment.bound_input import Day, Event, RequestKind, Service
    from radishshunt.experiment.fluid import FluidSolution

    Steps = NDArray[np.float64]

# Rows of the table of utilisation; each one is the mean of equally many steps.
TABLE_ROWS = 40


class Reason(StrEnum):
    """Why value is lost."""

    HOT_KEY = "hot-key"
    NO_OWNER = "no-owner"
    CAPACITY = "capacity"
    TIMEOUT = "timeout"
    LATE_BY_WORK = "late-by-work"


@dataclass(slots=True)
class KindBound:
    """Value of a kind: owed, earned within the objective, earned late, and lost by reason."""

    owed: float = 0.0
    within: float = 0.0
    late: float = 0.0
    lost: dict[Reason, float] = field(default_factory=lambda: dict.fromkeys(Reason, 0.0))

    def add(self, other: KindBound) -> None:
        """Add the values of another kind."""
        self.owed += other.owed
        self.within += other.within
        self.late += other.late
        for reason, value in other.lost.items():
            self.lost[reason] += value

    def shares(self) -> dict[str, float]:
        """Return the parts of the owed value; all but ``lost`` itself add up to 1."""
        owed = self.owed or 1.0
        result = {"within": self.within / owed, "late": self.late / owed}
        result["lost"] = sum(self.lost.values()) / owed
        return result | {reason.value: value / owed for reason, value in self.lost.items()}


@dataclass(frozen=True, slots=True)
class Bound:
    """The upper bound of a day.

    :param total: Largest share of the owed value that can be earned.
    :param kinds: Split of a schedule that earns nearly as much, by kind of request.
    :param utilisation: Busy share of each service's capacity, by step.
    """

    day: str
    step_seconds: float
    total: float
    kinds: dict[str, KindBound]
    utilisation: dict[str, list[float]]

    @property
    def all_kinds(self) -> KindBound:
        """The sum of all kinds."""
        result = KindBound()
        for kind in self.kinds.values():
            result.add(kind)
        return result

    def to_json(self) -> dict:
        """Return the bound as members of a JSON document."""
        shares = self.all_kinds.shares()
        return {
            "day": self.day,
            "total": self.total,
            "gap": self.total - shares["within"] - shares["late"],
            "all": {"owed": self.all_kinds.owed} | shares,
            "kinds": {name: {"owed": k.owed} | k.shares() for name, k in self.kinds.items()},
            "step_seconds": self.step_seconds,
            "utilisation": self.utilisation,
        }

    def to_text(self) -> str:
        """Return the bound as Markdown tables; utilisation as means of several steps."""
        rows = [(n, k.owed, k.shares()) for n, k in (*self.kinds.items(), ("all", self.all_kinds))]
        lines = [f"At most {self.total:.4f} of the owed value can be earned on {self.day}.", ""]
        lines += _table_head("kind", "owed", *rows[0][2])
        lines += [
            f"| {n} | {owed:.1f} | " + " | ".join(f"{s:.4f}" for s in shares.values()) + " |"
            for n, owed, shares in rows
        ]
        lines += ["", *_table_head("from s", *self.utilisation)]
        steps = len(next(iter(self.utilisation.values())))
        width = ceil(steps / TABLE_ROWS)
        for first in range(0, steps, width):
            means = (np.mean(used[first : first + width]) for used in self.utilisation.values())
            cells = " | ".join(f"{mean:.2f}" for mean in means)
            lines.append(f"| {first * self.step_seconds:g} | {cells} |")
        return "\n".join(lines) + "\n"


def _table_head(*names: str) -> list[str]:
    return ["| " + " | ".join(names) + " |", "|---" * len(names) + "|"]


@dataclass(frozen=True, slots=True)
class _Flow:
    """Requests of one kind that are limited in the same way.

    :param demand: Work by step of arrival, in slot-seconds at speed 1.
    :param full: Value of one slot-second done by the objective; the late value if the work alone
        takes longer than the objective.
    :param late: Value of one slot-second done by the deadline.
    :param late_by_work: Whether the work alone takes longer than the objective.
    :param keys: Index of the keys that the requests are for.
    """

    kind: RequestKind
    demand: Steps
    full: float
    late: float
    late_by_work: bool
    keys: int


@dataclass(frozen=True, slots=True)
class _Keys:
    """Keys of a service that share a fate.

    :param share: Share of the requests that are for them, by step.
    :param reason: Why their requests are lost beside the capacity of all targets.
    :param limit: Row of their capacity, or 0.
    :param unowned: Whether they have no owner, by step.
    """

    share: Steps
    reason: Reason
    limit: int
    unowned: NDArray[np.bool_]


class _ServiceBound:
    """Capacity and demand of one service."""

    def __init__(self, day: Day, service: Service, demand: dict[str, Steps]) -> None:
        self._day = day
        self._service = service
        kinds = [k for k in day.kinds if service.name in (k.service, *k.other_services)]
        self._steps = _count_steps(day)
        self._longest = max((self._wait(k.deadline_ms) for k in kinds), default=0)
        self._times = (np.arange(self._steps + self._longest) + 0.5) * day.step_s
        self._read_targets()
        self.kinds: dict[str, KindBound] = {}
        self._flows: list[_Flow] = []
        self._read_keys()
        for kind in kinds:
            self._add_kind(kind, demand[kind.name])

    def _wait(self, milliseconds: float) -> int:
        return ceil(milliseconds / 1000 / self._day.step_s)

    def _events(self, *kinds: EventKind) -> list[tuple[Event, Steps]]:
        return [
            (e, ((self._times >= e.start_s) & (self._times < e.end_s)).astype(float))
            for e in self._day.events
            if e.event in kinds
        ]

    def _read_targets(self) -> None:
        """Find all capacity, that of the best target for a hot key, and the highest speed."""
        shape = len(self._times)
        self._capacity, self._one_target, self._fastest = (np.zeros(shape) for _ in range(3))
        slowed = self._service.slowed
        mean = 1 - slowed.share + slowed.share / slowed.factor
        chance = 1.0 if slowed.share < 1 else 1 / slowed.factor
        for group in self._service.groups:
            usable = np.full(shape, float(group.count))
            for event, active in self._events(EventKind.LOST, EventKind.CUT_OFF):
                usable -= active * (event.count or 0) * (event.group == group.name)
            for event, active in self._events(EventKind.EVACUATED):
                usable *= 1 - active * (event.domain == group.domain)
            usable = normal = np.maximum(usable, 0.0)
            units, best = np.zeros(shape), np.zeros(shape)
            for event, active in self._events(EventKind.SLOWED, EventKind.COLD):
                if event.group == group.name and event.count and event.factor:
                    count = np.minimum(normal, active * event.count)
                    normal = normal - count
                    units += count / event.factor
                    best = np.maximum(best, (count > 0) / event.factor)
            best = np.where(normal > 0, 1.0, best) * group.speed * chance
            self._capacity += (normal + units) * group.slots * group.speed * mean * self._day.step_s
            self._one_target = np.maximum(self._one_target, best * group.slots * self._day.step_s)
            self._fastest = np.maximum(self._fastest, best)

    def _read_keys(self) -> None:
        """Divide the requests among the keys of each event and all other keys."""
        self._keys: list[_Keys] = []
        rest, limits = np.ones(self._steps), 0
        never = np.zeros(len(self._times), bool)
        for event, active in self._events(EventKind.HOT_KEY, EventKind.NO_OWNER):
            if event.service != self._service.name:
                continue
            share = np.minimum(rest, active[: self._steps] * (event.share or 0))
            rest = rest - share
            if event.event is EventKind.HOT_KEY:
                limits += 1
                self._keys.append(_Keys(share, Reason.HOT_KEY, limits, never))
            else:
                self._keys.append(_Keys(share, Reason.NO_OWNER, 0, active > 0))
        self._keys.append(_Keys(rest, Reason.CAPACITY, 0, never))
        self._capacities = np.vstack([self._capacity, *[self._one_target] * limits])

    def _add_kind(self, kind: RequestKind, requests: Steps) -> None:
        """Divide a kind's requests by tail, limit of their keys and what their work allows."""
        share = kind.other_services.get(self._service.name, 0.0)
        if kind.service == self._service.name:
            share += 1 - sum(kind.other_services.values())
        requests = requests * share
        result = self.kinds[kind.name] = KindBound(owed=float(requests.sum()) * kind.full_value)
        # The fastest target between arrival and deadline; if none is usable, capacity is missing.
        waits = range(self._wait(kind.deadline_ms) + 1)
        fastest = np.max([self._fastest[w : w + self._steps] for w in waits], axis=0)
        fastest = np.where(fastest > 0, fastest, np.inf)
        parts = []
        tails = [t for t in kind.tail if not (t.by_attempt and kind.repeatable)]
        for tail in tails:
            parts.append((tail.share, min(kind.work_ms * tail.factor, tail.cap_ms or np.inf)))
        parts.append((1 - sum(t.share for t in tails), kind.work_ms))
        for part, work_ms in parts:
            shortest = work_ms / fastest
            lost = shortest > min(kind.timeout_ms, kind.deadline_ms)
            late = ~lost & (shortest > kind.objective_ms)
            result.lost[Reason.TIMEOUT] += float((requests * lost).sum()) * part * kind.full_value
            result.lost[Reason.LATE_BY_WORK] += (
                float((requests * late).sum()) * part * (kind.full_value - kind.late_value)
            )
            seconds = work_ms / 1000
            for by_work, mask in ((False, ~lost & ~late), (True, late)):
                full = kind.late_value if by_work else kind.full_value
                for index, keys in enumerate(self._keys):
                    work = requests * mask * keys.share * part * seconds
                    if full > 0 and work.any():
                        values = full / seconds, kind.late_value / seconds
                        self._flows.append(_Flow(kind, work, *values, by_work, index))

    def solve(self) -> tuple[float, list[float]]:
        """Split the value by kind, and return its bound and the busy share by step."""
        amounts, arrivals, values, limits, owners = [], [], [], [], []
        options = np.arange(self._longest + 1)
        for index, flow in enumerate(self._flows):
            keys = self._keys[flow.keys]
            steps = np.flatnonzero(flow.demand)
            row = np.where(options <= self._wait(flow.kind.objective_ms), flow.full, flow.late)
            row = np.where(options <= self._wait(flow.kind.deadline_ms), row, -np.inf)
            unowned = keys.unowned[steps[:, None] + options]
            amounts.append(flow.demand[steps])
            arrivals.append(steps)
            values.append(np.where(unowned, -np.inf, row))
            limits.append(np.full(len(steps), keys.limit))
            owners.append(np.full(len(steps), index))
        if not self._flows:
            return 0.0, [0.0] * self._steps
        problem = FluidProblem(
            *(np.concatenate(a) for a in (amounts, arrivals, values, limits)), self._capacities
        )
        solution = solve(problem)
        owner = np.concatenate(owners)
        for index, flow in enumerate(self._flows):
            self._split(flow, problem, solution, owner == index)
        when = problem.arrival[:, None] + options
        load = np.bincount(when.ravel(), solution.served.ravel(), len(self._times))
        busy = load / np.where(self._capacity > 0, self._capacity, np.inf)
        return solution.bound, np.minimum(busy, 1.0)[: self._steps].tolist()

    def _split(
        self, flow: _Flow, problem: FluidProblem, solution: FluidSolution, own: NDArray[np.bool_]
    ) -> None:
        """Add a flow's value to its kind."""
        result, keys = self.kinds[flow.kind.name], self._keys[flow.keys]
        served, arrival = solution.served[own], problem.arrival[own]
        early = served[:, : self._wait(flow.kind.objective_ms) + 1].sum(axis=1)
        if flow.late_by_work:
            early = np.zeros_like(early)
        late = served.sum(axis=1) - early
        result.within += float(early.sum()) * flow.full
        result.late += float(late.sum()) * flow.late
        lost = (problem.amount[own] - early) * flow.full - late * flow.late
        by_keys = np.full(len(lost), keys.reason is not Reason.CAPACITY)
        if keys.limit:
            # The more expensive limit at the option that would be best.
            prices = solution.prices[:, arrival[:, None] + np.arange(served.shape[1])]
            gains = problem.values[own] - prices[0] - prices[keys.limit]
            best = np.arange(len(lost)), gains.argmax(axis=1)
            by_keys = prices[keys.limit][best] >= prices[0][best]
        result.lost[keys.reason] += float(lost[by_keys].sum())
        result.lost[Reason.CAPACITY] += float(lost[~by_keys].sum())


def compute_bound(day: Day) -> Bound:
    """Compute the upper bound of a day."""
    demand = {kind.name: _demand(day, kind) for kind in day.kinds}
    kinds = {kind.name: KindBound() for kind in day.kinds}
    utilisation, largest = {}, 0.0
    for service in day.services:
        bound = _ServiceBound(day, service, demand)
        value, utilisation[service.name] = bound.solve()
        largest += value
        for name, kind in bound.kinds.items():
            kinds[name].add(kind)
    owed = sum(kind.owed for kind in kinds.values())
    return Bound(day.name, day.step_s, largest / owed if owed else 1.0, kinds, utilisation)


def _demand(day: Day, kind: RequestKind) -> Steps:
    """Return the requests of a kind that arrive in each step."""
    times = (np.arange(_count_steps(day)) + 0.5) * day.step_s
    result = np.zeros(len(times))
    for domain, rate in kind.rate_per_s.items():
        requests = np.full(len(times), rate * day.step_s)
        if day.wave is not None:
            phase = times / day.wave.period_s + day.wave.phase.get(domain, 0.0)
            requests *= 1 + day.wave.swing * np.sin(2 * np.pi * phase)
        for event in day.events:
            concerned = event.domain in (None, domain) and kind.name in (event.kinds or [kind.name])
            if event.event is EventKind.BURST and concerned:
                requests[(times >= event.start_s) & (times < event.end_s)] *= event.factor or 1.0
        result += requests
    return result


def _count_steps(day: Day) -> int:
    return max(1, round(day.seconds / day.step_s))
