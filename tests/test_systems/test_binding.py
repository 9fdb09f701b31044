"""Bindings: verification of learned bindings, and the counts that follow."""

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
    """Let a core apply a binding that the backup host sent."""
    core.receive(driver.from_caller(flow), now)
    core.receive(binding(flow, target_id), now)
    return core.tables.flows.rows[flow]


def with_leaving_target(snapshot, target_id, revision=2):
    """Return the configuration in which a target is leaving."""
    account = snapshot.accounts[0]
    targets = [
        replace(target, leaving_revision=revision)
        if target.target_id == target_id
        else target
        for target in account.targets
    ]
    accounts = (driver.with_targets(account, targets), *snapshot.accounts[1:])
    return Snapshot(revision, accounts)


def test_reset_of_an_unverified_target_starts_a_search(snapshot):
    """An upload continues although the backup of its binding was outdated.

    The new owner applied the backup. Its target does not hold the flow and resets it.
    The reset is dropped; the caller's retransmission is sent to every target, and the
    backup host is not queried again.
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


def test_reset_of_a_verified_target_is_forwarded(snapshot):
    core = driver.make_core(snapshot, hosts=2)
    flow = driver.owned_flow(core)
    adopt_binding(core, flow, "bundelpers-1")
    core.receive(driver.from_target(flow, "bundelpers-1", data=b"page"), 1.1)
    actions = core.receive(driver.reset(flow, "bundelpers-1"), 1.2)
    assert driver.kinds(actions) == ["SendToCaller"]


def test_late_query_answer_does_not_change_the_binding(snapshot):
    """A flow stays on its target when a late query answer arrives after the search.

    The backup host was slow, and the search has found the flow. The answer then names
    the target of an earlier flow of the tuple.
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
def test_data_of_another_target_replaces_an_unverified_binding(snapshot, flags):
    """A download continues while its owner has an outdated backup for another target.

    The target's packets would be dropped as late answers. The caller only receives and
    sends nothing that could start a search, so the download would stall until a
    time-out.
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


def test_backup_of_an_earlier_flow_does_not_decide_a_new_one(snapshot):
    """A leaving target gets no new flow through an outdated backup.

    The backup host keeps the binding of a flow that is closed by now. The caller reuses
    the port; the owner places the new flow, and its proposal must replace the backup. A
    backup whose target is leaving does not decide an opening either when its host
    becomes the owner.
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


def test_backups_are_not_counted_before_they_are_used(snapshot):
    """A host that takes over flows does not refuse callers as if the account were full.

    It holds backups of all flows of the last seconds, most of them closed by now. If
    all counted as open, they would exceed the account's limit.
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


def test_previous_owner_keeps_its_placement_unless_the_target_leaves(snapshot):
    """A retransmitted SYN goes to the target that answered it, unless that is leaving.

    This host still considers itself the owner and has placed the SYN; the new owner
    proposes another target. The first placement is kept, as the caller may have its
    answer, unless that target has started to leave since.
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


def test_changed_placement_reaches_the_backup(snapshot):
    """The host that would take over knows the target of a retried opening."""
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
    """A target does not look fuller because of answers that reached another host."""
    core = driver.make_core(snapshot, hosts=2)
    flow = driver.owned_flow(core, owner=False)
    answer = driver.from_target(flow, "bundelpers-1", data=b"page")
    core.receive(driver.relayed(answer), 0.0)
    core.receive(driver.relayed(driver.from_caller(flow)), 0.0)
    assert core.tables.flows.rows[flow].state == FlowState.BACKUP
    assert core.tables.accounts["bundelpers"].open_flows == 0


def test_backups_of_tcp_flows_are_short_lived(snapshot):
    core = driver.make_core(snapshot, hosts=2)
    target = core.tables.targets["bundelpers-1"]
    for protocol, lives in ((6, BACKUP_LIFETIME), (17, 120.0)):
        flow = driver.flow_to(protocol=protocol)
        row = bind(core.tables, flow, target, FlowState.BACKUP, 1.0)
        assert row.deadline == 1.0 + lives
