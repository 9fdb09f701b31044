"""Tests of zone drains: no new flow goes to a target of a drained zone."""

from __future__ import annotations

import json

import pytest

from citronspring.events import OPENING_REFUSED, ZONE_DRAIN_CHANGED
from citronspring.tokens.change_feed import decode_feed
from citronspring.tokens.entries import ZoneDrain
from citronspring.tokens.messages import (
    Changes,
    Drop,
    DropReason,
    FeedAnswer,
    Forward,
    HistoryLost,
    ListEntries,
    Page,
    PeerSnapshot,
    ResetReason,
    Unanswered,
    WatchEntries,
)
from citronspring.tokens.peer_snapshot import decode_snapshot
from tests.test_tokens.driver import (
    ORDERS,
    Driver,
    make_configuration,
    make_target,
    reason_of,
    target_of,
)
from tests.test_tokens.test_peer_snapshot import restarted_host, snapshot_of
from tests.test_tokens.zone import (
    make_follower,
    make_zone_reader,
    next_call,
    poll_reader,
)


def drain(driver, zone="north"):
    """Drain a zone as operators do."""
    driver.change(ZoneDrain(zone, driver.revision + 1))


def end_drain(driver, zone="north"):
    driver.change(ZoneDrain(zone, driver.revision + 1, ended=True))


def placed(driver, ports, route=ORDERS):
    """Return the targets that new flows are given to."""
    return {target_of(driver.caller(port, route).open()) for port in ports}


def test_new_flows_go_to_other_zones():
    """Operators drain the host's own zone, whose targets are preferred otherwise."""
    driver = Driver(make_target(1), make_target(2, "south"))
    drain(driver)
    assert placed(driver, range(6)) == {"i-2"}
    end_drain(driver)
    assert "i-1" in placed(driver, range(6, 12))


@pytest.mark.parametrize("zones", [("north", "south"), ("south", "north")])
def test_several_zones_are_drained_at_once(zones):
    driver = Driver(make_target(1), make_target(2, "south"), make_target(3, "west"))
    for zone in zones:
        drain(driver, zone)
    assert placed(driver, range(6)) == {"i-3"}
    end_drain(driver, zones[0])
    kept = {"north": "i-1", "south": "i-2"}[zones[1]]
    assert kept not in placed(driver, range(6, 12))


def test_zone_is_drained_twice():
    driver = Driver(make_target(1), make_target(2, "south"))
    for _ in range(2):
        drain(driver)
        assert placed(driver, range(6)) == {"i-2"}
        end_drain(driver)
    drain(driver)
    assert placed(driver, range(6, 12)) == {"i-2"}


def test_open_flow_stays_to_its_end():
    """A drain is planned maintenance and must not break flows."""
    driver = Driver(make_target(1), make_target(2, "south"))
    caller = driver.caller(1)
    row = caller.connect()
    drain(driver, row.target.zone)
    assert isinstance(caller.send_request(), Forward)
    assert isinstance(caller.acknowledge_answer(), Forward)
    driver.wait(3.0)
    assert isinstance(caller.send_request(), Forward)
    assert isinstance(caller.close(), Forward)


def test_flow_that_another_host_placed_goes_on():
    """Only the token names its target; the host has no row of the flow."""
    driver = Driver(make_target(1), make_target(2, "south"))
    drain(driver)
    caller = driver.caller(1)
    caller.token = 1
    assert target_of(caller.send_request()) == "i-1"


def test_second_attempt_of_an_opening_goes_elsewhere():
    """The zone of the first target is drained before the target has answered."""
    driver = Driver(make_target(1), make_target(2), make_target(3, "south"))
    action = driver.caller(1).open()
    assert action.target.target.zone == "north"
    drain(driver)
    again = [one for one in driver.wait(0.1) if isinstance(one, Forward)]
    assert {target_of(one) for one in again} == {"i-3"}


def test_retransmitted_opening_goes_elsewhere():
    """The caller retransmits its opening just after its target's zone was drained."""
    driver = Driver(make_target(1), make_target(3, "south"))
    caller = driver.caller(1)
    assert target_of(caller.open()) == "i-1"
    drain(driver)
    assert target_of(caller.open()) == "i-3"


def test_retransmitted_opening_of_an_open_flow_is_dropped():
    """Forwarded, it would count as an opening to a target that must get none."""
    driver = Driver(make_target(1), make_target(3, "south"))
    caller = driver.caller(1)
    first = caller.seq
    row = caller.connect()
    assert row.target.zone == "north"
    drain(driver)
    caller.seq = first
    action = caller.open()
    assert isinstance(action, Drop)
    assert action.reason is DropReason.ZONE_DRAINED


def test_flow_that_only_drained_targets_could_serve_is_refused():
    """A service has targets in a drained zone only; its callers are refused at once."""
    driver = Driver(make_target(1))
    drain(driver)
    assert reason_of(driver.caller(1).open()) is ResetReason.ZONE_DRAINED
    line = driver.logs[-1]
    assert line.number == OPENING_REFUSED.number
    assert line.fields["drained"] == ["north"]
    assert line.fields["service"] == "previews"


def test_service_without_targets_has_its_own_reason():
    driver = Driver(make_target(1, leaving=True))
    drain(driver)
    assert reason_of(driver.caller(1).open()) is ResetReason.NO_TARGET


def test_drain_ends_when_a_list_lacks_it():
    """The drain ended while the history was lost or the host was partitioned."""
    driver = Driver(make_target(1), make_target(2, "south"))
    drain(driver)
    driver.answer(HistoryLost())
    driver.list_store(
        make_configuration(), make_target(1), make_target(2, "south"), revision=9
    )
    assert "i-1" in placed(driver, range(6))


def test_list_keeps_a_drain_that_came_after_its_first_page():
    driver = Driver(make_target(1), make_target(2, "south"))
    driver.change(ZoneDrain("north", 8))
    driver.answer(HistoryLost())
    driver.list_store(
        make_configuration(), make_target(1), make_target(2, "south"), revision=7
    )
    assert placed(driver, range(6)) == {"i-2"}


def test_first_list_brings_drains():
    """Operators drained the zone before any host ran."""
    driver = Driver(ZoneDrain("north", 1), make_target(1), make_target(2, "south"))
    assert placed(driver, range(6)) == {"i-2"}


def test_older_changes_neither_restore_nor_end_a_drain():
    driver = Driver(make_target(1), make_target(2, "south"))
    driver.change(ZoneDrain("north", 5))
    driver.answer(Changes((ZoneDrain("north", 4, ended=True),), 5))
    assert placed(driver, range(6)) == {"i-2"}
    driver.change(ZoneDrain("north", 7, ended=True))
    driver.answer(Changes((ZoneDrain("north", 5),), 7))
    assert "i-1" in placed(driver, range(6, 12))


def test_drain_continues_while_the_store_is_unreachable():
    driver = Driver(make_target(1), make_target(2, "south"))
    drain(driver)
    for _ in range(5):
        driver.now = max(driver.now, driver.tables.reader.call_at) + 5.0
        driver.fail_call()
    assert placed(driver, range(6)) == {"i-2"}


def test_zone_reader_serves_drains():
    reader = make_zone_reader(make_target(1), make_target(2, "south"))
    after = reader.tables.reader.revision
    drain(reader)
    driver = make_follower()
    next_call(driver)
    driver.answer(poll_reader(reader, after))
    assert driver.tables.is_drained("north")
    end_drain(reader)
    driver.answer(poll_reader(reader, reader.revision - 1))
    assert not driver.tables.is_drained("north")


def test_answer_of_a_reader_without_drains_is_refused():
    """A zone reader of an older release omits drains; its followers read the store."""
    reader = make_zone_reader()
    status, body = reader.core.answer_poll(make_poll(reader), reader.now)
    plain = json.loads(body)
    del plain["format"]
    assert isinstance(decode_feed(status, json.dumps(plain).encode()), Unanswered)
    assert isinstance(decode_feed(status, body), FeedAnswer)


def make_poll(driver):
    from citronspring.tokens.change_feed import FeedPoll

    return FeedPoll(driver.tables.reader.revision, driver.now, driver.now)


def test_snapshots_contain_drains():
    """All hosts restart while the store is unreachable; a peer knows the drain."""
    peer = Driver(make_target(1), make_target(2, "south"))
    drain(peer)
    driver = restarted_host(Driver(make_target(1)))
    driver.answer(snapshot_of(peer))
    assert placed(driver, range(6)) == {"i-2"}


def test_snapshot_without_drains_is_followed_by_a_list():
    """A peer of an older release provides a snapshot that contains no drains.

    The watch that follows would report changes only, and the host would place flows in
    a zone that was drained before, for as long as the drain lasts.
    """
    peer = Driver(make_target(1), make_target(2, "south"))
    status, body = peer.core.snapshot(peer.now)
    plain = json.loads(body)
    del plain["format"], plain["drains"]
    snapshot = decode_snapshot(status, json.dumps(plain).encode())
    assert isinstance(snapshot, PeerSnapshot)
    driver = restarted_host(Driver(make_target(1)))
    driver.answer(snapshot)
    assert driver.core.ready
    call = next_call(driver)
    assert call == ListEntries()


def test_snapshot_without_drains_ends_no_drain():
    """The host has read a drain, and then gets such a snapshot."""
    peer = Driver(make_target(1), make_target(2, "south"))
    peer.change(make_target(3, "south", revision=2))
    status, body = peer.core.snapshot(peer.now)
    plain = json.loads(body)
    del plain["format"], plain["drains"]
    driver = restarted_host(Driver(make_target(1)))
    driver.answer(Page((ZoneDrain("north", 1),), 1, None))
    driver.answer(decode_snapshot(status, json.dumps(plain).encode()))
    assert "i-1" not in placed(driver, range(6))


def test_host_watches_after_a_complete_snapshot():
    peer = Driver(make_target(1))
    driver = restarted_host(Driver(make_target(1)))
    driver.answer(snapshot_of(peer))
    assert isinstance(next_call(driver), WatchEntries)


def test_log_dump_and_metrics_show_drains():
    driver = Driver(make_target(1), make_target(2, "south"))
    drain(driver)
    assert driver.logs[-1].number == ZONE_DRAIN_CHANGED.number
    assert driver.logs[-1].fields["zone"] == "north"
    assert driver.logs[-1].fields["drained"] is True
    dump = driver.core.dump(driver.now)
    assert dump["drained_zones"] == {"north": 2}
    assert 'citronspring_zone_drained{zone="north"} 1' in driver.core.metrics(
        driver.now
    )
    end_drain(driver)
    assert driver.core.dump(driver.now)["drained_zones"] == {}
    assert 'citronspring_zone_drained{zone="north"} 0' in driver.core.metrics(
        driver.now
    )
