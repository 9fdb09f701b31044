"""Hosts that follow their zone's reader are never behind by more than the bound."""

from __future__ import annotations

import json
from collections import deque

import pytest
from hypothesis import given
from hypothesis import strategies as st

from citronspring.endpoints import Endpoint
from citronspring.events import FOLLOWING, READER_LOST
from citronspring.tokens.entities import ZoneReader
from citronspring.tokens.messages import (
    Changes,
    ConfigurationChange,
    FollowReader,
    HistoryLost,
    ReaderNews,
    ReaderRemoved,
    Refused,
    Removed,
    Unanswered,
    WatchEntries,
)
from citronspring.tokens.news import MOST_CHANGES, Poll, answer_poll, decode_news
from citronspring.tokens.reader import TIMER_MARGIN, ReaderTimes
from tests.test_tokens.driver import (
    BOUND,
    ORDERS,
    SETTLING,
    STREAMS,
    Driver,
    make_configuration,
    make_route,
    make_target,
)

TIMES = ReaderTimes.from_bounds(BOUND, SETTLING)
READER = ZoneReader("north", "host-9", Endpoint("10.1.0.9", 8166), 2)

#: Seconds that a call to the store takes with a new connection, far above the usual.
STORE_CALL = 0.3


def follower():
    """Return a host that has heard of its zone's reader."""
    driver = Driver(make_target(1))
    driver.change(READER)
    return driver


def leader(*targets):
    """Return the host that reads for the zone."""
    driver = Driver(*targets or (make_target(1),))
    driver.change(ZoneReader("north", "host-1", Endpoint("10.1.0.9", 8166), 2))
    return driver


def next_call(driver):
    driver.now = max(driver.now, driver.tables.reader.call_at)
    driver.call = driver.core.next_call(driver.now)
    return driver.call


def numbers(driver):
    return [log.number for log in driver.logs]


def ask(driver, after):
    """Return what the reader answers a follower that waits for nothing."""
    poll = Poll(after, driver.now, driver.now)
    return decode_answer(driver.core.answer_poll(poll, driver.now))


def decode_answer(answer):
    status, body = answer
    return decode_news(status, body.encode())


# A follower --------------------------------------------------------------------------


def test_asks_the_reader_in_place_of_the_store():
    driver = follower()
    call = next_call(driver)
    assert call == FollowReader(READER.endpoint, 2, TIMES.follow_wait)
    driver.now += 1.0
    driver.answer(ReaderNews((), 5, 0.1, 1.0), sent_at=driver.now - 1.0)
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
    """The zone's reader is killed, frozen, or has lost the store itself.

    Its followers hear nothing of an accepted change. Each one's call has a deadline;
    after it the store is asked, for an answer without a wait.
    """
    driver = follower()
    next_call(driver)
    driver.answer(answer)
    assert next_call(driver) == WatchEntries(2, 0.0)
    driver.answer(Changes((), None))
    assert next_call(driver) == WatchEntries(2, TIMES.wait)


def test_silent_reader_costs_less_than_the_bound():
    """A change is accepted as the reader falls silent, just after it was asked.

    What remains of the bound once the follower gives up must do for a call to the
    store over a new connection.
    """
    driver = follower()
    call = next_call(driver)
    given_up_at = driver.core.answer_deadline(call, driver.now)
    assert given_up_at - driver.now + STORE_CALL < BOUND


def test_reader_that_is_cut_off_costs_less_than_the_bound():
    """The reader answers its followers, but hears nothing of the store any more.

    Followed on, it would hold its whole zone back. It tells the age of what it
    knows, and beyond an age that leaves time to read the store it is not followed.
    """
    driver = follower()
    next_call(driver)
    driver.answer(ReaderNews((), 5, TIMES.follow_age + 0.01, 0.0))
    assert next_call(driver) == WatchEntries(5, 0.0)
    assert TIMES.follow_age + STORE_CALL < BOUND


def test_answer_that_waited_on_its_way_counts_as_old():
    """A follower is frozen for ten seconds with an answer in its socket.

    The answer tells the age it had when it was given. Counted from its arrival, the
    host would take ten seconds old news for fresh.
    """
    driver = follower()
    next_call(driver)
    sent_at = driver.now
    driver.now += 10.0
    driver.answer(ReaderNews((), 5, 0.0, 0.5), sent_at=sent_at)
    assert driver.tables.reader.current_at == pytest.approx(sent_at + 0.5)
    assert isinstance(next_call(driver), WatchEntries)


def test_failed_reader_is_asked_again_without_a_wait_and_less_and_less_often():
    driver = follower()
    pauses = []
    for _ in range(6):
        while not isinstance(next_call(driver), FollowReader):
            driver.now += 0.05
            driver.answer(Changes((), None))
        asked_at = driver.now
        driver.lose_store()
        pauses.append(driver.tables.follow.retry_at - asked_at)
    assert pauses == pytest.approx([1.0, 2.0, 4.0, 8.0, 8.0, 8.0])
    driver.now = driver.tables.follow.retry_at
    assert next_call(driver).wait == 0.0


def test_follows_while_the_store_refuses_only_this_host():
    """The store turns some hosts away and serves the others, for many seconds.

    Without a second source the refused host would serve by what it knew before.
    """
    driver = follower()
    next_call(driver)
    driver.lose_store()
    next_call(driver)
    driver.answer(Refused(503))
    driver.now = driver.tables.follow.retry_at
    assert isinstance(next_call(driver), FollowReader)
    newest = ConfigurationChange(1, 9, 15.0, (), ())
    driver.answer(ReaderNews((newest,), 12, 0.1, 0.0))
    assert driver.tables.configuration == 9
    assert isinstance(next_call(driver), FollowReader)


def test_loss_of_the_reader_is_logged_once_with_its_cause():
    driver = follower()
    next_call(driver)
    driver.answer(ReaderNews((), 5, 0.1, 0.0))
    next_call(driver)
    driver.lose_store()
    (lost,) = [log for log in driver.logs if log.number == READER_LOST.number]
    assert lost.fields["reader"] == "host-9"
    assert lost.fields["cause"] == "no answer in time"


def test_news_take_nothing_back():
    """A reader that has started anew is behind what its follower has in force."""
    driver = Driver(make_target(1), configuration=make_configuration(7))
    driver.change(READER)
    next_call(driver)
    older = ConfigurationChange(5, 6, 15.0, (), (ORDERS,))
    driver.answer(ReaderNews((older,), 1, 0.1, 0.0))
    assert driver.tables.configuration == 7
    assert ORDERS in driver.tables.routes
    assert driver.tables.reader.revision == 2


def test_removed_reader_is_followed_no_more():
    driver = follower()
    driver.change(ReaderRemoved("north", 3))
    assert isinstance(next_call(driver), WatchEntries)
    driver.change(ReaderRemoved("north", 4))


def test_list_without_a_reader_ends_following():
    driver = follower()
    driver.answer(HistoryLost())
    driver.tables.reader.listed = False
    driver.list_store(make_configuration(), make_target(1), revision=9)
    assert driver.tables.zone_readers == {}


def test_difference_from_another_configuration_is_not_applied():
    """A follower has missed a configuration; its reader tells what came after it.

    Applied to the older one, removed routes would stay in force and be taken for
    current. The follower reads the store from where it stands.
    """
    driver = follower()
    next_call(driver)
    later = ConfigurationChange(5, 9, 15.0, (), (ORDERS,))
    driver.answer(ReaderNews((later,), 12, 0.1, 0.0))
    assert driver.tables.configuration == 1
    assert next_call(driver) == WatchEntries(2, 0.0)


ROUTES = st.lists(
    st.builds(
        make_route,
        st.integers(STREAMS, STREAMS + 4),
        st.sampled_from(("previews", "orders")),
        idempotent=st.booleans(),
    ),
    max_size=5,
    unique_by=lambda route: route.key,
)


@given(st.lists(ROUTES, min_size=1, max_size=6), st.integers(0, 5))
def test_differences_lead_to_the_same_configuration(versions, first):
    """A follower that joins at any version ends with the routes of the reader."""
    reader, joined = leader(), follower()
    for number, routes in enumerate(versions):
        reader.change(make_configuration(2 + number, routes))
        if number >= first:
            news = ask(reader, joined.tables.reader.revision)
            next_call(joined)
            joined.answer(news)
    news = ask(reader, joined.tables.reader.revision)
    next_call(joined)
    joined.answer(news)
    assert joined.tables.routes == reader.tables.routes
    assert joined.tables.configuration == reader.tables.configuration


# A reader ----------------------------------------------------------------------------


def test_reader_watches_the_store_with_shorter_waits():
    assert next_call(leader()) == WatchEntries(2, TIMES.lead_wait)
    assert TIMES.lead_wait < TIMES.wait


def test_followers_get_what_is_newer_than_theirs():
    driver = leader()
    driver.change(make_target(2, revision=3))
    driver.remove(1)
    driver.change(make_configuration(4))
    everything = ask(driver, after=2)
    assert [type(change).__name__ for change in everything.changes] == [
        "Target",
        "Removed",
        "ConfigurationChange",
    ]
    assert everything.revision == 5
    assert len(ask(driver, after=4).changes) == 1
    assert ask(driver, after=5).changes == ()


def test_change_of_the_reader_itself_is_handed_on():
    """A reader loses its registration and goes on; another host is registered.

    Its followers read on from its revision, past the news of the other host. Not
    told of it, they would never follow anybody once this reader is gone.
    """
    driver = leader()
    other = ZoneReader("north", "host-7", Endpoint("10.1.0.7", 8166), 4)
    driver.change(ReaderRemoved("north", 3), other)
    removed, named = ask(driver, after=2).changes
    assert (removed.zone, named.host_id) == ("north", "host-7")
    assert named.endpoint == other.endpoint


def test_follower_waits_for_news_or_a_confirmation():
    driver = leader()
    poll = Poll(2, driver.now, driver.now + 2.0)
    assert driver.core.answer_poll(poll, driver.now) is None
    next_call(driver)
    driver.now += TIMES.lead_wait
    driver.answer(Changes((), None), sent_at=driver.now - TIMES.lead_wait)
    news = decode_answer(driver.core.answer_poll(poll, driver.now))
    assert news.changes == ()
    assert news.age == pytest.approx(TIMER_MARGIN)
    assert news.held == pytest.approx(driver.now - poll.asked_at)


def test_follower_is_answered_when_its_time_is_up():
    driver = leader()
    poll = Poll(2, driver.now, driver.now + 0.4)
    assert driver.core.answer_poll(poll, driver.now + 0.3) is None
    news = decode_answer(driver.core.answer_poll(poll, driver.now + 0.4))
    assert news.age == pytest.approx(0.4)


def test_reader_that_cannot_vouch_says_so_at_once():
    driver = leader()
    poll = Poll(2, driver.now, driver.now + 60.0)
    late = driver.now + TIMES.follow_age + 0.01
    assert driver.core.answer_poll(poll, late)[0] == 503
    next_call(driver)
    driver.lose_store()
    assert driver.core.answer_poll(poll, driver.now)[0] == 503
    leaving = leader()
    leaving.core.leave(leaving.now + 5.0, leaving.now)
    assert leaving.core.answer_poll(poll, leaving.now)[0] == 503


def test_follower_too_far_behind_is_sent_to_the_store():
    """A host comes back to a reader that has let the changes go which it missed.

    Given only the newer ones, it would never hear of a removed target.
    """
    driver = leader()
    assert isinstance(ask(driver, after=0), HistoryLost)
    for number in range(MOST_CHANGES + 1):
        driver.change(make_target(5, revision=10 + number))
    assert isinstance(ask(driver, after=2), HistoryLost)
    assert isinstance(ask(driver, after=driver.revision - 1), ReaderNews)


def test_what_a_second_list_brings_is_handed_on():
    """The store forgets its history while watches hear nothing; a target has gone.

    The reader finds that out from a list. Its followers, at the same revision as the
    reader was, have missed it as well.
    """
    driver = leader(make_target(1), make_target(2))
    driver.answer(HistoryLost())
    named = driver.tables.zone_readers["north"]
    driver.list_store(make_configuration(), make_target(2), named, revision=9)
    (removed,) = ask(driver, after=2).changes
    assert isinstance(removed, Removed)
    assert removed.target_id == "i-1"


def test_news_come_through_whole():
    driver = leader()
    driver.change(make_target(3, "south", warmup=1.5, revision=3))
    (target,) = ask(driver, after=2).changes
    assert (target.target_id, target.zone, target.warmup) == ("i-3", "south", 1.5)
    assert target.endpoint == make_target(3).endpoint


@pytest.mark.parametrize("name", ["revision", "age", "held", "changes"])
def test_news_of_another_shape_are_no_answer(name):
    driver = leader()
    poll = Poll(2, driver.now, driver.now)
    _, body = answer_poll(driver.tables, TIMES, poll, driver.now)
    broken = {**json.loads(body), name: "x"}
    assert isinstance(decode_news(200, json.dumps(broken).encode()), Unanswered)


def test_quiet_watch_confirms_the_time_that_it_waited():
    """A watch without news shows that nothing changed while it waited.

    Taken for its beginning only, a host would call its knowledge old by a whole
    watch at the moment at which it was confirmed.
    """
    driver = leader()
    next_call(driver)
    sent_at = driver.now
    driver.now += TIMES.lead_wait + 0.004
    driver.answer(Changes((), None), sent_at=sent_at)
    waited = TIMES.lead_wait - TIMER_MARGIN
    assert driver.tables.reader.current_at == pytest.approx(sent_at + waited)


def test_quiet_watch_that_ends_a_little_early_has_waited():
    """The store's timer runs ahead of the host's by a millisecond.

    Taken for an early end, the host would call its knowledge a whole watch older,
    and all that follow it would turn to the store.
    """
    driver = leader()
    next_call(driver)
    sent_at = driver.now
    driver.now += TIMES.lead_wait - 0.001
    driver.answer(Changes((), None), sent_at=sent_at)
    assert driver.tables.reader.current_at > sent_at + TIMES.lead_wait - 0.1


def test_quiet_watch_that_ends_early_confirms_only_its_beginning():
    driver = leader()
    next_call(driver)
    sent_at = driver.now
    driver.now += TIMES.lead_wait / 2
    driver.answer(Changes((), None), sent_at=sent_at)
    assert driver.tables.reader.current_at == sent_at


def test_change_of_one_route_among_many_is_small():
    """A configuration of 240 routes changes, and fourteen hosts wait for it.

    Handed on whole it kept the reader's link of 5 Mbit/s full for a second: callers'
    packets were lost, and flows broke.
    """
    routes = [make_route(STREAMS + number) for number in range(240)]
    driver = Driver(make_target(1), configuration=make_configuration(3, routes))
    driver.change(ZoneReader("north", "host-1", Endpoint("10.1.0.9", 8166), 2))
    routes[7] = make_route(STREAMS + 7, idempotent=False)
    driver.change(make_configuration(5, routes[:-1]))
    poll = Poll(2, driver.now, driver.now)
    _, body = driver.core.answer_poll(poll, driver.now)
    assert len(body) < 500
    (change,) = decode_news(200, body.encode()).changes
    assert (change.base, change.revision) == (3, 5)
    assert [route.key for route in change.routes] == [STREAMS + 7]
    assert change.removed == (STREAMS + 239,)


def test_followers_take_no_more_than_a_share_of_the_link():
    """A configuration grows by hundreds of routes, and a whole zone waits for it.

    The first followers get it. When the reader's share of its link is used up, the
    others are sent to the store, and callers' packets keep their room.
    """
    driver = leader()
    driver.tables.news.rate = 50_000.0
    routes = [make_route(STREAMS + number) for number in range(200)]
    driver.change(make_configuration(5, routes))
    answers = [ask(driver, after=2) for _ in range(10)]
    served = [one for one in answers if isinstance(one, ReaderNews)]
    assert 0 < len(served) < 5
    assert isinstance(answers[-1], HistoryLost)
    driver.now += 1.0
    assert isinstance(ask(driver, after=2), ReaderNews)


class CountedLog(deque):
    """A log of changes that counts how many are looked at."""

    looked_at = 0

    def __reversed__(self):
        for entry in super().__reversed__():
            self.looked_at += 1
            yield entry


def test_waiting_followers_cost_no_look_through_the_log():
    """Fourteen hosts wait for news while a reader forwards its callers' packets.

    Asked about at each turn of the process, they must not cost it a look at each of
    a thousand changes: a reader spent a fifth of a core on that.
    """
    driver = leader()
    for number in range(500):
        driver.change(make_target(5, revision=10 + number))
    driver.tables.news.changes = log = CountedLog(driver.tables.news.changes)
    newest = driver.tables.reader.revision
    for _ in range(14):
        poll = Poll(newest, driver.now, driver.now + 2.0)
        assert driver.core.answer_poll(poll, driver.now) is None
    assert log.looked_at <= 14
