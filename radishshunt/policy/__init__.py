"""Decisions under load and faults, free of I/O; every one has a plain baseline beside it."""

from __future__ import annotations
