"""Hooks that behave runs around scenarios."""

from __future__ import annotations

from contextlib import ExitStack
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from behave.model import Scenario
    from behave.runner import Context


def before_scenario(context: Context, _scenario: Scenario) -> None:
    """Create a stack of cleanup callbacks for the scenario."""
    context.exit_stack = ExitStack()


def after_scenario(context: Context, _scenario: Scenario) -> None:
    """Run the cleanup callbacks, which kill the processes that the scenario started."""
    context.exit_stack.close()
