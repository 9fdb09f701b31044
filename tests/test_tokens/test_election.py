"""Tests of the election of the zone reader."""

from __future__ import annotations

import pytest

from citronspring.endpoints import Endpoint
from citronspring.tokens.election import (
    CLAIM_JITTER,
    LEASE_SECONDS,
    RENEWAL_FRACTION,
    claim_delay,
)
from citronspring.tokens.entries import ReaderRemoved, ZoneReader, ordered_revision
from citronspring.tokens.messages import (
    ClaimZone,
    ConditionFailed,
    Done,
    EndLease,
    GrantLease,
    HistoryLost,
    LeaseGranted,
    LeaseLost,
    RenewLease,
    Unanswered,
)
from tests.test_tokens.driver import Driver, make_configuration, make_target

OWN = Endpoint("10.1.0.1", 8166)
DELAY = 0.4
OTHER = ZoneReader("north", "host-9", Endpoint("10.1.0.9", 8166), 2)


class Candidate:
    """A host of zone north and its election calls."""

    def __init__(self):
        self.driver = Driver(make_target(1))
        self.core = self.driver.core

    def next_call(self):
        return self.core.next_election_call(OWN, DELAY, self.driver.now)

    def answer(self, call, answer, now=None):
        now = self.driver.now if now is None else now
        self.core.handle_election_answer(call, answer, now, now)

    def claim_zone(self):
        """Let the host claim its zone successfully; return it."""
        assert self.next_call() is None
        self.driver.now += DELAY
        self.answer(self.next_call(), LeaseGranted(7, LEASE_SECONDS))
        claim = self.next_call()
        assert claim == ClaimZone(7, "north", "host-1", OWN)
        self.answer(claim, Done())
        return self

    def register(self):
        """Let the host learn that it is the zone reader; return it."""
        self.claim_zone()
        self.driver.change(ZoneReader("north", "host-1", OWN, 2))
        return self


def test_waits_and_claims_a_zone_without_a_reader():
    candidate = Candidate().claim_zone()
    assert candidate.next_call() is None


def test_claims_nothing_once_another_is_registered():
    candidate = Candidate()
    assert candidate.next_call() is None
    candidate.driver.change(OTHER)
    candidate.driver.now += 10 * DELAY
    assert candidate.next_call() is None


def test_claims_the_zone_after_the_reader_is_removed():
    candidate = Candidate()
    candidate.driver.change(OTHER)
    assert candidate.next_call() is None
    candidate.driver.change(ReaderRemoved("north", 3))
    assert candidate.next_call() is None
    candidate.driver.now += DELAY
    assert isinstance(candidate.next_call(), GrantLease)


def test_host_that_cannot_read_the_store_claims_nothing():
    """It could serve no changes, and would keep other hosts from doing so."""
    candidate = Candidate()
    candidate.driver.fail_call()
    candidate.driver.now += 10 * DELAY
    assert candidate.next_call() is None


def test_registered_reader_renews_its_lease_in_time():
    candidate = Candidate().register()
    assert candidate.next_call() is None
    candidate.driver.now += RENEWAL_FRACTION * LEASE_SECONDS
    assert candidate.next_call() == RenewLease(7)
    candidate.answer(RenewLease(7), Done())
    assert candidate.next_call() is None
    assert 2 * RENEWAL_FRACTION * LEASE_SECONDS + 0.5 < LEASE_SECONDS


def test_zone_reader_that_cannot_read_lets_its_lease_expire():
    """The store accepts its renewals but not its reads, so its zone gets no changes."""
    candidate = Candidate().register()
    candidate.driver.fail_call()
    candidate.driver.now += RENEWAL_FRACTION * LEASE_SECONDS
    assert candidate.next_call() is None


def test_lost_claim_is_not_repeated_under_an_ended_lease():
    """The answer to a claim is lost, and the claim may be carried out later.

    After its lease has ended it can no longer take effect; the host requests a new
    lease and claims again.
    """
    candidate = Candidate()
    candidate.next_call()
    candidate.driver.now += DELAY
    candidate.answer(candidate.next_call(), LeaseGranted(7, LEASE_SECONDS))
    candidate.answer(candidate.next_call(), Unanswered("no answer in time"))
    assert candidate.next_call() is None
    candidate.driver.now += LEASE_SECONDS
    assert isinstance(candidate.next_call(), GrantLease)


def test_host_whose_claim_was_second_claims_no_more():
    candidate = Candidate()
    candidate.next_call()
    candidate.driver.now += DELAY
    candidate.answer(candidate.next_call(), LeaseGranted(7, LEASE_SECONDS))
    candidate.answer(candidate.next_call(), ConditionFailed())
    candidate.driver.now += DELAY
    assert candidate.next_call() is None


def test_lease_that_the_store_has_ended_is_dropped():
    candidate = Candidate().register()
    candidate.driver.now += RENEWAL_FRACTION * LEASE_SECONDS
    candidate.answer(candidate.next_call(), LeaseLost())
    assert candidate.core.tables.election.lease == 0
    assert candidate.next_call() is None


def test_leaving_reader_ends_its_lease_once():
    candidate = Candidate().register()
    candidate.core.leave(candidate.driver.now + 5.0, candidate.driver.now)
    assert candidate.next_call() == EndLease(7)
    assert candidate.next_call() is None


def test_leaving_host_without_a_lease_makes_no_call():
    candidate = Candidate()
    candidate.core.leave(candidate.driver.now + 5.0, candidate.driver.now)
    candidate.driver.now += 10 * DELAY
    assert candidate.next_call() is None


def test_restarted_reader_does_not_renew_its_old_lease():
    """A zone reader crashes and restarts under its id before its lease ends.

    It requests a lease of its own, and renews none before it is registered under that.
    """
    candidate = Candidate()
    candidate.driver.change(ZoneReader("north", "host-1", OWN, 2))
    candidate.driver.now += LEASE_SECONDS
    assert candidate.next_call() == GrantLease(LEASE_SECONDS)
    candidate.answer(GrantLease(LEASE_SECONDS), LeaseGranted(8, LEASE_SECONDS))
    candidate.driver.now += LEASE_SECONDS
    assert not isinstance(candidate.next_call(), RenewLease)


def test_larger_hosts_claim_sooner():
    small, large = claim_delay("host-1", 0.16), claim_delay("host-1", 2.0)
    assert small > large
    assert claim_delay("host-1", 0.001) <= CLAIM_JITTER + 2.0


def test_hosts_of_a_zone_claim_at_different_times():
    delays = sorted(claim_delay(f"host-{number}", 1.0) for number in range(27))
    assert delays[1] - delays[0] > 0.004
    assert len(set(delays)) >= 25


@pytest.mark.parametrize("call", [GrantLease(4.0), RenewLease(7)])
def test_failed_call_is_made_again_after_a_pause(call):
    candidate = Candidate()
    candidate.next_call()
    candidate.answer(call, Unanswered("no answer in time"))
    assert candidate.core.next_election_deadline() > candidate.driver.now


def test_deadline_is_never_past_without_a_call():
    """A host was second with its claim, or its calls to the store fail.

    Its next call was due in the past but not made: the event loop ran without sleeping
    until the lease had ended, and took a fifth of a core from its callers.
    """
    second, failing = Candidate(), Candidate().register()
    second.next_call()
    second.driver.now += DELAY
    second.answer(second.next_call(), LeaseGranted(7, LEASE_SECONDS))
    second.driver.change(OTHER)
    failing.driver.fail_call()
    for candidate in (second, failing):
        candidate.driver.now += RENEWAL_FRACTION * LEASE_SECONDS + 0.1
        assert candidate.next_call() is None
        assert candidate.core.next_election_deadline() > candidate.driver.now


def test_leaving_reader_ends_its_lease_immediately():
    candidate = Candidate().register()
    candidate.core.leave(candidate.driver.now + 5.0, candidate.driver.now)
    assert candidate.core.next_election_deadline() <= candidate.driver.now
    candidate.next_call()
    assert candidate.core.next_election_deadline() > candidate.driver.now


class TestRestartedReader:
    """A zone reader crashes and restarts before its lease has ended."""

    def test_claims_its_zone_again_at_once(self):
        """All hosts of a zone without a reader read the store, twice each.

        All hosts lost power for a second. Each listed the store and found the zone
        reader registered; that host had restarted too and knew of no lease. Four
        seconds after its last renewal the entry expired, 195 hosts watched the store
        for its successor, and each received the changes of every zone: 451 of 701
        calls.
        """
        candidate = Candidate()
        candidate.driver.change(ZoneReader("north", "host-1", OWN, 2))
        assert candidate.next_call() == GrantLease(LEASE_SECONDS)
        candidate.answer(GrantLease(LEASE_SECONDS), LeaseGranted(8, LEASE_SECONDS))
        claim = candidate.next_call()
        assert claim == ClaimZone(8, "north", "host-1", OWN, replaces=2)
        candidate.answer(claim, Done())
        assert candidate.next_call() is None
        candidate.driver.change(ZoneReader("north", "host-1", OWN, 5))
        candidate.driver.now += RENEWAL_FRACTION * LEASE_SECONDS
        assert candidate.next_call() == RenewLease(8)

    def test_leaves_the_zone_to_a_host_that_was_first(self):
        candidate = Candidate()
        candidate.driver.change(ZoneReader("north", "host-1", OWN, 2))
        candidate.answer(candidate.next_call(), LeaseGranted(8, LEASE_SECONDS))
        candidate.answer(candidate.next_call(), ConditionFailed())
        candidate.driver.change(ZoneReader("north", "host-9", OTHER.endpoint, 6))
        candidate.driver.now += LEASE_SECONDS
        assert candidate.next_call() is None

    def test_claims_nothing_while_the_store_is_unreachable(self):
        candidate = Candidate()
        candidate.driver.change(ZoneReader("north", "host-1", OWN, 2))
        candidate.driver.fail_call()
        assert candidate.next_call() is None


def restore(driver, *entries):
    """Let the host read a store that was restored from a backup."""
    driver.now = max(driver.now, driver.tables.reader.call_at)
    driver.call = driver.core.next_call(driver.now)
    driver.answer(HistoryLost(epoch=1))
    revision = ordered_revision(1, 2)
    driver.list_store(make_configuration(), *entries, revision=revision)


def test_lease_lost_in_a_restore_is_not_ended():
    """A store is restored to a state before a host's lease, and reissues its number.

    When the host leaves, it ends that number: the new holder's zone loses its reader.
    """
    candidate = Candidate().register()
    restore(candidate.driver)
    candidate.core.leave(candidate.driver.now + 5.0, candidate.driver.now)
    assert candidate.next_call() is None


def test_reader_lost_in_a_restore_claims_its_zone_again():
    candidate = Candidate().register()
    restore(candidate.driver)
    candidate.next_call()
    candidate.driver.now += DELAY
    call = candidate.next_call()
    assert call == GrantLease(LEASE_SECONDS)
    candidate.answer(call, LeaseGranted(8, LEASE_SECONDS))
    assert candidate.next_call() == ClaimZone(8, "north", "host-1", OWN)


def test_reader_that_the_restored_store_holds_keeps_its_lease():
    candidate = Candidate().register()
    reader = ZoneReader("north", "host-1", OWN, ordered_revision(1, 2))
    restore(candidate.driver, reader)
    candidate.driver.now += RENEWAL_FRACTION * LEASE_SECONDS
    assert candidate.next_call() == RenewLease(7)
