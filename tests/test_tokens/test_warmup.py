"""Tests of warm-up: starting targets get no new flows while others can take them."""

from __future__ import annotations

from citronspring.tokens.evidence import (
    MAX_AVOIDANCE,
    UNREACHABLE_TIMEOUTS,
    ZONE_UNREACHABLE_SECONDS,
    note_timeout,
)
from citronspring.tokens.messages import Forward
from citronspring.tokens.peer_snapshot import decode_snapshot
from tests.test_tokens.driver import ORDERS, Driver, make_target, target_of
from tests.test_tokens.test_peer_snapshot import restarted_host, snapshot_of
from tests.test_tokens.zone import (
    make_follower,
    make_zone_reader,
    next_call,
    poll_reader,
)


def place(driver, ports):
    """Open flows and keep them; return their targets."""
    return [driver.caller(port, ORDERS).connect().target.target_id for port in ports]


def test_target_in_warmup_gets_no_flow_while_another_has_warmed_up():
    """A zone recovers with targets that are slow and hold no flow.

    By their flows alone they are the least loaded: every host would give them its next
    flows, together far more than they can serve.
    """
    driver = Driver(make_target(1), make_target(2, warmup=2.0))
    assert set(place(driver, range(30))) == {"i-1"}
    driver.wait(2.1)
    assert "i-2" in place(driver, range(30, 40))


def test_target_in_warmup_gets_no_flow_while_warmed_up_ones_are_overloaded():
    """In a burst the warmed-up targets do not answer and seem unresponsive."""
    driver = Driver(make_target(1), make_target(2), make_target(3, warmup=2.0))
    for port in range(UNREACHABLE_TIMEOUTS // 2):
        driver.caller(port, ORDERS).open()
        tried = [one for one in driver.wait(0.1) if isinstance(one, Forward)]
        assert "i-3" not in {target_of(one) for one in tried}
        for other in range(2):
            driver.tables.targets[f"i-{other + 1}"].timeouts = min(
                driver.tables.targets[f"i-{other + 1}"].timeouts, 3
            )


def test_targets_in_warmup_are_used_when_all_are():
    driver = Driver(make_target(1, warmup=2.0), make_target(2, warmup=2.0))
    assert set(place(driver, range(4))) == {"i-1", "i-2"}


def test_target_in_warmup_is_used_when_the_warmed_up_ones_leave():
    driver = Driver(make_target(1, leaving=True), make_target(2, warmup=2.0))
    assert set(place(driver, range(4))) == {"i-2"}


def test_target_in_warmup_is_used_when_the_warmed_up_one_crashed():
    """The only warmed-up target has crashed; its entry is still there."""
    driver = Driver(make_target(1), make_target(2, warmup=9.0))
    tried = []
    for port in range(UNREACHABLE_TIMEOUTS):
        caller = driver.caller(port, ORDERS)
        actions = [caller.open(), *driver.wait(0.1)]
        tried += [target_of(one) for one in actions if isinstance(one, Forward)]
        if "i-2" in tried:
            break
    assert tried == [*["i-1"] * UNREACHABLE_TIMEOUTS, "i-2"]


def test_targets_in_warmup_of_a_partitioned_zone_are_used():
    """The host's zone has restarted and is partitioned from the warmed-up targets."""
    driver = Driver(
        make_target(1, warmup=20.0), make_target(2, "south"), make_target(3, "south")
    )
    driver.wait(ZONE_UNREACHABLE_SECONDS)
    for port in range(2):
        driver.caller(port, ORDERS).open()
        driver.wait(0.04)
    assert set(place(driver, range(20, 23))) == {"i-1"}


def test_snapshots_contain_the_remaining_warmup():
    """A snapshot is taken 1.5 s after the entry of a target in warm-up was read."""
    peer = Driver(make_target(1, warmup=2.0), make_target(2))
    peer.now += 1.5
    driver = restarted_host(Driver(make_target(2), now=peer.now))
    driver.answer(snapshot_of(peer))
    assert set(place(driver, range(6))) == {"i-2"}
    driver.wait(0.6)
    assert "i-1" in place(driver, range(6, 12))


def test_change_feed_contains_the_remaining_warmup():
    """A follower receives a target in warm-up later than its zone reader.

    If the warm-up were counted from then, it would last too long.
    """
    reader = make_zone_reader(make_target(2))
    after = reader.tables.reader.revision
    reader.change(make_target(1, warmup=2.0, revision=after + 1))
    reader.now += 1.5
    driver = make_follower()
    driver.now = reader.now
    next_call(driver)
    driver.answer(poll_confirmed_reader(reader, after))
    left = driver.tables.targets["i-1"].warm_at - driver.now
    assert 0.4 <= left <= 0.6


def poll_confirmed_reader(reader, after):
    reader.tables.reader.current_at = reader.now
    return poll_reader(reader, after)


def test_snapshot_of_a_warmed_up_target_has_no_warmup():
    peer = Driver(make_target(1, warmup=2.0))
    peer.now += 3.0
    status, body = peer.core.snapshot(peer.now)
    snapshot = decode_snapshot(status, body)
    assert snapshot.entries[0].warmup == 0.0


def test_target_that_recovers_after_long_is_used_again():
    """A target left many openings unanswered and has recovered; others have warmed up.

    If it were excluded permanently, the others would carry its load forever.
    """
    driver = Driver(make_target(1), make_target(2))
    row = driver.tables.targets["i-1"]
    for _ in range(UNREACHABLE_TIMEOUTS):
        note_timeout(driver.tables, row, driver.now, driver.now)
    driver.wait(MAX_AVOIDANCE + 0.1)
    assert "i-1" in place(driver, range(6))
