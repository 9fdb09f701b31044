"""Replication: an accepted change reaches every host and never reverts."""

from __future__ import annotations

import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from citronspring.balancer import Balancer
from citronspring.control.messages import (
    Ack,
    Records,
    RecordsRequest,
    SnapshotPart,
    SnapshotRequest,
)
from citronspring.entities import Snapshot
from citronspring.messages import (
    ControlReceived,
    RecordsRead,
    SendControl,
    SnapshotRead,
)
from citronspring.systems.replication import pieces_of
from citronspring.systems.snapshot_transfer import cut_into_parts
from tests.conftest import make_account, make_host
from tests.test_systems.cluster import SETTLE, Cluster, settled


def make_records(count):
    cluster = Cluster.of(count=1)
    for targets in range(1, count):
        cluster.commit(targets)
    return cluster.records


def make_core(hosts=2):
    members = [make_host(index) for index in range(hosts)]
    core = Balancer.from_config(members[0], members[1:])
    core.receive(SnapshotRead(Snapshot(1, (make_account(),))), 0.0)
    return core


def deliver(core, message, now=0.0):
    actions = core.receive(ControlReceived("host-1", message), now)
    return [item.message for item in actions if isinstance(item, SendControl)]


@pytest.mark.parametrize("seed", range(3))
def test_change_read_by_one_host_is_applied_on_all_within_four_seconds(seed):
    """An operator changes an account while datagrams are lost and reordered.

    A host that misses the change serves by the old configuration. Records are pushed to
    random hosts; a host that misses one learns of the revision from a ping and requests
    it.
    """
    # So slow that hosts suspect each other, which must not delay changes.
    cluster = Cluster.of(seed=seed, loss=0.1, duplication=0.1, max_delay=0.4)
    cluster.run(SETTLE)
    assert cluster.agreed()
    for targets in (9, 5, 40, 3):
        cluster.commit(targets)
        cluster.read_now(f"host-{targets % 9}")
        cluster.run(0.2)
    assert cluster.run_until(cluster.agreed, 5.0) <= 4.0


def test_change_is_pushed_without_waiting_for_pings():
    """Hundreds of hosts learn of a change only from those that have it.

    With pings alone each doubling of their number would take half a second.
    """
    cluster = settled(count=24)
    cluster.commit()
    cluster.read_now("host-0")
    assert cluster.run_until(cluster.agreed, 3.0) <= 1.0


def test_only_readers_call_the_platform():
    """The platform's request rate grows more slowly than the fleet.

    A host that joins or lags gets what it needs from a peer.
    """
    cluster = settled(count=18)
    cluster.run(30.0)
    late = {name for at, name in cluster.reads if at > SETTLE}
    assert len(late) == 6
    for zone in {host.zone for host in cluster.hosts}:
        assert sum(cluster.network.zones[name] == zone for name in late) == 2


def test_new_host_gets_a_snapshot_from_a_peer_while_the_platform_is_unavailable():
    """The platform is unavailable for an hour and a host is replaced meanwhile.

    If only the platform had the configuration, the new host could serve nobody. It
    transfers a snapshot from a peer, part by part, and requests lost parts again.
    """
    cluster = settled(loss=0.1)
    cluster.commit(300)
    cluster.read_now("host-0")
    cluster.run(4.0)
    cluster.platform_up = False
    cluster.network.kill_host("host-7")
    cluster.run(5.0)
    cluster.start("host-7", 99)
    assert cluster.run_until(cluster.agreed, 6.0) <= 5.0


def test_gap_older_than_the_kept_records_is_filled_by_a_snapshot():
    """A host was partitioned for longer than records are kept.

    Its peer cannot send the records that follow its revision; sending later ones would
    make it skip some. It gets a snapshot instead.
    """
    cluster = settled(count=3)
    cluster.network.freeze("host-2")
    cluster.network.held_deliveries["host-2"] = []
    for _ in range(300):
        cluster.commit()
    cluster.read_now("host-0")
    cluster.run(8.0)
    cluster.platform_up = False
    cluster.network.held_deliveries["host-2"] = []
    cluster.network.unfreeze("host-2")
    cluster.run_until(cluster.agreed, 5.0)


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.integers(0, 10_000), st.booleans())
def test_records_in_any_order_give_the_same_state_and_never_an_older_one(seed, cut):
    """Records arrive in any order, twice, in pieces, some of them late.

    If they were applied in order of arrival, an older record would undo a newer one.
    Each waits until the one before it is applied.
    """
    rng = random.Random(seed)
    records = make_records(8)
    messages = [piece for record in records[1:] for piece in pieces_of(record)]
    if cut:
        whole = Records(tuple(records[1:]))
        messages.append(whole)
    order = messages + rng.sample(messages, len(messages) // 2)
    rng.shuffle(order)
    core = make_core()
    highest = 1
    for message in order:
        deliver(core, message)
        assert core.tables.revision >= highest
        highest = core.tables.revision
    assert core.tables.revision == 8
    assert core.tables.accounts["bundelpers"].account == records[-1].account


def test_record_after_a_gap_waits_and_the_gap_is_requested():
    records = make_records(4)
    core = make_core()
    assert RecordsRequest(1) in deliver(core, Records((records[3],)))
    assert core.tables.revision == 1
    deliver(core, Records(tuple(records[1:3])))
    assert core.tables.revision == 4


def test_old_peer_and_stale_platform_revert_nothing():
    """A peer that was stalled and a stale platform offer an old configuration.

    If it were applied, an accepted change would revert on this host.
    """
    records = make_records(5)
    core = make_core()
    core.receive(RecordsRead(tuple(records[1:])), 0.0)
    before = core.tables.accounts["bundelpers"].account
    core.receive(SnapshotRead(Snapshot(3, (make_account(targets=1),))), 0.0)
    core.receive(RecordsRead(tuple(records[1:3])), 0.0)
    deliver(core, Records(tuple(records[:2])))
    deliver(core, SnapshotPart(2, 0, 2, (make_account(targets=2),)))
    deliver(core, Ack(1, 2))
    assert core.tables.revision == 5
    assert core.tables.accounts["bundelpers"].account == before
    assert core.tables.replication.bulk is None
    assert not core.tables.replication.out_of_order


def test_snapshot_transfer_never_mixes_two_revisions():
    """Parts of two revisions arrive mixed: the peer moved on during the transfer.

    Joined, they would be a configuration that nobody accepted. A part of the newer one
    restarts the transfer; parts of the older one no longer count.
    """
    accounts = [make_account(f"a{index}", 15, f"192.0.2.{index}") for index in range(4)]
    old = cut_into_parts(accounts)
    new = cut_into_parts([make_account(account.account_id, 14) for account in accounts])
    assert len(old) == len(new) == 4
    core = make_core()
    for part in (0, 1):
        deliver(core, SnapshotPart(5, part, 4, old[part]))
    for part in (3, 2):
        deliver(core, SnapshotPart(6, part, 4, new[part]))
        deliver(core, SnapshotPart(5, part, 4, old[part]))
    assert core.tables.revision == 1
    for part in (0, 1):
        deliver(core, SnapshotPart(6, part, 4, new[part]))
    assert core.tables.revision == 6
    assert all(len(row.targets) == 14 for row in core.tables.accounts.values())


def test_lost_snapshot_part_is_requested_again():
    accounts = [make_account(f"a{index}", 15, f"192.0.2.{index}") for index in range(3)]
    parts = cut_into_parts(accounts)
    core = make_core()
    deliver(core, SnapshotPart(5, 0, 3, parts[0]))
    core.tick(0.0)
    deliver(core, SnapshotPart(5, 2, 3, parts[2]), 0.1)
    for now in (0.1, 0.2):
        assert snapshot_requests(core, now) == []
    assert snapshot_requests(core, 0.35) == [SnapshotRequest(5, 1)]


def snapshot_requests(core, now):
    messages = [item.message for item in core.tick(now) if hasattr(item, "message")]
    return [item for item in messages if isinstance(item, SnapshotRequest)]


def test_revision_on_a_ping_is_recorded():
    """A host that is behind must not treat a reset as certain.

    It learns that it is behind only from its peers' messages.
    """
    core = make_core()
    deliver(core, Ack(1, 7))
    assert core.tables.hosts["host-1"].revision == 7
    deliver(core, Ack(2, 3))
    assert core.tables.hosts["host-1"].revision == 7


def test_large_account_goes_in_pieces_that_fit():
    record = make_records(1)[0]
    account = make_account(targets=100)
    pieces = pieces_of(type(record)(2, "c", account.account_id, account))
    targets = itertools.chain.from_iterable(
        piece.records[0].account.targets for piece in pieces
    )
    assert tuple(targets) == account.targets
    assert {piece.parts for piece in pieces} == {6}
