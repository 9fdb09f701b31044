"""Tests of how much of its link a zone reader gives to its followers."""

from __future__ import annotations

from random import Random

from citronspring.endpoints import Endpoint
from citronspring.tokens import change_feed as change_feed_module
from citronspring.tokens.change_feed import FeedPoll, decode_feed
from citronspring.tokens.entities import Route, Share
from citronspring.tokens.entries import ZoneReader
from citronspring.tokens.messages import FeedAnswer, HistoryLost
from tests.test_tokens.driver import (
    PREVIEWS,
    Driver,
    make_configuration,
    make_route,
    make_target,
)
from tests.test_tokens.zone import make_zone_reader, poll_reader


def make_named_route(draw, number):
    """Return a route with a random name, since operators' names differ."""
    name = "r-" + "".join(draw.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=7))
    return Route(name, PREVIEWS + number, (Share("previews", 1.0),), True, 0.327, 2)


def test_change_of_one_route_among_many_is_small():
    """A configuration of 240 routes changes while fourteen hosts poll for it.

    Sent in full, it saturated the zone reader's link of 5 Mbit/s for a second: callers'
    packets were lost, and flows broke.
    """
    routes = [make_route(PREVIEWS + number) for number in range(240)]
    driver = Driver(make_target(1), configuration=make_configuration(3, routes))
    driver.change(ZoneReader("north", "host-1", Endpoint("10.1.0.9", 8166), 2))
    routes[7] = make_route(PREVIEWS + 7, idempotent=False)
    driver.change(make_configuration(5, routes[:-1]))
    poll = FeedPoll(2, driver.now, driver.now)
    _, body = driver.core.answer_poll(poll, driver.now)
    assert len(body) < 500
    (change,) = decode_feed(200, body).changes
    assert (change.base, change.revision) == (3, 5)
    assert [route.key for route in change.routes] == [PREVIEWS + 7]
    assert change.removed == (PREVIEWS + 239,)


def test_followers_use_only_a_share_of_the_link():
    """A configuration grows by 1,400 routes while a whole zone polls for it.

    The first followers get it. Once the share of the zone reader's link is used up, the
    others are sent to the store, so that callers' packets are not displaced.
    """
    driver = make_zone_reader()
    driver.tables.change_log.rate = 50_000.0
    draw = Random(1)
    routes = [make_named_route(draw, number) for number in range(1400)]
    driver.change(make_configuration(5, routes))
    answers = [poll_reader(driver, after=2) for _ in range(10)]
    served = [one for one in answers if isinstance(one, FeedAnswer)]
    assert 0 < len(served) < 5
    assert isinstance(answers[-1], HistoryLost)
    driver.now += 1.0
    assert isinstance(poll_reader(driver, after=2), FeedAnswer)


def test_zone_of_25_hosts_gets_1400_routes_from_its_reader_within_a_second():
    """A configuration grows by 1,400 routes; the zone reader's link has 100 Mbit/s.

    As plain text the difference takes 185 KB, and a twentieth of the link carries it to
    three followers. The others read the whole configuration from the store, 700 KB
    each, which takes over a second on links of 5 Mbit/s: 68 of 77 followers logged 626
    "too far behind it".
    """
    driver = make_zone_reader()
    driver.tables.change_log.rate = 625_000.0
    draw = Random(1)
    routes = [make_named_route(draw, number) for number in range(1400)]
    driver.change(make_configuration(5, routes))
    served = []
    for _ in range(2):
        answers = [poll_reader(driver, after=2) for _ in range(25 - len(served))]
        served += [one for one in answers if isinstance(one, FeedAnswer)]
        driver.now += 0.5
    assert len(served) == 25
    for feed in served:
        (change,) = feed.changes
        assert change.routes[-1400:] == tuple(routes)


def test_difference_is_encoded_once_for_all_followers(monkeypatch):
    """Twenty-five hosts poll for 1,400 routes, and their zone reader is a small host.

    Encoding takes 2 ms of processor time. If it ran for each follower, it would delay
    callers' packets for a third of a second on a sixth of a core.
    """
    driver = make_zone_reader()
    routes = [make_route(PREVIEWS + number) for number in range(1400)]
    driver.change(make_configuration(5, routes))
    written = []
    plain = change_feed_module.encode_change
    monkeypatch.setattr(
        change_feed_module,
        "encode_change",
        lambda one: written.append(one) or plain(one),
    )
    for _ in range(25):
        assert len(poll_reader(driver, after=2).changes) == 1
    assert len(written) == 1
