"""Tests of the usual bytes of a route, and of the weight they give to crossing."""

from __future__ import annotations

from citronspring.tokens.load.crossing_cost import (
    MIN_REQUESTS,
    SMALL_BYTES,
    crossing_weight,
    usual_bytes,
)
from tests.test_tokens.driver import PREVIEWS, Driver, make_target


def send_upload(caller, size=40_000, packet=1200):
    """Send a request in packets of at most some bytes."""
    while size > 0:
        caller.send_request(min(size, packet))
        size -= packet


def connected(driver, port=1):
    caller = driver.caller(port)
    caller.connect()
    return caller


def test_uploads_weigh_by_all_their_packets():
    """Uploads of 40 KB cross zones although targets at home are idle."""
    driver = Driver(make_target(1))
    caller = connected(driver)
    for _ in range(5):
        send_upload(caller)
        caller.acknowledge_answer(100)
    expected = 40_100 / SMALL_BYTES
    assert abs(crossing_weight(driver.tables, PREVIEWS) - expected) < 0.1


def test_answers_weigh_by_all_their_acknowledgements():
    """Downloads of 80 KB: the caller acknowledges the first packet of an answer first.

    Measured by that acknowledgement alone, a download would count as 1,200 bytes.
    """
    driver = Driver(make_target(1))
    caller = connected(driver)
    for _ in range(5):
        caller.send_request()
        for _ in range(66):
            caller.acknowledge_answer(1200)
    row = driver.tables.route_bytes[PREVIEWS]
    assert abs(usual_bytes(row) - 79_300) < 10


def test_retransmissions_do_not_add_bytes():
    """A lossy link makes callers send their requests several times."""
    driver = Driver(make_target(1))
    caller = connected(driver)
    for _ in range(5):
        caller.send_request(1000)
        for _ in range(4):
            driver.now += 0.2
            caller.retransmit(1000)
        caller.acknowledge_answer(900)
    assert abs(usual_bytes(driver.tables.route_bytes[PREVIEWS]) - 1900) < 10


def test_rejections_do_not_make_answers_small():
    """Overloaded targets reject most downloads with small answers.

    Taken for answers, they would send the route to other zones, which costs most there.
    """
    driver = Driver(make_target(1))
    caller = connected(driver)
    for number in range(50):
        caller.send_request()
        driver.now += 0.01
        caller.acknowledge_answer(80_000 if number < 10 else 130)
    assert crossing_weight(driver.tables, PREVIEWS) > 15


def test_few_requests_count_as_small():
    """A host of a large fleet has seen one unusually large request of a route."""
    driver = Driver(make_target(1))
    caller = connected(driver)
    for _ in range(MIN_REQUESTS - 1):
        send_upload(caller)
        caller.acknowledge_answer(100)
    assert crossing_weight(driver.tables, PREVIEWS) == 1.0


def test_new_sizes_replace_old_ones():
    """A release of the callers sends uploads of a tenth of the size."""
    driver = Driver(make_target(1))
    caller = connected(driver)
    for size in [40_000] * 300 + [4000] * 300:
        send_upload(caller, size)
        caller.acknowledge_answer(100)
    assert usual_bytes(driver.tables.route_bytes[PREVIEWS]) < 5000
