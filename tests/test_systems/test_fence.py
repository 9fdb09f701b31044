"""Fence: a host that was stalled forwards nothing until it is current again."""

from __future__ import annotations

from citronspring.control.messages import Ack, Records
from citronspring.entities import ChangeRecord, HostState
from citronspring.messages import (
    ControlReceived,
    Drop,
    DropReason,
    RecordsRead,
)
from tests.test_systems import driver
from tests.test_systems.cluster import settled


def test_stalled_host_drops_waiting_packets_until_it_is_current():
    """A host is stalled during a change and resumes with packets in its sockets.

    By its old configuration they could reach an address that belongs to another client
    account by now. The host detects the clock jump, drops packets, asks its peers for
    their revision and applies the change first.
    """
    cluster = settled()
    core = cluster.core("host-5")
    cluster.network.freeze("host-5")
    cluster.run(2.0)
    cluster.commit()
    cluster.read_now("host-1")
    cluster.run(8.0)
    drops = []
    cluster.network.observers.append(
        lambda name, action: drops.append(name) if fenced(action) else None
    )
    cluster.network.deliver_or_hold(
        "host-5",
        lambda: cluster.network.deliver_event("host-5", driver.syn(driver.flow_to())),
    )
    cluster.network.unfreeze("host-5")
    assert drops == ["host-5"]
    assert core.tables.flows.rows == {}
    cluster.run_until(lambda: core.tables.fence.until is None, 1.0)
    assert core.tables.revision == 2
    cluster.network.deliver_event("host-5", driver.syn(driver.flow_to()))
    assert drops == ["host-5"]
    cluster.run_until(cluster.all_alive, 4.0)


def fenced(action):
    return isinstance(action, Drop) and action.reason is DropReason.FENCED


def test_stalled_host_that_reaches_nobody_serves_again_by_a_deadline(snapshot):
    """A host resumes without a connection to its peers and the platform.

    Waiting for an answer without limit would end its service. After a deadline it
    serves what it can, as a partitioned zone does.
    """
    core = driver.make_core(snapshot)
    core.tick(0.0)
    core.tick(10.0)
    assert fenced(core.receive(driver.syn(driver.flow_to()), 10.1)[0])
    for step in range(1, 20):
        core.tick(10.0 + 0.1 * step)
    assert core.tables.fence.until is not None
    core.tick(12.0)
    assert driver.sent_to(core.receive(driver.syn(driver.flow_to()), 12.1))


def test_resumed_host_restarts_suspicions_after_a_stall(snapshot):
    """A host suspects another, stalls, and resumes after the deadline.

    It received nothing during the stall, so the missing answers prove nothing. If it
    declared the other host dead, it would take over that host's flows.
    """
    core = driver.make_core(snapshot, hosts=2)
    core.tables.membership.join = None
    for step in range(27):
        core.tick(0.05 * step)
    assert core.tables.hosts["host-1"].state is HostState.SUSPECT
    core.tick(30.0)
    assert core.tables.hosts["host-1"].state is HostState.SUSPECT


def test_fence_stays_until_the_missing_change_is_applied(snapshot):
    """A peer reports to a resumed host that it misses a change.

    It is not enough to know of the change: packets that waited would still be forwarded
    by the old configuration.
    """
    core = driver.make_core(snapshot, hosts=2)
    core.tick(0.0)
    core.tick(10.0)
    asked = min(core.tables.fence.sequences)
    core.receive(ControlReceived("host-1", Ack(asked, 2)), 10.1)
    assert core.tables.fence.until is not None
    record = ChangeRecord(2, "c", "inzendloket", None)
    core.receive(ControlReceived("host-1", Records((record,))), 10.2)
    assert core.tables.fence.until is None


def test_answer_from_before_the_stall_does_not_lower_the_fence(snapshot):
    """An answer waited in the socket during the stall.

    It gives the revision of a time before the stall. If it lowered the fence, the
    packets that waited beside it would be forwarded.
    """
    core = driver.make_core(snapshot, hosts=2)
    core.tick(0.0)
    core.tables.membership.sequence = 7
    core.receive(ControlReceived("host-1", Ack(7, 1)), 10.0)
    assert core.tables.fence.until is not None
    behind, current = sorted(core.tables.fence.sequences)[0], 1
    core.receive(ControlReceived("host-1", Ack(behind, 0)), 10.1)
    assert core.tables.fence.until is not None
    core.receive(ControlReceived("host-1", Ack(behind, current)), 10.1)
    assert core.tables.fence.until is None


def test_platform_lowers_the_fence_only_when_no_peer_answers(snapshot):
    """A resumed host reads the platform, whose answer may be stale.

    Its peers are more current; the platform's answer counts only when no peer answers.
    """
    core = driver.make_core(snapshot, hosts=2)
    core.tick(0.0)
    core.tick(10.0)
    core.receive(RecordsRead(()), 10.05)
    core.tick(10.4)
    assert core.tables.fence.until is not None
    for step in range(5, 11):
        core.tick(10.0 + step / 10)
    assert core.tables.fence.until is None
