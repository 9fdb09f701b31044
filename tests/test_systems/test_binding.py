"""Bindings: what is believed of a copy, and the counts that follow each binding."""

from __future__ import annotations

from dataclasses import replace

import pytest

from citronspring.entities import Snapshot
from citronspring.messages import DropReason, RelayKind, RelayReceived, SnapshotRead
from citronspring.systems.binding import BACKUP_LIFETIME, bind
from citronspring.systems.flow_search import QUERY_TIMEOUT, expire_searches
from citronspring.systems.ownership import update_owners
from citronspring.tables import FlowState
from citronspring.tcp_flags import FIN, RST
from tests.test_systems import driver


def binding(flow, target_id, sender="host-1"):
    return RelayReceived(RelayKind.BIND, sender, flow, target_id=target_id)


def adopt_binding(core, flow, target_id, now=1.0):
    """Have a core take over a binding from the second-ranked host."""
    core.receive(driver.from_caller(flow), now)
    core.receive(binding(flow, target_id), now)
    return core.tables.flows.rows[flow]


def with_leaving_target(snapshot, target_id, revision=2):
    """Return the configuration in which a target leaves."""
    account = snapshot.accounts[0]
    targets = [
        replace(target, leaving_revision=revision)
        if target.target_id == target_id
        else target
        for target in account.targets
    ]
    accounts = (driver.with_targets(account, targets), *snapshot.accounts[1:])
    return Snapshot(revision, accounts)


def test_reset_of_a_target_known_by_hearsay_starts_a_search(snapshot):
    """An upload goes on although a copy of its binding was out of date.

    The new owner took the copy's word for the target. That target holds no such
    flow and resets it. The reset is swallowed; the caller's retransmission is
    offered to every target, and the copy is not asked again.
    """
    core = driver.make_core(snapshot, hosts=2)
    flow = driver.owned_flow(core)
    row = adopt_binding(core, flow, "bundelpers-1")
    assert row.state == FlowState.UNVERIFIED
    [drop] = core.receive(driver.reset(flow, "bundelpers-1"), 1.1)
    assert drop.reason is DropReason.SWALLOWED_RESET
    assert core.tables.accounts["bundelpers"].open_flows == 0
    actions = core.receive(driver.from_caller(flow, data=b"poem"), 1.2)
    assert driver.kinds(actions) == ["SendToTarget"]
    assert flow in core.tables.searches


def test_reset_of_a_proven_target_passes_at_once(snapshot):
    core = driver.make_core(snapshot, hosts=2)
    flow = driver.owned_flow(core)
    adopt_binding(core, flow, "bundelpers-1")
    core.receive(driver.from_target(flow, "bundelpers-1", data=b"page"), 1.1)
    actions = core.receive(driver.reset(flow, "bundelpers-1"), 1.2)
    assert driver.kinds(actions) == ["SendToCaller"]


def test_late_binding_changes_nothing(snapshot):
    """A stream stays on its target when an old answer comes after the search.

    The second-ranked host was slow. The search found the flow by itself; then the
    answer arrives and names the target of an earlier flow of the tuple.
    """
    core = driver.make_core(snapshot, hosts=2)
    flow = driver.owned_flow(core)
    core.receive(driver.from_caller(flow, data=b"x"), 1.0)
    actions = []
    expire_searches(core.tables, 1.0 + QUERY_TIMEOUT, actions)
    [holder] = driver.sent_to(actions)
    core.receive(driver.from_target(flow, holder), 1.2)
    other = next(name for name in core.tables.targets if name != holder)
    core.receive(binding(flow, other), 1.3)
    assert driver.sent_to(core.receive(driver.from_caller(flow), 1.4)) == [holder]


@pytest.mark.parametrize("flags", [0, FIN])
def test_data_of_another_target_belies_hearsay(snapshot, flags):
    """A preview goes on while its owner has an old copy of another target.

    Its packets would be dropped as late answers. The caller, who only reads, sends
    nothing that could start a search, and the page would stall until it gave up.
    """
    core = driver.make_core(snapshot, hosts=2)
    flow = driver.owned_flow(core)
    adopt_binding(core, flow, "bundelpers-1")
    answer = driver.from_target(flow, "bundelpers-2", 16 | flags, data=b"page")
    assert driver.kinds(core.receive(answer, 1.1)) == ["SendToCaller"]
    sent = driver.sent_to(core.receive(driver.from_caller(flow), 1.2))
    assert sent == ["bundelpers-2"]
    answer = driver.from_target(flow, "bundelpers-3", RST)
    assert driver.kinds(core.receive(answer, 1.3)) == ["Drop"]


def test_copy_of_an_earlier_flow_does_not_catch_a_new_one(snapshot):
    """A leaving target gets no new work by way of an old copy.

    The second-ranked host keeps a copy of a flow that is closed by now. The caller
    reuses the port; the owner places the new flow, and the proposal must replace
    the copy. A copy whose target is leaving does not steer an opening either when
    its holder becomes the owner.
    """
    second = driver.make_core(snapshot, hosts=2)
    flow = driver.owned_flow(second, owner=False)
    for target_id in ("bundelpers-1", "bundelpers-2"):
        event = driver.relayed(
            driver.syn(flow), kind=RelayKind.PROPOSE, target_id=target_id
        )
        actions = second.receive(event, 0.0)
        assert driver.sent_to(actions) == [target_id]
        assert len(actions) == 1
    second.receive(SnapshotRead(with_leaving_target(snapshot, "bundelpers-2")), 0.5)
    second.tables.owners.update(["host-0"])
    [placed] = driver.sent_to(second.receive(driver.syn(flow), 1.0))
    assert placed != "bundelpers-2"


def test_new_syn_does_not_reopen_on_a_leaving_target(snapshot):
    core = driver.make_core(snapshot)
    flow = driver.flow_to()
    leaving = driver.open_flow(core, flow)
    core.receive(SnapshotRead(with_leaving_target(snapshot, leaving)), 1.0)
    data = driver.from_caller(flow, data=b"x")
    assert driver.sent_to(core.receive(data, 2.0)) == [leaving]
    [placed] = driver.sent_to(core.receive(driver.syn(flow), 3.0))
    assert placed != leaving


def test_copies_are_not_counted_before_they_are_used(snapshot):
    """A host that takes over flows does not refuse callers as if it were full.

    It holds copies of all flows of the last seconds, most of them closed by now.
    Counted as open they would fill the account's limit at once.
    """
    core = driver.make_core(snapshot, hosts=2)
    account = core.tables.accounts["bundelpers"]
    flow = driver.owned_flow(core, owner=False)
    event = driver.relayed(
        driver.syn(flow), kind=RelayKind.PROPOSE, target_id="bundelpers-1"
    )
    core.receive(event, 0.0)
    del core.tables.hosts["host-1"]
    update_owners(core.tables, 0.1)
    assert account.open_flows == 0
    core.receive(driver.from_caller(flow), 0.2)
    assert account.open_flows == core.tables.targets["bundelpers-1"].flows == 1


def test_owner_of_a_moment_ago_keeps_its_placement_unless_the_target_leaves(snapshot):
    """A repeated SYN finds the target that has answered it, but no leaving one.

    This host still takes itself for the owner and has placed the SYN; the new owner
    proposes another target. The first placement stands, as the caller may have its
    answer, unless that target has been told to leave meanwhile.
    """
    core = driver.make_core(snapshot, hosts=2)
    flow = driver.owned_flow(core)
    first = driver.open_flow(core, flow)
    event = driver.relayed(
        driver.syn(flow), kind=RelayKind.PROPOSE, target_id="bundelpers-6"
    )
    assert first != "bundelpers-6"
    assert driver.sent_to(core.receive(event, 0.5)) == [first]
    core.receive(SnapshotRead(with_leaving_target(snapshot, first)), 1.0)
    assert driver.sent_to(core.receive(event, 1.5)) == ["bundelpers-6"]


def test_changed_placement_reaches_its_copy(snapshot):
    """The host that would take over knows where a retried opening went."""
    core = driver.make_core(snapshot, hosts=2)
    flow = driver.owned_flow(core, owner=False)
    event = driver.relayed(
        driver.syn(flow), kind=RelayKind.PROPOSE, target_id="bundelpers-1"
    )
    core.receive(event, 0.0)
    core.receive(binding(flow, "bundelpers-2"), 0.5)
    row = core.tables.flows.rows[flow]
    assert row.target.target.target_id == "bundelpers-2"
    assert row.state == FlowState.BACKUP


def test_host_that_does_not_own_a_flow_does_not_count_it(snapshot):
    """A target does not look fuller for answers that strayed to another host."""
    core = driver.make_core(snapshot, hosts=2)
    flow = driver.owned_flow(core, owner=False)
    answer = driver.from_target(flow, "bundelpers-1", data=b"page")
    core.receive(driver.relayed(answer), 0.0)
    core.receive(driver.relayed(driver.from_caller(flow)), 0.0)
    assert core.tables.flows.rows[flow].state == FlowState.BACKUP
    assert core.tables.accounts["bundelpers"].open_flows == 0


def test_copies_of_tcp_flows_are_short_lived(snapshot):
    core = driver.make_core(snapshot, hosts=2)
    target = core.tables.targets["bundelpers-1"]
    for protocol, lives in ((6, BACKUP_LIFETIME), (17, 120.0)):
        flow = driver.flow_to(protocol=protocol)
        row = bind(core.tables, flow, target, FlowState.BACKUP, 1.0)
        assert row.deadline == 1.0 + lives
