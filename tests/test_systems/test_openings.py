"""Openings: doubled placement, retries, refusals, port reuse and datagrams."""

from __future__ import annotations

import pytest

from citronspring.messages import (
    DropReason,
    RefusalReason,
    Refuse,
    RelayKind,
    RelayReceived,
)
from citronspring.standins.tcp import Connection, Segment
from citronspring.systems.binding import TIME_WAIT
from citronspring.tables import FlowState
from citronspring.tcp_flags import ACK, RST, SYN
from tests.test_systems import driver

#: Initial sequence number of a target on which another host placed the SYN.
OTHER_SEQ = driver.TARGET_SEQ + (1 << 28)


def syn_refusal(flow, target_id):
    """Return a target's reset of a SYN."""
    return driver.from_target(
        flow, target_id, RST | ACK, seq=0, ack=driver.CALLER_SEQ + 1
    )


def refused_datagram(flow, target_id):
    event = driver.from_target(flow, target_id, 0)
    event.packet.unreachable = True
    return event


def open_count(core):
    return core.tables.accounts["bundelpers"].open_flows


def start_opening(core, flow, now=0.0):
    [action] = core.receive(driver.syn(flow), now)
    return action.target_id


@pytest.mark.parametrize("answered", [False, True])
def test_caller_accepted_the_answer_of_another_placement(snapshot, answered):
    """An upload goes to the target whose answer the caller received.

    Two hosts with different views each placed the SYN, and the caller accepted the
    answer of the other host's target. This owner gets an acknowledgement of numbers
    that its own target never sent. It searches, without querying the backup host, whose
    binding has the same error. The wrong target's reset and SYN-ACK do not reach the
    caller.
    """
    core = driver.make_core(snapshot, hosts=2)
    flow = driver.owned_flow(core)
    wrong = start_opening(core, flow)
    if answered:
        core.receive(driver.syn_ack(flow, wrong), 0.0)
    data = driver.from_caller(flow, ack=OTHER_SEQ + 1, data=b"poem")
    actions = core.receive(data, 0.1)
    [first] = driver.sent_to(actions)
    late = core.receive(driver.syn_ack(flow, wrong), 0.1)
    assert driver.kinds(late) == ["Drop"]
    target_id = first
    while target_id != "bundelpers-4" or first == "bundelpers-4":
        actions = core.receive(driver.reset(flow, target_id, seq=OTHER_SEQ + 1), 0.1)
        [target_id] = driver.sent_to(actions)
        first = None
    answer = driver.from_target(flow, target_id, seq=OTHER_SEQ + 1)
    assert driver.kinds(core.receive(answer, 0.1)) == ["SendToCaller"]
    assert core.tables.flows.rows[flow].target.target.target_id == target_id


def test_reset_for_another_placement_does_not_reach_the_caller(snapshot):
    """An upload is not reset by a target that never held it.

    The caller's first packet was meant for the target that another host chose. A host
    with an older view sent it to this host's target. That target answers with a reset
    whose number fits the caller's connection exactly.
    """
    for stage in (FlowState.OPENING, FlowState.ANSWERED):
        core = driver.make_core(snapshot)
        flow = driver.flow_to()
        wrong = start_opening(core, flow)
        if stage == FlowState.ANSWERED:
            core.receive(driver.syn_ack(flow, wrong), 0.0)
        event = driver.from_target(flow, wrong, RST, seq=OTHER_SEQ + 1, ack=0)
        [drop] = core.receive(event, 0.1)
        assert drop.reason is DropReason.SWALLOWED_RESET
        assert core.tables.flows.rows[flow].state == stage


def test_reset_of_a_targets_own_answer_is_forwarded(snapshot):
    core = driver.make_core(snapshot)
    flow = driver.flow_to()
    target_id = start_opening(core, flow)
    core.receive(driver.syn_ack(flow, target_id), 0.0)
    actions = core.receive(driver.reset(flow, target_id), 0.1)
    assert driver.kinds(actions) == ["SendToCaller"]


def test_owner_learns_of_an_opening_from_its_answer(snapshot):
    """A connection opens at once while hosts disagree about its owner.

    Another host placed the SYN, and the target's answer arrives here. Dropping it would
    cost the caller a time-out and place the SYN on a second target.
    """
    core = driver.make_core(snapshot)
    flow = driver.flow_to()
    answer = core.receive(driver.syn_ack(flow, "bundelpers-3"), 0.0)
    assert driver.kinds(answer) == ["SendToCaller"]
    actions = core.receive(driver.from_caller(flow), 0.1)
    assert driver.sent_to(actions) == ["bundelpers-3"]


def test_repeated_syn_is_one_flow(snapshot):
    core = driver.make_core(snapshot)
    flow = driver.flow_to()
    target_id = start_opening(core, flow)
    for stage in ("opening", "answered", "established"):
        assert driver.sent_to(core.receive(driver.syn(flow), 0.2)) == [target_id], stage
        assert open_count(core) == 1
        core.receive(driver.syn_ack(flow, target_id), 0.3)
        if stage == "answered":
            core.receive(driver.from_caller(flow), 0.4)


def test_reused_port_gets_no_answer_of_the_earlier_flow(snapshot):
    """A caller that reuses a port at once never gets the answer to another request.

    The first flow was closed; a late answer of its target arrives after the second flow
    of the same tuple was opened on another target. Only the target that the tuple is
    bound to now may answer; before that, the closed flow's own target still may.
    """
    core = driver.make_core(snapshot)
    flow = driver.flow_to()
    old = driver.open_flow(core, flow)
    core.receive(driver.fin(flow), 1.0)
    core.receive(driver.fin(flow, old), 1.0)
    late = driver.from_target(flow, old, data=b"old")
    assert driver.kinds(core.receive(late, 1.1)) == ["SendToCaller"]
    assert driver.sent_to(core.receive(driver.from_caller(flow), 1.1)) == [old]
    other = next(
        row for row in core.tables.targets.values() if row.target.target_id != old
    )
    for row in core.tables.targets.values():
        row.flows = 0 if row is other else 5
    new = start_opening(core, flow, 1.2)
    assert new == other.target.target_id
    [drop] = core.receive(late, 1.3)
    assert drop.reason is DropReason.STALE_ANSWER


def test_refusing_targets_are_tried_and_then_the_caller_is_refused(snapshot):
    """A caller learns at once, and correctly, that nothing was run.

    Every target refuses the SYN with a reset, while their endpoints report healthy.
    Each is tried once. Then the refusal is sent immediately, without a time-out, with
    the time from which to try again.
    """
    core = driver.make_core(snapshot)
    flow = driver.flow_to()
    tried = [start_opening(core, flow)]
    actions = core.receive(syn_refusal(flow, tried[-1]), 0.01)
    while sent := driver.sent_to(actions):
        tried += sent
        actions = core.receive(syn_refusal(flow, tried[-1]), 0.01)
    assert sorted(tried) == sorted(row.target.target_id for row in targets_of(core))
    # No resets: a target that refused holds no open connection.
    [refusal] = actions
    assert refusal.reason is RefusalReason.NO_HEALTHY_TARGET
    assert refusal.retry_at > 0.01
    assert flow not in core.tables.flows.rows
    assert (open_count(core), core.tables.openings) == (0, {})


def targets_of(core):
    return core.tables.accounts["bundelpers"].targets


def refuse_after_time_outs(core, flow):
    """Let no target respond; return the ids tried and the actions of the refusal."""
    tried = [start_opening(core, flow)]
    for step in range(102):
        actions = driver.expire(core, step * 0.05)
        if not actions:
            continue
        if isinstance(actions[-1], Refuse):
            return tried, actions
        send, bind = actions
        assert (bind.kind, bind.target_id) == (RelayKind.BIND, send.target_id)
        tried.append(send.target_id)
    raise AssertionError("never refused")


def test_unresponsive_targets_are_tried_until_the_caller_is_refused(snapshot):
    """A caller whose SYN nobody answers is refused in time, and no target is reset.

    Targets accept the SYN and do not answer. One after the other is tried, bypassing
    the backup host, which may be the cause. Any of them may have answered the caller
    through a host with another view: a reset would end the connection that the caller
    holds open. All this takes no longer than the account's opening time-out.
    """
    core = driver.make_core(snapshot, hosts=2)
    flow = driver.owned_flow(core)
    tried, [refusal] = refuse_after_time_outs(core, flow)
    assert refusal.reason is RefusalReason.OPENING_TIMEOUT
    assert len(tried) == len(set(tried)) >= 5
    assert open_count(core) == 0


def test_refused_caller_resets_a_late_answer_itself(snapshot):
    """A caller that was refused has no open connection.

    A target's answer arrives after the refusal. It is forwarded, since the caller may
    have a connection through another host. A refused caller's stack resets it, and the
    reset reaches that target. None of the caller's data was ever sent there.
    """
    core = driver.make_core(snapshot, hosts=2)
    flow = driver.owned_flow(core)
    tried, _ = refuse_after_time_outs(core, flow)
    caller = Connection.connect(driver.CALLER_SEQ, 0.0)
    refusal = Segment(RST | ACK, 0, driver.CALLER_SEQ + 1, b"opening-timeout")
    caller.receive(refusal, 5.0)
    caller.take_outbox()
    [late] = core.receive(driver.syn_ack(flow, tried[0]), 5.2)
    caller.receive(Segment(SYN | ACK, late.packet.seq, late.packet.ack), 5.2)
    [reset] = caller.take_outbox()
    assert reset.flags == RST
    actions = core.receive(driver.from_caller(flow, RST, reset.seq, 0), 5.3)
    assert driver.sent_to(actions) == [tried[0]]
    assert open_count(core) == 0


@pytest.mark.parametrize("confirm", [False, True])
def test_no_refusal_once_the_caller_was_answered(snapshot, confirm):
    """A caller whose request may have run never gets a refusal, which denies that.

    After the caller has confirmed the target's answer, its data may have run. Only the
    target's own reset ends such a flow, and no time-out refuses it.
    """
    core = driver.make_core(snapshot)
    flow = driver.flow_to()
    target_id = start_opening(core, flow)
    core.receive(driver.syn_ack(flow, target_id), 0.0)
    if confirm:
        core.receive(driver.from_caller(flow, data=b"correction"), 0.1)
        actions = core.receive(driver.reset(flow, target_id), 0.2)
        assert driver.kinds(actions) == ["SendToCaller"]
    for now in (1.0, 3.0, 5.0, 7.0):
        assert "Refuse" not in driver.kinds(driver.expire(core, now))


def test_unconfirmed_opening_leaves_nothing(snapshot):
    """A flood of forged SYNs does not use up an account's connections.

    The targets answer, and nobody confirms. If the rows were kept for the idle time-out
    of an hour, the account would be full and its real callers refused.
    """
    core = driver.make_core(snapshot)
    for port in range(40_000, 40_050):
        flow = driver.flow_to(port=port)
        core.receive(driver.syn_ack(flow, start_opening(core, flow)), 0.0)
    assert open_count(core) == 50
    driver.expire(core, 2.5)
    driver.expire(core, 5.0)
    assert (open_count(core), len(core.tables.flows.rows)) == (0, 0)


def test_host_that_is_not_the_owner_places_nothing(snapshot):
    """An opening is placed once while membership views differ.

    Another host still considers this one the owner. Placing the SYN here would place it
    twice, as the answer and all later packets go to the new owner.
    """
    core = driver.make_core(snapshot, hosts=3)
    flow = driver.owned_flow(core, owner=False)
    [query] = core.receive(driver.relayed(driver.syn(flow)), 0.0)
    assert (query.kind, query.host_id) == (
        RelayKind.QUERY,
        core.tables.owners.owner_and_backup(flow)[0],
    )
    assert (open_count(core), core.tables.openings) == (0, {})
    owner = driver.make_core(snapshot, hosts=3, index=int(query.host_id[-1]))
    event = driver.relayed(driver.syn(flow), "host-0", RelayKind.QUERY)
    [proposal] = owner.receive(event, 0.0)
    assert proposal.kind is RelayKind.PROPOSE
    assert open_count(owner) == 1


# Datagrams ---------------------------------------------------------------------


def datagram(flow):
    return driver.from_caller(flow, 0, seq=0, ack=0, data=b"query")


def test_datagram_flow_goes_to_the_same_target_from_any_host(snapshot):
    """An answer to a datagram comes from the target that knows the conversation.

    No answer like a reset shows which target holds such a flow. Hosts that never saw it
    still agree on its first-ranked target while load is even.
    """
    for port in range(40_000, 40_020):
        flow = driver.flow_to(port=port, protocol=17)
        cores = [driver.make_core(snapshot, hosts=3, index=n) for n in range(3)]
        placed = set()
        for core in cores:
            core.tables.owners.update([core.tables.host_id])
            placed.add(*driver.sent_to(core.receive(datagram(flow), 0.0)))
        assert len(placed) == 1


def test_backup_of_a_datagram_flow_takes_precedence(snapshot):
    """A datagram flow continues although its owner was replaced.

    The backup host holds its binding; the new owner, which does not know the flow,
    places it elsewhere. The backup host sends the packet to its own target and notifies
    the owner.
    """
    second = driver.make_core(snapshot, hosts=2, index=1)
    flow = driver.owned_flow(second, owner=False)
    flow = bytes([17]) + flow[1:]
    event = driver.relayed(datagram(flow), "host-0", RelayKind.PROPOSE, "bundelpers-1")
    second.receive(event, 0.0)
    event = driver.relayed(datagram(flow), "host-0", RelayKind.PROPOSE, "bundelpers-2")
    send, bind = second.receive(event, 1.0)
    assert send.target_id == bind.target_id == "bundelpers-1"
    owner = driver.make_core(snapshot, hosts=2, index=0)
    if owner.tables.owners.owner_and_backup(flow)[0] == "host-0":
        [proposal] = owner.receive(datagram(flow), 1.0)
        answer = RelayReceived(RelayKind.BIND, "host-1", flow, target_id="bundelpers-1")
        owner.receive(answer, 1.0)
        sent = driver.sent_to(owner.receive(datagram(flow), 1.1))
        assert sent == ["bundelpers-1"]


def test_refused_datagram_is_offered_to_one_other_target(snapshot):
    """A query is not run twice, and its refusal is not hidden.

    A target that refuses a datagram (ICMP port unreachable) ran nothing, so one other
    is tried. Its refusal, or one after further datagrams were sent, reaches the caller,
    as any of those may have run.
    """
    core = driver.make_core(snapshot)
    flow = driver.flow_to(protocol=17)
    [first] = driver.sent_to(core.receive(datagram(flow), 0.0))
    [second] = driver.sent_to(core.receive(refused_datagram(flow, first), 0.01))
    assert second != first
    actions = core.receive(refused_datagram(flow, second), 0.02)
    assert driver.kinds(actions) == ["SendToCaller"]

    flow = driver.flow_to(port=40_001, protocol=17)
    [first] = driver.sent_to(core.receive(datagram(flow), 0.0))
    core.receive(datagram(flow), 0.01)
    actions = core.receive(refused_datagram(flow, first), 0.02)
    assert driver.kinds(actions) == ["SendToCaller"]


def test_closed_tuple_is_removed_after_time_wait(snapshot):
    core = driver.make_core(snapshot)
    flow = driver.flow_to()
    target_id = driver.open_flow(core, flow)
    core.receive(driver.from_caller(flow, RST), 1.0)
    core.receive(driver.from_target(flow, target_id), 1.0)
    for second in range(1, int(TIME_WAIT) + 8):
        driver.expire(core, float(second))
        if second < TIME_WAIT:
            assert flow in core.tables.flows.rows
    assert flow not in core.tables.flows.rows
