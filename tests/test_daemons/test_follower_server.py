"""Answers to other hosts."""

from __future__ import annotations

from selectors import DefaultSelector

from citronspring.daemons.follower_server import FollowerServer
from citronspring.daemons.store_calls import SNAPSHOT_PATH
from citronspring.endpoints import Endpoint
from tests.test_tokens.driver import Driver, make_target


def test_large_snapshots_are_sent_one_at_a_time():
    """Many hosts start without the store and ask one peer for a peer snapshot.

    Sending a large snapshot to all of them at once would saturate the peer's link and
    drop callers' packets. The others are refused and ask elsewhere.
    """
    driver = Driver(make_target(1))
    followers = FollowerServer(
        driver.core,
        DefaultSelector(),
        Endpoint("127.0.0.1", 0),
        lambda: driver.now,
        lambda number, fields: None,
    )
    assert followers.answer(SNAPSHOT_PATH, None)[0] == 200
    followers.server.sending.add(None)
    assert followers.answer(SNAPSHOT_PATH, None)[0] == 503
