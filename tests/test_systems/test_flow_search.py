"""Second chance: finding the target of a flow whose owner was lost."""

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
    """Offer a data packet of an unknown flow; targets reset until one answers.

    Returns the ids offered and the actions that ended the walk.
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
    """A poet's upload goes on although its owner died mid-stream.

    The new owner has never seen the flow, which may be on any of seven targets.
    Each that does not hold it answers with a reset; the caller sees none of them,
    and the one that acknowledges the data is bound.
    """
    for holder in range(7):
        core = driver.make_core(snapshot)
        flow = driver.flow_to()
        offered, actions = search_to_end(core, flow, answer_at=holder)
        assert len(set(offered)) == holder + 1
        assert driver.kinds(actions) == ["SendToCaller"]
        assert not actions[0].packet.flags & RST
        assert core.tables.flows.rows[flow].target.target.target_id == offered[-1]


def test_reset_reaches_caller_only_when_every_target_said_so(snapshot):
    """A flow that no target holds ends with a reset, after the last target's.

    The caller's connection is gone everywhere (its target restarted). Six resets
    are swallowed, since the seventh target might hold the flow; the last one
    proves that none does and is passed on, so that the caller does not hang.
    """
    core = driver.make_core(snapshot)
    offered, actions = search_to_end(core, driver.flow_to())
    assert len(offered) == 7
    assert driver.kinds(actions) == ["SendToCaller"]
    assert actions[0].packet.flags & RST


def test_no_reset_while_a_peer_knows_a_newer_revision(snapshot):
    """A stream on a target this host has not heard of is not reset.

    Another host applied revision 2, which added a target, and placed the flow
    there. This host, still at 1, asks all seven targets it knows. Their resets
    prove nothing, so the caller gets silence and retransmits.
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


def test_no_reset_while_a_target_is_silent(snapshot):
    """A stream on a target that is cut off is not reset.

    Two targets do not answer; the flow may be on either. The caller gets silence
    and its retransmission starts another walk.
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


def test_only_silent_target_holds_the_flow(snapshot):
    """A reader who only acknowledges a preview keeps it.

    A bare acknowledgement is answered by no target that holds the flow, so the
    holder is silent while six others reset. The flow can live nowhere else.
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
    """A stream is not sent to a target that only remembers an older flow.

    The caller's port was used before: a target in TIME-WAIT of that connection
    acknowledges its old numbers. They are far from the probe's, so it is no
    holder; the walk goes on to the one that is.
    """
    core = driver.make_core(snapshot)
    flow = driver.flow_to()
    [target_id] = driver.sent_to(core.receive(driver.from_caller(flow), 1.0))
    stale = driver.from_target(flow, target_id, ack=driver.CALLER_SEQ + (1 << 31))
    assert driver.kinds(core.receive(stale, 1.0)) == ["Drop"]
    assert flow not in core.tables.flows.rows


def test_answer_from_a_target_binds_an_unknown_flow(snapshot):
    """A preview goes on at once although its owner was replaced.

    The new owner knows nothing, but the target streams on: a packet of data from
    a target of the account shows where the flow lives, without any walk.
    """
    core = driver.make_core(snapshot)
    flow = driver.flow_to()
    actions = core.receive(driver.from_target(flow, "bundelpers-3"), 1.0)
    assert driver.kinds(actions) == ["SendToCaller"]
    assert core.tables.flows.rows[flow].target.target.target_id == "bundelpers-3"


def test_second_ranked_host_answers_before_the_targets(snapshot):
    """A host that joined and took a flow over asks the one that had it.

    The former owner now ranks second. It forwards the packet itself and tells the
    new owner the target: no target sees a packet of a flow it does not hold.
    """
    joined = driver.make_core(snapshot, hosts=2, index=0)
    former = driver.make_core(snapshot, hosts=2, index=1)
    flow = driver.owned_flow(joined)
    holder = former.tables.targets["bundelpers-5"]
    driver.open_flow(driver.make_core(snapshot), flow)
    former.receive(driver.relayed(driver.from_target(flow, "bundelpers-5")), 0.0)
    [ask] = joined.receive(driver.from_caller(flow), 1.0)
    assert ask.kind is RelayKind.QUERY
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


def test_walk_is_bounded_with_300_targets():
    """The walk covers every placement and stays short with 300 targets.

    The account grew from 100 targets in steps of ten, so flows may live on what
    ranked among the first 16 at any of the 21 revisions. The list holds all of
    these, and on the average about 16 * (1 + ln 3) = 34 targets rather than 300.
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


def test_walk_reaches_a_target_pushed_out_of_the_window(snapshot):
    """A long upload survives growth of the target set and loss of its owner.

    It was placed on the only target; then 60 more were added, sixteen of which
    outrank it, and its owner died. The walk still ends at its target.
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


def test_silent_target_is_not_taken_for_the_holder_while_uncertain(snapshot):
    """A stream is not sent to the wrong target for want of a newer revision.

    A peer tells of revision 2, whose new target this host does not know. Six of
    seven targets say no and one is silent, but the flow may be on the eighth.
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
    """An upload that starts with a bare acknowledgement does not wait for timeouts.

    No target answers that one, holder or not. The data that follows is held no
    longer than it takes to start over with it, at the target that is asked now.
    """
    core = driver.make_core(snapshot)
    flow = driver.flow_to()
    [first] = driver.sent_to(core.receive(driver.from_caller(flow), 1.0))
    data = driver.from_caller(flow, data=b"poem")
    assert driver.sent_to(core.receive(data, 1.0)) == [first]
    actions = core.receive(driver.from_target(flow, first), 1.0)
    assert driver.kinds(actions) == ["SendToCaller", "SendToTarget"]


def test_syn_ack_that_the_caller_did_not_take_ends_no_search(snapshot):
    """An upload is not bound to the target whose answer its caller ignored.

    A second placement of its SYN left a half-open connection, whose target repeats
    its SYN-ACK while the search goes on. Its number is not the one the caller
    acknowledged, however near; the SYN-ACK of the right target would be.
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


def test_answers_teach_within_the_table(snapshot):
    """A target that speaks for unknown flows fills no table and keeps no row long.

    An unconfirmed SYN-ACK is remembered no longer than an opening may take. An ICMP
    error says where a flow is not, and a full table learns nothing; all is passed
    on or dropped without a row.
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
