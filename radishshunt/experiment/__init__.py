"""Experiments and measurements on simulated clocks."""

from __future__ import annotations
