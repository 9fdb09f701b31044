"""Membership: which hosts serve, in the view of every host, under failure."""

from __future__ import annotations

import pytest

from citronspring.control.budget import priority_of
from citronspring.control.messages import Ack, Gossip, HostUpdate, Ping, Records
from citronspring.entities import HostState
from citronspring.messages import (
    ControlReceived,
    HostListRead,
    LeaveRequested,
    RecordsRead,
    SendControl,
)
from citronspring.systems.dissemination import (
    SUSPICION_TIMEOUT,
    UPDATE_BACKLOG,
    queue_update,
    set_state,
)
from tests.conftest import make_host
from tests.test_systems import driver
from tests.test_systems.cluster import settled


def test_hosts_that_know_three_seeds_learn_all_the_others():
    settled(count=24)


@pytest.mark.parametrize("seed", range(5))
def test_killed_host_leaves_every_owner_table_within_four_seconds(seed):
    """A host loses power; its callers get no answer until others own its flows.

    Another host pings it, retries, also through others, then suspects it. As nobody
    refutes, all hosts declare it dead. Until then it stays in the owner table.
    """
    cluster = settled(seed=seed)
    cluster.network.kill_host("host-4")
    took = cluster.run_until(
        lambda: cluster.states_of("host-4") == {HostState.DEAD}, 5.0
    )
    assert took <= 4.0
    views = {core.tables.owners.members for core in cluster.network.hosts.values()}
    assert all("host-4" not in view for view in views)


@pytest.mark.parametrize("seed", range(3))
def test_no_host_is_declared_dead_with_a_tenth_of_packets_lost(seed):
    """One datagram in ten is lost, and no host is declared dead because of it.

    Each of its flows would have to be searched for. A host is pinged several times,
    also through others. If it is suspected nevertheless, it is notified first and
    refutes.
    """
    cluster = settled(seed=seed, loss=0.1)
    cluster.run(60.0)
    assert cluster.counted("membership.died") == 0
    assert cluster.all_alive()


def test_hosts_that_reach_each_other_only_indirectly_stay_alive():
    """Two zones cannot reach each other, but both reach the third.

    By direct pings alone each would declare the other dead, and the third would receive
    both updates. Indirect pings keep them alive for all.
    """
    cluster = settled()
    first, second, _ = (host.zone for host in cluster.hosts[:3])
    cluster.network.partitions = {frozenset((first, second))}
    cluster.run(30.0)
    assert cluster.counted("membership.died") == 0
    assert cluster.counted("membership.suspected") < 60


def test_suspect_gets_longer_while_many_updates_wait(snapshot):
    """A third of a large fleet restarts and updates queue up at every host.

    Refutations are queued as well. With the usual time-out, hosts that serve would be
    declared dead, which causes more updates: in the benchmark this never ended.
    """
    core = driver.make_core(snapshot, hosts=2)
    row = core.tables.hosts["host-1"]
    set_state(core.tables, row, HostState.SUSPECT, 10.0)
    assert row.suspect_until == 10.0 + SUSPICION_TIMEOUT
    for index in range(2 * UPDATE_BACKLOG):
        queue_update(core.tables, HostUpdate(f"host-{index}", HostState.ALIVE, 5))
    set_state(core.tables, row, HostState.SUSPECT, 10.0)
    assert row.suspect_until == 10.0 + 2 * SUSPICION_TIMEOUT


def test_third_of_the_fleet_restarts_and_all_agree_again():
    """Eight of 24 hosts are replaced within four seconds.

    Updates about their deaths and about their return are forwarded at the same time. In
    the end every host must be an owner, and no other host may be declared dead
    meanwhile.
    """
    cluster = settled(count=24, loss=0.05)
    for step in range(140):
        index = 4 + step // 5
        if step % 5 == 0 and index < 12:
            cluster.network.kill_host(f"host-{index}")
            cluster.network.after(
                0.5, lambda index=index: cluster.start(f"host-{index}", 1000)
            )
        cluster.run(0.1)
        for kept in (0, 3, 12, 23):
            assert HostState.DEAD not in cluster.states_of(f"host-{kept}")
    assert cluster.all_alive()
    assert cluster.agreed()


def test_pings_go_first_when_the_budget_is_short():
    """Updates about many hosts are queued while a ping must be answered in time."""
    assert priority_of(Ping(1, 1)) < priority_of(Gossip(1))
    assert priority_of(Ack(1, 1)) < priority_of(Gossip(1))
    assert priority_of(Records(())) < priority_of(Gossip(1))


def test_suspected_host_refutes_under_a_new_incarnation():
    """An update declares a serving host suspect.

    If the host could not refute, any false suspicion would end in its death. It
    receives the update on a ping and raises its incarnation, which supersedes the
    update everywhere.
    """
    cluster = settled()
    update = HostUpdate("host-5", HostState.SUSPECT, 1)
    event = ControlReceived("host-1", Ping(1, 1, (update,)))
    cluster.network.deliver_event("host-2", event)
    assert cluster.core("host-2").tables.hosts["host-5"].state is HostState.SUSPECT
    assert "host-5" in cluster.core("host-2").tables.owners.members
    cluster.run(1.4)
    assert cluster.states_of("host-5") == {HostState.ALIVE}
    assert cluster.core("host-5").tables.me.incarnation == 2
    assert cluster.counted("membership.died") == 0


def test_pings_and_answers_include_the_state_of_their_receiver(snapshot):
    """A host that was declared dead long ago restarts with its clock behind.

    The update about its death is no longer forwarded. If pings and answers did not
    include it, the host would never learn that it has to refute.
    """
    core = driver.make_core(snapshot, hosts=2)
    row = core.tables.hosts["host-1"]
    row.state, row.forget_at = HostState.DEAD, 900.0
    update = HostUpdate("host-1", HostState.DEAD, 0)
    [ack] = core.receive(ControlReceived("host-1", Ping(1, 1)), 0.0)
    assert update in ack.message.updates
    pings = pings_of(core, [0.0, 0.6, 1.2])
    assert pings
    assert all(update in ping.updates for ping in pings)


def pings_of(core, times):
    actions = [item for now in times for item in core.tick(now)]
    sent = [item.message for item in actions if isinstance(item, SendControl)]
    return [message for message in sent if isinstance(message, Ping)]


def test_suspect_is_pinged_until_it_refutes(snapshot):
    """An answer arrives after the suspicion, to a ping from before it.

    The host does not know yet that it is suspected. If it were not pinged any more, it
    would be declared dead though it answers.
    """
    core = driver.make_core(snapshot, hosts=2)
    core.tables.membership.join = None
    pings = pings_of(core, [0.05 * step for step in range(27)])
    assert core.tables.hosts["host-1"].state is HostState.SUSPECT
    asked = pings[0].sequence
    core.receive(ControlReceived("host-1", Ack(asked, 1)), 1.35)
    assert asked in [ping.sequence for ping in pings_of(core, [1.7, 1.75, 1.8])]
    refuted = HostUpdate("host-1", HostState.ALIVE, 1)
    core.receive(ControlReceived("host-1", Ack(asked, 1, (refuted,))), 1.85)
    assert asked not in [ping.sequence for ping in pings_of(core, [2.3, 2.4, 2.5])]


def test_ping_introduces_its_sender_until_it_is_answered(snapshot):
    """A host can answer only to known addresses; the settings name only a few hosts."""
    core = driver.make_core(snapshot, hosts=2)
    me = HostUpdate("host-0", HostState.ALIVE, 0, make_host(0))
    [first, *_] = pings_of(core, [0.0, 0.6])
    assert me in first.updates
    core.receive(ControlReceived("host-1", Ack(first.sequence, 1)), 0.6)
    [second, *_] = pings_of(core, [1.2])
    assert me not in second.updates


def test_members_on_a_ping_are_added_and_not_forwarded(snapshot):
    """A host that missed the update about another learns of it eventually.

    If it forwarded the update again, a restarting fleet would use up its budget.
    """
    core = driver.make_core(snapshot, hosts=2)
    member = HostUpdate("host-7", HostState.ALIVE, 3, make_host(7))
    core.receive(ControlReceived("host-1", Ping(1, 1, (), (member,))), 0.0)
    assert core.tables.hosts["host-7"].host == make_host(7)
    assert not core.tables.membership.updates


def test_restarted_host_supersedes_the_update_of_its_death():
    """A host dies, is declared dead, and starts again under the same name.

    Updates about its death are still forwarded; if they applied, it would never own a
    flow again. Its incarnation is its boot time, and therefore supersedes them.
    """
    cluster = settled()
    cluster.network.kill_host("host-6")
    cluster.run_until(lambda: cluster.states_of("host-6") == {HostState.DEAD}, 5.0)
    cluster.start("host-6", 1000)
    assert cluster.run_until(cluster.all_alive, 4.0) <= 4.0
    update = HostUpdate("host-6", HostState.DEAD, 1)
    cluster.network.deliver_event(
        "host-2", ControlReceived("host-1", Ping(1, 1, (update,)))
    )
    assert cluster.core("host-2").tables.hosts["host-6"].state is HostState.ALIVE


def test_host_restarted_with_its_clock_behind_rejoins():
    """A host starts again with its clock behind that of its last run.

    Its incarnation is then lower than the one known to the others. The hosts it pings
    send it that one, and it raises its own above it.
    """
    cluster = settled()
    cluster.core("host-6").tables.me.incarnation = 5000
    cluster.network.kill_host("host-6")
    for core in cluster.network.hosts.values():
        core.tables.hosts["host-6"].incarnation = 5000
    cluster.run_until(lambda: cluster.states_of("host-6") == {HostState.DEAD}, 5.0)
    cluster.start("host-6", 2)
    cluster.run_until(cluster.all_alive, 4.0)
    assert cluster.core("host-6").tables.me.incarnation == 5001


@pytest.mark.parametrize("seed", range(3))
def test_healed_partition_agrees_within_four_seconds(seed):
    """One zone is partitioned from the others and from the platform for a minute.

    The two sides declare each other dead and serve what they reach. A change is
    committed in the meantime. After the partition, the pings that are still sent to
    dead hosts reach them. Each host learns of the update about it and refutes, and the
    revision on the pings makes the zone request the change.
    """
    cluster = settled(seed=seed, loss=0.02)
    zone = cluster.hosts[0].zone
    inside = {host.host_id for host in cluster.hosts if host.zone == zone}
    others = {host.zone for host in cluster.hosts} - {zone}
    cluster.network.partitions = {frozenset((zone, other)) for other in others}
    cluster.run(10.0)
    cluster.commit()
    cluster.read_now("host-1")
    cluster.run(50.0)
    for name, core in cluster.network.hosts.items():
        assert set(core.tables.owners.members) == (
            inside if name in inside else set(cluster.network.hosts) - inside
        )
    cluster.platform_up = False
    cluster.network.partitions = set()
    agreed = lambda: cluster.all_alive() and cluster.agreed()  # noqa: E731
    assert cluster.run_until(agreed, 5.0) <= 4.0


def test_leaving_is_announced_to_all_and_the_host_keeps_serving():
    """An operator stops a host. Flows placed there from now on would break.

    The host announces that it leaves before anything else: it gets no new flows, while
    its core continues to answer and to serve existing flows.
    """
    cluster = settled(loss=0.1)
    core = cluster.core("host-3")
    core.receive(LeaveRequested(cluster.network.now + 30.0), cluster.network.now)
    took = cluster.run_until(
        lambda: cluster.states_of("host-3") == {HostState.LEAVING}, 3.0
    )
    assert took <= 1.0
    cluster.run(10.0)
    assert cluster.states_of("host-3") == {HostState.LEAVING}
    for other in cluster.network.hosts.values():
        assert "host-3" not in other.tables.owners.members
    cluster.network.kill_host("host-3")
    cluster.run_until(lambda: cluster.states_of("host-3") == {HostState.DEAD}, 6.0)


def test_platform_list_declares_nobody_dead_and_shortens_retention():
    """The platform's list is outdated: it misses a live host and names a dead one.

    If it decided, a serving host would lose its flows. It only determines how long a
    host that no longer answers is kept.
    """
    cluster = settled()
    cluster.network.kill_host("host-8")
    cluster.run_until(lambda: cluster.states_of("host-8") == {HostState.DEAD}, 5.0)
    event = HostListRead(frozenset({"host-0"}), frozenset())
    for name in cluster.network.hosts:
        cluster.network.deliver_event(name, event)
    assert cluster.all_alive()
    cluster.run(61.0)
    assert cluster.states_of("host-8") == {None}
    assert cluster.all_alive()


def test_unknown_sender_changes_nothing(snapshot):
    """An unknown host sends a ping without its addresses."""
    core = driver.make_core(snapshot, hosts=2)
    actions = core.receive(ControlReceived("host-7", Ping(1, 9)), 0.0)
    assert actions == []
    assert set(core.tables.hosts) == {"host-0", "host-1"}
    assert core.tables.counters["control.unknown-sender"] == 1
    me = HostUpdate("host-7", HostState.ALIVE, 1, make_host(7))
    core.receive(ControlReceived("host-7", Ping(1, 0, (me,))), 0.0)
    assert core.tables.hosts["host-7"].host == make_host(7)


def test_platform_read_from_before_the_stall_does_not_lower_the_fence(snapshot):
    """A host stalls while it waits for a read of the platform, and resumes.

    The answer waited with the packets and may be older than a change made since. Only
    an answer to a read started after the jump counts.
    """
    core = driver.make_core(snapshot, hosts=2)
    core.tick(0.0)
    core.receive(RecordsRead((), asked_at=0.2), 10.0)
    core.tick(10.0)
    assert not core.tables.fence.platform_answered
    core.receive(RecordsRead((), asked_at=10.0), 10.1)
    assert core.tables.fence.platform_answered


def test_openings_from_before_the_stall_are_dropped(snapshot):
    """A host stalls while an opening that it owns is pending, and resumes after 10 s.

    Another owner has opened the flow meanwhile, on the same target. Refusing the caller
    and resetting the target because of the missed deadline would end that flow.
    """
    core = driver.make_core(snapshot, hosts=2)
    core.tick(0.0)
    core.receive(driver.syn(driver.owned_flow(core)), 0.1)
    assert core.tables.openings
    actions = core.tick(10.0)
    assert not core.tables.openings
    assert "Refuse" not in driver.kinds(actions)
    assert not any(row.flows for row in core.tables.targets.values())
