"""Headers of callers and targets with values that are no numbers, or too long ones."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishshunt.gateway.exchange import HttpResponse, _keep_alive_seconds
from radishshunt.gateway.model import LAST_KEY
from radishshunt.platform.names import (
    DEADLINE_MS_HEADER,
    KEY_HEADER,
    LOAD_HEADER,
    REQUEST_LIMIT_HEADER,
)
from radishshunt.platform.target_protocol import HttpTargetProtocol
from radishshunt.policy.direct.target_load import TargetLoadEstimate

PROTOCOL = HttpTargetProtocol()
LONG = b"9" * 5000
DIGITS = st.integers(0, 10**40).map(lambda n: str(n).encode())
VALUES = (
    st.binary(max_size=12)
    | DIGITS
    | st.lists(
        DIGITS | st.sampled_from([b"-1", b"+2", b"1_0", b"", b"\xb2", LONG]), max_size=5
    ).map(b",".join)
)


def _response(name: str, value: bytes) -> HttpResponse:
    return HttpResponse(200, [(name.encode(), value)], b"")


@pytest.mark.parametrize("header", [KEY_HEADER, DEADLINE_MS_HEADER])
def test_number_of_a_caller_that_is_too_long_counts_as_absent(header: str) -> None:
    """Guards against a request that ends without an answer because of a long number."""
    headers = [(header.encode(), LONG)]
    assert PROTOCOL.parse_caller_headers(headers) == ("", None, None)


@given(VALUES, VALUES)
def test_any_header_of_a_caller_is_read(key: bytes, deadline: bytes) -> None:
    """Guards against headers of callers that raise an exception before the request is guarded."""
    headers = [(KEY_HEADER.encode(), key), (DEADLINE_MS_HEADER.encode(), deadline)]
    _, seconds, number = PROTOCOL.parse_caller_headers(headers)
    assert number is None or 0 <= number <= LAST_KEY
    assert seconds is None or (seconds >= 0 and math.isfinite(seconds))


@pytest.mark.parametrize("value", [b"-2,1,3", b"1,1," + LONG, b"\xb2,0,1", b"1", b"1,1,3,-100"])
def test_malformed_load_counts_as_no_report(value: bytes) -> None:
    """Guards against an answer that is replaced by an error because of its load report."""
    assert PROTOCOL.load_report(_response(LOAD_HEADER, value)) is None


@given(VALUES, VALUES)
def test_any_header_of_a_target_is_read(load: bytes, limit: bytes) -> None:
    """Guards against an answer of a target that is lost because of one of its headers."""
    report = PROTOCOL.load_report(_response(LOAD_HEADER, load))
    if report is not None:
        estimate = TargetLoadEstimate(3)
        estimate.on_sent()
        estimate.on_report(report.running, report.waiting, report.slowdown, 0.0)
        estimate.on_answer(0.1, report.running, report.waiting)
        assert math.isfinite(estimate.expected_wait(0.1))
    PROTOCOL.request_limit(_response(REQUEST_LIMIT_HEADER, limit))


@given(st.binary(max_size=12) | st.sampled_from([b"timeout=\xb2", b"timeout=" + LONG]))
def test_any_keep_alive_header_is_read(value: bytes) -> None:
    """Guards against an answer that is lost because of the idle time that it states."""
    assert _keep_alive_seconds(_response("keep-alive", value)) >= 0
