"""Status documents of the administration API, and the gauges of the metrics endpoint."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import trio

from radishshunt.ownership import epoch_of

if TYPE_CHECKING:
    from radishshunt.app import Host
    from radishshunt.directory import Location
    from radishshunt.wire.messages import Heartbeat

# A host whose last heartbeat is older than this is asked for its state.
MAX_HEARTBEAT_AGE_SECONDS = 1.0
MAX_CONCURRENT_QUERIES = 64


def host_status(host: Host) -> dict[str, Any]:
    """Return a host's state and the other hosts that it knows to be live."""
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
    """Return which catalog version is in force on each host.

    Hosts without a heartbeat within the last second are queried. The states are ``ok``,
    ``leaving``, ``differs`` (another version than the newest that any host has) and ``no-answer``.
    """
    catalog = host.directory.catalog
    heartbeats = {host.me.host: host.build_heartbeat()}
    heard_at = {host.me.host: host.clock.now()}
    limit = trio.CapacityLimiter(MAX_CONCURRENT_QUERIES)
    async with trio.open_nursery() as nursery:
        for name in host.network.hosts:
            heard_at[name] = host.membership.heard_at(name)
            heartbeat = host.membership.last_heartbeat(name)
            if (
                heartbeat is not None
                and host.clock.now() - heard_at[name] <= MAX_HEARTBEAT_AGE_SECONDS
            ):
                heartbeats[name] = heartbeat
            else:
                nursery.start_soon(_query_heartbeat, host, name, heartbeats, limit)
    newest = max(heartbeat.catalog_version for heartbeat in heartbeats.values())
    hosts = []
    for name in sorted(heard_at):
        heartbeat = heartbeats.get(name)
        last = heartbeat or host.membership.last_heartbeat(name)
        info = host.network.hosts.get(name, host.me)
        hosts.append(
            {
                "host": name,
                "domain": info.domain,
                "version": last.catalog_version if last else None,
                "state": _host_state(heartbeat, newest),
                "heard_at": host.clock.now() if heartbeat else heard_at[name] or None,
            }
        )
    return {
        "asked": host.me.host,
        "version": newest,
        "digest": catalog.digest if catalog.version == newest else "",
        "domains": {name: state.value for name, state in catalog.domains.items()},
        "hosts": hosts,
    }


async def _query_heartbeat(
    host: Host, name: str, heartbeats: dict[str, Heartbeat], limit: trio.CapacityLimiter
) -> None:
    async with limit:
        heartbeat = await host.membership.exchange_heartbeats(name)
    if heartbeat is not None:
        heartbeats[name] = heartbeat


def _host_state(heartbeat: Heartbeat | None, newest: int) -> str:
    if heartbeat is None:
        return "no-answer"
    if heartbeat.catalog_version != newest:
        return "differs"
    return "leaving" if heartbeat.leaving else "ok"


def explain(host: Host, service: str, key: str) -> dict[str, Any]:
    """Return which target serves a key and why.

    The host that dispatches the key's group answers from its grants; other hosts know only the row.
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
        **_describe_owner(host, location),
    }


def update_metrics(host: Host) -> None:
    """Set the gauges that reflect the host's current state."""
    metrics = host.metrics
    metrics.groups.set(len(host.dispatch.groups))
    metrics.catalog_version.set(host.directory.catalog.version)
    metrics.running.set(host.frontend.running)
    metrics.body_bytes.set(host.memory.used_bytes)
    queued = Counter(dict.fromkeys(host.directory.catalog.services, 0))
    for group, dispatcher in host.dispatch.groups.items():
        queued[group.service] += dispatcher.queued
    for service, count in queued.items():
        metrics.queued.labels(service).set(count)


def _describe_owner(host: Host, location: Location) -> dict[str, Any]:
    row = host.directory.rows[location.group]
    assignment = row.slices[location.slice]
    dispatcher = host.dispatch.groups.get(location.group)
    doc: dict[str, Any] = {"owner": assignment.owner, "standby": assignment.standby}
    if dispatcher is None:
        doc["epoch"] = epoch_of(location.dispatcher.generation, 0)
        doc["reason"] = (
            f"row of generation {row.generation}; ask {location.dispatcher.host} for the grant"
        )
        return doc
    serving = dispatcher.serving(location.slice)
    if serving is None:
        doc["epoch"] = None
        doc["reason"] = "no target holds a valid grant for the slice and takes work"
        return doc
    doc["epoch"] = serving.epoch
    doc["owner"] = serving.target
    if serving.target == assignment.owner:
        doc["reason"] = f"owner in the row of generation {row.generation}, with a valid grant"
    else:
        doc["reason"] = f"standby of {assignment.owner}, whose grants have expired or were fenced"
    return doc
