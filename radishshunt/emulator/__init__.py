"""Stand-ins for the platform and the targets, for a first look, tests and measurements."""

from __future__ import annotations
