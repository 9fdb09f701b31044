"""Tests of following: hosts that follow the zone reader stay within the bound."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from citronspring.events import FOLLOWING, READER_LOST
from citronspring.tokens.entries import ConfigurationChange, ReaderRemoved, ZoneReader
from citronspring.tokens.messages import (
    Changes,
    FeedAnswer,
    FollowReader,
    HistoryLost,
    Refused,
    Unanswered,
    WatchEntries,
)
from tests.test_tokens.driver import (
    BOUND,
    ORDERS,
    PREVIEWS,
    Driver,
    make_configuration,
    make_route,
    make_target,
)
from tests.test_tokens.zone import (
    READER,
    STORE_CALL,
    TIMES,
    make_follower,
    make_zone_reader,
    next_call,
    numbers,
    poll_reader,
)


def test_polls_the_zone_reader_instead_of_the_store():
    driver = make_follower()
    call = next_call(driver)
    age = driver.now - driver.tables.reader.current_at
    assert call == FollowReader(READER.endpoint, 2, TIMES.follow_age - age)
    driver.now += 1.0
    driver.answer(FeedAnswer((), 5, 0.1, 1.0), sent_at=driver.now - 1.0)
    assert isinstance(next_call(driver), FollowReader)
    assert driver.tables.reader.revision == 5
    assert driver.tables.reader.current_at == pytest.approx(driver.now - 0.1)
    assert numbers(driver).count(FOLLOWING.number) == 1


def test_another_zones_reader_is_not_followed():
    driver = Driver(make_target(1))
    driver.change(ZoneReader("south", "host-9", READER.endpoint, 2))
    assert isinstance(next_call(driver), WatchEntries)


@pytest.mark.parametrize(
    "answer", [Unanswered("no answer in time"), Refused(503), HistoryLost()]
)
def test_reads_the_store_at_once_when_the_reader_fails(answer):
    """The zone reader has crashed, has stalled, or cannot reach the store.

    Its followers do not receive an accepted change. Each follower's call has a
    deadline; after it the follower reads the store without a wait.
    """
    driver = make_follower()
    next_call(driver)
    driver.answer(answer)
    assert next_call(driver) == WatchEntries(2, 0.0)
    driver.answer(Changes((), None))
    assert next_call(driver) == WatchEntries(2, TIMES.wait)


def test_unresponsive_reader_costs_less_than_the_bound():
    """A change is accepted just as the zone reader stops answering a poll.

    When the follower gives up, the rest of the bound must suffice for a call to the
    store over a new connection.
    """
    driver = make_follower()
    call = next_call(driver)
    given_up_at = driver.core.answer_deadline(call, driver.now)
    assert given_up_at - driver.now + STORE_CALL < BOUND


@pytest.mark.parametrize("age", [0.0, 1.0, TIMES.follow_age])
def test_reader_that_fails_after_an_old_answer_costs_less_than_the_bound(age):
    """A zone reader is partitioned from the store and loses power right after that.

    Its last answer was just young enough to be followed, and the follower waited the
    full time for the next one: a change was applied after 5.8 s of 5 (emulator seed
    163; an answer with an age of 2.88 s, then a call of 3.05 s, "no answer in time").
    """
    driver = make_follower()
    driver.now += 10.0
    next_call(driver)
    driver.answer(FeedAnswer((), 5, age, 0.0))
    call = next_call(driver)
    given_up_at = driver.core.answer_deadline(call, driver.now)
    assert isinstance(call, FollowReader)
    assert given_up_at + STORE_CALL - driver.tables.reader.current_at < BOUND


def test_partitioned_reader_costs_less_than_the_bound():
    """The zone reader answers its followers but gets nothing from the store.

    If it were followed, it would hold its whole zone back. It reports the age of its
    state, and it is not followed beyond an age that leaves time to read the store.
    """
    driver = make_follower()
    next_call(driver)
    driver.answer(FeedAnswer((), 5, TIMES.follow_age + 0.01, 0.0))
    assert next_call(driver) == WatchEntries(5, 0.0)
    assert TIMES.follow_age + STORE_CALL < BOUND


def test_answer_that_was_delayed_counts_as_old():
    """A follower stalls for ten seconds with an answer in its socket's queue.

    The answer contains the age at the time at which it was given. Counted from its
    arrival, the host would consider state that is ten seconds old as current.
    """
    driver = make_follower()
    next_call(driver)
    sent_at = driver.now
    driver.now += 10.0
    driver.answer(FeedAnswer((), 5, 0.0, 0.5), sent_at=sent_at)
    assert driver.tables.reader.current_at == pytest.approx(sent_at + 0.5)
    assert isinstance(next_call(driver), WatchEntries)


def test_failed_reader_is_polled_with_backoff_and_without_a_wait():
    driver = make_follower()
    pauses = []
    for _ in range(6):
        while not isinstance(next_call(driver), FollowReader):
            driver.now += 0.05
            driver.answer(Changes((), None))
        asked_at = driver.now
        driver.fail_call()
        pauses.append(driver.tables.follow.retry_at - asked_at)
    assert pauses == pytest.approx([1.0, 2.0, 4.0, 8.0, 8.0, 8.0])
    driver.now = driver.tables.follow.retry_at
    assert next_call(driver).wait == 0.0


def test_follows_while_the_store_refuses_only_this_host():
    """For many seconds the store refuses some hosts and serves the others.

    Without a second source, the refused host would serve from its old state.
    """
    driver = make_follower()
    next_call(driver)
    driver.fail_call()
    next_call(driver)
    driver.answer(Refused(503))
    driver.now = driver.tables.follow.retry_at
    assert isinstance(next_call(driver), FollowReader)
    newest = ConfigurationChange(1, 9, 15.0, (), ())
    driver.answer(FeedAnswer((newest,), 12, 0.1, 0.0))
    assert driver.tables.configuration == 9
    assert isinstance(next_call(driver), FollowReader)


def test_loss_of_the_reader_is_logged_once_with_its_cause():
    driver = make_follower()
    next_call(driver)
    driver.answer(FeedAnswer((), 5, 0.1, 0.0))
    next_call(driver)
    driver.fail_call()
    (lost,) = [log for log in driver.logs if log.number == READER_LOST.number]
    assert lost.fields["reader"] == "host-9"
    assert lost.fields["cause"] == "no answer in time"


def test_older_changes_are_not_applied():
    """A restarted zone reader is behind the state that its follower has applied."""
    driver = Driver(make_target(1), configuration=make_configuration(7))
    driver.change(READER)
    next_call(driver)
    older = ConfigurationChange(5, 6, 15.0, (), (ORDERS,))
    driver.answer(FeedAnswer((older,), 1, 0.1, 0.0))
    assert driver.tables.configuration == 7
    assert ORDERS in driver.tables.routes
    assert driver.tables.reader.revision == 2


def test_removed_reader_is_not_followed():
    driver = make_follower()
    driver.change(ReaderRemoved("north", 3))
    assert isinstance(next_call(driver), WatchEntries)
    driver.change(ReaderRemoved("north", 4))


def test_list_without_a_reader_ends_following():
    driver = make_follower()
    driver.answer(HistoryLost())
    driver.tables.reader.listed = False
    driver.list_store(make_configuration(), make_target(1), revision=9)
    assert driver.tables.zone_readers == {}


def test_difference_to_another_configuration_is_not_applied():
    """A follower has missed a configuration; the zone reader sends what came after it.

    If it were applied to the older configuration, removed routes would stay and count
    as current. The follower reads the store from its own revision.
    """
    driver = make_follower()
    next_call(driver)
    later = ConfigurationChange(5, 9, 15.0, (), (ORDERS,))
    driver.answer(FeedAnswer((later,), 12, 0.1, 0.0))
    assert driver.tables.configuration == 1
    assert next_call(driver) == WatchEntries(2, 0.0)


ROUTES = st.lists(
    st.builds(
        make_route,
        st.integers(PREVIEWS, PREVIEWS + 4),
        st.sampled_from(("previews", "orders")),
        idempotent=st.booleans(),
    ),
    max_size=5,
    unique_by=lambda route: route.key,
)


@settings(derandomize=True, deadline=None)
@given(st.lists(ROUTES, min_size=1, max_size=6), st.integers(0, 5))
def test_differences_lead_to_the_same_configuration(versions, first):
    """A follower that joins at any version ends up with the zone reader's routes."""
    reader, joined = make_zone_reader(), make_follower()
    for number, routes in enumerate(versions):
        reader.change(make_configuration(2 + number, routes))
        if number >= first:
            feed = poll_reader(reader, joined.tables.reader.revision)
            next_call(joined)
            joined.answer(feed)
    feed = poll_reader(reader, joined.tables.reader.revision)
    next_call(joined)
    joined.answer(feed)
    assert joined.tables.routes == reader.tables.routes
    assert joined.tables.configuration == reader.tables.configuration


class CountedRoutes(dict):
    """Routes that count how many of them are examined by iteration."""

    examined = 0

    def __iter__(self):
        for key in super().__iter__():
            self.examined += 1
            yield key

    def keys(self):
        self.examined += len(self)
        return super().keys()

    def values(self):
        self.examined += len(self)
        return super().values()

    def items(self):
        self.examined += len(self)
        return super().items()


def test_change_of_one_route_does_not_scan_the_others():
    """Operators change one of 4,200 routes many times in a row.

    Each time all routes were rebuilt, in 8.5 ms of processor time: on a sixth of a core
    a host stalled for 50 ms per change, and callers' openings waited.
    """
    routes = [make_route(PREVIEWS + number) for number in range(4200)]
    driver = Driver(make_target(1), configuration=make_configuration(1, routes))
    driver.change(READER)
    driver.tables.routes = counted = CountedRoutes(driver.tables.routes)
    changed = make_route(PREVIEWS + 7, idempotent=False)
    for revision in range(2, 12):
        next_call(driver)
        change = ConfigurationChange(
            revision - 1, revision, 15.0, (changed,), (PREVIEWS + revision + 100,)
        )
        driver.answer(FeedAnswer((change,), 10 + revision, 0.0, 0.0))
    assert driver.tables.routes is counted
    assert counted.examined == 0
    assert counted[PREVIEWS + 7] == changed
    assert len(counted) == 4190
