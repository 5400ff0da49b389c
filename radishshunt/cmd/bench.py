"""The ``bench`` command."""

from __future__ import annotations


def bench() -> None:
    """Measure what the router's hops cost."""
