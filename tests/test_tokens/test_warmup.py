"""Tests of warm-up: starting targets get no new flows while others can take them."""

from __future__ import annotations

import pytest

from citronspring.tokens.evidence import (
    MAX_AVOIDANCE,
    UNREACHABLE_TIMEOUTS,
    ZONE_UNREACHABLE_SECONDS,
    note_timeout,
)
from citronspring.tokens.messages import Forward
from citronspring.tokens.peer_snapshot import decode_snapshot
from citronspring.tokens.placement import WARMUP_OPENING_INTERVAL
from tests.test_tokens.driver import (
    ORDERS,
    Driver,
    make_configuration,
    make_target,
    target_of,
)
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


def test_target_in_warmup_gets_one_opening_a_second_while_another_can_take_it():
    """All targets are in warm-up, and the home zone's one has no load for a moment.

    All hosts of the zone would give it their next flows as well.
    """
    driver = Driver(make_target(1, warmup=9.0), make_target(2, "south", warmup=9.0))
    first, second = (open_and_close(driver, port) for port in (1, 2))
    assert [first, second] == ["i-1", "i-2"]
    assert {open_and_close(driver, port) for port in (3, 4)} == {"i-1"}
    driver.wait(WARMUP_OPENING_INTERVAL)
    assert open_and_close(driver, 5) == "i-1"


def open_and_close(driver, port):
    """Open a flow and close it; return its target."""
    caller = driver.caller(port, ORDERS)
    row = caller.connect()
    caller.close()
    return row.target.target_id


def test_target_whose_warmup_ends_sooner_gets_the_flow_of_equally_loaded_ones():
    """Hosts choose for themselves; one of equal load that is nearly warm bears more."""
    driver = Driver(
        *(make_target(number, warmup=2.0) for number in range(1, 6)),
        make_target(6, warmup=0.4),
    )
    assert place(driver, [1]) == ["i-6"]


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


def test_warmup_counts_from_the_start_when_a_host_reads_it_late():
    """All hosts restart beside a slow store and read of targets that started before.

    If each warm-up counted in full from the reading, no target would seem warmed up,
    and the one that started last would get as many openings as the others.
    """
    early, middle, late, last = (
        make_target(number, warmup=2.0, started=started, sequence=1)
        for number, started in ((1, 6_000), (2, 7_500), (3, 8_400), (4, 8_400))
    )
    driver = Driver(early, middle, late, last)
    assert set(place(driver, range(8))) == {"i-1"}
    driver.wait(1.2)
    assert set(place(driver, range(8, 16))) == {"i-2"}


@pytest.mark.parametrize(
    "fields",
    [{"sequence": 2}, {"started": None}],
    ids=["rewritten after a drain", "no start time"],
)
def test_warmup_of_an_entry_of_unknown_age_counts_from_its_reading(fields):
    """Its warm-up may have begun long after the start and must not be cut short."""
    values = {"warmup": 2.0, "started": 6_000, "sequence": 1, **fields}
    others = (
        make_target(number, warmup=2.0, started=8_400, sequence=1) for number in (2, 3)
    )
    driver = Driver(make_target(1, **values), *others)
    assert driver.tables.targets["i-1"].warm_at == driver.now + 2.0


def test_clock_of_one_target_ahead_of_the_others_ends_no_warmup():
    """A target's clock is an hour ahead; by it, all others would have warmed up."""
    starts = {1: 8_000, 2: 8_100, 3: 3_608_000}
    driver = Driver(
        *(
            make_target(number, warmup=2.0, started=started, sequence=1)
            for number, started in starts.items()
        )
    )
    assert driver.tables.targets["i-1"].warm_at >= driver.now + 1.8


def test_warmup_that_a_peer_has_counted_is_not_shortened_again():
    """A list follows a snapshot; the warm-up in it is what was left at the peer."""
    entries = [
        make_target(number, warmup=2.0, started=started, sequence=1)
        for number, started in ((1, 7_000), (2, 8_400), (3, 8_400))
    ]
    peer = Driver(*entries)
    peer.now += 0.3
    driver = restarted_host(Driver(now=peer.now))
    driver.answer(snapshot_of(peer))
    warm_at = driver.tables.targets["i-2"].warm_at
    driver.now += 0.1
    driver.tables.reader.listed = False
    driver.list_store(make_configuration(), *entries)
    assert driver.tables.targets["i-2"].warm_at == warm_at > driver.now + 1.5


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


def test_start_that_a_host_reads_after_its_list_shortens_the_warmups_of_the_list():
    """The list of a slow store is old; the watch names targets that started later."""
    driver = Driver(make_target(1, warmup=2.0, started=7_000, sequence=1))
    driver.change(
        *(
            make_target(number, warmup=2.0, started=8_600, sequence=1, revision=2)
            for number in (2, 3)
        )
    )
    assert driver.tables.targets["i-1"].warm_at == pytest.approx(driver.now + 0.4)
