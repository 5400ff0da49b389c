"""Decoding of targets' entries and of the configuration."""

from __future__ import annotations

import json

import pytest

from radishshunt.errors import ProtocolError
from radishshunt.platform.catalog import decode_configuration, decode_target
from tests.test_gateway.conftest import CONFIGURATION, entry_value


def _entry(path: str, value: object) -> bytes:
    doc = json.loads(entry_value())
    *parents, leaf = path.split(".")
    table = doc
    for parent in parents:
        table = table[parent]
    table[leaf] = value
    return json.dumps(doc).encode()


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("Addr", 5),
        ("Addr", "nowhere"),
        ("Addr", "127.0.0.1:99999"),
        ("Addr", "10.0..7:80"),
        ("Addr", ".:80"),
        ("Addr", "a" * 300 + ":80"),
        ("Addr", "127.0.0.1\x00:80"),
        ("Addr", "a.example:80"),
        ("Addr", "[::1]:80"),
        ("Addr", "127.0.0.1:\u0661"),
        ("Info.Service", ""),
        ("Info.Service", None),
        ("Info.Version", 3),
        ("Info.Capacity", "3"),
        ("Info.Capacity", 0),
        ("Info.Capacity", True),
        ("Info.Capacity", 10**20),
        ("born", 2**63),
        ("Status.State", "asleep"),
        ("Status.Sequence", -1),
        ("Status.WarmupLeftMs", "0"),
        ("Status", []),
        ("born", 1.5),
    ],
)
def test_malformed_entry_names_no_target(path: str, value: object) -> None:
    """Guards against requests to an address from an entry that another writer left."""
    with pytest.raises(ProtocolError):
        decode_target("i-1", _entry(path, value))


@pytest.mark.parametrize(
    "value", [b"", b"\xff\xfe", b"[]", b"{}", b"null", b'{"Addr": "a:1"}', b'{"Info":' * 2000]
)
def test_unreadable_entry_names_no_target(value: bytes) -> None:
    """Guards against a follower that stops at bytes that cannot be read."""
    with pytest.raises(ProtocolError):
        decode_target("i-1", value)


@pytest.mark.parametrize("key", ["", "i 1", "i-1\r\nX-Other: 1", "i-\xe9", "i\x00"])
def test_id_that_no_header_can_carry_names_no_target(key: str) -> None:
    """Guards against requests that cannot be sent, or carry a header of another writer."""
    with pytest.raises(ProtocolError):
        decode_target(key, entry_value())


def test_unknown_fields_are_ignored() -> None:
    """Guards against an entry that is refused because of a field of a later version."""
    target = decode_target("i-1", _entry("Status.Mood", "good"))
    assert (target.id, target.slots, target.incarnation) == ("i-1", 3, 1)


@pytest.mark.parametrize("value", [b"", b"\xff", b"[]", b'{"Version": 1}', b'{"Version": "x"}'])
def test_malformed_configuration_is_refused(value: bytes) -> None:
    """Guards against serving by a configuration of which a part could not be read."""
    with pytest.raises(ProtocolError):
        decode_configuration(value)


def test_route_without_a_service_is_refused() -> None:
    """Guards against a route whose requests no service can run."""
    doc = json.loads(json.dumps(CONFIGURATION))
    del doc["Resources"][0]["Spec"]["Service"]
    with pytest.raises(ProtocolError):
        decode_configuration(json.dumps(doc).encode())


def test_configuration_whose_version_exceeds_64_bits_is_unreadable() -> None:
    """Guards against hosts that cannot tell the leader which configuration is in force."""
    value = json.dumps({**CONFIGURATION, "Version": 2**64}).encode()
    with pytest.raises(ProtocolError):
        decode_configuration(value)
