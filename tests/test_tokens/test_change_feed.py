"""Tests of the change feed: what the zone reader serves, and when it must refuse."""

from __future__ import annotations

import json
from collections import deque

import pytest

from citronspring.endpoints import Endpoint
from citronspring.tokens.change_feed import (
    MAX_LOGGED_CHANGES,
    FeedPoll,
    answer_poll,
    decode_feed,
)
from citronspring.tokens.entries import ReaderRemoved, Target, TargetRemoved, ZoneReader
from citronspring.tokens.messages import (
    Changes,
    FeedAnswer,
    HistoryLost,
    Page,
    Refused,
    Unanswered,
    WatchEntries,
)
from citronspring.tokens.store_reader import TIMER_MARGIN
from tests.test_tokens.driver import (
    PREVIEWS,
    make_configuration,
    make_route,
    make_target,
)
from tests.test_tokens.zone import (
    TIMES,
    decode_answer,
    make_zone_reader,
    next_call,
    poll_reader,
)


def test_reader_watches_the_store_with_shorter_waits():
    assert next_call(make_zone_reader()) == WatchEntries(2, TIMES.zone_reader_wait)
    assert TIMES.zone_reader_wait < TIMES.wait


def test_followers_get_changes_above_their_revision():
    driver = make_zone_reader()
    driver.change(make_target(2, revision=3))
    driver.remove(1)
    driver.change(make_configuration(4))
    everything = poll_reader(driver, after=2)
    assert [type(change).__name__ for change in everything.changes] == [
        "Target",
        "TargetRemoved",
        "ConfigurationChange",
    ]
    assert everything.revision == 5
    assert len(poll_reader(driver, after=4).changes) == 1
    assert poll_reader(driver, after=5).changes == ()


def leaving_targets(feed):
    """Return the targets that are leaving according to a zone reader's answer."""
    targets = [change for change in feed.changes if isinstance(change, Target)]
    return {target.target_id for target in targets if target.leaving}


def test_entry_newer_than_the_first_page_is_served():
    """A target starts to leave while the zone reader lists the store page by page.

    A follower that has read up to the first page would not receive it: the zone
    reader's watch brings the entry again, but it is no change there any more.
    """
    driver = make_zone_reader(make_target(1), make_target(2))
    next_call(driver)
    driver.answer(HistoryLost())
    next_call(driver)
    driver.answer(Page((make_configuration(), make_target(1)), 20, "servers/i-1"))
    next_call(driver)
    leaving = make_target(2, leaving=True, revision=21)
    driver.answer(Page((leaving,), 21, None))
    assert poll_reader(driver, after=20) == Refused(503)
    assert next_call(driver) == WatchEntries(20, 0.0)
    driver.answer(Changes((leaving,), 21))
    assert leaving_targets(poll_reader(driver, after=20)) == {"i-2"}
    assert poll_reader(driver, after=21).changes == ()


def test_follower_within_a_skipped_range_reads_the_store():
    """A target registers and disappears while the zone reader has lost the history.

    A follower read the store itself in between. The zone reader's list never contained
    the target, so the follower would keep it forever.
    """
    driver = make_zone_reader(make_target(1))
    for _ in range(2):
        next_call(driver)
        driver.answer(HistoryLost())
        driver.list_store(make_configuration(), make_target(1), revision=20)
    assert isinstance(poll_reader(driver, after=2), FeedAnswer)
    assert isinstance(poll_reader(driver, after=10), HistoryLost)
    assert isinstance(poll_reader(driver, after=20), FeedAnswer)


def test_change_of_the_zone_reader_is_served():
    """A zone reader loses its registration to another host and continues to serve.

    Its followers read on from its revision, past the change of the registration. If
    that were not sent to them, they would follow no host once this reader stops.
    """
    driver = make_zone_reader()
    other = ZoneReader("north", "host-7", Endpoint("10.1.0.7", 8166), 4)
    driver.change(ReaderRemoved("north", 3), other)
    removed, named = poll_reader(driver, after=2).changes
    assert (removed.zone, named.host_id) == ("north", "host-7")
    assert named.endpoint == other.endpoint


def test_poll_waits_for_changes_or_a_confirmation():
    driver = make_zone_reader()
    poll = FeedPoll(2, driver.now, driver.now + 2.0)
    assert driver.core.answer_poll(poll, driver.now) is None
    next_call(driver)
    driver.now += TIMES.zone_reader_wait
    driver.answer(Changes((), None), sent_at=driver.now - TIMES.zone_reader_wait)
    feed = decode_answer(driver.core.answer_poll(poll, driver.now))
    assert feed.changes == ()
    assert feed.age == pytest.approx(TIMER_MARGIN)
    assert feed.held == pytest.approx(driver.now - poll.asked_at)


def test_poll_is_answered_at_its_deadline():
    driver = make_zone_reader()
    poll = FeedPoll(2, driver.now, driver.now + 0.4)
    assert driver.core.answer_poll(poll, driver.now + 0.3) is None
    feed = decode_answer(driver.core.answer_poll(poll, driver.now + 0.4))
    assert feed.age == pytest.approx(0.4)


def test_zone_reader_that_is_not_current_refuses_at_once():
    driver = make_zone_reader()
    poll = FeedPoll(2, driver.now, driver.now + 60.0)
    late = driver.now + TIMES.follow_age + 0.01
    assert driver.core.answer_poll(poll, late)[0] == 503
    next_call(driver)
    driver.fail_call()
    assert driver.core.answer_poll(poll, driver.now)[0] == 503
    leaving = make_zone_reader()
    leaving.core.leave(leaving.now + 5.0, leaving.now)
    assert leaving.core.answer_poll(poll, leaving.now)[0] == 503


def test_follower_too_far_behind_is_sent_to_the_store():
    """A host returns to a zone reader whose log no longer holds what it missed.

    With only the newer changes, it would never learn of a removed target.
    """
    driver = make_zone_reader()
    assert isinstance(poll_reader(driver, after=0), HistoryLost)
    for number in range(MAX_LOGGED_CHANGES + 1):
        driver.change(make_target(5, revision=10 + number))
    assert isinstance(poll_reader(driver, after=2), HistoryLost)
    assert isinstance(poll_reader(driver, after=driver.revision - 1), FeedAnswer)


def test_changes_of_a_second_list_are_served():
    """A target is removed while the store loses its history and watches report nothing.

    The zone reader learns of it from a list. Its followers, which were at the same
    revision, have missed it too.
    """
    driver = make_zone_reader(make_target(1), make_target(2))
    driver.answer(HistoryLost())
    named = driver.tables.zone_readers["north"]
    driver.list_store(make_configuration(), make_target(2), named, revision=9)
    (removed,) = poll_reader(driver, after=2).changes
    assert isinstance(removed, TargetRemoved)
    assert removed.target_id == "i-1"


def test_changes_are_decoded_completely():
    driver = make_zone_reader()
    driver.change(make_target(3, "south", warmup=1.5, revision=3))
    (target,) = poll_reader(driver, after=2).changes
    assert (target.target_id, target.zone, target.warmup) == ("i-3", "south", 1.5)
    assert target.endpoint == make_target(3).endpoint


@pytest.mark.parametrize("name", ["revision", "age", "held", "changes"])
def test_answer_of_another_shape_counts_as_unanswered(name):
    driver = make_zone_reader()
    poll = FeedPoll(2, driver.now, driver.now)
    _, body = answer_poll(driver.tables, TIMES, poll, driver.now)
    broken = {**json.loads(body), name: "x"}
    assert isinstance(decode_feed(200, json.dumps(broken).encode()), Unanswered)


def test_watch_without_changes_confirms_its_wait():
    """A watch without changes confirms the state for the time that it waited.

    If it confirmed only its start, a host would consider its state old by a whole watch
    at the moment of the confirmation.
    """
    driver = make_zone_reader()
    next_call(driver)
    sent_at = driver.now
    driver.now += TIMES.zone_reader_wait + 0.004
    driver.answer(Changes((), None), sent_at=sent_at)
    waited = TIMES.zone_reader_wait - TIMER_MARGIN
    assert driver.tables.reader.current_at == pytest.approx(sent_at + waited)


def test_watch_that_ends_slightly_early_confirms_its_wait():
    """The store's timer runs ahead of the host's by a millisecond.

    If the answer counted as early, the host's state would seem older by a whole watch,
    and all its followers would turn to the store.
    """
    driver = make_zone_reader()
    next_call(driver)
    sent_at = driver.now
    driver.now += TIMES.zone_reader_wait - 0.001
    driver.answer(Changes((), None), sent_at=sent_at)
    assert driver.tables.reader.current_at > sent_at + TIMES.zone_reader_wait - 0.1


def test_watch_that_ends_early_confirms_only_its_start():
    driver = make_zone_reader()
    next_call(driver)
    sent_at = driver.now
    driver.now += TIMES.zone_reader_wait / 2
    driver.answer(Changes((), None), sent_at=sent_at)
    assert driver.tables.reader.current_at == sent_at


class CountedLog(deque):
    """A change log that counts how many entries are examined."""

    examined = 0

    def __iter__(self):
        return self.counted(super().__iter__())

    def __reversed__(self):
        return self.counted(super().__reversed__())

    def counted(self, entries):
        for entry in entries:
            self.examined += 1
            yield entry


def test_waiting_polls_do_not_scan_the_log():
    """Fourteen hosts poll while a zone reader forwards its callers' packets.

    Polls are checked in each event-loop iteration. Scanning a thousand changes each
    time took a fifth of a zone reader's core.
    """
    driver = make_zone_reader()
    for number in range(500):
        driver.change(make_target(5, revision=10 + number))
    driver.tables.change_log.changes = log = CountedLog(
        driver.tables.change_log.changes
    )
    newest = driver.tables.reader.revision
    for _ in range(14):
        poll = FeedPoll(newest, driver.now, driver.now + 2.0)
        assert driver.core.answer_poll(poll, driver.now) is None
    assert log.examined <= 14


@pytest.mark.parametrize("size", [1, 10, 100])
def test_corrupted_answer_counts_as_unanswered(size):
    """A compressed answer is truncated or corrupted; the follower reads the store."""
    driver = make_zone_reader()
    routes = [make_route(PREVIEWS + number) for number in range(200)]
    driver.change(make_configuration(5, routes))
    poll = FeedPoll(2, driver.now, driver.now)
    _, body = driver.core.answer_poll(poll, driver.now)
    assert not body.startswith(b"{")
    assert isinstance(decode_feed(200, body[:-size]), Unanswered)
    assert isinstance(decode_feed(200, b"x" * size), Unanswered)


@pytest.mark.parametrize("waited", [0.0, 0.4, 0.9, 1.4])
def test_change_late_in_a_watch_loses_no_follower(waited):
    """Operators change a route every three seconds; a zone reader loses its followers.

    A watch that brings changes confirms the state only as of the time at which it was
    sent. The next watch waited its full time, and before it ended the zone reader's
    state was too old to be followed: all 77 followers of three zones got status 503 at
    each of five changes (626, 640 "not current"), and read a configuration of 1 MB from
    the store.
    """
    driver = make_zone_reader()
    for number in range(5):
        next_call(driver)
        sent_at = driver.now
        driver.now += waited
        driver.revision += 1
        change = make_target(7, revision=10 + number)
        driver.answer(Changes((change,), driver.revision), sent_at=sent_at)
        for _ in range(3):
            call = next_call(driver)
            sent_at = driver.now
            driver.now += call.wait + 0.05
            poll = FeedPoll(driver.revision, sent_at, driver.now + 10.0)
            found = driver.core.answer_poll(poll, driver.now)
            assert found is None or found[0] == 200
            driver.answer(Changes((), None), sent_at=sent_at)
