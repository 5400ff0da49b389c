"""The row that names the leader, and its encoding in the store."""

from __future__ import annotations

import json
from dataclasses import dataclass

import msgspec

from radishshunt.errors import ProtocolError
from radishshunt.util.json_decoder import JsonDecoder

LEADER_KEY = "leader"


@dataclass(frozen=True, slots=True)
class Leader:
    """The leader according to its row in the store.

    :param term: Random identifier of the term.
    :param address: Address of its port for other hosts.
    """

    host: str = ""
    address: str = ""
    term: str = ""
    version: int = 0


class _LeaderRow(msgspec.Struct):
    host: str
    address: str
    term: str


_DECODER = JsonDecoder(_LeaderRow)


def encode_leader(leader: Leader) -> bytes:
    """Encode the value of the leader's row."""
    return json.dumps(
        {"host": leader.host, "address": leader.address, "term": leader.term}
    ).encode()


def decode_leader(value: bytes, version: int = 0) -> Leader:
    """Decode the value of the leader's row.

    :param version: Version of the row.
    :raises ProtocolError: If the value is malformed.
    """
    try:
        row = _DECODER.decode(value)
    except ProtocolError as exc:
        raise ProtocolError(f"leader row: {exc}") from exc
    return Leader(row.host, row.address, row.term, version)
