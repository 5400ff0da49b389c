"""State that a view keeps of targets."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from radishshunt.policy.direct.target_statements import NEVER

if TYPE_CHECKING:
    from radishshunt.gateway.model import TargetEntry
    from radishshunt.policy.direct.target_statements import StatedState


@dataclass(slots=True)
class Target:
    """State of a target in the local view.

    :param cold_until: Time on the host's clock until which the target is cold.
    :param leaving_since: Time on the host's clock before which the target's entry did not say that
        it is draining or gone, or at which it stated itself that it is leaving; or ``None``.
    :param gone: Whether the target's entry is absent from the store.
    :param expired_in_outage: Whether the entry may have expired because of an outage of the store.
    """

    entry: TargetEntry
    cold_until: float
    leaving_since: float | None = None
    gone: bool = False
    expired_in_outage: bool = False

    def apply_stated(self, stated: StatedState | None) -> None:
        """Apply what the target's process has stated itself; ``None`` if it has stated nothing."""
        if stated is None:
            return
        if stated.leaving_since != NEVER:
            since = stated.leaving_since
            self.leaving_since = (
                since if self.leaving_since is None else min(self.leaving_since, since)
            )
        self.cold_until = max(self.cold_until, stated.cold_until)
