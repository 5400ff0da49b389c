"""Discovery of a first peer at the seed addresses from the settings."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import PeerUnavailable
from radishshunt.util.backoff import Backoff

if TYPE_CHECKING:
    from collections.abc import Sequence

    from radishshunt.peers import PeerNetwork

logger = logging.getLogger(__name__)

INITIAL_RETRY_PAUSE_SECONDS = 1.0
MAX_RETRY_PAUSE_SECONDS = 8.0


async def find_first_peer(network: PeerNetwork, seeds: Sequence[str]) -> None:
    """Dial the seeds to identify them while no other host is known, until cancelled.

    :param seeds: ``ip:port`` of peers.
    """
    backoff = Backoff(INITIAL_RETRY_PAUSE_SECONDS, MAX_RETRY_PAUSE_SECONDS)
    while True:
        if network.hosts:
            backoff.reset()
        else:
            for address in seeds:
                if address == network.me.address:
                    continue
                try:
                    await network.identify(address)
                except PeerUnavailable as exc:
                    logger.debug("could not identify the host at seed %s: %s", address, exc)
        await trio.sleep(backoff.next_delay() if seeds else MAX_RETRY_PAUSE_SECONDS)
