"""The largest value of a fluid that capacities serve step by step, by linear programming."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy as np

if TYPE_CHECKING:
    from numpy.typing import NDArray

    Floats = NDArray[np.float64]
    Ints = NDArray[np.int64]

# Relative difference between bound and schedule, and overload of the schedule, at which the search
# ends.
PRECISION = 1e-6
# A search that ends here gives a valid bound that is a little too high.
MAX_ITERATIONS = 10_000
CHECK_INTERVAL = 50
RESTART_INTERVAL = 400
# Scaled value of what is not allowed; the scaled values of all options are at most 1.
FORBIDDEN = -10.0


@dataclass(frozen=True, slots=True)
class FluidProblem:
    """Portions of work that arrive at a step and may be done in that step or some steps later.

    :param amount: Work of each portion, shape (portions,).
    :param arrival: Step in which each portion arrives, shape (portions,).
    :param values: Value of one unit of work by portion and number of steps after the arrival, shape
        (portions, options); minus infinity where the work may not be done.
    :param limit: Row of the capacity that limits the portion besides row 0; shape (portions,).
        Row 0 stands for no further limit.
    :param capacities: Work that can be done in each step, shape (rows, steps). Row 0 limits all
        portions together. Has at least as many steps as the last option of any portion needs.
    """

    amount: Floats
    arrival: Ints
    values: Floats
    limit: Ints
    capacities: Floats


@dataclass(frozen=True, slots=True)
class FluidSolution:
    """An upper bound and a schedule that nearly reaches it.

    :param bound: Value that no schedule exceeds.
    :param served: Work done by portion and option; a capacity may be exceeded by rounding.
    :param prices: Value of one more unit of capacity, by row and step.
    """

    bound: float
    served: Floats
    prices: Floats


def solve(problem: FluidProblem) -> FluidSolution:
    """Bound the value of all schedules by the prices of capacity.

    Any prices that are not negative give an upper bound: the price of all capacity, and for each
    portion the best value less prices among its options (weak duality). The prices are found by the
    primal-dual hybrid gradient method with diagonal step sizes and restarts at averages.
    """
    amount, capacities = problem.amount, problem.capacities
    if not len(amount):
        return FluidSolution(0.0, np.zeros_like(problem.values), np.zeros_like(capacities))
    allowed = np.isfinite(problem.values)
    scale = max(problem.values[allowed].max(initial=0.0), 1e-300)
    values = np.where(allowed, problem.values / scale, FORBIDDEN)
    # Row 0 as further limit is replaced by a last row that never binds.
    rows, steps = len(capacities) + 1, capacities.shape[1]
    capacities = np.vstack([capacities, np.full(steps, 4.0 * amount.sum())])
    limit = np.where(problem.limit == 0, rows - 1, problem.limit)
    when = np.minimum(problem.arrival[:, None] + np.arange(values.shape[1]), steps - 1)
    cells = limit[:, None] * steps + when

    def add_up(work: Floats) -> Floats:
        total = np.bincount(cells.ravel(), work.ravel(), rows * steps).reshape(rows, steps)
        total[0] = total.sum(axis=0)
        return total

    def gains(prices: Floats) -> Floats:
        return values - prices[0][when] - prices.ravel()[cells]

    def bound(prices: Floats) -> float:
        best = np.maximum(gains(prices).max(axis=1), 0.0)
        return float((prices * capacities).sum() + amount @ best)

    largest_load = add_up(np.where(allowed, amount[:, None], 0.0))
    step_sizes = np.where(largest_load > 0, 1 / np.maximum(largest_load, 1e-300), 0.0)
    served = np.zeros_like(values)
    served[np.arange(len(amount)), allowed.argmax(axis=1)] = amount * allowed.any(axis=1)
    prices = np.zeros_like(capacities)
    served_sum, prices_sum, count = np.zeros_like(served), np.zeros_like(prices), 0
    least, best_prices = np.inf, prices
    for iteration in range(1, MAX_ITERATIONS + 1):
        moved = _project(served + amount[:, None] / 2 * gains(prices), amount)
        load = add_up(2 * moved - served)
        prices = np.maximum(0.0, prices + step_sizes * (load - capacities))
        served = moved
        served_sum += served
        prices_sum += prices
        count += 1
        if iteration % CHECK_INTERVAL:
            continue
        mean_served, mean_prices = served_sum / count, prices_sum / count
        for candidate in (prices, mean_prices):
            value = bound(candidate)
            if value < least:
                least, best_prices = value, candidate
        overload = np.maximum(add_up(mean_served) - capacities, 0.0).sum()
        reached = float((mean_served * np.where(allowed, values, 0.0)).sum())
        if least - reached <= PRECISION * least and overload <= PRECISION * amount.sum():
            break
        if iteration % RESTART_INTERVAL == 0:
            if bound(mean_prices) < bound(prices):
                served, prices = mean_served, mean_prices
            served_sum, prices_sum, count = np.zeros_like(served), np.zeros_like(prices), 0
    return FluidSolution(least * scale, mean_served, best_prices[:-1] * scale)


def _project(work: Floats, amount: Floats) -> Floats:
    """Return the nearest work that is not negative and in sum at most each portion's amount."""
    result = np.maximum(work, 0.0)
    above = result.sum(axis=1) > amount
    if above.any():
        work = work[above]
        ordered = -np.sort(-work, axis=1)
        excess = np.cumsum(ordered, axis=1) - amount[above][:, None]
        counts = np.arange(1, work.shape[1] + 1)
        used = (ordered * counts > excess).sum(axis=1)
        shift = excess[np.arange(len(work)), used - 1] / used
        result[above] = np.maximum(work - shift[:, None], 0.0)
    return result
