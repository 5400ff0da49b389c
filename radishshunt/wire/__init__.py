"""The protocol between hosts: capnp messages over TCP."""

from __future__ import annotations
