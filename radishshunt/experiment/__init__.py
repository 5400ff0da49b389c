"""Experiments with the decision code on a simulated clock."""

from __future__ import annotations
