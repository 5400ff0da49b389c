"""Overlay topology: peers, dissemination tree and platform readers of the hosts."""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Mapping

# Up to this number of hosts, every host exchanges heartbeats with every other one.
FULL_MESH_HOSTS = 16
# A host has two neighbours in each ring: at most four peers in its own domain, so that a domain
# that is cut off from the others stays connected, and at most four in any domain. A union of random
# rings is an expander graph; about six hops connect 15,000 hosts.
DOMAIN_RINGS = 2
GLOBAL_RINGS = 2
# Number of hosts of each domain that read the platform every second. The read rate thus depends on
# the number of domains only, and with two readers the loss of one does not stop a domain's reads.
READERS_PER_DOMAIN = 2

# Rows, which are sent whole, pass along a tree with this fan-out, so that each host receives them
# once.
TREE_CHILDREN = 4

Hosts = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class _Ring:
    names: tuple[str, ...]
    positions: dict[str, int]

    def neighbours(self, host: str) -> tuple[str, str]:
        position = self.positions[host]
        return self.names[position - 1], self.names[(position + 1) % len(self.names)]


class Topology:
    """Peers of each host; a pure function of the set of hosts, so that all hosts compute the same.

    :param hosts: Pairs of host and failure domain, sorted.
    """

    def __init__(self, hosts: Hosts) -> None:
        self._domains = dict(hosts)
        self._global = [_ring(tuple(self._domains), f"global-{i}") for i in range(GLOBAL_RINGS)]
        domain_hosts: dict[str, list[str]] = {}
        for host, domain in hosts:
            domain_hosts.setdefault(domain, []).append(host)
        self._local = {
            domain: [_ring(tuple(names), f"domain-{i}") for i in range(DOMAIN_RINGS)]
            for domain, names in domain_hosts.items()
        }

    @property
    def full_mesh(self) -> bool:
        """Whether every host is a peer of every other one."""
        return len(self._domains) <= FULL_MESH_HOSTS

    def peers_of(self, host: str) -> tuple[str, ...]:
        """Return the hosts with which a host exchanges heartbeats; the relation is symmetric."""
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
        """Return the parent and children of a host in a tree of all hosts.

        In a full mesh these are all other hosts.
        """
        if self.full_mesh or host not in self._domains:
            return self.peers_of(host)
        names = self._global[0].names
        position = self._global[0].positions[host]
        first_child = TREE_CHILDREN * position + 1
        parent = names[(position - 1) // TREE_CHILDREN : (position - 1) // TREE_CHILDREN + 1]
        return (*(parent if position else ()), *names[first_child : first_child + TREE_CHILDREN])

    def readers(self, domain: str) -> tuple[str, ...]:
        """Return the hosts of a domain that read the platform every second."""
        rings = self._local.get(domain)
        return rings[0].names[:READERS_PER_DOMAIN] if rings else ()


def topology_of(domains: Mapping[str, str]) -> Topology:
    """Return the topology of a set of hosts.

    :param domains: Failure domain of each host.
    """
    return _cached_topology(tuple(sorted(domains.items())))


@lru_cache(maxsize=2)
def _cached_topology(hosts: Hosts) -> Topology:
    return Topology(hosts)


def _ring(names: tuple[str, ...], seed: str) -> _Ring:
    """Return a ring of hosts in a pseudo-random order that depends on the seed and names only."""
    ordered_names = tuple(
        sorted(names, key=lambda name: xxh3_64_intdigest(f"{seed}/{name}".encode()))
    )
    return _Ring(ordered_names, {name: position for position, name in enumerate(ordered_names)})
