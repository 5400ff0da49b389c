"""Answers of the store that cannot be read."""

from __future__ import annotations

import base64
import json
from contextlib import suppress
from typing import TYPE_CHECKING

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from radishshunt.errors import PlatformOutcomeUnknown, PlatformUnavailable, ProtocolError
from radishshunt.gateway.exchange import HttpResponse
from radishshunt.gateway.rows import HistoryLost, StoreRestored, Topic
from radishshunt.platform.store import HttpRowStore

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

EXPECTED = (
    PlatformUnavailable,
    PlatformOutcomeUnknown,
    ProtocolError,
    HistoryLost,
    StoreRestored,
)
CALLS: dict[str, Callable[[HttpRowStore], Awaitable[object]]] = {
    "read": lambda store: store.read(Topic.OWN),
    "changes": lambda store: store.changes(Topic.TARGETS, 5, 0.0),
    "commit": lambda store: store.commit({"a": 0}, [("a", b'{"b":1}')]),
}
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
    lambda values: st.lists(values, max_size=2)
    | st.dictionaries(st.text(max_size=4), values, max_size=2),
    max_leaves=5,
)
ROW = {"Table": "t", "part": "", "Key": "leader", "RowVersion": 4, "Value": "e30="}
ROWS = st.fixed_dictionaries({}, optional={name: VALUES | st.just(v) for name, v in ROW.items()})
ANSWERS = st.fixed_dictionaries(
    {},
    optional={
        "Rows": st.lists(ROWS, max_size=3) | VALUES,
        "RowVersion": VALUES | st.just(7),
        "HasMore": VALUES,
        "TimeMs": VALUES,
    },
)
NUMBERS = st.sampled_from([b"", b"1", b"-1", b"x", b"9" * 5000, b"\xb2", b"1e3"])


class _Pool:
    """Gives the same answer to each call."""

    def __init__(self, answer: HttpResponse) -> None:
        self.answer = answer

    async def exchange(self, *_args: object, **_kwargs: object) -> HttpResponse:
        await trio.lowlevel.checkpoint()
        return self.answer


def _call(name: str, answer: HttpResponse) -> object:
    """Make a call to a store that gives an answer to each call."""

    async def run() -> object:
        store = HttpRowStore("127.0.0.1:1")
        store._pool = _Pool(answer)
        # The rows of an answer may never be the last ones.
        with trio.move_on_after(0.05):
            return await CALLS[name](store)
        return None

    return trio.run(run)


@pytest.mark.parametrize("name", CALLS)
@pytest.mark.parametrize("status", [200, 412])
@pytest.mark.parametrize("body", [b"", b"[" * 5000, b'{"Rows":' * 5000, b"[]", b"\xff", b"1"])
def test_unreadable_answer_is_a_failed_call(name: str, status: int, body: bytes) -> None:
    """Guards against a host that ends because of an answer that is nested too deep."""
    with pytest.raises(EXPECTED):
        _call(name, HttpResponse(status, [], body))


@given(st.sampled_from(sorted(CALLS)), ANSWERS, st.sampled_from([200, 412, 410, 500]), NUMBERS)
@settings(max_examples=200, deadline=None)
def test_no_answer_raises_an_unexpected_exception(
    name: str, doc: dict, status: int, era: bytes
) -> None:
    """Guards against answers with values of other types."""
    with suppress(EXPECTED):
        _call(name, HttpResponse(status, [(b"store-era", era)], json.dumps(doc).encode()))


def test_value_that_is_no_base64_leaves_the_other_rows_readable() -> None:
    """Guards against one row that hides all the others of its table."""
    good = base64.b64encode(b'{"a":1}').decode()
    rows = [
        {"Key": "a", "RowVersion": 3, "Value": "A"},
        {"Key": "b", "RowVersion": 4, "Value": good},
    ]
    body = json.dumps({"Rows": rows, "RowVersion": 4}).encode()
    change = _call("read", HttpResponse(200, [], body))
    assert {row.key: row.value for row in change.rows} == {"a": b"", "b": b'{"a":1}'}
