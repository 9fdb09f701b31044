"""What other hosts get at a host's door."""

from __future__ import annotations

from selectors import DefaultSelector

from citronspring.daemons.follower_server import FollowerServer
from citronspring.daemons.store_calls import COPY_PATH
from citronspring.endpoints import Endpoint
from tests.test_tokens.driver import Driver, make_target


def test_one_large_copy_goes_out_at_a_time():
    """Many hosts start while the store is away, and ask the same peer for a copy.

    Copies of a large configuration to all of them at once would fill its link, and
    callers' packets would be lost. The others are told so, and ask elsewhere.
    """
    driver = Driver(make_target(1))
    followers = FollowerServer(
        driver.core,
        DefaultSelector(),
        Endpoint("127.0.0.1", 0),
        lambda: driver.now,
        lambda number, fields: None,
    )
    assert followers.answer(COPY_PATH, None)[0] == 200
    followers.server.sending.add(None)
    assert followers.answer(COPY_PATH, None)[0] == 503
