"""Indirect probes: asks other hosts whether they have contact with a host."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from radishshunt.errors import PeerUnavailable
from radishshunt.wire.messages import Probe, ProbeAnswer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from radishshunt.clock import Clock
    from radishshunt.peers import PeerNetwork

# Includes the time in which a probed host that has not heard the host in question recently contacts
# that host.
PROBE_TIMEOUT_SECONDS = 0.4
# Limit for all probes together, including those of hosts that have to be dialled first.
ALL_PROBES_TIMEOUT_SECONDS = 0.5
# A probed host that has not heard the host in question for this long reports no contact.
NO_CONTACT_SECONDS = 0.7


async def collect_contact_reports(
    network: PeerNetwork, clock: Clock, host: str, probed_hosts: Iterable[str]
) -> list[bool]:
    """Ask hosts whether they have contact with a host.

    :param host: The host whose loss is to be confirmed.
    :return: One item for each probed host that answered in time, true for contact.
    """
    reports: list[bool] = []

    async def probe(probed_host: str) -> None:
        try:
            answer = await network.call(probed_host, Probe(host), PROBE_TIMEOUT_SECONDS)
        except PeerUnavailable:
            return
        if isinstance(answer, ProbeAnswer):
            reports.append(clock.now() - answer.heard_at <= NO_CONTACT_SECONDS)

    with trio.move_on_after(ALL_PROBES_TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            for probed_host in probed_hosts:
                nursery.start_soon(probe, probed_host)
    return reports
