"""Experiments that run the policies and the placement on a simulated clock."""

from __future__ import annotations
