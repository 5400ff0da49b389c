"""Requests that may crash the targets that run them."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Suspect:
    """A request that was running on targets when they were lost.

    :param deaths: Incarnations of the lost targets; hosts merge their lists by set union.
    :param expires_at: Seconds since the Unix epoch.
    :param concurrent: The losses among them of attempts that were sent before any other loss was
        known.
    :param cleared: Incarnations whose loss the request did not cause.
    """

    fingerprint: int
    deaths: list[int]
    idempotency_key: str
    expires_at: float
    concurrent: list[int] = field(default_factory=list)
    cleared: list[int] = field(default_factory=list)
