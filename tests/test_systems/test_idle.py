"""Idle accounts: no processing time, no messages, and no loss on activation."""

from __future__ import annotations

from dataclasses import replace

from citronspring.control.messages import Loads
from citronspring.entities import Endpoint, Snapshot
from citronspring.messages import ProbeTarget, RelayKind, SendControl, SendToTarget
from citronspring.systems import health, loads
from citronspring.systems.binding import TIME_WAIT
from citronspring.systems.expiry import expire_flows
from citronspring.systems.idle import IDLE_AFTER, deactivate_idle_accounts
from citronspring.tables import WHEEL_BUCKET_WIDTH
from tests.conftest import make_account
from tests.test_systems import driver


def with_endpoints(account):
    probed = [
        replace(target, health=Endpoint(target.tunnel.ip, 8080))
        for target in account.targets
    ]
    return driver.with_targets(account, probed)


def run_timed_systems(core, now):
    actions = []
    deactivate_idle_accounts(core.tables, now)
    health.request_probes(core.tables, now, actions)
    loads.send_loads(core.tables, now, actions)
    return actions


def finish(core, flow, target_id, now):
    core.receive(driver.fin(flow), now)
    core.receive(driver.fin(flow, target_id), now)


def test_idle_account_is_neither_probed_nor_reported(snapshot):
    """An account without flows is neither probed nor reported.

    A flow is opened and closed. Until its tuple may be reused, and for a while after,
    the account is probed and its loads are sent. Then it is inactive and nothing is
    sent.
    """
    account = with_endpoints(make_account())
    core = driver.make_core(Snapshot(1, (account,)), hosts=2)
    assert not run_timed_systems(core, 0.0)
    flow = driver.owned_flow(core)
    target_id = driver.open_flow(core, flow)
    seen = [run_timed_systems(core, step / 4) for step in range(40)]
    assert any(isinstance(item, ProbeTarget) for items in seen for item in items)
    assert any(isinstance(item, SendControl) for items in seen for item in items)
    finish(core, flow, target_id, 10.0)
    now = 10.0
    while now < 10.0 + TIME_WAIT + WHEEL_BUCKET_WIDTH + 2 * IDLE_AFTER:
        now += 4.0
        expire_flows(core.tables, now)
        run_timed_systems(core, now)
    assert not core.tables.active_accounts
    for step in range(40):
        assert not run_timed_systems(core, now + 2.0 + step / 2)


def test_first_packet_activates_the_account_and_is_served(snapshot):
    """The first packet of an account after a long idle time is not lost.

    All targets were ejected when the account became idle. Its first packet is sent to
    one immediately: the ejections are long past, and the opening itself tests the
    target.
    """
    core = driver.make_core(snapshot)
    row = core.tables.accounts["bundelpers"]
    for target in row.targets:
        health.eject(core.tables, target, 10.0)
    assert not core.tables.active_accounts
    [action] = core.receive(driver.syn(driver.flow_to()), 11.0)
    assert isinstance(action, SendToTarget)
    assert list(core.tables.active_accounts) == ["bundelpers"]


def test_unknown_flow_activates_the_account(snapshot):
    core = driver.make_core(snapshot)
    core.receive(driver.from_caller(driver.flow_to(), data=b"page"), 1.0)
    assert "bundelpers" in core.tables.active_accounts


def test_backup_binding_activates_the_account(snapshot):
    core = driver.make_core(snapshot, hosts=2)
    flow = driver.owned_flow(core, owner=False)
    event = driver.relayed(
        driver.syn(flow), kind=RelayKind.PROPOSE, target_id="bundelpers-0"
    )
    core.receive(event, 1.0)
    assert "bundelpers" in core.tables.active_accounts


def test_account_with_an_open_flow_stays_active(snapshot):
    core = driver.make_core(snapshot)
    driver.open_flow(core, driver.flow_to())
    for step in range(100):
        deactivate_idle_accounts(core.tables, step * IDLE_AFTER)
    assert "bundelpers" in core.tables.active_accounts


def test_peers_flows_keep_the_account_active_at_the_probers(snapshot):
    """A target is probed although neither prober has a flow of its own there."""
    core = driver.make_core(snapshot, hosts=2)
    entry = Loads((loads.TargetLoad("bundelpers-0", 3),))
    for step in range(10):
        loads.receive_loads(core.tables, "host-1", entry, step * IDLE_AFTER / 2)
        deactivate_idle_accounts(core.tables, step * IDLE_AFTER / 2 + 1)
        assert "bundelpers" in core.tables.active_accounts
    deactivate_idle_accounts(core.tables, 6 * IDLE_AFTER)
    assert not core.tables.active_accounts
