"""Decisions of a host that sends requests directly to targets, without input or output."""
