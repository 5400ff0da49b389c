"""Fixtures of the tests of records."""

from __future__ import annotations

import pytest
import trio._core._run as trio_run


@pytest.fixture(autouse=True)
def same_schedule(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let trio schedule tasks in the same order at each run, so that a seed can be repeated."""
    monkeypatch.setattr(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    trio_run._r.seed(0)
