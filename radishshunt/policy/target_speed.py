"""Learned speed of targets, relative to the others of their service.

Load pattern: 67 hosts and 137 targets, each with 7 requests per second, so that one host gets an
answer from a target every ten seconds. Targets differ by a factor of 0.5 to 1.6; some become three
times slower within a moment. Work times of one kind of request vary by 0.3 to 0.8 of their mean,
and 1 to 3% take 5 to 7 times as long. A moving average of the answers to one host takes minutes to
tell the targets apart, and the mean of all hosts' answers jumps with each long request.

The logarithm of the work ratio is estimated, in which a change of speed is a shift and a long
request no more than three deviations. A Kalman filter with clipped innovations follows slow
changes; a two-sided cumulative sum finds steps, after which the filter starts again from the
answers since the step.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Deviation of the logarithm of the work ratio between targets of a service, and of one answer,
# before they are known.
INITIAL_SPREAD = 0.3
INITIAL_DEVIATION = 0.6
# The deviation between targets is not estimated from fewer targets, nor below the minimum.
MIN_SPREAD_TARGETS = 5
MIN_SPREAD = 0.1
# A target further from the centre counts as this many deviations.
OUTLIER_SPREADS = 2.0
# Variance by which a target's logarithmic ratio changes in a second without a step.
DRIFT_PER_SECOND = 3e-4
# Innovations are clipped at this many deviations, and the gain makes up for the clipped part of a
# normal distribution.
CLIP_DEVIATIONS = 1.2
CLIP_GAIN = 1.3
# Cumulative sum: clipped deviation of one answer, the part that counts as chance, and the sum that
# counts as a step. Sums of 5 or 6 gave false steps after a few long requests.
STEP_CLIP_DEVIATIONS = 2.2
STEP_SLACK_DEVIATIONS = 0.7
STEP_THRESHOLD = 7.0
# Answers kept for the restart after a step, and the deviation assumed then.
RECENT_ANSWERS = 24
STEP_SPREAD = 0.5
# Bounds of the expected work times that are told apart, which make 28 classes, and of the deviation
# of an answer.
MIN_CLASS_SECONDS = 0.001
MAX_CLASS_SECONDS = 16.0
MIN_DEVIATION = 0.1
# Bounds of one measured ratio.
MIN_RATIO = 0.05
MAX_RATIO = 20.0
# Weight of the newest answer in the mean work time of a route or service, once there are many.
MEAN_WEIGHT = 0.02
# The same at the leader, which gets about a thousand answers a second.
SERVICE_MEAN_WEIGHT = 5e-4
# Answers of a route before ratios are measured against its mean.
MIN_ROUTE_ANSWERS = 4
# A reported slowdown up to this factor is taken for noise and removed from the work time. A higher
# one lasts for seconds, so that work has to move away, and stays in the measurement.
MAX_NOISE_SLOWDOWN = 4.0
# Learned speeds are used from this number of hosts on, and given up below the second one. The
# moving average of a host's own answers spans ten of them, which at 7 answers per second from each
# target take 16 s for 11 hosts, 34 s for 24 and 96 s for 67; targets change within seconds.
LEARNING_HOSTS = 24
OWN_MEASUREMENT_HOSTS = 18


def learning_pays(hosts: int, *, active: bool) -> bool:
    """Return whether hosts get too few answers from each target to learn its speed alone.

    :param hosts: Number of hosts that the leader states.
    :param active: Whether speeds have been learned from all hosts until now.
    """
    return hosts >= (OWN_MEASUREMENT_HOSTS if active else LEARNING_HOSTS)


@dataclass(slots=True)
class _ClassVariance:
    variance: float
    answers: int = 0


def _work_class(seconds: float) -> int:
    """Return the class of an expected work time; neighbouring classes differ by a factor of 1.4."""
    return round(2.0 * math.log2(min(MAX_CLASS_SECONDS, max(MIN_CLASS_SECONDS, seconds))))


@dataclass(slots=True)
class ServiceSpeeds:
    """Distribution of the work ratios in a service.

    :ivar centre: Mean of the targets' logarithmic ratios.
    :ivar spread: Standard deviation between the targets.
    :ivar variance: Variance of one answer around the estimate of its target.
    :ivar variances: The same for answers of requests with similar expected work times, by
        :func:`_work_class`.
    :ivar seconds: Mean work time of a target with a ratio of 1.
    """

    centre: float = 0.0
    spread: float = INITIAL_SPREAD
    variance: float = INITIAL_DEVIATION**2
    variances: dict[int, _ClassVariance] = field(default_factory=dict)
    seconds: float = 0.0
    answers: int = 0

    def add_work(self, seconds: float, ratio: float, answers: int) -> None:
        """Record the mean work time of some answers of a target.

        :param ratio: Estimated work ratio of the target.
        """
        self.answers += answers
        weight = min(1.0, max(answers / self.answers, SERVICE_MEAN_WEIGHT * answers))
        self.seconds += weight * (seconds / ratio - self.seconds)

    def add_residual(self, residual: float, answers: int, expected_seconds: float) -> float:
        """Record the deviation of a report from the estimate.

        Kinds of requests with little spread tell more of a target's speed. The leader does not know
        the kinds, but those with different spread mostly differ in their expected work time.

        :param expected_seconds: Mean expected work time of the answered requests.
        :return: Variance to expect of one such answer.
        """
        square = residual * residual * answers
        weight = max(1.0 / (self.answers + 20), 0.002)
        self.variance += weight * (min(square, 6.25 * self.variance) - self.variance)
        name = _work_class(expected_seconds)
        known = self.variances.get(name)
        if known is None:
            known = self.variances[name] = _ClassVariance(self.variance)
        known.answers += answers
        weight = max(1.0 / (known.answers + 20), 0.005)
        known.variance += weight * (min(square, 6.25 * known.variance) - known.variance)
        return max(MIN_DEVIATION**2, known.variance)

    def update(self, estimates: Iterable[SpeedEstimate]) -> None:
        """Derive the centre and the spread from the estimates of all targets."""
        known = [estimate for estimate in estimates if estimate.answers]
        if not known:
            return
        # Targets that are slow for some seconds must neither shift the centre, to which all others
        # are relative, nor widen the distribution.
        limit = OUTLIER_SPREADS * self.spread
        self.centre += sum(
            min(limit, max(-limit, estimate.mean - self.centre)) for estimate in known
        ) / len(known)
        if len(known) < MIN_SPREAD_TARGETS:
            return
        # Estimates are drawn towards the centre by what their variance adds.
        square = sum(
            min(abs(estimate.mean - self.centre), limit) ** 2 + estimate.variance
            for estimate in known
        )
        self.spread = max(MIN_SPREAD, math.sqrt(square / len(known)))


@dataclass(slots=True)
class SpeedEstimate:
    """Estimate of the logarithm of one target's work ratio.

    :ivar mean: Estimated logarithm.
    :ivar variance: Variance of the estimate.
    :ivar answers: Number of answers that it rests on.
    :ivar measured_at: Time of the last answer, on the leader's clock.
    :ivar steps: Number of steps found.
    """

    mean: float
    variance: float
    measured_at: float
    answers: int = 0
    steps: int = 0
    _rise: float = 0.0
    _fall: float = 0.0
    # Number of reports since the sums were last zero, and the last reports with their variance.
    _since_rise: int = 0
    _since_fall: int = 0
    _recent: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=RECENT_ANSWERS)
    )

    @property
    def error(self) -> float:
        """Standard error of the logarithm."""
        return math.sqrt(self.variance)

    def add(
        self,
        ratio: float,
        answers: int,
        expected_seconds: float,
        service: ServiceSpeeds,
        now: float,
    ) -> bool:
        """Record the geometric mean of the work ratios of some answers.

        :param expected_seconds: Mean expected work time of the answered requests.
        :return: Whether a step was found.
        """
        value = math.log(min(MAX_RATIO, max(MIN_RATIO, ratio)))
        self.variance += DRIFT_PER_SECOND * max(0.0, now - self.measured_at)
        self.measured_at = now
        self.answers += answers
        residual = value - self.mean
        noise = service.add_residual(residual, answers, expected_seconds) / answers
        self._recent.append((value, noise))
        if self._find_step(residual, noise):
            return True
        self._filter(value, noise)
        return False

    def _filter(self, value: float, noise: float) -> None:
        total = self.variance + noise
        limit = CLIP_DEVIATIONS * math.sqrt(total)
        gain = self.variance / total
        self.mean += CLIP_GAIN * gain * min(limit, max(-limit, value - self.mean))
        self.variance *= 1.0 - gain

    def _find_step(self, residual: float, noise: float) -> bool:
        deviation = residual / math.sqrt(noise + self.variance)
        deviation = min(STEP_CLIP_DEVIATIONS, max(-STEP_CLIP_DEVIATIONS, deviation))
        self._since_rise = self._since_rise + 1 if self._rise else 1
        self._since_fall = self._since_fall + 1 if self._fall else 1
        self._rise = max(0.0, self._rise + deviation - STEP_SLACK_DEVIATIONS)
        self._fall = max(0.0, self._fall - deviation - STEP_SLACK_DEVIATIONS)
        if max(self._rise, self._fall) < STEP_THRESHOLD:
            return False
        count = self._since_rise if self._rise > self._fall else self._since_fall
        since = list(self._recent)[-count:]
        self.mean = sorted(value for value, _ in since)[len(since) // 2]
        self.variance = STEP_SPREAD**2
        for value, noise_then in since:
            self._filter(value, noise_then)
        self._rise = self._fall = 0.0
        self.steps += 1
        return True


def start_estimate(service: ServiceSpeeds, now: float) -> SpeedEstimate:
    """Return the estimate of a target without answers: that of its service."""
    return SpeedEstimate(service.centre, service.spread**2, now)


@dataclass(slots=True)
class _RouteMean:
    logarithm: float = 0.0
    answers: int = 0


class RouteWorkTimes:
    """Work times that a host expects of its routes and services at a target of usual speed.

    Load pattern: kinds of requests whose work times differ by a factor of ten. A target that was
    sent more of the long ones by chance must not seem slow. The host's answers from all targets
    count, each corrected by the learned speed of its target.
    """

    def __init__(self) -> None:
        self._routes: dict[tuple[str, str], _RouteMean] = {}
        self._services: dict[str, tuple[float, int]] = {}

    def expected(self, route: str, service: str) -> float | None:
        """Return the typical (geometric mean) work time in seconds, ``None`` if unknown."""
        mean = self._routes.get((route, service))
        if mean is None or mean.answers < MIN_ROUTE_ANSWERS:
            return None
        return math.exp(mean.logarithm)

    def mean_seconds(self, service: str) -> float | None:
        """Return the mean work time of a service in seconds, ``None`` if unknown."""
        seconds, answers = self._services.get(service, (0.0, 0))
        return seconds if answers >= MIN_ROUTE_ANSWERS else None

    def on_work(
        self, route: str, service: str, seconds: float, slowdown: float, ratio: float
    ) -> None:
        """Record the work time of an answer.

        :param slowdown: Part of it that was noise, see :func:`noise_slowdown`.
        :param ratio: Learned work ratio of the target.
        """
        mean = self._routes.setdefault((route, service), _RouteMean())
        mean.answers += 1
        value = math.log(seconds / slowdown / ratio)
        mean.logarithm += max(MEAN_WEIGHT, 1.0 / mean.answers) * (value - mean.logarithm)
        known, answers = self._services.get(service, (0.0, 0))
        weight = max(MEAN_WEIGHT, 1.0 / (answers + 1))
        self._services[service] = (known + weight * (seconds / ratio - known), answers + 1)


def noise_slowdown(slowdown: float, running: int, slots: int) -> float:
    """Return the part of a reported slowdown that is no property of the target, at least 1.

    Some targets slow down as their slots fill up. That must stay in the measurement, so that their
    concurrency limit is learned.

    :param running: Number of requests that the target was running beside the answered one.
    """
    if running and running + 1 > slots / 2:
        return 1.0
    return max(1.0, slowdown) if slowdown <= MAX_NOISE_SLOWDOWN else 1.0
