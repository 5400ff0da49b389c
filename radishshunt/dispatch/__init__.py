"""Dispatchers: for each group, the one host that sends requests to its targets."""

from __future__ import annotations
