"""Grants and releases of key ranges."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from radishshunt.clock import TrioClock
from radishshunt.gateway.model import KeyRange, TargetEntry
from radishshunt.gateway.orders import CLOCK_FACTOR, TargetOrders
from radishshunt.platform.target_protocol import HttpTargetProtocol

if TYPE_CHECKING:
    from tests.test_gateway.conftest import OrderLog

ADDRESS = "127.0.0.1:9"
ENTRY = TargetEntry("i-1", 1, "register", ADDRESS, "munich", 3, draining=False, cold_seconds=0)
KEYS = KeyRange(0, 99, "i-1", 1, fence=5)
GRANT = "/radishshunt/grant"
RELEASE = "/radishshunt/release"


def _orders(log: OrderLog) -> TargetOrders:
    log.names[ADDRESS] = "i-1"
    return TargetOrders(ENTRY, HttpTargetProtocol(), TrioClock(), lambda: True, "/healthz")


async def test_renewal_on_its_way_does_not_give_a_released_piece_back(
    autojump_clock: object, order_log: OrderLog
) -> None:
    """Guards against two owners: a renewal of the whole range arrived after the release."""
    orders = _orders(order_log)
    await orders.grant(KEYS, 4.0, "")
    order_log.delays[GRANT] = 0.3
    async with trio.open_nursery() as nursery:
        nursery.start_soon(orders.renew, 4.0)
        await trio.sleep(0.1)
        piece = orders.cut(20, 39)
        assert piece is not None
        release = await orders.release(piece, lambda: 6)
    assert release.done
    await orders.renew(4.0)
    assert order_log.holds(ADDRESS) == [(0, 19), (40, 99)]


async def test_other_process_at_the_address_gets_no_grant(
    autojump_clock: object, order_log: OrderLog
) -> None:
    """Guards against a used token at a new process that took over the address of an ended one."""
    orders = _orders(order_log)
    orders.adopt(KEYS, 0.0)
    order_log.names[ADDRESS] = "i-2"
    await orders.renew(4.0)
    assert orders.ended
    assert order_log.taken == []


async def test_release_after_an_unanswered_grant_raises_the_token_first(
    autojump_clock: object, order_log: OrderLog
) -> None:
    """Guards against a grant that takes effect late, after the keys have gone elsewhere."""
    orders = _orders(order_log)
    order_log.silent.add(GRANT)
    assert not await orders.grant(KEYS, 4.0, "")
    order_log.silent.clear()
    piece = orders.cut(0, 99)
    assert piece is not None
    release = await orders.release(piece, lambda: 6)
    assert release.done
    assert order_log.fences("grant") == [5, 6]
    assert order_log.fences("release") == [6]


async def test_failed_release_names_the_end_of_the_last_grant(
    autojump_clock: object, order_log: OrderLog
) -> None:
    """Guards against keys that are given away before an unreachable target lost them."""
    orders = _orders(order_log)
    clock = TrioClock()
    await orders.grant(KEYS, 4.0, "")
    order_log.silent.add(RELEASE)
    piece = orders.cut(0, 99)
    assert piece is not None
    release = await orders.release(piece, lambda: 6)
    assert not release.done
    assert release.until >= clock.now() + 4.0 * CLOCK_FACTOR - 0.1


async def test_nothing_is_granted_without_the_lease(
    autojump_clock: object, order_log: OrderLog
) -> None:
    """Guards against orders of a host whose lease has ended."""
    order_log.names[ADDRESS] = "i-1"
    orders = TargetOrders(ENTRY, HttpTargetProtocol(), TrioClock(), lambda: False, "/healthz")
    orders.adopt(replace(KEYS), 0.0)
    await orders.renew(4.0)
    assert order_log.taken == []
