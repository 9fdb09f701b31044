"""Tests of the usual request sizes of routes."""

from __future__ import annotations

import pytest

from citronspring.tokens.load.request_sizes import MIN_REQUESTS, note_request_size
from citronspring.tokens.routes import remove_route
from citronspring.tokens.rows import RequestSizeRow
from tests.test_tokens.driver import PREVIEWS, Driver, make_target


def learned(*sizes):
    row = RequestSizeRow()
    for size in sizes:
        note_request_size(row, size)
    return row


@pytest.mark.parametrize(
    ("sizes", "usual"),
    [
        # With fewer than three requests a route counts as short.
        ([40_000] * (MIN_REQUESTS - 1), 0),
        ([40_000] * MIN_REQUESTS, 40_000),
        ([1200] * 10, 0),
        # One large request must not make uploads of short ones.
        ([200] * 10 + [10_000_000], 0),
        # A new release sends larger requests, a later one small requests again.
        ([2_000] * 10 + [40_000] * 40, 40_000),
        ([2_000] * 10 + [40_000] * 40 + [500] * 40, 0),
    ],
)
def test_sizes_are_learned_and_followed(sizes, usual):
    assert learned(*sizes).upload_size == pytest.approx(usual, rel=0.02)


def test_retransmitted_and_split_requests_count_once():
    """Counted twice, losses on a full link would make requests look larger."""
    driver = Driver(make_target(1))
    driver.core.set_link_limit(1e6, driver.now)
    caller = driver.caller(1)
    caller.connect()
    for _ in range(MIN_REQUESTS):
        caller.send_request(1000)
        driver.now += 0.2
        caller.retransmit(1000)
        caller.send_request(800)
        caller.acknowledge_answer(400)
        caller.acknowledge_answer(400)
        driver.core.begin_iteration(driver.now)
        driver.core.tick(driver.now)
    driver.core.begin_iteration(driver.now)
    row = driver.tables.request_sizes[PREVIEWS]
    assert row.requests == MIN_REQUESTS
    # The opening counts as one byte of the first request.
    assert row.mean == pytest.approx(1800.0, abs=1.0)


def test_a_removed_route_is_forgotten():
    driver = Driver(make_target(1))
    driver.tables.request_size_row(PREVIEWS)
    remove_route(driver.tables, PREVIEWS)
    assert not driver.tables.request_sizes
