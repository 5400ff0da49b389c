"""Sets of policies that a dispatcher uses together."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from radishshunt.policy.admission.expected_wait import ExpectedWait
from radishshunt.policy.admission.queue_limit import QueueLimit
from radishshunt.policy.balancing.expected_wait import EarliestCompletion
from radishshunt.policy.balancing.round_robin import RoundRobin
from radishshunt.policy.cold_start.ramp import Ramp
from radishshunt.policy.cold_start.unbounded import UnlimitedColdStart
from radishshunt.policy.drain.immediate import ImmediateDrain
from radishshunt.policy.drain.staged import StagedDrain
from radishshunt.policy.hedging.budgeted import BudgetedHedging
from radishshunt.policy.hedging.never import NoHedging
from radishshunt.policy.lane_state import LaneState
from radishshunt.policy.queueing.adaptive_lifo import AdaptiveLifo
from radishshunt.policy.queueing.fifo import Fifo
from radishshunt.policy.stragglers.observed import ObservedStragglers
from radishshunt.policy.stragglers.reported import ReportedStragglers

if TYPE_CHECKING:
    from radishshunt.policy.balancing import Balancing
    from radishshunt.policy.drain import Drain
    from radishshunt.policy.hedging import Hedging
    from radishshunt.policy.stragglers import StragglerDetector


class Profile(ABC):
    """Creates the policies of one group's dispatcher."""

    @abstractmethod
    def lane(self, slots: int, cold_slots: int, cold_seconds: float, queue_limit: int) -> LaneState:
        """Return the slots and the queue of a target, with their policies.

        :param slots: Number of requests that the target runs concurrently when it is warm.
        :param cold_slots: The same during a cold start.
        :param cold_seconds: Duration of a cold start.
        :param queue_limit: Maximum number of waiting requests.
        """

    @abstractmethod
    def balancing(self) -> Balancing:
        """Return the load balancing among a group's targets."""

    @abstractmethod
    def stragglers(self) -> StragglerDetector:
        """Return the detector of stragglers."""

    @abstractmethod
    def hedging(self) -> Hedging:
        """Return the hedging policy."""

    @abstractmethod
    def drain(self) -> Drain:
        """Return the policy for targets whose domain is taken out or brought back."""


class AdaptiveProfile(Profile):
    """Policies that adapt to measured load; dispatchers use these."""

    def lane(self, slots: int, cold_slots: int, cold_seconds: float, queue_limit: int) -> LaneState:
        return LaneState(
            slots,
            ExpectedWait(queue_limit),
            AdaptiveLifo(),
            Ramp(slots, cold_slots, cold_seconds),
        )

    def balancing(self) -> Balancing:
        return EarliestCompletion()

    def stragglers(self) -> StragglerDetector:
        return ObservedStragglers()

    def hedging(self) -> Hedging:
        return BudgetedHedging()

    def drain(self) -> Drain:
        return StagedDrain()


class BaselineProfile(Profile):
    """Baseline policies, for comparison."""

    def lane(self, slots: int, cold_slots: int, cold_seconds: float, queue_limit: int) -> LaneState:
        return LaneState(slots, QueueLimit(queue_limit), Fifo(), UnlimitedColdStart(slots))

    def balancing(self) -> Balancing:
        return RoundRobin()

    def stragglers(self) -> StragglerDetector:
        return ReportedStragglers()

    def hedging(self) -> Hedging:
        return NoHedging()

    def drain(self) -> Drain:
        return ImmediateDrain()
