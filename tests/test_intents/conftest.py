"""Fixtures of the tests of request records."""

from __future__ import annotations

import pytest
import trio._core._run as trio_run


@pytest.fixture(autouse=True)
def deterministic_schedule(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make trio schedule tasks in the same order in each run, so that a seed reproduces a run."""
    monkeypatch.setattr(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    trio_run._r.seed(0)
