"""Placement: which target a new flow gets."""

from __future__ import annotations

from dataclasses import replace

import pytest

from citronspring.entities import Snapshot
from citronspring.messages import RefusalReason, SnapshotRead
from citronspring.systems.loads import FRESH_WEIGHT
from citronspring.systems.placement import (
    ALL_CANDIDATES,
    COMPARED_TARGETS,
    PLACEMENT_WINDOW,
    choose_target,
    rank_targets,
)
from citronspring.systems.revisions import PLACEMENT_DELAY
from tests.conftest import make_account
from tests.test_systems import driver


def account_of(core, account_id="bundelpers"):
    return core.tables.accounts[account_id]


def choose(core, flow, now=10.0, tried=()):
    return choose_target(core.tables, flow, account_of(core), list(tried), now)


def test_least_loaded_target_wins_and_the_own_zone_breaks_ties(snapshot):
    core = driver.make_core(snapshot)
    chosen = choose(core, driver.flow_to())
    assert chosen.target.zone == core.tables.zone
    for row in account_of(core).targets:
        row.flows = 3
    lightest = core.tables.targets["bundelpers-4"]
    lightest.flows = 2
    assert choose(core, driver.flow_to()) is lightest
    lightest.remote_flows = 5
    assert choose(core, driver.flow_to()) is lightest
    for weight in (FRESH_WEIGHT, 1.0):
        core.tables.loads.weight = weight
        assert choose(core, driver.flow_to()) is not lightest


def test_only_candidates_within_the_window_take_a_flow():
    """A flow whose owner is lost is found by probing few of many targets.

    With hundreds of targets a flow goes to one of its first-ranked ones, and when these
    are full to a later one, but never below the window: a host that does not know the
    flow searches no further.
    """
    core = driver.make_core(Snapshot(1, (make_account(targets=100),)))
    flow = driver.flow_to()
    ranked = rank_targets(flow, account_of(core).targets)
    assert choose(core, flow) in ranked[:COMPARED_TARGETS]
    for row in ranked[: PLACEMENT_WINDOW - 1]:
        row.flows = row.target.max_connections
    assert choose(core, flow) is ranked[PLACEMENT_WINDOW - 1]
    ranked[PLACEMENT_WINDOW - 1].flows = row.target.max_connections
    assert choose(core, flow) is RefusalReason.TARGETS_FULL


@pytest.mark.parametrize("count", [1, 7, ALL_CANDIDATES])
def test_every_target_of_a_small_account_is_a_candidate(count):
    core = driver.make_core(Snapshot(1, (make_account(targets=count),)))
    taken = set()
    for port in range(40_000, 40_000 + count):
        chosen = choose(core, driver.flow_to(port=port))
        chosen.flows += 1
        taken.add(chosen.target.target_id)
    assert len(taken) == count


def test_full_and_ejected_targets_give_different_refusals(snapshot):
    core = driver.make_core(snapshot)
    for row in account_of(core).targets:
        row.flows = row.target.max_connections
    assert choose(core, driver.flow_to()) is RefusalReason.TARGETS_FULL


def test_new_target_waits_until_every_host_knows_it(snapshot):
    """A host that does not know a target yet must not fail to find a flow on it.

    Flows are placed on the target only when the change has had time to reach all hosts.
    """
    core = driver.make_core(snapshot)
    account = snapshot.accounts[0]
    grown = make_account(targets=8).targets
    newer = Snapshot(2, (driver.with_targets(account, grown),))
    core.receive(SnapshotRead(newer), 5.0)
    for row in account_of(core).targets[:7]:
        row.flows = 10
    fresh = account_of(core).targets[7]
    flow = driver.flow_to()
    assert choose(core, flow, 5.0 + PLACEMENT_DELAY - 0.1) is not fresh
    assert choose(core, flow, 5.0 + PLACEMENT_DELAY) is fresh


def test_datagrams_leave_their_first_target_only_when_it_is_loaded(snapshot):
    """A datagram flow is found again although both hosts with its binding are lost.

    Every host would place it on its first-ranked target. With few flows on a host, a
    bound relative to the mean alone would make each flow an exception.
    """
    core = driver.make_core(snapshot)
    flow = driver.flow_to(protocol=17)
    first, second, *_ = rank_targets(flow, account_of(core).targets)
    first.flows = 1
    assert choose(core, flow) is first
    first.flows = 20
    assert choose(core, flow) is second


def test_joining_host_waits_with_the_newest_targets(snapshot):
    """An upload survives the loss of a host that had only just joined.

    A target is added. A host joins and reads the newest configuration at once, while
    the others know of neither. If it placed a flow on that target and died, the next
    owner would probe all targets it knows, get a reset from each, and reset the flow.
    Targets of earlier revisions are known to all hosts.
    """
    old = make_account(targets=7)
    targets = list(make_account(targets=8).targets)
    targets[7] = driver.replace_revision(targets[7], 5)
    grown = Snapshot(5, (driver.with_targets(old, targets),))
    core = driver.make_core(grown)
    *known, fresh = account_of(core).targets
    for row in known:
        row.flows = 10
    flow = driver.flow_to()
    assert choose(core, flow, 0.0) in known
    assert choose(core, flow, PLACEMENT_DELAY) is fresh


def test_targets_that_exchange_addresses_or_accounts_are_not_lost(snapshot):
    """A host that was stalled during two steps of a move applies both at once.

    Two targets exchange tunnel addresses, and one moves to another account. Applying
    the second change must not undo what the first has set.
    """
    first, second = snapshot.accounts
    one, two, *rest = first.targets
    moving = replace(rest.pop(), account_id=second.account_id)
    traded = [replace(one, tunnel=two.tunnel), replace(two, tunnel=one.tunnel)]
    accounts = (
        driver.with_targets(second, [*second.targets, moving]),
        driver.with_targets(first, [*traded, *rest]),
    )
    core = driver.make_core(snapshot)
    core.receive(SnapshotRead(Snapshot(3, accounts)), 1.0)
    tables = core.tables
    assert tables.targets_by_ip[one.tunnel.ip] == two.target_id
    assert tables.targets_by_ip[two.tunnel.ip] == one.target_id
    row = tables.targets[moving.target_id]
    assert row.account is tables.accounts[second.account_id]
    assert row in row.account.targets
    assert row not in tables.accounts[first.account_id].targets
