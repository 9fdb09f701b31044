"""Tests of snapshots: a host that starts while the store is unreachable asks a peer."""

from __future__ import annotations

import json

import pytest

from citronspring.tokens.balancer import TokenBalancer
from citronspring.tokens.messages import (
    ListEntries,
    PeerSnapshot,
    ReadPeer,
    Refused,
    Unanswered,
    WatchEntries,
)
from citronspring.tokens.peer_snapshot import decode_snapshot, encode_snapshot
from citronspring.tokens.store_reader import is_current
from citronspring.tokens.times import ReaderTimes
from tests.test_tokens.driver import (
    BOUND,
    SETTLING,
    Driver,
    make_configuration,
    make_target,
    reason_of,
    target_of,
)


def restarted_host(driver, peers=2):
    """Restart a driver's host without state, with some peers."""
    times = ReaderTimes.from_bounds(BOUND, SETTLING)
    driver.core = TokenBalancer.from_config("host-2", "north", times, peers)
    return driver


def snapshot_of(driver):
    status, body = driver.core.snapshot(driver.now)
    return decode_snapshot(status, body)


def next_call(driver):
    driver.now = max(driver.now, driver.tables.reader.call_at)
    return driver.core.next_call(driver.now)


def test_asks_peers_and_store_alternately_until_it_has_state():
    driver = restarted_host(Driver(make_target(1)))
    calls = []
    for _ in range(5):
        calls.append(next_call(driver))
        driver.fail_call()
    assert calls == [
        ListEntries(),
        ReadPeer(0),
        ListEntries(),
        ReadPeer(1),
        ListEntries(),
    ]


def test_host_without_peers_keeps_asking_the_store():
    driver = restarted_host(Driver(make_target(1)), peers=0)
    next_call(driver)
    driver.fail_call()
    assert next_call(driver) == ListEntries()


def test_serves_from_a_snapshot_and_continues_at_its_revision():
    """The store refuses a restarted host; its callers are served all the same."""
    peer = Driver(make_target(1), make_target(2, leaving=True))
    driver = restarted_host(Driver(make_target(1)))
    next_call(driver)
    driver.fail_call()
    driver.answer(snapshot_of(peer))
    assert driver.core.ready
    placed = {target_of(driver.caller(port).open()) for port in range(4)}
    assert placed == {"i-1"}
    call = next_call(driver)
    assert isinstance(call, WatchEntries)
    assert call.after_revision == peer.tables.reader.revision


def test_snapshot_of_an_outdated_peer_makes_nothing_current():
    """The peer has not reached the store for a long time either.

    Its snapshot serves known routes. Others are not refused, since the newest
    configuration may allow them.
    """
    peer = Driver(make_target(1))
    peer.now += 20.0
    driver = restarted_host(Driver(make_target(1), now=peer.now))
    driver.answer(snapshot_of(peer))
    assert not is_current(driver.tables, driver.core.times, driver.now)
    assert reason_of(driver.caller(1, 5).open()).value == "not-current"


def test_configured_host_never_asks_peers():
    """A snapshot could be older than the state that has been applied."""
    driver = Driver(make_target(1))
    driver.tables.peers = 2
    for _ in range(4):
        assert not isinstance(next_call(driver), ReadPeer)
        driver.fail_call()


def test_older_snapshot_is_not_applied():
    peer = Driver(make_target(1), configuration=make_configuration(3))
    driver = Driver(make_target(1), configuration=make_configuration(5))
    driver.answer(snapshot_of(peer))
    assert driver.tables.configuration == 5


def test_host_without_state_provides_no_snapshot():
    driver = restarted_host(Driver(make_target(1)))
    assert snapshot_of(driver) == Refused(503)


@pytest.mark.parametrize("name", ["configuration", "targets", "revision", "age"])
def test_snapshot_of_another_shape_counts_as_unanswered(name):
    """A peer of another release sends a snapshot that this one cannot decode."""
    _, body = encode_snapshot(Driver(make_target(1)).tables, 100.0)
    broken = {**json.loads(body), name: "x"}
    answer = decode_snapshot(200, json.dumps(broken).encode())
    assert isinstance(answer, Unanswered)


def test_snapshot_is_decoded_completely():
    peer = Driver(make_target(1, "south", warmup=2.0), make_target(2))
    snapshot = snapshot_of(peer)
    assert isinstance(snapshot, PeerSnapshot)
    first = snapshot.entries[0]
    assert (first.target_id, first.zone, first.endpoint.port) == ("i-1", "south", 8080)
    assert first.warmup == 2.0
    assert (
        snapshot.configuration.routes[0].shares == make_configuration().routes[0].shares
    )
