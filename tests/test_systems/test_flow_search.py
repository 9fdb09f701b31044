"""Flow search: finding the target of a flow whose owner was lost."""

from __future__ import annotations

from citronspring.entities import Snapshot
from citronspring.messages import RelayKind, SnapshotRead
from citronspring.systems.flow_search import PROBE_TIMEOUT, QUERY_TIMEOUT
from citronspring.systems.placement import PLACEMENT_WINDOW, possible_targets
from citronspring.tables import FlowState
from citronspring.tcp_flags import ACK, RST, SYN
from tests.conftest import make_account
from tests.test_systems import driver


def search_to_end(core, flow, answer_at=None, now=1.0):
    """Send a data packet of an unknown flow; targets reset until one answers.

    Returns the ids of the probed targets and the actions that ended the search.
    """
    actions = core.receive(driver.from_caller(flow, data=b"data"), now)
    offered = []
    while sent := driver.sent_to(actions):
        offered += sent
        if len(offered) - 1 == answer_at:
            event = driver.from_target(flow, offered[-1])
            return offered, core.receive(event, now)
        actions = core.receive(driver.reset(flow, offered[-1]), now)
    return offered, actions


def test_unknown_flow_is_found_on_any_target(snapshot):
    """An upload continues although its owner died.

    The new owner does not know the flow, which may be on any of seven targets. Each
    target that does not hold it answers with a reset, which does not reach the caller.
    The target that acknowledges the data is bound.
    """
    for holder in range(7):
        core = driver.make_core(snapshot)
        flow = driver.flow_to()
        offered, actions = search_to_end(core, flow, answer_at=holder)
        assert len(set(offered)) == holder + 1
        assert driver.kinds(actions) == ["SendToCaller"]
        assert not actions[0].packet.flags & RST
        assert core.tables.flows.rows[flow].target.target.target_id == offered[-1]


def test_reset_reaches_caller_only_when_every_target_has_reset(snapshot):
    """A flow that no target holds is reset once the last target has reset it.

    The caller's connection no longer exists, as its target restarted. Six resets are
    dropped, since the seventh target might hold the flow. The last one proves that none
    does and is forwarded, so that the caller does not hang.
    """
    core = driver.make_core(snapshot)
    offered, actions = search_to_end(core, driver.flow_to())
    assert len(offered) == 7
    assert driver.kinds(actions) == ["SendToCaller"]
    assert actions[0].packet.flags & RST


def test_no_reset_while_a_peer_knows_a_newer_revision(snapshot):
    """A flow on a target that this host does not know is not reset.

    Another host applied revision 2, which added a target, and placed the flow there.
    This host, still at 1, probes all seven targets it knows. Their resets prove
    nothing, so the caller gets no answer and retransmits.
    """
    core = driver.make_core(snapshot, hosts=2)
    core.tables.hosts["host-1"].revision = 2
    flow = driver.owned_flow(core)
    core.receive(driver.from_caller(flow, data=b"data"), 1.0)
    actions = core.tick(1.0 + QUERY_TIMEOUT)
    while sent := driver.sent_to(actions):
        actions = core.receive(driver.reset(flow, sent[0]), 1.2)
    assert "SendToCaller" not in driver.kinds(actions)
    assert flow not in core.tables.searches


def test_no_reset_while_a_target_is_unresponsive(snapshot):
    """A flow on an unreachable target is not reset.

    Two targets do not answer; the flow may be on either. The caller gets no answer and
    its retransmission starts another search.
    """
    core = driver.make_core(snapshot)
    flow = driver.flow_to()
    now = 1.0
    actions = core.receive(driver.from_caller(flow, data=b"data"), now)
    for position in range(7):
        [target_id] = driver.sent_to(actions)
        if position in (2, 4):
            now += PROBE_TIMEOUT
            actions = core.tick(now)
        else:
            actions = core.receive(driver.reset(flow, target_id), now)
    assert "SendToCaller" not in driver.kinds(actions)
    assert flow not in core.tables.flows.rows


def test_only_unresponsive_target_holds_the_flow(snapshot):
    """A caller that only sends acknowledgements keeps its connection.

    A target that holds the flow does not answer a bare acknowledgement, so it does
    not respond while the six others reset. The flow can only be on that one.
    """
    core = driver.make_core(snapshot)
    flow = driver.flow_to()
    now = 1.0
    actions = core.receive(driver.from_caller(flow), now)
    for position in range(7):
        [target_id] = driver.sent_to(actions)
        if position == 3:
            holder = target_id
            now += PROBE_TIMEOUT
            actions = core.tick(now)
        else:
            actions = core.receive(driver.reset(flow, target_id), now)
    assert core.tables.flows.rows[flow].target.target.target_id == holder


def test_answer_of_an_earlier_connection_does_not_bind(snapshot):
    """A flow is not bound to a target that only remembers an earlier connection.

    The caller's port was used before: a target in TIME-WAIT of that connection
    acknowledges its old numbers. They are far from those of the probe, so this target
    does not hold the flow. The search continues to the one that does.
    """
    core = driver.make_core(snapshot)
    flow = driver.flow_to()
    [target_id] = driver.sent_to(core.receive(driver.from_caller(flow), 1.0))
    stale = driver.from_target(flow, target_id, ack=driver.CALLER_SEQ + (1 << 31))
    assert driver.kinds(core.receive(stale, 1.0)) == ["Drop"]
    assert flow not in core.tables.flows.rows


def test_answer_from_a_target_binds_an_unknown_flow(snapshot):
    """A download continues immediately although its owner was replaced.

    The new owner does not know the flow, but the target keeps sending. A data packet
    from a target of the account shows that the target holds the flow, without a search.
    """
    core = driver.make_core(snapshot)
    flow = driver.flow_to()
    actions = core.receive(driver.from_target(flow, "bundelpers-3"), 1.0)
    assert driver.kinds(actions) == ["SendToCaller"]
    assert core.tables.flows.rows[flow].target.target.target_id == "bundelpers-3"


def test_backup_host_is_queried_before_the_targets(snapshot):
    """A host that joined and took a flow over queries the previous owner.

    The previous owner is now the backup host. It forwards the packet itself and sends
    the new owner the binding: no target gets a packet of a flow that it does not hold.
    """
    joined = driver.make_core(snapshot, hosts=2, index=0)
    former = driver.make_core(snapshot, hosts=2, index=1)
    flow = driver.owned_flow(joined)
    holder = former.tables.targets["bundelpers-5"]
    driver.open_flow(driver.make_core(snapshot), flow)
    former.receive(driver.relayed(driver.from_target(flow, "bundelpers-5")), 0.0)
    [query] = joined.receive(driver.from_caller(flow), 1.0)
    assert query.kind is RelayKind.QUERY
    event = driver.relayed(driver.from_caller(flow), "host-0", RelayKind.QUERY)
    send, bind = former.receive(event, 1.0)
    assert send.target_id == holder.target.target_id
    event = driver.RelayReceived(bind.kind, "host-1", flow, None, None, bind.target_id)
    joined.receive(event, 1.0)
    row = joined.tables.flows.rows[flow]
    assert row.target.target.target_id == "bundelpers-5"
    assert row.state == FlowState.UNVERIFIED
    joined.receive(driver.from_target(flow, "bundelpers-5", data=b"page"), 1.0)
    assert row.state == FlowState.ESTABLISHED


def test_search_is_bounded_with_300_targets():
    """A search covers every possible placement and stays short with 300 targets.

    The account grew from 100 targets in steps of ten, so a flow may be on any target
    that ranked among the first 16 at one of the 21 revisions. The list contains all of
    these, on average about 16 * (1 + ln 3) = 34 targets rather than 300.
    """
    account = make_account(targets=300)
    targets = [
        driver.replace_revision(target, max(1, index // 10 - 8))
        for index, target in enumerate(account.targets)
    ]
    core = driver.make_core(Snapshot(30, (driver.with_targets(account, targets),)))
    row = core.tables.accounts[account.account_id]
    lengths = []
    for port in range(1024, 1224):
        flow = driver.flow_to(port=port)
        possible = possible_targets(flow, row)
        lengths.append(len(possible))
        for revision in range(1, 22):
            placeable = [
                item for item in row.targets if item.target.added_revision <= revision
            ]
            window = driver.rank_targets(flow, placeable)[:PLACEMENT_WINDOW]
            assert set(map(id, window)) <= set(map(id, possible))
    assert sum(lengths) / len(lengths) < 37


def test_search_reaches_a_target_pushed_out_of_the_window(snapshot):
    """A flow is found after growth of the target set and loss of its owner.

    It was placed on the only target. Then 60 more were added, sixteen of which rank
    higher, and its owner died. The search still finds its target.
    """
    account = make_account(targets=61)
    first, *others = account.targets
    others = [driver.replace_revision(target, 2) for target in others]
    grown = driver.with_targets(account, [first, *others])
    core = driver.make_core(Snapshot(1, (driver.with_targets(account, [first]),)))
    core.receive(SnapshotRead(Snapshot(2, (grown,))), 1.0)
    row = core.tables.accounts[account.account_id]
    for port in range(1024, 1324):
        possible = possible_targets(driver.flow_to(port=port), row)
        assert first.target_id in [item.target.target_id for item in possible]


def test_unresponsive_target_is_not_bound_while_a_revision_is_missing(snapshot):
    """A flow is not bound to the wrong target because of a missing revision.

    A peer reports revision 2, whose new target this host does not know. Six of seven
    targets reset and one does not respond, but the flow may be on the eighth.
    """
    core = driver.make_core(snapshot, hosts=2)
    core.tables.hosts["host-1"].revision = 2
    flow = driver.owned_flow(core)
    core.receive(driver.from_caller(flow), 1.0)
    now = 1.0 + QUERY_TIMEOUT
    actions = driver.expire(core, now)
    for position in range(7):
        [target_id] = driver.sent_to(actions)
        if position == 3:
            now += PROBE_TIMEOUT
            actions = driver.expire(core, now)
        else:
            actions = core.receive(driver.reset(flow, target_id), now)
    assert flow not in core.tables.flows.rows


def test_data_replaces_a_bare_acknowledgement_as_the_probe(snapshot):
    """An upload that begins with a bare acknowledgement does not wait for time-outs.

    No target answers that packet, whether it holds the flow or not. When data follows,
    the probing restarts with it at once, at the current target.
    """
    core = driver.make_core(snapshot)
    flow = driver.flow_to()
    [first] = driver.sent_to(core.receive(driver.from_caller(flow), 1.0))
    data = driver.from_caller(flow, data=b"poem")
    assert driver.sent_to(core.receive(data, 1.0)) == [first]
    actions = core.receive(driver.from_target(flow, first), 1.0)
    assert driver.kinds(actions) == ["SendToCaller", "SendToTarget"]


def test_syn_ack_that_the_caller_did_not_accept_ends_no_search(snapshot):
    """An upload is not bound to a target whose SYN-ACK its caller did not accept.

    A second placement of its SYN left a half-open connection, whose target repeats its
    SYN-ACK during the search. Its number is not the one that the caller acknowledged,
    even if close; the SYN-ACK of the right target has that number.
    """
    core = driver.make_core(snapshot)
    flow = driver.flow_to()
    core.receive(driver.from_caller(flow, data=b"poem"), 1.0)
    near_miss = driver.from_target(
        flow, "bundelpers-1", SYN | ACK, seq=driver.TARGET_SEQ + 1000
    )
    assert driver.kinds(core.receive(near_miss, 1.0)) == ["Drop"]
    assert flow in core.tables.searches
    taken = driver.syn_ack(flow, "bundelpers-2")
    assert driver.kinds(core.receive(taken, 1.0))[0] == "SendToCaller"
    row = core.tables.flows.rows[flow]
    assert row.target.target.target_id == "bundelpers-2"


def test_answers_for_unknown_flows_do_not_fill_the_table(snapshot):
    """Answers for unknown flows do not fill the table or keep rows for long.

    The row of an unconfirmed SYN-ACK is kept no longer than an opening may take. An
    ICMP error does not show which target holds the flow, and a full table takes no new
    row; all these packets are forwarded or dropped without one.
    """
    core = driver.make_core(snapshot)
    rows = core.tables.flows.rows
    flow = driver.flow_to()
    core.receive(driver.syn_ack(flow, "bundelpers-1"), 0.0)
    assert rows[flow].deadline == 5.0
    driver.expire(core, 12.0)
    error = driver.from_target(flow, "bundelpers-1", 0)
    error.packet.unreachable = True
    assert driver.kinds(core.receive(error, 12.0)) == ["Drop"]
    core.tables.max_flows = 0
    answer = driver.from_target(flow, "bundelpers-1", data=b"page")
    assert driver.kinds(core.receive(answer, 12.0)) == ["SendToCaller"]
    assert not rows
