"""Helpers shared by tests and behave scenarios."""
