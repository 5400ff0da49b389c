"""What a host knows and tells of the speed of targets."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from radishshunt.logs import decision
from radishshunt.policy.direct.target_load import LearnedLoad
from radishshunt.policy.target_speed import learning_pays, noise_slowdown
from radishshunt.target_model.changes import MAX_FIRST_ENTRIES, SpeedChanges
from radishshunt.target_model.measurements import WorkMeasurements
from radishshunt.target_model.merged import MergedSpeeds
from radishshunt.target_model.speed_copy import SpeedCopy

if TYPE_CHECKING:
    from collections.abc import Iterable

    from radishshunt.gateway.messages import Report, TargetSpeed, TargetWorkTime
    from radishshunt.gateway.model import TargetEntry
    from radishshunt.gateway.protocol import LoadReport
    from radishshunt.gateway.settings import HostSettings
    from radishshunt.gateway.view import View
    from radishshunt.target_model.speed_copy import LearnedSpeed


class _LearnedLoad(LearnedLoad):
    """View of the model for one target."""

    def __init__(self, model: TargetModel, target: str) -> None:
        self._model = model
        self._target = target

    def work_seconds(self) -> float | None:
        return self._model.work_seconds(self._target)

    def limit(self) -> float | None:
        return self._model.limit(self._target)


class TargetModel:
    """Learned speeds on one host, which merges them while it leads.

    :ivar active: Whether speeds are learned from all hosts. While they are not, nothing is
        measured, stated or used.
    :ivar steps: Number of steps found in the speed of targets while this host led.
    """

    def __init__(self, cfg: HostSettings, view: View) -> None:
        self._setting = cfg.learned_target_speed
        self.active = bool(self._setting)
        self._view = view
        self._copy = SpeedCopy(view.clock)
        self._measurements = WorkMeasurements()
        self._merged = MergedSpeeds(view.clock, self._entry, self._copy)
        self._changes = SpeedChanges(view.clock)

    @property
    def steps(self) -> int:
        """Number of steps found in the speed of targets while this host led."""
        return self._merged.steps

    @property
    def stated(self) -> int:
        """Number of speeds stated to other hosts."""
        return self._changes.stated

    @property
    def known_targets(self) -> int:
        """Number of targets whose speed the leader has stated."""
        return len(self._copy)

    def update_hosts(self, hosts: int) -> None:
        """Decide whether speeds are learned, by the number of hosts that the leader states."""
        self._copy.forget_old()
        self._measurements.forget(self._view.targets)
        if self._setting is not None:
            return
        active = learning_pays(hosts, active=self.active)
        if active != self.active:
            self.active = active
            decision("target-speeds", active=active, hosts=hosts)

    def _entry(self, target: str) -> TargetEntry | None:
        known = self._view.targets.get(target)
        return known.entry if known is not None and not known.gone else None

    # Measurements of this host.

    def on_work(
        self, entry: TargetEntry, route: str, seconds: float, load: LoadReport | None
    ) -> None:
        """Record the work time of an answer, and the load that it reports.

        Cold targets are left out: they are slow for a few seconds, in which their rate is limited.
        """
        if self.active and not self._is_cold(entry):
            ratio, slowdown = self._ratio(entry), 1.0
            if load is not None:
                slowdown = noise_slowdown(load.slowdown, load.running, load.slots)
            self._measurements.on_work(entry.id, route, entry.service, seconds, slowdown, ratio)

    def on_no_answer(self, entry: TargetEntry, route: str, seconds: float) -> None:
        """Record a request that was given up, which took at least this long."""
        if self.active and not self._is_cold(entry):
            self._measurements.on_no_answer(entry.id, route, entry.service, seconds)

    def measured(self, work: TargetWorkTime) -> TargetWorkTime:
        """Return a work time for the next report with what was measured since the last one.

        The host's moving average is replaced by the mean of its new answers: merged over hosts, the
        average would count each answer many times, and what was assumed before the first one.
        """
        taken = self._measurements.take(work.target) if self.active else None
        if taken is None:
            return work
        seconds, ratio, answers = taken
        return replace(work, seconds=seconds, ratio=ratio, samples=answers)

    def _is_cold(self, entry: TargetEntry) -> bool:
        target = self._view.targets.get(entry.id)
        return target is not None and self._view.is_cold(target)

    def _ratio(self, entry: TargetEntry) -> float:
        speed = self._copy.fresh(entry.id, entry.incarnation)
        return speed.ratio if speed is not None else 1.0

    # Use on this host.

    def learned_load(self, target: str) -> LearnedLoad:
        """Return what the load estimate of a target takes from this model."""
        return _LearnedLoad(self, target)

    def work_seconds(self, target: str) -> float | None:
        """Return the expected work time of a target, ``None`` if its speed is not known."""
        if not self.active:
            return None
        entry = self._entry(target)
        if entry is None:
            return None
        speed = self._copy.fresh(target, entry.incarnation)
        seconds = self._measurements.routes.mean_seconds(entry.service)
        return seconds * speed.ratio if speed is not None and seconds is not None else None

    def speed(self, entry: TargetEntry) -> LearnedSpeed | None:
        """Return what has been learned of a target, ``None`` if nothing recent is known."""
        return self._copy.fresh(entry.id, entry.incarnation) if self.active else None

    def limit(self, target: str) -> float | None:
        """Return the number of requests in progress that a target takes, ``None`` if unknown."""
        entry = self._entry(target) if self.active else None
        speed = self._copy.fresh(target, entry.incarnation) if entry is not None else None
        return speed.limit if speed is not None else None

    # Exchange with other hosts.

    def add_report(self, report: Report) -> None:
        """Merge a host's report while this host leads."""
        if self.active:
            self._merged.add_report(report)

    def planned_work_seconds(self, target: str) -> float | None:
        """Return the work time that the leader plans with, ``None`` if it has learned none."""
        return self._merged.work_seconds(target) if self.active else None

    def planned_slots(self, entry: TargetEntry) -> float:
        """Return how many requests the leader plans to run at a target concurrently."""
        if not self.active:
            return entry.slots
        return min(entry.slots, self._merged.limit(entry.id))

    def next_update(self, *, leading: bool) -> tuple[TargetSpeed, ...]:
        """Return the changed speeds for the next update to all hosts.

        The leader uses what it states itself.
        """
        if not self.active or not leading or not self._changes.due():
            return ()
        speeds = self._changes.next_update(self._merged.speeds())
        self._copy.apply(speeds)
        return speeds

    def known(self, *, leading: bool) -> tuple[TargetSpeed, ...]:
        """Return all speeds, for the first update of a link."""
        if not self.active:
            return ()
        speeds = self._merged.speeds() if leading else self._copy.entries()
        if len(speeds) > MAX_FIRST_ENTRIES:
            speeds = sorted(speeds, key=lambda speed: speed.age)[:MAX_FIRST_ENTRIES]
        return tuple(speeds)

    def apply(self, speeds: Iterable[TargetSpeed]) -> None:
        """Take over the speeds that the leader or a backup has stated."""
        self._copy.apply(speeds)
