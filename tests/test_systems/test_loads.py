"""Loads: what owners report to each other, its cost, and when it expires."""

from __future__ import annotations

from citronspring.control.envelope import MAX_DATAGRAM
from citronspring.control.messages import Loads, TargetLoad
from citronspring.entities import Snapshot
from citronspring.messages import ControlReceived
from citronspring.systems import loads
from citronspring.systems.idle import activate
from citronspring.systems.limits import RETRY_AFTER, connection_allowance
from tests.conftest import make_account
from tests.test_systems import driver
from tests.test_systems.test_limits import make_cores, open_owned, snapshot_with

FIRST = "bundelpers-0"


def run(cores, start, seconds, lost=lambda sender: False):
    """Let cores send each other their loads; return the messages sent."""
    sent = []
    by_id = {core.tables.host_id: core for core in cores}
    for step in range(int(seconds / loads.SEND_INTERVAL)):
        now = start + step * loads.SEND_INTERVAL
        for core in cores:
            actions = []
            loads.send_loads(core.tables, now, actions)
            for action in actions:
                sent.append(action.message)
                peer = by_id.get(action.host_id)
                if peer is not None and not lost(core):
                    loads.receive_loads(
                        peer.tables, core.tables.host_id, action.message, now
                    )
    return sent


def remote(core, target_id=FIRST):
    return core.tables.targets[target_id].remote_flows


def flows(core, target_id=FIRST):
    return core.tables.targets[target_id].flows


def test_owners_learn_each_others_flows_and_send_only_changes():
    cores = make_cores(snapshot_with())
    for number, core in enumerate(cores):
        open_owned(core, 10 * (number + 1))
    run(cores, 0.0, 3.0)
    for core in cores:
        assert core.tables.silent_peers == 0
        assert remote(core) == sum(flows(peer) for peer in cores) - flows(core)
    assert not run(cores, 3.0, 10.0)
    assert run(cores, 3.0 + loads.REPEAT_INTERVAL, 2.0)


def test_counts_sent_for_an_inactive_account_are_reset(snapshot):
    cores = make_cores(snapshot)
    open_owned(cores[1], 70)
    run(cores, 0.0, 3.0)
    del cores[1].tables.active_accounts["bundelpers"]
    run(cores, 3.0, 3.0)
    assert remote(cores[0]) == 0
    assert not any(cores[1].tables.loads.last_sent.values())


def test_counts_of_a_dead_owner_are_removed(snapshot):
    """New flows do not avoid a target because of a dead host's counts.

    A host dies; its flows are found again and counted by their new owners. Once it
    leaves the owner table its own counts are removed, or the flows would be counted
    twice.
    """
    cores = make_cores(snapshot)
    open_owned(cores[1], 70)
    run(cores, 0.0, 3.0)
    assert remote(cores[0]) == 10
    del cores[0].tables.hosts["host-1"]
    cores[0].tick(3.0)
    assert remote(cores[0]) == 0


def test_count_expires_after_a_lost_zero(snapshot):
    """A target's count drops to zero although the message that said so was lost."""
    cores = make_cores(snapshot)
    open_owned(cores[1], 70)
    run(cores, 0.0, 3.0)
    cores[1].tables.targets[FIRST].flows = 0
    run(cores, 4.0, 3.0, lost=lambda core: core is cores[1])
    run(cores, 7.0 + loads.COUNT_LIFETIME, 3.0, lost=lambda core: core is cores[1])
    assert remote(cores[0]) == 0


def test_messages_keep_to_the_budget_and_largest_changes_go_first():
    account = make_account(targets=200)
    core = driver.make_core(Snapshot(1, (account,)), hosts=30)
    for number, row in enumerate(core.tables.accounts["bundelpers"].targets):
        row.flows = number + 1
    activate(core.tables, core.tables.accounts["bundelpers"], 0.0)
    sent = run([core], 0.0, 30.0)
    assert len(sent) == 60
    for message in sent:
        size = sum(len(item.target_id) + loads.ENTRY_BYTES for item in message.targets)
        assert size <= loads.MESSAGE_BYTES < MAX_DATAGRAM
    first = [item.flows for item in sent[0].targets]
    assert first == sorted(first, reverse=True)
    assert first[0] == 200
    # With 29 peers in turn, counts are old before they arrive. They are sent once each,
    # then never again, and none is used.
    run([core], 30.0, 170.0)
    core.tables.targets[FIRST].flows = 500
    assert not run([core], 200.0, 20.0)
    assert core.tables.loads.weight == 0.0


def test_probers_report_health_and_load(snapshot):
    cores = make_cores(snapshot)
    open_owned(cores[1], 7)
    cores[0].tables.active_accounts["bundelpers"] = cores[0].tables.accounts[
        "bundelpers"
    ]
    row = cores[0].tables.targets[FIRST]
    loads.record_report(row, "host-0", False, 1.5, 0.0, 10.0)
    run(cores, 0.0, 2.0)
    note = cores[1].tables.targets[FIRST].health.prober_reports["host-0"]
    assert not note.healthy
    assert abs(note.load - 1.5) < 0.01


def test_unknown_senders_and_targets_change_nothing(snapshot):
    core = driver.make_core(snapshot, hosts=2)
    message = Loads((TargetLoad(FIRST, 50), TargetLoad("nobody", 50)))
    loads.receive_loads(core.tables, "host-9", message, 1.0)
    assert remote(core) == 0
    core.receive(ControlReceived("host-1", message), 1.0)
    assert remote(core) == 50


def test_reported_counts_lead_to_targets_that_others_left_empty(snapshot):
    """An owner uses the target that the others left empty, but not for all its flows.

    Three owners hold 300 flows on one of two targets. The fourth places most of its 100
    on the other; if every owner placed all its flows there, they would overshoot.
    """
    cores = make_cores(snapshot_with(targets=2))
    for core in cores[1:]:
        core.tables.targets[FIRST].flows = 100
        activate(core.tables, core.tables.accounts["bundelpers"], 0.0)
    run(cores, 0.0, 3.0)
    open_owned(cores[0], 100)
    assert 70 <= flows(cores[0], "bundelpers-1") <= 90


def test_owner_under_contention_receives_usage_caps():
    """One owner's callers get connections that the other owners do not use.

    It reports contention; the others, idle so far, lend a part of their shares.
    """
    cores = make_cores(snapshot_with(max_connections=80))
    opened, refusal = open_owned(cores[0], 100)
    assert opened == 20
    assert refusal.retry_at == RETRY_AFTER
    run(cores, 0.0, 5.0)
    row = cores[0].tables.accounts["bundelpers"]
    assert connection_allowance(cores[0].tables, row, 5.0) == 30
