"""Load and failure policies, free of I/O, each with a simple baseline for comparison."""

from __future__ import annotations
