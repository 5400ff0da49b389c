"""Policies of a host that sends requests directly to targets, free of I/O."""
