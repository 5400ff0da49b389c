"""Modules that a host on the users' platform loads at its start."""

from __future__ import annotations

import subprocess
import sys

import pytest

COMMAND = "import sys, radishshunt.platform.serve; print('\\n'.join(sys.modules))"
UNUSED = ("httpx", "matplotlib", "numpy", "pydantic", "quart", "typer", "yaml")


@pytest.fixture(scope="module")
def loaded_modules() -> set[str]:
    """Return the modules that a new process has loaded before it serves."""
    result = subprocess.run(
        [sys.executable, "-c", COMMAND], stdout=subprocess.PIPE, text=True, check=True
    )
    return set(result.stdout.split())


@pytest.mark.parametrize("name", UNUSED)
def test_serving_process_does_not_load_unused_libraries(
    loaded_modules: set[str], name: str
) -> None:
    """Guards against slow starts and memory for libraries that only other commands need."""
    assert name not in loaded_modules
