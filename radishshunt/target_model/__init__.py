"""Speed of targets as learned from the answers to all hosts.

The leader merges the reports of the hosts (:mod:`.merged`) and states what has changed
(:mod:`.changes`); each host keeps a copy (:mod:`.speed_copy`) and measures its own answers
(:mod:`.measurements`). :class:`TargetModel` joins these parts for the host.
"""

from __future__ import annotations

from radishshunt.target_model.model import TargetModel

__all__ = ["TargetModel"]
