"""What the administration API shows of a host."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import trio

from radishshunt.ownership import epoch_of

if TYPE_CHECKING:
    from radishshunt.app import Host
    from radishshunt.directory import Location
    from radishshunt.wire.messages import Heartbeat

# A heartbeat this recent is shown; older ones are replaced by asking the host.
FRESH_SECONDS = 1.0
ASKED_AT_ONCE = 64


def host_status(host: Host) -> dict[str, Any]:
    """Return a host's state and what it knows of the others."""
    catalog = host.directory.catalog
    return {
        "host": host.me.host,
        "domain": host.me.domain,
        "incarnation": host.me.incarnation,
        "version": catalog.version,
        "digest": catalog.digest,
        "domains": {name: state.value for name, state in catalog.domains.items()},
        "running": host.frontend.running,
        "platform_seen_at": host.sync.platform_seen_at,
        "groups": [
            {
                "service": state.service,
                "group": state.group,
                "generation": state.generation,
                "load": round(state.load, 3),
            }
            for state in host.dispatch.states()
        ],
        "hosts": [
            {"host": info.host, "domain": info.domain, "leaving": info.leaving}
            for info in host.membership.live_hosts()
        ],
    }


async def hosts_status(host: Host) -> dict[str, Any]:
    """Return host by host which version is in force.

    Hosts that were not heard within the last second are asked now. The states are ``ok``,
    ``leaving``, ``differs`` (another version than the newest that any host has) and ``no-answer``.
    """
    catalog = host.directory.catalog
    beats = {host.me.host: host.describe()}
    heard_at = {host.me.host: host.clock.now()}
    limit = trio.CapacityLimiter(ASKED_AT_ONCE)
    async with trio.open_nursery() as nursery:
        for name in host.network.hosts:
            heard_at[name] = host.membership.heard_at(name)
            beat = host.membership.last_heartbeat(name)
            if beat is not None and host.clock.now() - heard_at[name] <= FRESH_SECONDS:
                beats[name] = beat
            else:
                nursery.start_soon(_ask, host, name, beats, limit)
    newest = max(beat.catalog_version for beat in beats.values())
    hosts = []
    for name in sorted(heard_at):
        beat = beats.get(name)
        last = beat or host.membership.last_heartbeat(name)
        info = host.network.hosts.get(name, host.me)
        hosts.append(
            {
                "host": name,
                "domain": info.domain,
                "version": last.catalog_version if last else None,
                "state": _state(beat, newest),
                "heard_at": host.clock.now() if beat else heard_at[name] or None,
            }
        )
    return {
        "asked": host.me.host,
        "version": newest,
        "digest": catalog.digest if catalog.version == newest else "",
        "domains": {name: state.value for name, state in catalog.domains.items()},
        "hosts": hosts,
    }


async def _ask(
    host: Host, name: str, beats: dict[str, Heartbeat], limit: trio.CapacityLimiter
) -> None:
    async with limit:
        beat = await host.membership.ask(name)
    if beat is not None:
        beats[name] = beat


def _state(beat: Heartbeat | None, newest: int) -> str:
    if beat is None:
        return "no-answer"
    if beat.catalog_version != newest:
        return "differs"
    return "leaving" if beat.leaving else "ok"


def explain(host: Host, service: str, key: str) -> dict[str, Any]:
    """Return who serves a key and why.

    The host that dispatches the key's group answers from the grants; others know only the row.
    """
    spec = host.directory.catalog.services[service]
    if not spec.keyed:
        reason = "the service has no keys: any target of any group may serve a request"
        return {"service": service, "keyed": False, "reason": reason}
    location = host.directory.locate(service, key)
    if location is None:
        return {"service": service, "keyed": True, "reason": "no row lists the key's slice"}
    return {
        "service": service,
        "keyed": True,
        "slice": location.slice,
        "group": location.group.group,
        "generation": location.dispatcher.generation,
        "dispatcher": location.dispatcher.host,
        **_owner(host, location),
    }


def update_metrics(host: Host) -> None:
    """Set the gauges that are read from the host's state."""
    metrics = host.metrics
    metrics.groups.set(len(host.dispatch.groups))
    metrics.catalog_version.set(host.directory.catalog.version)
    metrics.running.set(host.frontend.running)
    metrics.body_bytes.set(host.memory.used)
    queued = Counter(dict.fromkeys(host.directory.catalog.services, 0))
    for group, dispatcher in host.dispatch.groups.items():
        queued[group.service] += dispatcher.queued
    for service, number in queued.items():
        metrics.queued.labels(service).set(number)


def _owner(host: Host, location: Location) -> dict[str, Any]:
    row = host.directory.rows[location.group]
    pair = row.slices[location.slice]
    dispatcher = host.dispatch.groups.get(location.group)
    found: dict[str, Any] = {"owner": pair.owner, "standby": pair.standby}
    if dispatcher is None:
        found["epoch"] = epoch_of(location.dispatcher.generation, 0)
        found["reason"] = (
            f"row of generation {row.generation}; ask {location.dispatcher.host} for the grant"
        )
        return found
    serving = dispatcher.serving(location.slice)
    if serving is None:
        found["epoch"] = None
        found["reason"] = "no target holds a valid grant for the slice and takes work"
        return found
    found["epoch"] = serving.epoch
    found["owner"] = serving.target
    if serving.target == pair.owner:
        found["reason"] = f"owner in the row of generation {row.generation}, with a valid grant"
    else:
        found["reason"] = f"standby of {pair.owner}, whose grants have expired or were fenced"
    return found
