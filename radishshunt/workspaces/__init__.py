"""Workspaces: who calls, how long their keys count, and how much they may send."""
