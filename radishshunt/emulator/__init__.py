"""Emulators of the platform, the targets and the network, for demos, tests and benchmarks."""

from __future__ import annotations
