"""Requests that may crash the targets that run them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Suspect:
    """A request that was running on targets when they were lost.

    :param deaths: Incarnations of the lost targets; hosts merge their lists by set union.
    :param expires_at: Seconds since the Unix epoch.
    """

    fingerprint: int
    deaths: list[int]
    idempotency_key: str
    expires_at: float
