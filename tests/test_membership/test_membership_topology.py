"""Peers, dissemination tree and platform readers of the hosts."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from radishshunt.topology import FULL_MESH_HOSTS, READERS_PER_DOMAIN, TREE_CHILDREN, topology_of

MAX_PEERS = 8


def hosts_of(count: int, domains: int) -> dict[str, str]:
    """Return a number of hosts, spread evenly over a number of domains."""
    return {f"host-{i:05d}": f"domain-{i % domains:02d}" for i in range(count)}


def reachable(peers: dict[str, set[str]], start: str) -> set[str]:
    """Return the hosts that an update from a host reaches."""
    seen = {start}
    frontier = [start]
    while frontier:
        frontier = [p for h in frontier for p in peers[h] if p not in seen and not seen.add(p)]
    return seen


@settings(max_examples=40, deadline=None)
@given(count=st.integers(1, 400), domains=st.integers(1, 12))
def test_peers_are_few_symmetric_and_connect_all_hosts(count: int, domains: int) -> None:
    """Guards against updates that do not reach every host, and against too many heartbeats."""
    hosts = hosts_of(count, domains)
    topology = topology_of(hosts)
    peers = {host: set(topology.peers_of(host)) for host in hosts}
    assert all(host in peers[other] for host in hosts for other in peers[host])
    assert all(host not in peers[host] for host in hosts)
    assert reachable(peers, "host-00000") == set(hosts)
    limit = FULL_MESH_HOSTS - 1 if count <= FULL_MESH_HOSTS else MAX_PEERS
    assert max(len(names) for names in peers.values()) <= limit


@settings(max_examples=40, deadline=None)
@given(count=st.integers(FULL_MESH_HOSTS + 1, 400), domains=st.integers(1, 12))
def test_tree_connects_all_hosts_by_one_path(count: int, domains: int) -> None:
    """Guards against rows that reach a host twice or not at all."""
    hosts = hosts_of(count, domains)
    topology = topology_of(hosts)
    tree = {host: set(topology.tree_of(host)) for host in hosts}
    assert all(host in tree[other] for host in hosts for other in tree[host])
    assert reachable(tree, "host-00000") == set(hosts)
    assert sum(len(names) for names in tree.values()) == 2 * (count - 1)
    assert max(len(names) for names in tree.values()) <= TREE_CHILDREN + 1


@settings(max_examples=40, deadline=None)
@given(seed=st.integers(0, 10_000))
def test_domain_that_is_cut_off_stays_connected(seed: int) -> None:
    """Guards against hosts of one domain that reach each other only through another domain.

    They would lose contact with each other when their domain is cut off.
    """
    hosts = {f"host-{seed}-{i}": f"domain-{i % 4}" for i in range(120)}
    topology = topology_of(hosts)
    inside = {host for host, domain in hosts.items() if domain == "domain-1"}
    peers = {host: set(topology.peers_of(host)) & inside for host in inside}
    assert reachable(peers, min(inside)) == inside


def test_every_domain_has_readers_whatever_the_number_of_hosts() -> None:
    """Guards against platform reads that grow with the number of hosts, and domains without any."""
    for count in (6, 60, 600):
        hosts = hosts_of(count, 6)
        topology = topology_of(hosts)
        for domain in set(hosts.values()):
            readers = topology.readers(domain)
            expected = min(READERS_PER_DOMAIN, count // 6)
            assert len(readers) == expected
            assert all(hosts[host] == domain for host in readers)


def test_change_of_one_host_changes_few_peers() -> None:
    """Guards against a burst of new connections after the loss of one host."""
    hosts = hosts_of(500, 5)
    before = topology_of(hosts)
    del hosts["host-00250"]
    after = topology_of(hosts)
    changed = [h for h in hosts if set(before.peers_of(h)) != set(after.peers_of(h))]
    assert len(changed) <= MAX_PEERS
