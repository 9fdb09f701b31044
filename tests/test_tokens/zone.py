"""A zone reader and a host that follows it, driven step by step."""

from __future__ import annotations

from citronspring.endpoints import Endpoint
from citronspring.tokens.change_feed import FeedPoll, decode_feed
from citronspring.tokens.entries import ZoneReader
from citronspring.tokens.times import ReaderTimes
from tests.test_tokens.driver import BOUND, SETTLING, Driver, make_target

TIMES = ReaderTimes.from_bounds(BOUND, SETTLING)
READER = ZoneReader("north", "host-9", Endpoint("10.1.0.9", 8166), 2)

#: Seconds that a call to the store takes over a new connection, far above the usual.
STORE_CALL = 0.3


def make_follower():
    """Return a host that knows its zone reader."""
    driver = Driver(make_target(1))
    driver.change(READER)
    return driver


def make_zone_reader(*targets):
    """Return the zone reader."""
    driver = Driver(*targets or (make_target(1),))
    driver.change(ZoneReader("north", "host-1", Endpoint("10.1.0.9", 8166), 2))
    return driver


def next_call(driver):
    driver.now = max(driver.now, driver.tables.reader.call_at)
    driver.call = driver.core.next_call(driver.now)
    return driver.call


def numbers(driver):
    return [log.number for log in driver.logs]


def poll_reader(driver, after):
    """Return the zone reader's answer to a follower that polls without waiting."""
    poll = FeedPoll(after, driver.now, driver.now)
    return decode_answer(driver.core.answer_poll(poll, driver.now))


def decode_answer(answer):
    status, body = answer
    return decode_feed(status, body)
