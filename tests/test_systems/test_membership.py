"""Membership: who serves, as every host sees it, under failure."""

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
def test_killed_host_leaves_every_ring_within_four_seconds(seed):
    """A host loses power; until others own its flows, callers get no answer.

    Somebody pings it, asks again and through others, then suspects it; nobody
    refutes, so that it is held dead by all. Until then it stays in the ring.
    """
    cluster = settled(seed=seed)
    cluster.network.kill_host("host-4")
    took = cluster.run_until(
        lambda: cluster.states_of("host-4") == {HostState.DEAD}, 5.0
    )
    assert took <= 4.0
    rings = {core.tables.owners.members for core in cluster.network.hosts.values()}
    assert all("host-4" not in ring for ring in rings)


@pytest.mark.parametrize("seed", range(3))
def test_no_false_death_at_a_tenth_of_packets_lost(seed):
    """One datagram in ten is lost; held dead for that, a host loses its flows.

    Second chance would have to find each of them. A host is asked several times
    and through others; one that is suspected all the same hears of it and
    refutes, since suspicion is told to it first.
    """
    cluster = settled(seed=seed, loss=0.1)
    cluster.run(60.0)
    assert cluster.counted("membership.died") == 0
    assert cluster.all_alive()


def test_hosts_cut_off_from_each_other_alone_stay_alive():
    """Two zones can't reach each other, and both reach the third.

    By their own pings each would hold the other dead, and the third would hear
    it. Pings through others keep them alive for all.
    """
    cluster = settled()
    first, second, _ = (host.zone for host in cluster.hosts[:3])
    cluster.network.cuts = {frozenset((first, second))}
    cluster.run(30.0)
    assert cluster.counted("membership.died") == 0
    assert cluster.counted("membership.suspected") < 60


def test_suspect_gets_longer_while_much_news_waits(snapshot):
    """A third of a large fleet restarts and news queues up at every host.

    Refutations queue as well. By the usual deadline hosts that serve would be
    held dead, which makes more news: the benchmark's storm never ended so.
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

    Rumours of their deaths travel beside news of their return. All must end up
    with every host in the ring, and none of the others held dead meanwhile.
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
    """News of many hosts waits, and a ping is to be answered in time."""
    assert priority_of(Ping(1, 1)) < priority_of(Gossip(1))
    assert priority_of(Ack(1, 1)) < priority_of(Gossip(1))
    assert priority_of(Records(())) < priority_of(Gossip(1))


def test_suspected_host_refutes_under_a_new_incarnation():
    """A rumour says that a serving host is suspect.

    If it could not answer, any slip would end in its death. It hears the rumour
    on a ping, raises its incarnation, and the rumour loses everywhere.
    """
    cluster = settled()
    rumour = HostUpdate("host-5", HostState.SUSPECT, 1)
    event = ControlReceived("host-1", Ping(1, 1, (rumour,)))
    cluster.network.give("host-2", event)
    assert cluster.core("host-2").tables.hosts["host-5"].state is HostState.SUSPECT
    assert "host-5" in cluster.core("host-2").tables.owners.members
    cluster.run(1.4)
    assert cluster.states_of("host-5") == {HostState.ALIVE}
    assert cluster.core("host-5").tables.me.incarnation == 2
    assert cluster.counted("membership.died") == 0


def test_whoever_talks_to_a_host_tells_what_is_said_of_it(snapshot):
    """A host held dead for long comes back, with its clock behind.

    Rumours have died down by then. If pings and answers did not tell it, it
    would never learn that it has to refute.
    """
    core = driver.make_core(snapshot, hosts=2)
    row = core.tables.hosts["host-1"]
    row.state, row.forget_at = HostState.DEAD, 900.0
    rumour = HostUpdate("host-1", HostState.DEAD, 0)
    [ack] = core.receive(ControlReceived("host-1", Ping(1, 1)), 0.0)
    assert rumour in ack.message.updates
    pings = pings_of(core, [0.0, 0.6, 1.2])
    assert pings
    assert all(rumour in ping.updates for ping in pings)


def pings_of(core, times):
    actions = [item for now in times for item in core.tick(now)]
    sent = [item.message for item in actions if isinstance(item, SendControl)]
    return [message for message in sent if isinstance(message, Ping)]


def test_suspect_is_asked_on_until_it_refutes(snapshot):
    """An answer comes after the suspicion, to a ping from before it.

    The host does not know yet that it is suspected. Were it asked no more, it
    would be held dead though it answers.
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
    """A host can answer only to sockets it knows; settings name a few hosts."""
    core = driver.make_core(snapshot, hosts=2)
    me = HostUpdate("host-0", HostState.ALIVE, 0, make_host(0))
    [first, *_] = pings_of(core, [0.0, 0.6])
    assert me in first.updates
    core.receive(ControlReceived("host-1", Ack(first.sequence, 1)), 0.6)
    [second, *_] = pings_of(core, [1.2])
    assert me not in second.updates


def test_members_on_a_ping_are_learnt_and_are_no_news(snapshot):
    """A host that missed the news of another learns it in the end.

    To tell of it again would make a fleet that restarts fill its budget.
    """
    core = driver.make_core(snapshot, hosts=2)
    member = HostUpdate("host-7", HostState.ALIVE, 3, make_host(7))
    core.receive(ControlReceived("host-1", Ping(1, 1, (), (member,))), 0.0)
    assert core.tables.hosts["host-7"].host == make_host(7)
    assert not core.tables.membership.updates


def test_restarted_host_outranks_the_rumour_of_its_death():
    """A host dies, is held dead, and starts again under the same name.

    Rumours of its death still travel; if they counted it would never own a flow
    again. Its boot time is its incarnation, and so outranks them.
    """
    cluster = settled()
    cluster.network.kill_host("host-6")
    cluster.run_until(lambda: cluster.states_of("host-6") == {HostState.DEAD}, 5.0)
    cluster.start("host-6", 1000)
    assert cluster.run_until(cluster.all_alive, 4.0) <= 4.0
    rumour = HostUpdate("host-6", HostState.DEAD, 1)
    cluster.network.give("host-2", ControlReceived("host-1", Ping(1, 1, (rumour,))))
    assert cluster.core("host-2").tables.hosts["host-6"].state is HostState.ALIVE


def test_host_restarted_with_its_clock_behind_still_gets_back_in():
    """A host starts again and its clock is behind that of its last run.

    Its incarnation is then lower than what the others hold of it. Whoever it
    pings tells it so, and it goes one higher.
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
    """One zone is cut off from the others and from the platform, for a minute.

    Its hosts and the others hold each other dead and serve what they reach. A
    change is committed meanwhile. Once the cut ends, the pings that still go to
    the dead find them; each learns what is said of it and refutes, and the
    revision on the pings brings the change across.
    """
    cluster = settled(seed=seed, loss=0.02)
    zone = cluster.hosts[0].zone
    inside = {host.host_id for host in cluster.hosts if host.zone == zone}
    others = {host.zone for host in cluster.hosts} - {zone}
    cluster.network.cuts = {frozenset((zone, other)) for other in others}
    cluster.run(10.0)
    cluster.commit()
    cluster.read_now("host-1")
    cluster.run(50.0)
    for name, core in cluster.network.hosts.items():
        assert set(core.tables.owners.members) == (
            inside if name in inside else set(cluster.network.hosts) - inside
        )
    cluster.platform_up = False
    cluster.network.cuts = set()
    agreed = lambda: cluster.all_alive() and cluster.agreed()  # noqa: E731
    assert cluster.run_until(agreed, 5.0) <= 4.0


def test_leaving_is_announced_to_all_and_the_host_goes_on():
    """An operator stops a host. Work given to it from now on would be cut.

    It says itself that it leaves, before anything else: nobody gives it new
    flows, while its core goes on to answer and serve what it has.
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


def test_platform_list_kills_nobody_and_lets_the_dead_be_forgotten():
    """The platform's list lags: it misses a live host and names a dead one.

    Taken at its word it would take a serving host out of the ring. It decides
    only how long a host that no longer answers is remembered.
    """
    cluster = settled()
    cluster.network.kill_host("host-8")
    cluster.run_until(lambda: cluster.states_of("host-8") == {HostState.DEAD}, 5.0)
    event = HostListRead(frozenset({"host-0"}), frozenset())
    for name in cluster.network.hosts:
        cluster.network.give(name, event)
    assert cluster.all_alive()
    cluster.run(61.0)
    assert cluster.states_of("host-8") == {None}
    assert cluster.all_alive()


def test_unknown_sender_changes_nothing(snapshot):
    """A host nobody knows sends a ping without saying where it is."""
    core = driver.make_core(snapshot, hosts=2)
    actions = core.receive(ControlReceived("host-7", Ping(1, 9)), 0.0)
    assert actions == []
    assert set(core.tables.hosts) == {"host-0", "host-1"}
    assert core.tables.counters["control.unknown-sender"] == 1
    me = HostUpdate("host-7", HostState.ALIVE, 1, make_host(7))
    core.receive(ControlReceived("host-7", Ping(1, 0, (me,))), 0.0)
    assert core.tables.hosts["host-7"].host == make_host(7)


def test_platform_answer_asked_before_the_freeze_does_not_lower_the_fence(snapshot):
    """A host sleeps while its read of the platform is under way, and wakes.

    The answer waited with the packets and may be older than a change made since.
    Only an answer to a question asked after the jump counts.
    """
    core = driver.make_core(snapshot, hosts=2)
    core.tick(0.0)
    core.receive(RecordsRead((), asked_at=0.2), 10.0)
    core.tick(10.0)
    assert not core.tables.fence.platform_answered
    core.receive(RecordsRead((), asked_at=10.0), 10.1)
    assert core.tables.fence.platform_answered


def test_openings_from_before_the_freeze_are_forgotten(snapshot):
    """A host sleeps while an opening it owns is under way, and wakes after 10 s.

    Another owner has opened the flow meanwhile, on the same target. Refusing the
    caller and resetting the target for the deadline that passed would end it.
    """
    core = driver.make_core(snapshot, hosts=2)
    core.tick(0.0)
    core.receive(driver.syn(driver.owned_flow(core)), 0.1)
    assert core.tables.openings
    actions = core.tick(10.0)
    assert not core.tables.openings
    assert "Refuse" not in driver.kinds(actions)
    assert not any(row.flows for row in core.tables.targets.values())
