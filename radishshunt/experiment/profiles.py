"""Policy variants that experiments compare."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from radishshunt.placement.balanced import BalancedPlacement
from radishshunt.placement.hot_keys import NoIsolation, SpaceSaving
from radishshunt.placement.request_rates import RequestRateEstimator
from radishshunt.placement.static_hash import StaticHash
from radishshunt.policy.admission.expected_wait import ExpectedWait
from radishshunt.policy.balancing.expected_wait import EarliestCompletion
from radishshunt.policy.balancing.reported_load import ReportedLoad
from radishshunt.policy.budgets import REFUSAL_RATIO, RETRY_RATIO
from radishshunt.policy.capacity import STRAGGLER_SHARE
from radishshunt.policy.cold_start.ramp import Ramp
from radishshunt.policy.drain.staged import StagedDrain
from radishshunt.policy.hedging.budgeted import BudgetedHedging
from radishshunt.policy.hedging.never import NoHedging
from radishshunt.policy.lane_state import LaneState
from radishshunt.policy.profile import AdaptiveProfile, BaselineProfile
from radishshunt.policy.queueing.adaptive_lifo import AdaptiveLifo
from radishshunt.policy.queueing.fifo import Fifo
from radishshunt.policy.stragglers.observed import ObservedStragglers

if TYPE_CHECKING:
    from radishshunt.placement import Placement
    from radishshunt.placement.hot_keys import HotKeys
    from radishshunt.policy.balancing import Balancing
    from radishshunt.policy.drain import Drain
    from radishshunt.policy.hedging import Hedging
    from radishshunt.policy.profile import Profile
    from radishshunt.policy.stragglers import StragglerDetector


@dataclass(frozen=True, slots=True)
class Constants:
    """Overrides of policy constants.

    Each dictionary holds keyword arguments for the constructor of one policy class.
    """

    admission: dict[str, Any] = field(default_factory=dict)
    order: dict[str, Any] = field(default_factory=dict)
    ramp: dict[str, Any] = field(default_factory=dict)
    stragglers: dict[str, Any] = field(default_factory=dict)
    balancing: dict[str, Any] = field(default_factory=dict)
    hedging: dict[str, Any] = field(default_factory=dict)
    drain: dict[str, Any] = field(default_factory=dict)
    placement: dict[str, Any] = field(default_factory=dict)
    heat: dict[str, Any] = field(default_factory=dict)
    hot_keys: dict[str, Any] = field(default_factory=dict)
    fifo: bool = False
    send_ahead: int = 0
    retry_ratio: float = RETRY_RATIO
    refusal_ratio: float = REFUSAL_RATIO
    straggler_share: float = STRAGGLER_SHARE
    no_hedging: bool = False
    no_isolation: bool = False


class TunedAdaptive(AdaptiveProfile):
    """The adaptive policies with overridden constants."""

    def __init__(self, constants: Constants) -> None:
        self._constants = constants

    def lane(self, slots: int, cold_slots: int, cold_seconds: float, queue_limit: int) -> LaneState:
        return LaneState(
            slots,
            ExpectedWait(queue_limit, **self._constants.admission),
            Fifo() if self._constants.fifo else AdaptiveLifo(**self._constants.order),
            Ramp(slots, cold_slots, cold_seconds, **self._constants.ramp),
            self._constants.send_ahead,
        )

    def balancing(self) -> Balancing:
        return EarliestCompletion(**self._constants.balancing)

    def stragglers(self) -> StragglerDetector:
        return ObservedStragglers(**self._constants.stragglers)

    def hedging(self) -> Hedging:
        return (
            NoHedging()
            if self._constants.no_hedging
            else BudgetedHedging(**self._constants.hedging)
        )

    def drain(self) -> Drain:
        return StagedDrain(**self._constants.drain)


class ReportedLoadBaseline(BaselineProfile):
    """The baseline policies with least reported load instead of round robin."""

    def balancing(self) -> Balancing:
        return ReportedLoad()


@dataclass(frozen=True, slots=True)
class Variant:
    """One set of policies in a comparison.

    :param name: ``static`` and ``reported`` are the baselines; all other names stand for the
        adaptive policies with the given constants.
    """

    name: str
    constants: Constants = Constants()

    @property
    def adaptive(self) -> bool:
        """Whether this variant runs the adaptive policies and not a baseline."""
        return self.name not in ("static", "reported")

    def profile(self) -> Profile:
        """Return the dispatcher's policies."""
        if self.adaptive:
            return TunedAdaptive(self.constants)
        return ReportedLoadBaseline() if self.name == "reported" else BaselineProfile()

    def placement(self) -> Placement:
        """Return the placement of slices."""
        return BalancedPlacement(**self.constants.placement) if self.adaptive else StaticHash()

    def rate_estimator(self) -> RequestRateEstimator:
        """Return the estimator of the request rates of slices."""
        return RequestRateEstimator(**self.constants.heat)

    def hot_keys(self) -> HotKeys:
        """Return the detector of hot keys to isolate."""
        if not self.adaptive or self.constants.no_isolation:
            return NoIsolation()
        return SpaceSaving(**self.constants.hot_keys)


POLICY = Variant("policy")
STATIC = Variant("static")
REPORTED = Variant("reported")
# Sends one request more than a warm target has slots, for targets that queue requests.
SEND_AHEAD = Variant("policy, send-ahead 1", Constants(send_ahead=1))
