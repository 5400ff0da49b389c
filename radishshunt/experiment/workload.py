"""Open-loop arrivals of requests for keys whose popularity follows a Zipf distribution."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy as np

from radishshunt.experiment.deployments import (
    KEY_COUNT,
    SERVICE_SECONDS,
    SERVICE_SIGMA,
    SLICES,
    ZIPF_EXPONENT,
)
from radishshunt.hashing import slice_of

if TYPE_CHECKING:
    from collections.abc import Sequence

# Number of the hottest keys that swap popularity with random keys at a shift.
SHIFTED_KEY_COUNT = 200


@dataclass(slots=True)
class Workload:
    """Requests of one run.

    :param times: Arrival times in seconds, ascending.
    :param keys: Key of each request.
    :param service_times: Service time of each request on a warm target, in seconds.
    :param repeatable: Whether each request is idempotent.
    :param slice_of_key: Slice of each key.
    :param shift_times: Times from which a new popularity of keys holds, the first is 0.
    :param shares: For each of these times, the share of requests of each key from then on.
    """

    times: list[float]
    keys: list[int]
    service_times: list[float]
    repeatable: list[bool]
    slice_of_key: list[int]
    shift_times: list[float]
    shares: list[np.ndarray]

    def key_shares_at(self, time: float) -> np.ndarray:
        """Return the share of requests of each key at a time."""
        index = sum(1 for shift in self.shift_times if shift <= time) - 1
        return self.shares[index]


def make_workload(
    rate: float,
    seconds: float,
    seed: int,
    shift_times: Sequence[float] = (),
    slices: int = SLICES,
    exponent: float = ZIPF_EXPONENT,
    service_seconds: float = SERVICE_SECONDS,
) -> Workload:
    """Return the requests of a run.

    :param rate: Requests per second; arrivals don't wait for answers.
    :param shift_times: Times at which the hottest keys change.
    :param exponent: Exponent of the Zipf distribution.
    :param service_seconds: Mean service time.
    """
    rng = np.random.default_rng(seed)
    weights = np.arange(1, KEY_COUNT + 1) ** -exponent
    shares = rng.permutation(weights / weights.sum())
    all_shares = [shares]
    for _ in shift_times:
        all_shares.append(_exchange_hot_keys(all_shares[-1], rng))
    count = int(rate * seconds * 1.05) + 100
    times = np.cumsum(rng.exponential(1 / rate, count))
    times = times[times < seconds]
    keys = np.empty(len(times), dtype=np.int64)
    period_bounds = [0.0, *shift_times, seconds]
    for index, key_shares in enumerate(all_shares):
        first, last = np.searchsorted(times, [period_bounds[index], period_bounds[index + 1]])
        cumulative = np.cumsum(key_shares)
        picked_keys = np.searchsorted(cumulative, rng.random(last - first) * cumulative[-1])
        keys[first:last] = np.minimum(picked_keys, KEY_COUNT - 1)
    mean_log = np.log(service_seconds) - SERVICE_SIGMA**2 / 2
    return Workload(
        times=times.tolist(),
        keys=keys.tolist(),
        service_times=rng.lognormal(mean_log, SERVICE_SIGMA, len(times)).tolist(),
        repeatable=(rng.random(len(times)) < 0.8).tolist(),
        slice_of_key=[slice_of(f"key-{seed}-{k}", slices) for k in range(KEY_COUNT)],
        shift_times=[0.0, *shift_times],
        shares=all_shares,
    )


def _exchange_hot_keys(shares: np.ndarray, rng: np.random.Generator) -> np.ndarray:
    """Swap the popularity of the hottest keys with that of random keys."""
    result = shares.copy()
    hot = np.argsort(shares)[-SHIFTED_KEY_COUNT:]
    others = rng.choice(KEY_COUNT, SHIFTED_KEY_COUNT, replace=False)
    for one, other in zip(hot, others, strict=True):
        result[one], result[other] = result[other], result[one]
    return result
