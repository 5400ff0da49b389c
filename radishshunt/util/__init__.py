"""Helpers that know nothing of routing."""

from __future__ import annotations
