"""Tests of new flows: placing, retrying and refusing them."""

from __future__ import annotations

from citronspring.tcp_flags import ACK
from citronspring.tokens.messages import DropReason, Forward, ResetReason
from tests.test_tokens.driver import (
    PREVIEWS,
    Driver,
    make_configuration,
    make_route,
    make_target,
    reason_of,
    target_of,
)


def test_unanswered_opening_goes_to_another_target():
    """A target has just crashed, and the store does not know yet.

    The opening to it stays unanswered for 30 ms. It is sent to another target
    immediately; waiting for the caller's retransmission would cost 200 ms.
    """
    driver = Driver(make_target(1), make_target(2))
    caller = driver.caller(1)
    first = target_of(caller.open())
    (second,) = driver.wait(0.035)
    assert target_of(second) != first


def test_answered_opening_is_not_sent_again():
    driver = Driver(make_target(1), make_target(2))
    driver.caller(1).connect()
    assert driver.wait(0.5) == []


def test_retransmissions_that_were_queued_go_to_one_target():
    """The host stalled; an opening and its retransmissions are queued in its socket.

    All three are read at once. If they went to three targets, two would answer a flow
    that never opens there, and two healthy targets would count as unresponsive.
    """
    driver = Driver(make_target(1), make_target(2), make_target(3))
    caller = driver.caller(1)
    placed = {target_of(caller.open()) for _ in range(3)}
    assert len(placed) == 1
    assert all(row.timeouts == 0 for row in driver.tables.targets.values())


def test_flow_stays_on_the_target_that_its_token_names():
    """An opening was sent to two targets, and the first one answered late.

    The caller's first packet names the target that it chose. From then on that target
    gets every packet, even if a late second answer changes the token that is returned.
    """
    driver = Driver(make_target(1), make_target(2))
    caller = driver.caller(1)
    first = caller.open()
    (second,) = driver.wait(0.035)
    caller.finish_handshake(first)
    caller.token = second.token
    assert caller.send_request().target is first.target
    assert second.target.flows == 0


def test_only_a_current_host_refuses_a_missing_route():
    """A route was added a moment ago, and this host's reading of the store hangs.

    Its state is older than the bound, so it drops the opening silently. A reset would
    end an attempt that the newest configuration allows.
    """
    driver = Driver(make_target(1))
    unknown = PREVIEWS + 1
    assert reason_of(driver.caller(1, unknown).open()) is ResetReason.NO_ROUTE
    driver.wait(2.5)
    assert reason_of(driver.caller(2, unknown).open()) is DropReason.NOT_CURRENT


def test_service_without_targets_is_refused_at_once():
    driver = Driver()
    assert reason_of(driver.caller(1).open()) is ResetReason.NO_TARGET


def test_leaving_target_gets_no_new_flow():
    driver = Driver(make_target(1), make_target(2))
    driver.change(make_target(1, leaving=True, revision=2))
    placed = {target_of(driver.caller(port).open()) for port in range(10)}
    assert placed == {"i-2"}


def test_second_attempt_never_goes_to_a_leaving_target():
    """A target starts to leave between an opening and its second attempt."""
    driver = Driver(make_target(1), make_target(2))
    first = target_of(driver.caller(1).open())
    other = 3 - int(first.removeprefix("i-"))
    driver.change(make_target(other, leaving=True, revision=2))
    assert [target_of(action) for action in driver.wait(0.035)] == [first]


def test_opening_is_not_refused_while_a_tried_target_may_answer():
    """The only target gets an opening and starts to leave before it answers.

    It still serves. A reset at the second attempt would end a connection that succeeds.
    """
    driver = Driver(make_target(1))
    driver.caller(1).open()
    driver.change(make_target(1, leaving=True, revision=2))
    assert driver.wait(0.035) == []


def test_new_flows_spread_over_targets_and_shares():
    driver = Driver(*(make_target(number) for number in range(1, 8)))
    rows = [driver.caller(port).connect() for port in range(70)]
    assert {rows.count(row) for row in rows} == {10}


def test_busy_target_is_passed_over():
    """One target is processing a request, the other is not: the other is chosen."""
    driver = Driver(make_target(1), make_target(2))
    caller = driver.caller(1)
    busy = caller.connect()
    caller.send_request()
    assert target_of(driver.caller(2).open()) != busy.target.target_id


def test_reused_port_is_a_new_flow():
    driver = Driver(make_target(1))
    old = driver.caller(1)
    row = old.connect()
    new = driver.caller(1)
    new.seq += 99
    assert isinstance(new.open(), Forward)
    assert row.flows == 1


def test_flow_keeps_its_target_when_its_route_switches_services():
    """Operators switch a route to another service while a preview is open.

    The flow's token names a target of the old service. The flow stays there; only new
    flows go to the new service.
    """
    driver = Driver(make_target(1), make_target(2, service="archive"))
    caller = driver.caller(1)
    caller.connect()
    route = make_route(service="archive")
    driver.change(make_configuration(2, [route]))
    assert target_of(caller.send_request()) == "i-1"
    assert target_of(driver.caller(2).open()) == "i-2"


def test_invalid_tokens_are_not_forwarded():
    """A caller sends tokens that were never issued, or that belong to another service.

    If they were accepted, it could reach any target of any client account.
    """
    driver = Driver(make_target(1), make_target(2, service="archive"))
    caller = driver.caller(1)
    caller.token = 77
    assert reason_of(caller.send(ACK, 10)) is DropReason.UNKNOWN_TOKEN
    caller.token = 2
    assert reason_of(caller.send(ACK, 10)) is DropReason.FOREIGN_TOKEN


def test_token_of_a_removed_target_is_not_forwarded():
    driver = Driver(make_target(1), make_target(2))
    caller = driver.caller(1)
    row = caller.connect()
    driver.remove(row.target.incarnation)
    driver.wait(31.0)
    assert reason_of(caller.send_request()) is DropReason.UNKNOWN_TOKEN


def test_another_host_forwards_by_the_token_alone():
    """The host that placed a flow was killed; its packets reach another host."""
    targets = [make_target(number) for number in range(1, 8)]
    first, second = Driver(*targets), Driver(*targets)
    caller = first.caller(1)
    row = caller.connect()
    caller.driver = second
    assert target_of(caller.send_request()) == row.target.target_id


def test_full_table_still_forwards(monkeypatch):
    """A flood fills the flow table: memory stays bounded, and flows are served."""
    monkeypatch.setattr("citronspring.tokens.flows.MAX_FLOWS", 1)
    driver = Driver(make_target(1))
    driver.caller(1).connect()
    caller = driver.caller(2)
    assert target_of(caller.open()) == "i-1"
    caller.token = 1
    assert target_of(caller.send_request()) == "i-1"
    assert len(driver.tables.flows) == 1


def full_host(monkeypatch, flows):
    """Return a host that keeps few rows, and callers with flows that fill its table."""
    monkeypatch.setattr("citronspring.tokens.flows.MAX_FLOWS", flows)
    driver = Driver(*(make_target(number) for number in range(1, 4)))
    callers = [driver.caller(port) for port in range(1, flows + 1)]
    for caller in callers:
        caller.connect()
        caller.send_request()
        caller.acknowledge_answer()
    return driver, callers


def test_flow_that_a_full_host_opens_stays_on_its_target(monkeypatch):
    """An answer to an opening is lost, and its target repeats it; so does the caller.

    Without a row the copy was a new flow at a second target. Its answer was the
    last one, and the second target reset the next request.
    """
    driver, _ = full_host(monkeypatch, 4)
    caller = driver.caller(9)
    first = caller.open()
    driver.now += 0.2
    second = caller.open()
    assert second.target is not first.target
    caller.finish_handshake(first)
    caller.send_request()
    caller.acknowledge_answer()
    caller.token = second.token
    assert caller.send_request().target is first.target


def test_flow_whose_row_a_full_host_removed_goes_on(monkeypatch):
    driver, callers = full_host(monkeypatch, 4)
    targets = [caller.send_request().target for caller in callers]
    for caller in callers:
        caller.acknowledge_answer()
    driver.caller(9).open()
    assert len(driver.tables.flows) < 4
    assert [caller.send_request().target for caller in callers] == targets
    assert len(driver.tables.flows) <= 4


def test_full_host_keeps_rows_of_requests_and_of_fresh_openings(monkeypatch):
    """Each is needed to tell that a target does not answer."""
    driver, callers = full_host(monkeypatch, 4)
    for caller in callers[:3]:
        caller.send_request()
    driver.caller(9).open()
    driver.caller(10).open()
    assert driver.tables.counters["rows-evicted"] == 1
    assert all(caller.flow in driver.tables.flows for caller in callers[:3])
    assert driver.caller(9).flow in driver.tables.flows


def test_full_host_drops_abandoned_openings(monkeypatch):
    """A flood of openings whose callers never answer leaves room for others."""
    monkeypatch.setattr("citronspring.tokens.flows.MAX_FLOWS", 4)
    driver = Driver(make_target(1))
    for port in range(4):
        driver.caller(port).open()
    driver.wait(3.0)
    caller = driver.caller(9)
    caller.open()
    assert caller.flow in driver.tables.flows


def test_opening_that_was_queued_during_a_stall_is_not_placed():
    """A host stalls for seconds with an opening in its socket's queue, then resumes.

    The caller's retransmission went through another host, and its flow is open. If the
    opening were placed here too, a second target would answer, and the caller's packets
    could be forwarded to it.
    """
    driver = Driver(make_target(1), make_target(2))
    driver.core.begin_iteration(driver.now)
    driver.now += 3.0
    driver.core.begin_iteration(driver.now)
    assert reason_of(driver.caller(1).open()) is DropReason.WAITED
    driver.core.tick(driver.now)
    assert isinstance(driver.caller(2).open(), Forward)


def test_stall_within_an_iteration_is_detected():
    """The process stalls within an event-loop iteration, between two packets."""
    driver = Driver(make_target(1))
    driver.core.begin_iteration(driver.now)
    assert isinstance(driver.caller(1).open(), Forward)
    driver.now += 2.0
    assert driver.core.begin_iteration(driver.now)
    assert reason_of(driver.caller(2).open()) is DropReason.WAITED


def test_sleep_is_no_stall():
    """The process slept because nothing arrived; the first opening is placed."""
    driver = Driver(make_target(1))
    driver.core.begin_iteration(driver.now)
    driver.now += 0.5
    driver.core.begin_iteration(driver.now, slept=0.5)
    assert isinstance(driver.caller(1).open(), Forward)


def test_timer_that_is_far_too_late_sends_nothing():
    """The host stalled between an opening and its second attempt."""
    driver = Driver(make_target(1), make_target(2))
    caller = driver.caller(1)
    row = caller.open().target
    driver.now += 3.0
    assert driver.collect_logs(driver.core.tick(driver.now)) == []
    assert row.timeouts == 0


def stall_with_open_flow(seconds):
    """Return a host that has stalled, and a caller with an open flow."""
    driver = Driver(make_target(1))
    caller = driver.caller(1)
    caller.connect()
    driver.core.begin_iteration(driver.now)
    driver.now += seconds
    driver.core.begin_iteration(driver.now)
    return driver, caller


def test_packets_of_open_flows_are_forwarded_after_a_stall():
    _, caller = stall_with_open_flow(0.9)
    assert target_of(caller.send_request()) == "i-1"


def test_packets_that_may_be_of_ended_flows_are_dropped_after_a_long_stall():
    """Flows moved to other hosts and ended, and callers use their ports again.

    The targets of the ended flows would reset the new ones.
    """
    driver, caller = stall_with_open_flow(3.0)
    assert reason_of(caller.send_request()) is DropReason.WAITED
    driver.wait(0.1)
    assert target_of(caller.retransmit()) == "i-1"
