"""Hooks of the scenarios."""

from __future__ import annotations

from contextlib import ExitStack
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from behave.model import Scenario
    from behave.runner import Context


def before_scenario(context: Context, _scenario: Scenario) -> None:
    """Give each scenario a stack of things to end."""
    context.stack = ExitStack()


def after_scenario(context: Context, _scenario: Scenario) -> None:
    """End the processes that the scenario started."""
    context.stack.close()
