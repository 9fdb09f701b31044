"""Ownership: the owner of a flow, and the effect of a new owner on its row."""

from __future__ import annotations

from citronspring.entities import HostState
from citronspring.systems.ownership import update_owners
from citronspring.tables import FlowState
from tests.test_systems import driver


def set_state(core, host_id, state, now=1.0):
    core.tables.hosts[host_id].state = state
    update_owners(core.tables, now)


def test_flows_move_only_to_or_from_the_host_that_changed(snapshot):
    """A planned stop of one host does not affect the flows of the others."""
    core = driver.make_core(snapshot, hosts=6)
    flows = [driver.flow_to(port=port) for port in range(40_000, 40_500)]
    before = {flow: core.tables.owners.owner_and_backup(flow) for flow in flows}
    set_state(core, "host-3", HostState.LEAVING)
    for flow, (owner, backup) in before.items():
        now_owner = core.tables.owners.owner_and_backup(flow)[0]
        assert now_owner == (backup if owner == "host-3" else owner)
    set_state(core, "host-3", HostState.SUSPECT)
    assert {flow: core.tables.owners.owner_and_backup(flow) for flow in flows} == before


def test_owner_that_loses_a_flow_keeps_an_uncounted_backup(snapshot):
    """A target's flows are not counted twice while owners change."""
    core = driver.make_core(snapshot, hosts=2)
    set_state(core, "host-1", HostState.DEAD)
    flows = [driver.flow_to(port=port) for port in range(40_000, 40_040)]
    placed = {flow: driver.open_flow(core, flow) for flow in flows}
    set_state(core, "host-1", HostState.ALIVE)
    rows = core.tables.flows.rows
    for flow, target_id in placed.items():
        mine = core.tables.owners.owner_and_backup(flow)[0] == "host-0"
        assert rows[flow].state == (FlowState.ESTABLISHED if mine else FlowState.BACKUP)
        assert rows[flow].target.target.target_id == target_id
    kept = sum(row.state == FlowState.ESTABLISHED for row in rows.values())
    assert core.tables.accounts["bundelpers"].open_flows == kept
    for flow in flows:
        sent = driver.sent_to(core.receive(driver.relayed(driver.from_caller(flow)), 2))
        assert sent == [placed[flow]]
    assert core.tables.accounts["bundelpers"].open_flows == kept


def test_opening_of_a_flow_that_moved_is_not_refused_here(snapshot):
    """A caller is not refused by a host that no longer owns its opening.

    The answers go to the new owner, so this host receives none.
    """
    core = driver.make_core(snapshot, hosts=2)
    flow = driver.owned_flow(core)
    core.receive(driver.syn(flow), 0.0)
    set_state(core, "host-0", HostState.LEAVING, 0.1)
    for step in range(120):
        assert not driver.expire(core, step * 0.05)
    assert not core.tables.openings


def test_last_host_keeps_serving(snapshot):
    """A leaving host that knows no other drops no packets."""
    core = driver.make_core(snapshot)
    set_state(core, "host-0", HostState.LEAVING)
    assert driver.open_flow(core, driver.flow_to()) in core.tables.targets


def test_hosts_of_other_groups_own_no_flows_here(snapshot):
    core = driver.make_core(snapshot, hosts=3)
    core.tables.group = "elsewhere"
    update_owners(core.tables, 1.0)
    assert core.tables.owners.members == ("host-0",)
