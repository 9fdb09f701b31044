"""Limits: shares of owners, usage caps between them, rates and bounded tables."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from citronspring.entities import AccountLimits, Snapshot
from citronspring.load_rows import GcraLimiter
from citronspring.messages import RefusalReason, Refuse, SendToTarget
from citronspring.systems import limits
from citronspring.systems.flow_search import MAX_SEARCHES
from tests.conftest import make_account
from tests.test_systems import driver

HOSTS = 4


def snapshot_with(targets=2, per_target=2000, **account_limits):
    account = make_account(targets=targets)
    sized = tuple(
        replace(target, max_connections=per_target) for target in account.targets
    )
    configured = AccountLimits(**account_limits)
    first = replace(account, targets=sized, limits=configured)
    return Snapshot(1, (first, make_account("inzendloket", 3, "192.0.2.2")))


def make_cores(snapshot, hosts=HOSTS):
    return [driver.make_core(snapshot, hosts, index) for index in range(hosts)]


def open_owned(core, count, now=0.0, address="192.0.2.1"):
    """Open owned flows until one is refused; return their number and the refusal."""
    opened, port = 0, 1024
    while opened < count:
        flow = driver.flow_to(address, port)
        port += 1
        if core.tables.owners.owner_and_backup(flow)[0] != core.tables.host_id:
            continue
        [action] = core.receive(driver.syn(flow), now)
        if isinstance(action, Refuse):
            return opened, action
        opened += 1
    return opened, None


@given(st.integers(0, 10**6), st.integers(1, 64), st.integers(0, 2**64))
def test_shares_add_up_to_the_whole(whole, members, seed):
    shares = [
        limits.integer_share(whole, members, seed + index) for index in range(members)
    ]
    assert sum(shares) == whole
    assert max(shares) - min(shares) <= 1


@given(
    st.floats(0.0, 1e7),
    st.floats(0.01, 1e5),
    st.floats(1.0, 5.0),
    st.lists(st.floats(0.0, 1.0), min_size=1, max_size=60),
)
def test_retry_at_the_given_time_is_admitted(now, rate, burst, gaps):
    """A refused caller that retries at the given time is admitted.

    Openings come at any rate. Whenever one is refused, ``retry_at`` is in the future,
    and an opening at exactly that time is admitted: rounding must not refuse it again.
    """
    limit = GcraLimiter()
    for gap in gaps:
        now += gap / rate
        if not limit.admit(now, rate, burst):
            retry_at = limit.retry_at(rate, burst)
            assert retry_at > now
            now = retry_at
            assert limit.admit(now, rate, burst)


def test_rate_refusal_is_immediate_and_leaves_nothing():
    """A caller above the account's rate is refused in the answer to its SYN.

    One of two owners admits its half of the rate, as a burst, then refuses with the
    time of the next free slot. It keeps neither packet nor row of a refused opening,
    which is admitted at ``retry_at``.
    """
    core = driver.make_core(snapshot_with(new_per_second=20.0), hosts=2)
    opened, refusal = open_owned(core, 100, now=5.0)
    assert opened == 11
    assert refusal.reason is RefusalReason.ACCOUNT_RATE
    assert refusal.packet.flow not in core.tables.openings
    assert refusal.packet.flow not in core.tables.flows.rows
    again = driver.syn(refusal.packet.flow)
    [early] = core.receive(again, refusal.retry_at - 0.01)
    assert isinstance(early, Refuse)
    [later] = core.receive(again, refusal.retry_at)
    assert not isinstance(later, Refuse)


def test_owners_together_keep_the_limits_without_asking():
    """No target exceeds its connection limit, though no owner knows the others' flows.

    Four hosts receive nothing from each other and each opens as many flows as it may.
    Their shares add up to the limit of the targets, and then to that of the account.
    """
    cores = make_cores(snapshot_with(targets=2, per_target=11))
    opened = [open_owned(core, 100) for core in cores]
    assert sum(count for count, _ in opened) == 22
    assert {refusal.reason for _, refusal in opened} == {RefusalReason.TARGETS_FULL}
    cores = make_cores(snapshot_with(max_connections=10))
    opened = [open_owned(core, 100) for core in cores]
    assert sum(count for count, _ in opened) == 10
    reasons = {refusal.reason for _, refusal in opened}
    assert reasons == {RefusalReason.ACCOUNT_CONNECTIONS}


def test_reported_flows_reduce_the_room():
    core = driver.make_core(snapshot_with(targets=1, per_target=40), hosts=2)
    core.tables.targets["bundelpers-0"].remote_flows = 35
    opened, refusal = open_owned(core, 100)
    assert opened == 5
    assert refusal.reason is RefusalReason.TARGETS_FULL


def test_owner_under_contention_borrows_unused_quota():
    cores = make_cores(snapshot_with(max_connections=80))
    rows = [core.tables.accounts["bundelpers"] for core in cores]
    for core, row in zip(cores[1:], rows[1:], strict=True):
        cap = limits.next_usage_cap(core.tables, row, 0.0)
        limits.record_peer_usage(
            cores[0].tables, rows[0], core.tables.host_id, cap, 0.0
        )
    opened, _ = open_owned(cores[0], 100, now=1.0)
    assert opened == 20 + 3 * 10 // 3
    assert open_owned(cores[1], 100, now=1.0)[0] == 10


@pytest.mark.parametrize("seed", range(10))
def test_usage_caps_never_let_owners_exceed_the_limit_together(seed):
    """The open flows of an account never exceed its limit, whoever borrows.

    Four owners want many flows or few in turn, and announce usage caps to single peers.
    The caps arrive late, out of order, or at one peer and not at another. One owner
    borrows while another grows: each cap is kept for longer than any peer relies on it,
    and what was lent is taken back only once it is returned.
    """
    rng = random.Random(seed)
    cores = make_cores(snapshot_with(max_connections=40))
    rows = [core.tables.accounts["bundelpers"] for core in cores]
    wanted = [0] * HOSTS
    now, in_transit, most, rush = 0.0, [], 0, False
    for _ in range(1500):
        now += rng.uniform(0.0, 2.0)
        for due in [item for item in in_transit if item[0] <= now]:
            in_transit.remove(due)
            _, announcer, receiver, cap = due
            name = cores[announcer].tables.host_id
            limits.record_peer_usage(
                cores[receiver].tables, rows[receiver], name, cap, now
            )
        host, peer = rng.sample(range(HOSTS), 2)
        core, row = cores[host], rows[host]
        if rng.random() < 0.02:
            rush = not rush
        if rng.random() < 0.3:
            wanted[host] = 40 if rush else rng.choice([0, 2, 4, 6, 40])
        row.open_flows = min(row.open_flows, wanted[host])
        while row.open_flows < wanted[host]:
            if limits.admit(core.tables, row, now) is not None:
                break
            row.open_flows += 1
        cap = limits.next_usage_cap(core.tables, row, now)
        in_transit.append(
            (now + rng.uniform(0.0, limits.MAX_MESSAGE_AGE), host, peer, cap)
        )
        most = max(most, row.open_flows)
        assert sum(row.open_flows for row in rows) <= 40
    assert most > 10


def test_usage_cap_is_not_raised_while_a_peer_may_rely_on_it():
    """A peer that missed a higher cap would still use what is taken back.

    An owner announces a cap of 5 of its 10 flows, then opens 3. It announces the same
    cap again; with 4 flows it reports contention, and is still held to the 5.
    """
    core = make_cores(snapshot_with(max_connections=40))[0]
    row = core.tables.accounts["bundelpers"]
    caps = []
    for row.open_flows in (0, 3, 4):
        caps.append(limits.next_usage_cap(core.tables, row, 1.0))
    assert caps == [5, 5, 10]
    assert limits.connection_allowance(core.tables, row, 2.0) == 5


def test_flood_of_one_account_leaves_rows_for_the_next():
    """A flow of one account opens while a flood of another fills the flow table.

    The first account opens flows until it is refused for lack of rows. A third of the
    table is still free then, and the second account gets two ninths of it. Without the
    limit per account the flood would take every row for an hour.
    """
    core = driver.make_core(snapshot_with(per_target=10**6))
    core.tables.max_flows = 900
    flooded, refusal = open_owned(core, 1000)
    assert flooded == 600
    assert refusal.reason is RefusalReason.TABLE_FULL
    assert open_owned(core, 1000, address="192.0.2.2")[0] == 200
    assert len(core.tables.flows.rows) < 900


def test_flood_of_unknown_flows_leaves_searches_for_the_next():
    """A flow is found after the loss of a host, during a flood of stray data.

    A caller of another account sends data of unknown flows; each starts a search. The
    flood gets two thirds of the searches, and that for the flow starts at once.
    """
    core = driver.make_core(snapshot_with())
    for number in range(MAX_SEARCHES):
        flow = driver.flow_to(port=number % 60_000 + 1)
        core.receive(driver.from_caller(flow, data=b"stray"), 1.0)
    assert len(core.tables.searches) < MAX_SEARCHES
    upload = driver.from_caller(driver.flow_to("192.0.2.2"), data=b"page")
    assert driver.kinds(core.receive(upload, 1.0)) == ["SendToTarget"]


def test_retries_stop_with_the_budget():
    """Callers are refused at once when most targets refuse and no retries are left.

    Every opening is answered by a reset, so every one needs retries. Once the account's
    budget is spent, the next caller is refused with the first reset, and targets get no
    more than the openings and the budget.
    """
    core = driver.make_core(snapshot_with(targets=7, retry_ratio=0.1))
    core.tables.accounts["bundelpers"].retry_balance = 3.0
    sent = 0
    for port in range(2000, 2020):
        actions = core.receive(driver.syn(driver.flow_to(port=port)), 0.0)
        while isinstance(actions[0], SendToTarget):
            sent += 1
            event = driver.reset(actions[0].packet.flow, actions[0].target_id)
            actions = core.receive(event, 0.0)
        assert isinstance(actions[0], Refuse)
    assert actions[0].reason is RefusalReason.RETRIES_SPENT
    assert sent <= 20 + 3 + 20 * 0.1
    assert not core.tables.openings


def test_callers_that_never_confirm_hold_no_row_for_long():
    """A SYN flood holds a target's connections for seconds, not for an hour.

    Callers with forged addresses open flows, the target answers, and no confirmation
    comes. The rows are removed soon after the opening time-out, so that the account has
    room again.
    """
    core = driver.make_core(snapshot_with())
    for port in range(3000, 3010):
        flow = driver.flow_to(port=port)
        [sent] = core.receive(driver.syn(flow), 0.0)
        core.receive(driver.syn_ack(flow, sent.target_id), 0.0)
    for now in range(1, 30):
        core.tick(float(now))
    assert not core.tables.flows.rows
    assert core.tables.accounts["bundelpers"].open_flows == 0


@pytest.mark.parametrize("held", [0, 5])
def test_counts_of_account_rows_follow_the_table(held):
    core = driver.make_core(snapshot_with())
    rows, account = core.tables.flows.rows, core.tables.accounts["bundelpers"]
    flows = [driver.flow_to(port=port) for port in range(4000, 4008)]
    for flow in flows:
        driver.open_flow(core, flow)
    for flow in flows[held:]:
        rows[flow] = rows[flow]
        rows.pop(flow)
        rows.pop(flow)
    assert rows.row_counts.get(account, 0) == len(rows) == held
