"""Counting target losses of requests, and sharing the counts between hosts."""

from __future__ import annotations

import pytest

from radishshunt.errors import NotRun
from radishshunt.quarantine import MAX_HEARTBEAT_SUSPECTS, SUSPECT_RETENTION_SECONDS, Quarantine

NOW = 1000.0


def test_request_is_refused_after_two_losses() -> None:
    """Guards against a request that crashes one target after the other."""
    quarantine = Quarantine()
    quarantine.record_loss(1, "", 101, NOW)
    quarantine.check(1, "", NOW)
    quarantine.record_loss(1, "", 102, NOW)
    with pytest.raises(NotRun):
        quarantine.check(1, "", NOW)
    quarantine.check(2, "", NOW)


def test_same_loss_counts_once() -> None:
    """Guards against quarantining a request after two reports of the same loss."""
    quarantine = Quarantine()
    quarantine.record_loss(1, "", 101, NOW)
    quarantine.record_loss(1, "", 101, NOW)
    assert quarantine.count_losses(1, "", NOW) == 1


def test_idempotency_key_counts_over_other_fingerprints() -> None:
    """Guards against a request that evades quarantine because its body changes between attempts.

    A date in the body, for example, gives each attempt another fingerprint.
    """
    quarantine = Quarantine()
    quarantine.record_loss(1, "fee", 101, NOW)
    quarantine.record_loss(2, "fee", 102, NOW)
    with pytest.raises(NotRun):
        quarantine.check(3, "fee", NOW)
    quarantine.check(3, "", NOW)


def test_losses_seen_by_two_hosts_add_up_on_every_host() -> None:
    """Guards against one more crash for each host that receives the request.

    This happens if each host counts only the losses that it has seen itself.
    """
    hosts = [Quarantine() for _ in range(3)]
    hosts[0].record_loss(1, "fee", 101, NOW)
    hosts[1].record_loss(1, "fee", 102, NOW)
    for _ in range(2):
        for one in hosts:
            for other in hosts:
                one.merge(other.suspects(NOW), NOW)
    for host in hosts:
        assert host.count_losses(1, "fee", NOW) == 2


def test_suspects_expire_everywhere() -> None:
    """Guards against hosts that prevent a suspect's expiry by sending it to each other."""
    one, two = Quarantine(), Quarantine()
    one.record_loss(1, "", 101, NOW)
    for step in range(1, 20):
        now = NOW + step * SUSPECT_RETENTION_SECONDS / 10
        one.merge(two.suspects(now), now)
        two.merge(one.suspects(now), now)
    assert len(one) == len(two) == 0


def test_expiry_of_a_peer_is_bounded() -> None:
    """Guards against a suspect that never expires because a peer's clock is ahead."""
    one, two = Quarantine(), Quarantine()
    one.record_loss(1, "", 101, NOW + 1e6)
    two.merge(one.suspects(NOW + 1e6), NOW)
    assert two.count_losses(1, "", NOW) == 1
    assert two.count_losses(1, "", NOW + SUSPECT_RETENTION_SECONDS) == 0


def test_memory_is_bounded_and_recent_suspects_stay() -> None:
    """Guards against a large number of suspects that exhausts memory or heartbeat size."""
    quarantine = Quarantine(max_suspects=100)
    for number in range(1000):
        quarantine.record_loss(number, f"k{number}", number, NOW)
    assert len(quarantine) == 100
    assert quarantine.count_losses(999, "", NOW) == 1
    assert quarantine.count_losses(0, "k0", NOW) == 0
    suspects = quarantine.suspects(NOW)
    assert [s.fingerprint for s in suspects] == list(range(1000 - MAX_HEARTBEAT_SUSPECTS, 1000))


def test_suspect_that_a_target_answers_is_cleared_of_earlier_losses() -> None:
    """Guards against refusing reads of a busy key after two losses with other causes."""
    quarantine, peer = Quarantine(), Quarantine()
    quarantine.record_loss(7, "", 1, NOW)
    peer.merge(quarantine.suspects(NOW), NOW)
    quarantine.record_answer(7, "")
    assert quarantine.suspects(NOW) == []
    quarantine.merge(peer.suspects(NOW), NOW)
    quarantine.record_loss(7, "", 2, NOW)
    quarantine.check(7, "", NOW)
    quarantine.record_loss(7, "", 3, NOW)
    with pytest.raises(NotRun):
        quarantine.check(7, "", NOW)


def test_losses_of_copies_that_ran_at_the_same_time_count_as_one() -> None:
    """Guards against refusing a popular request that ran on all targets of a lost domain."""
    quarantine, peer = Quarantine(), Quarantine()
    for incarnation in (1, 2, 3):
        quarantine.record_loss(7, "", incarnation, NOW, known=frozenset())
    peer.merge(quarantine.suspects(NOW), NOW)
    for one in (quarantine, peer):
        one.check(7, "", NOW)
        one.record_loss(7, "", 4, NOW, known=one.known_losses(7, ""))
        with pytest.raises(NotRun):
            one.check(7, "", NOW)


def test_loss_after_one_that_was_cleared_meanwhile_is_the_first_one() -> None:
    """Guards against counting a loss twice as serious because of one with another cause."""
    quarantine = Quarantine()
    quarantine.record_loss(7, "", 1, NOW, known=frozenset())
    known = quarantine.known_losses(7, "")
    quarantine.record_answer(7, "")
    quarantine.record_loss(7, "", 2, NOW, known=known)
    quarantine.record_loss(7, "", 3, NOW, known=known)
    quarantine.check(7, "", NOW)


def test_loss_is_counted_although_many_copies_ran_at_the_same_time() -> None:
    """Guards against a limit of stored losses that hides the one that matters."""
    quarantine = Quarantine()
    for incarnation in range(20):
        quarantine.record_loss(7, "", incarnation, NOW, known=frozenset())
    quarantine.record_loss(7, "", 99, NOW, known=quarantine.known_losses(7, ""))
    with pytest.raises(NotRun):
        quarantine.check(7, "", NOW)
