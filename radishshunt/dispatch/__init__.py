"""Dispatching: the one host that sends to a group's targets."""

from __future__ import annotations
