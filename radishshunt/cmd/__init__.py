"""Command-line interface."""

from __future__ import annotations
