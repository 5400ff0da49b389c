"""Which hosts exchange heartbeats and news, and which of them read the platform."""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Mapping

# Up to this many hosts, every host exchanges heartbeats with every other one.
FULL_MESH_HOSTS = 16
# A host is next to two hosts in each ring: at most four peers within its domain, so that a domain
# that is cut off stays connected, and four anywhere. A union of random rings is an expander; about
# six hops connect 15,000 hosts.
DOMAIN_RINGS = 2
GLOBAL_RINGS = 2
# Hosts of each domain that read the platform every second. With two of them, the platform's reads
# depend on the number of domains only, and the loss of one host does not stop a domain's reads.
READERS_PER_DOMAIN = 2

# News that is sent whole passes along a tree, so that it reaches each host once.
TREE_CHILDREN = 4

Hosts = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class _Ring:
    names: tuple[str, ...]
    places: dict[str, int]

    def neighbours(self, host: str) -> tuple[str, str]:
        place = self.places[host]
        return self.names[place - 1], self.names[(place + 1) % len(self.names)]


class Topology:
    """Peers of each host, computed alike on every host that knows the same hosts.

    :param hosts: Pairs of host and failure domain, in order.
    """

    def __init__(self, hosts: Hosts) -> None:
        self._domains = dict(hosts)
        self._global = [_ring(tuple(self._domains), f"global-{i}") for i in range(GLOBAL_RINGS)]
        members: dict[str, list[str]] = {}
        for host, domain in hosts:
            members.setdefault(domain, []).append(host)
        self._local = {
            domain: [_ring(tuple(names), f"domain-{i}") for i in range(DOMAIN_RINGS)]
            for domain, names in members.items()
        }

    @property
    def full_mesh(self) -> bool:
        """Whether every host is a peer of every other one."""
        return len(self._domains) <= FULL_MESH_HOSTS

    def peers_of(self, host: str) -> tuple[str, ...]:
        """Return the hosts that a host exchanges heartbeats with; the relation is symmetric."""
        domain = self._domains.get(host)
        if domain is None:
            return ()
        if self.full_mesh:
            return tuple(name for name in self._domains if name != host)
        rings = [*self._local[domain], *self._global]
        peers = dict.fromkeys(name for ring in rings for name in ring.neighbours(host))
        peers.pop(host, None)
        return tuple(peers)

    def tree_of(self, host: str) -> tuple[str, ...]:
        """Return a host's parent and children in a tree of all hosts.

        In a full mesh, every other host.
        """
        if self.full_mesh or host not in self._domains:
            return self.peers_of(host)
        names = self._global[0].names
        place = self._global[0].places[host]
        first = TREE_CHILDREN * place + 1
        parent = names[(place - 1) // TREE_CHILDREN : (place - 1) // TREE_CHILDREN + 1]
        return (*(parent if place else ()), *names[first : first + TREE_CHILDREN])

    def readers(self, domain: str) -> tuple[str, ...]:
        """Return the hosts of a domain that read the platform every second."""
        rings = self._local.get(domain)
        return rings[0].names[:READERS_PER_DOMAIN] if rings else ()


def topology_of(domains: Mapping[str, str]) -> Topology:
    """Return the topology of a set of hosts.

    :param domains: Failure domain of each host.
    """
    return _cached(tuple(sorted(domains.items())))


@lru_cache(maxsize=2)
def _cached(hosts: Hosts) -> Topology:
    return Topology(hosts)


def _ring(names: tuple[str, ...], seed: str) -> _Ring:
    ordered = tuple(sorted(names, key=lambda name: xxh3_64_intdigest(f"{seed}/{name}".encode())))
    return _Ring(ordered, {name: place for place, name in enumerate(ordered)})
