"""Tests of reading the store: staying current despite faults."""

from __future__ import annotations

import math

import pytest

from citronspring.tokens.entries import TargetRemoved, ordered_revision
from citronspring.tokens.messages import (
    AnswerTooLarge,
    Changes,
    HistoryLost,
    ListEntries,
    Page,
    ReadPeer,
    Refused,
    WatchEntries,
)
from citronspring.tokens.store_reader import (
    MAX_ANSWER_TIMEOUT,
    MAX_RETRY_PAUSE,
    is_current,
)
from citronspring.tokens.times import ReaderTimes
from tests.test_tokens.driver import (
    BOUND,
    SETTLING,
    Driver,
    make_configuration,
    make_target,
    target_of,
)


def next_call(driver):
    """Advance the clock to the next call, and make it."""
    driver.now = max(driver.now, driver.tables.reader.call_at)
    driver.call = driver.core.next_call(driver.now)
    return driver.call


def test_older_configuration_is_never_applied():
    """A late answer contains an older configuration than the one that was applied.

    If it were applied, a removed route would get flows again.
    """
    driver = Driver(make_target(1), configuration=make_configuration(5))
    driver.change(make_configuration(4, []))
    assert driver.tables.configuration == 5
    assert driver.tables.routes


def test_older_entry_of_a_target_is_not_applied():
    """A list that was read before a target started to leave arrives later."""
    driver = Driver(make_target(1), make_target(2))
    driver.change(make_target(1, leaving=True, revision=5))
    driver.answer(HistoryLost())
    driver.list_store(make_target(1, revision=3), make_target(2), revision=3)
    assert driver.tables.targets["i-1"].target.leaving


def test_list_removes_missing_targets():
    driver = Driver(make_target(1), make_target(2))
    driver.answer(HistoryLost())
    driver.list_store(make_configuration(), make_target(2), revision=9)
    placed = {target_of(driver.caller(port).open()) for port in range(4)}
    assert placed == {"i-2"}


def test_list_keeps_a_target_registered_after_its_first_page():
    """Pages are no consistent snapshot: a target registers while they are read.

    The interrupted watch has already brought it. The list was started before and does
    not contain it; if the target were removed, it would stay unused until its next
    change.
    """
    driver = Driver(make_target(1))
    driver.change(make_target(2, revision=8))
    driver.answer(HistoryLost())
    driver.list_store(make_configuration(), make_target(1), revision=7)
    assert target_of(driver.caller(1).open()) in {"i-1", "i-2"}
    assert driver.tables.targets["i-2"] in driver.tables.by_service["previews"]


def test_unreadable_entry_keeps_the_last_valid_one():
    """A target writes an entry that cannot be decoded.

    The target is present, and its last valid entry stays in effect; other entries are
    applied.
    """
    driver = Driver(make_target(1), make_target(2))
    driver.answer(HistoryLost())
    driver.list_store(make_target(2), revision=9, unreadable={"i-1": "no JSON"})
    assert driver.tables.targets["i-1"] in driver.tables.by_service["previews"]
    assert driver.logs[-1].fields["entry"] == "i-1"


def test_pages_are_collected_and_the_watch_starts_at_the_first():
    """Entries change while a list is read page by page.

    The watch continues from the revision of the first page, so that changes to pages
    that were already read are reported again.
    """
    driver = Driver()
    driver.answer(HistoryLost())
    driver.answer(Page((make_configuration(),), 20, "op/x"))
    assert driver.core.next_call(driver.now) == ListEntries("op/x")
    driver.answer(Page((make_target(1, revision=19),), 25, None))
    call = driver.core.next_call(driver.now)
    assert isinstance(call, WatchEntries)
    assert call.after_revision == 20


def test_answer_without_changes_does_not_advance_the_watch():
    """A store withholds changes from a watch, and then answers it.

    If the revision of that answer were used, the changes would be missed permanently.
    """
    driver = Driver(make_target(1))
    driver.answer(Changes((), None))
    call = driver.core.next_call(driver.now)
    assert call.after_revision == driver.tables.reader.revision == 1


def test_incomplete_list_changes_nothing():
    """The store fails between two pages: the known state stays in effect."""
    driver = Driver(make_target(1))
    driver.answer(HistoryLost())
    driver.answer(Page((make_configuration(),), 20, "op/x"))
    driver.fail_call()
    assert target_of(driver.caller(1).open()) == "i-1"


def test_entry_that_returns_is_used_again():
    """Entries expired during an outage of the store and are back two seconds later."""
    driver = Driver(make_target(1))
    driver.remove(1)
    driver.change(make_target(1, revision=driver.revision + 1))
    assert target_of(driver.caller(1).open()) == "i-1"


def test_removal_that_is_older_than_the_entry_is_ignored():
    driver = Driver(make_target(1, revision=9))
    driver.answer(Changes((TargetRemoved("i-1", 8),), 8))
    assert target_of(driver.caller(1).open()) == "i-1"


@pytest.mark.parametrize("failures", range(1, 8))
def test_store_is_asked_again_within_the_bound(failures):
    """The store fails repeatedly and then answers.

    The pause and the timeout of a call grow but stay bounded, so that a host is current
    again in time.
    """
    driver = Driver(make_target(1))
    for _ in range(failures):
        driver.now = max(driver.now, driver.tables.reader.call_at)
        driver.answer(Refused(503))
    assert driver.tables.reader.call_at - driver.now <= MAX_RETRY_PAUSE
    call = ListEntries()
    assert (
        driver.core.answer_deadline(call, driver.now) - driver.now <= MAX_ANSWER_TIMEOUT
    )


@pytest.mark.parametrize(
    ("change", "settling"), [(3.0, 4.0), (5.0, 5.0), (1.0, 2.0), (10.0, 20.0)]
)
def test_lost_watch_is_repeated_in_time(change, settling):
    """A connection stops answering right after a watch was sent over it.

    The watch times out, and the next one, over a new connection, requests an answer
    without waiting: all before the host counts as settled after the fault.
    """
    driver = Driver(make_target(1))
    driver.core.times = ReaderTimes.from_bounds(change, settling)
    call = driver.core.next_call(driver.now)
    began = driver.now
    driver.now = driver.core.answer_deadline(call, driver.now)
    driver.fail_call()
    driver.now = driver.tables.reader.call_at
    again = driver.core.next_call(driver.now)
    connect_and_answer = 0.6
    assert again.wait == 0.0
    assert driver.now + connect_and_answer - began <= settling


def test_state_counts_as_current_while_a_watch_waits():
    """A healthy host must be able to refuse an address without a route."""
    times = ReaderTimes.from_bounds(3.0, 60.0)
    assert times.wait < times.current


def test_long_outage_of_the_store_does_not_crash_the_process():
    """The store is down for a night. Callers are served from the known state.

    Pauses that double without limit would overflow after a thousand failures, a quarter
    of an hour, and every host would crash at about the same time.
    """
    driver = Driver(make_target(1))
    for _ in range(20_000):
        driver.now = max(driver.now, driver.tables.reader.call_at)
        call = driver.core.next_call(driver.now)
        driver.core.answer_deadline(call, driver.now)
        driver.fail_call()
    assert target_of(driver.caller(1).open()) == "i-1"


def test_host_is_not_current_without_answers():
    driver = Driver(make_target(1))
    times = driver.core.times
    assert is_current(driver.tables, times, driver.now)
    driver.wait(BOUND)
    assert not is_current(driver.tables, times, driver.now)


def test_delayed_answer_confirms_the_state_at_its_request():
    """An answer was queued in the socket while the host stalled for five seconds."""
    driver = Driver(make_target(1))
    sent_at = driver.now
    driver.now += 5.0
    driver.answer(Changes((), None), sent_at)
    assert not is_current(driver.tables, driver.core.times, driver.now)


def test_watch_that_is_too_large_is_followed_by_a_list():
    """Many versions of a large configuration are accepted while one is transferred.

    The next watch would transfer each of them in full. The store is healthy, so the
    list is requested immediately, and the known state stays in effect meanwhile.
    """
    driver = Driver(make_target(1))
    driver.now = max(driver.now, driver.tables.reader.call_at)
    driver.call = driver.core.next_call(driver.now)
    driver.answer(AnswerTooLarge())
    assert driver.tables.reader.failures == 0
    assert driver.core.next_call(driver.now) == ListEntries()
    assert driver.core.configured


@pytest.mark.parametrize("call", [ListEntries(), ReadPeer(0)])
def test_list_or_snapshot_that_is_too_large_is_a_failure(call):
    """A list, or a peer's snapshot, exceeds the size limit.

    There is nothing smaller to request instead. If it were handled like a watch that is
    too large, the store would be asked again immediately and forever, and a peer's
    answer would count as one of the store.
    """
    driver = Driver(make_target(1))
    driver.call = call
    driver.answer(AnswerTooLarge())
    assert driver.tables.reader.failures == 1
    assert driver.tables.reader.call_at > driver.now


def test_only_watch_answers_are_limited_by_the_link():
    """A list is the smallest way to learn everything, so it is accepted at any size."""
    driver = Driver(make_target(1))
    driver.core.times = ReaderTimes.from_bounds(4.0, SETTLING, link_rate=625e3)
    assert driver.core.largest_answer(WatchEntries(1, 0.0)) == 625e3
    assert driver.core.largest_answer(ListEntries()) == math.inf


def test_repeated_loss_of_history_is_listed_with_backoff():
    """For seconds, each watch after a list answers that the history is lost.

    If every host of a fleet listed again immediately, it would cost the store forty
    calls per second and host.
    """
    driver = Driver(make_target(1))
    began = driver.now
    for _ in range(10):
        next_call(driver)
        driver.answer(HistoryLost())
        driver.list_store(make_configuration(), make_target(1))
    assert driver.now - began > 5.0


def test_first_loss_of_history_is_listed_at_once():
    driver = Driver(make_target(1))
    began = driver.now
    for _ in range(2):
        next_call(driver)
        driver.answer(HistoryLost())
        driver.list_store(make_configuration(), make_target(1))
        next_call(driver)
        driver.change(make_target(2))
        driver.now = driver.tables.reader.call_at
    assert driver.now - began < 2.0


def test_pages_from_before_and_after_a_restore_are_not_combined():
    """A store is restored from a backup while it is listed page by page.

    If its pages were combined, a target on the first page of the restored store would
    count as removed.
    """
    driver = Driver(make_target(1), make_target(2))
    driver.answer(HistoryLost())
    driver.answer(Page((make_configuration(),), 20, "op/x"))
    later = ordered_revision(1, 18)
    driver.answer(Page((make_target(2, revision=later),), later, None))
    assert driver.core.next_call(driver.now) == ListEntries()
    assert driver.tables.targets["i-1"] in driver.tables.by_service["previews"]
