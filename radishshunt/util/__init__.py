"""General-purpose helpers without routing logic."""

from __future__ import annotations
