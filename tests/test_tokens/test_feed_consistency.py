"""Tests that a follower at a revision of the store holds what the store held there."""

from __future__ import annotations

import pytest

from citronspring.tokens.balancer import TokenBalancer
from citronspring.tokens.entries import (
    ConfigurationChange,
    Target,
    TargetRemoved,
    Unreadable,
    ZoneDrain,
    ZoneReader,
    ordered_revision,
)
from citronspring.tokens.messages import (
    Changes,
    FeedAnswer,
    FollowReader,
    HistoryLost,
    ListEntries,
    Page,
    PeerSnapshot,
    Refused,
    Unanswered,
    WatchEntries,
)
from citronspring.tokens.peer_snapshot import decode_snapshot
from tests.test_tokens.driver import Driver, make_configuration, make_target
from tests.test_tokens.zone import (
    READER,
    TIMES,
    make_follower,
    make_zone_reader,
    next_call,
    poll_reader,
)

#: The driver's host as the reader of its zone.
OWN = ZoneReader("north", "host-1", READER.endpoint, 2)


def start_list(driver, *entries, revision):
    """Let a host read the first page of a list; one entry is on the next page."""
    assert next_call(driver) == ListEntries()
    driver.answer(Page((make_configuration(), OWN, *entries), revision, "servers/i-8"))
    assert next_call(driver) == ListEntries("servers/i-8")


def restart(driver):
    """Start the host again; it knows nothing."""
    driver.core = TokenBalancer.from_config("host-1", "north", TIMES)


def restart_reader(*first_page, last_page, revision):
    """Return a zone reader that has just listed the store, and watches it next."""
    driver = Driver()
    restart(driver)
    start_list(driver, *first_page, revision=10)
    driver.answer(Page(last_page, revision, None))
    assert next_call(driver) == WatchEntries(10, 0.0)
    return driver


def test_change_during_the_first_list_is_served():
    """A target starts to leave while a zone reader that has started lists the store.

    Its followers know less, and never learned of that.
    """
    leaving = make_target(9, leaving=True, revision=12)
    driver = restart_reader(last_page=(leaving,), revision=12)
    assert poll_reader(driver, after=11) == Refused(503)
    driver.answer(Changes((leaving,), 12))
    (served,) = poll_reader(driver, after=11).changes
    assert (served.target_id, served.leaving) == ("i-9", True)


def test_removal_of_an_unknown_target_is_served():
    """A target registers and ends between two pages of the zone reader's list."""
    driver = restart_reader(last_page=(), revision=12)
    driver.answer(Changes((TargetRemoved("i-7", 12),), 12))
    (served,) = poll_reader(driver, after=11).changes
    assert (type(served), served.target_id) == (TargetRemoved, "i-7")


def test_removal_of_an_unreadable_entry_is_served():
    """Another program overwrites an entry, and the zone reader knows no valid one.

    A follower keeps the last valid entry, and has to learn that it is gone.
    """
    broken = Unreadable("i-9", "no service", 11)
    driver = restart_reader(last_page=(broken,), revision=12)
    driver.answer(Changes((), None))
    driver.answer(HistoryLost())
    driver.list_store(make_configuration(), OWN, revision=20)
    (served,) = poll_reader(driver, after=10).changes
    assert (type(served), served.target_id) == (TargetRemoved, "i-9")


def test_entry_of_an_earlier_start_is_served():
    """The store holds an earlier start of a target than the zone reader has known.

    A follower that has started since then knows the earlier one alone.
    """
    driver = make_zone_reader(make_target(9, started=2000))
    earlier = make_target(9, started=1000, leaving=True, revision=3)
    driver.change(earlier)
    (served,) = poll_reader(driver, after=2).changes
    assert (served.started, served.leaving) == (1000, True)
    driver.answer(HistoryLost())
    later = make_target(9, started=1000, leaving=True, sequence=2, revision=15)
    driver.list_store(make_configuration(), OWN, later, revision=20)
    (served,) = poll_reader(driver, after=3).changes
    assert served.sequence == 2


def test_unknown_later_start_that_is_unreadable_is_served():
    """An entry that cannot be decoded ends an earlier start of its target."""
    driver = make_zone_reader()
    driver.change(Unreadable("i-9", "no service", 3, started=2000))
    driver.change(Unreadable("i-8", "no service", 4))
    (served,) = poll_reader(driver, after=2).changes
    assert (served.name, served.started) == ("i-9", 2000)


def test_expired_entry_is_not_taken_from_followers():
    """A restored store holds an earlier start of a target than the zone reader knows.

    When its own is not written again in time, the store's one goes on elsewhere.
    """
    driver = make_zone_reader(make_target(1), make_target(9, started=2000))
    driver.answer(HistoryLost(1))
    restored = ordered_revision(1, 2)
    older = make_target(9, started=1000, revision=restored)
    driver.list_store(make_configuration(), OWN, older, revision=restored)
    driver.wait(20.0)
    assert driver.tables.targets["i-1"].gone_at < driver.now
    drain = ZoneDrain("south", restored + 1)
    driver.answer(Changes((drain,), restored + 1, 1))
    (served,) = poll_reader(driver, after=restored).changes
    assert isinstance(served, ZoneDrain)
    driver.answer(HistoryLost(1))
    driver.list_store(make_configuration(), OWN, drain, revision=restored + 9)
    (served,) = poll_reader(driver, after=restored + 1).changes
    assert (type(served), served.target_id) == (TargetRemoved, "i-9")


def test_list_of_an_inconsistent_host_starts_the_log_anew():
    """A watch after a list is lost, and the next list lacks a target of the first one.

    A follower between the two lists would keep the target.
    """
    driver = restart_reader(last_page=(make_target(9, revision=12),), revision=12)
    driver.answer(HistoryLost())
    driver.list_store(make_configuration(), OWN, revision=20)
    assert isinstance(poll_reader(driver, after=10), HistoryLost)
    assert isinstance(poll_reader(driver, after=20), FeedAnswer)


def test_new_zone_reader_knows_the_gaps_of_the_former_one():
    """A follower gets a list's differences, and becomes the reader of its zone.

    A host between both revisions may hold a target that was removed before the list.
    """
    driver = make_follower()
    next_call(driver)
    driver.answer(FeedAnswer((OWN,), 12, 0.0, 0.0))
    assert isinstance(poll_reader(driver, after=7), HistoryLost)
    assert isinstance(poll_reader(driver, after=2), FeedAnswer)


def test_watch_leaves_no_gap():
    driver = make_zone_reader()
    driver.answer(Changes((make_target(3, revision=9),), 9))
    assert isinstance(poll_reader(driver, after=5), FeedAnswer)


def test_host_is_consistent_after_a_watch_without_changes():
    driver = restart_reader(last_page=(), revision=12)
    driver.answer(Changes((), None))
    assert driver.tables.reader.consistent
    assert isinstance(poll_reader(driver, after=10), FeedAnswer)


def make_inconsistent_follower():
    """Return a follower that has listed a page at revision 10 and one at 12."""
    driver = Driver()
    restart(driver)
    next_call(driver)
    driver.answer(Page((make_configuration(), READER), 10, "servers/i-8"))
    next_call(driver)
    driver.answer(Page((make_target(9, revision=12),), 12, None))
    return driver


def test_inconsistent_host_reads_the_store_before_it_follows():
    """A list brings a target that ends meanwhile; a zone reader has never known it."""
    driver = make_inconsistent_follower()
    assert next_call(driver) == WatchEntries(10, 0.0)
    driver.answer(Changes((TargetRemoved("i-9", 13),), 13))
    assert isinstance(next_call(driver), FollowReader)


def test_watch_that_does_not_reach_the_last_page_is_repeated():
    driver = make_inconsistent_follower()
    next_call(driver)
    driver.answer(Changes((make_target(3, revision=11),), 11))
    assert driver.tables.reader.call_at == driver.now
    assert next_call(driver) == WatchEntries(11, 0.0)


def test_inconsistent_host_keeps_its_revision_while_it_follows():
    """The store refuses a host after its list, so that the host has to follow.

    It applies what it gets, and reads the store's history from its list on later.
    """
    driver = make_inconsistent_follower()
    next_call(driver)
    driver.fail_call()
    assert next_call(driver).after_revision == 10
    driver.answer(FeedAnswer((make_target(3, revision=15),), 15, 0.0, 0.0, 1))
    assert "i-3" in driver.tables.targets
    assert next_call(driver) == WatchEntries(10, 0.0)


def test_missing_configuration_leaves_a_host_inconsistent():
    """An answer is applied up to a configuration that cannot be; the store is down."""
    driver = make_follower()
    next_call(driver)
    later = ConfigurationChange(5, 9, 15.0, (), ())
    driver.answer(FeedAnswer((make_target(3, revision=7), later), 12, 0.0, 0.0, 9))
    assert not driver.tables.reader.consistent
    next_call(driver)
    driver.fail_call()
    driver.now = driver.tables.follow.retry_at
    assert next_call(driver).after_revision == 2


@pytest.mark.parametrize("consistent", [True, False])
def test_snapshot_says_whether_it_is_consistent(consistent):
    driver = make_inconsistent_follower()
    if consistent:
        next_call(driver)
        driver.answer(Changes((), None))
    snapshot = decode_snapshot(*driver.core.snapshot(driver.now))
    assert snapshot.complete == consistent


def test_history_is_read_from_an_older_snapshot_on():
    """A host lists the store before its first configuration, then loses the store.

    A snapshot brings a target that had ended before the list.
    """
    driver = Driver(make_target(1))
    restart(driver)
    next_call(driver)
    driver.answer(Page((), 9, None))
    driver.answer(PeerSnapshot(make_configuration(), (make_target(9),), 5, 0.0, True))
    assert next_call(driver) == WatchEntries(5, 0.0)
    driver.answer(Changes((TargetRemoved("i-9", 7),), 9))
    assert driver.tables.reader.consistent


def test_list_after_a_snapshot_starts_the_log_anew():
    """A peer's snapshot omits an unreadable entry, which is gone before the next list.

    A follower that holds its last valid state would keep the target.
    """
    driver = Driver()
    restart(driver)
    driver.answer(PeerSnapshot(make_configuration(), (), 5, 0.0, True))
    driver.answer(HistoryLost())
    driver.list_store(make_configuration(), OWN, revision=20)
    assert isinstance(poll_reader(driver, after=5), HistoryLost)


def test_failed_list_keeps_a_zone_reader_silent():
    driver = restart_reader(last_page=(), revision=12)
    driver.answer(Unanswered("no answer in time"))
    assert poll_reader(driver, after=10) == Refused(503)


def test_target_is_an_entry_of_the_feed_again_after_its_removal():
    driver = make_zone_reader()
    driver.change(make_target(9, revision=3))
    driver.remove(9)
    driver.change(make_target(9, revision=5))
    kinds = [type(change) for change in poll_reader(driver, after=2).changes]
    assert kinds == [Target, TargetRemoved, Target]
