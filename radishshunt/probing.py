"""Asking other hosts whether they have contact with a host."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from radishshunt.errors import PeerUnavailable
from radishshunt.wire.messages import Probe, ProbeAnswer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from radishshunt.clock import Clock
    from radishshunt.peers import PeerNetwork

# A host that has not heard the other one just now asks it before it answers.
PROBE_TIMEOUT_SECONDS = 0.4
# Bound on all probes together, also those of hosts that have to be dialled first.
CONFIRM_TIMEOUT_SECONDS = 0.5
# Silence that counts as no contact.
NO_CONTACT_SECONDS = 0.7


async def ask_for_contact(
    network: PeerNetwork, clock: Clock, host: str, others: Iterable[str]
) -> list[bool]:
    """Ask hosts whether they have contact with another one.

    :return: An item for each host that answered, true for contact.
    """
    reports: list[bool] = []

    async def ask(other: str) -> None:
        try:
            answer = await network.call(other, Probe(host), PROBE_TIMEOUT_SECONDS)
        except PeerUnavailable:
            return
        if isinstance(answer, ProbeAnswer):
            reports.append(clock.now() - answer.heard_at <= NO_CONTACT_SECONDS)

    with trio.move_on_after(CONFIRM_TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            for other in others:
                nursery.start_soon(ask, other)
    return reports
