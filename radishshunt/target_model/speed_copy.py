"""This host's copy of the speeds that the leader has learned."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from radishshunt.gateway.messages import TargetSpeed

if TYPE_CHECKING:
    from collections.abc import Iterable

    from radishshunt.clock import Clock

# Age of the last measurement from which a speed is not used any more. The leader states each speed
# that is still measured again within 6 s; a host alone has two answers of a target in 20 s.
MAX_AGE_SECONDS = 20.0
# Entries of targets that have not been stated for this long are dropped.
RETENTION_SECONDS = 120.0
# Numbers outside these bounds are not learned from any target, so that their message is faulty.
MIN_RATIO = 0.01
MAX_RATIO = 100.0


@dataclass(slots=True)
class LearnedSpeed:
    """Learned speed of a target.

    :param limit: Number of requests in progress that the target takes well.
    :param measured_at: Time of the last measurement, on this host's clock.
    :param expires_at: Time from which the speed is too old to be used.
    """

    incarnation: int
    ratio: float
    error: float
    limit: float
    measured_at: float
    expires_at: float


class SpeedCopy:
    """Speeds that the leader has stated last."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._speeds: dict[str, LearnedSpeed] = {}

    def __len__(self) -> int:
        return len(self._speeds)

    def apply(self, speeds: Iterable[TargetSpeed]) -> None:
        """Take over speeds, unless they are older than those known."""
        now = self._clock.now()
        for speed in speeds:
            measured_at = now - max(0.0, speed.age)
            known = self._speeds.get(speed.target)
            if (
                not MIN_RATIO < speed.work_ratio < MAX_RATIO
                or not speed.error >= 0.0
                or not speed.in_progress >= 1.0
                or not speed.age <= RETENTION_SECONDS
                or (
                    known is not None
                    and known.incarnation >= speed.incarnation
                    and known.measured_at > measured_at + 1.0
                )
            ):
                continue
            self._speeds[speed.target] = LearnedSpeed(
                speed.incarnation,
                speed.work_ratio,
                speed.error,
                speed.in_progress,
                measured_at,
                measured_at + MAX_AGE_SECONDS,
            )

    def fresh(self, target: str, incarnation: int) -> LearnedSpeed | None:
        """Return the speed of a target's process if it is recent."""
        speed = self._speeds.get(target)
        if speed is None or speed.incarnation != incarnation:
            return None
        return speed if self._clock.now() < speed.expires_at else None

    def entries(self) -> list[TargetSpeed]:
        """Return all recent speeds with their ages."""
        now = self._clock.now()
        return [
            TargetSpeed(
                target,
                speed.incarnation,
                speed.ratio,
                speed.error,
                speed.limit,
                now - speed.measured_at,
            )
            for target, speed in self._speeds.items()
            if now < speed.expires_at
        ]

    def forget_old(self) -> None:
        """Drop speeds that have not been stated for a long time."""
        oldest = self._clock.now() - RETENTION_SECONDS
        self._speeds = {
            target: speed for target, speed in self._speeds.items() if speed.measured_at > oldest
        }
