"""Membership: pinging other hosts, suspecting, joining; each host at equal cost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.control.messages import (
    Ack,
    Members,
    MembersRequest,
    Ping,
    PingRequest,
)
from citronspring.control.tables import IndirectPingRow, JoinRow, ProbeRow, sample
from citronspring.entities import HostState
from citronspring.messages import SendControl
from citronspring.systems.dissemination import (
    ANSWER_WEIGHT,
    GOSSIP_INTERVAL,
    PRESENT_STATES,
    apply_updates,
    gossip,
    next_updates,
    own_update,
    present_hosts,
    queue_update,
    set_state,
    suspicion_timeout,
    update_of,
)

if TYPE_CHECKING:
    from citronspring.control.messages import HostUpdate
    from citronspring.messages import Action, HostListRead
    from citronspring.tables import HostRow, Tables

#: Seconds between two pings to hosts in turn.
PROTOCOL_PERIOD = 0.5

#: Seconds between two tries to reach a host that does not answer.
RETRY_INTERVAL = 0.2

#: Seconds between two tries to have a suspect refute.
SUSPECT_INTERVAL = 0.5

#: Seconds without any answer after which a host is suspected.
PROBE_TIMEOUT = 0.65

#: Hosts asked to ping one that does not answer.
INDIRECT_PROBES = 3

#: Members in one message.
MEMBERS_PER_PART = 10

#: Times that a starting host copies the list while each copy brings members.
MAX_LIST_COPIES = 3

#: Seconds after which it copies it for the last time.
FINAL_COPY_DELAY = 2.0

#: Seconds a peer has to send its list of members.
JOIN_RETRY = 0.5

#: Seconds after which a dead host that the platform does not list is forgotten.
UNLISTED_HOST_RETENTION = 60.0

#: Indirect pings under way for others; more are not taken on.
MAX_FORWARDS = 256


# On time -----------------------------------------------------------------------


def run_membership(tables: Tables, now: float, actions: list[Action]) -> None:
    """Ping, suspect and gossip what is due."""
    membership = tables.membership
    if membership.started_at is None:
        membership.started_at = now
    retry_probes(tables, now, actions)
    copy_members(tables, now, actions)
    if now >= membership.next_period_at:
        start_period(tables, now, actions)
    if now >= membership.next_gossip_at:
        membership.next_gossip_at = now + GOSSIP_INTERVAL
        expire_hosts(tables, now)
        expire_forwards(tables, now)
        gossip(tables, actions)


def start_period(tables: Tables, now: float, actions: list[Action]) -> None:
    """Ping the next host in turn, and one that is held dead."""
    membership = tables.membership
    if membership.next_period_at == 0.0:
        # Hosts started together must not ping in step.
        membership.next_period_at = now + membership.rng.random() * PROTOCOL_PERIOD
        return
    membership.next_period_at = now + PROTOCOL_PERIOD
    host_id = next_in_turn(tables)
    if host_id is not None:
        sequence = membership.next_sequence()
        probe = ProbeRow(host_id, now + RETRY_INTERVAL, now + PROBE_TIMEOUT)
        membership.probes[sequence] = probe
        send_ping(tables, host_id, sequence, actions, sample_member(tables))
    ping_dead(tables, actions)


def next_in_turn(tables: Tables) -> str | None:
    """Return the next host of a round in random order."""
    order = tables.membership.order
    while True:
        if not order:
            present = present_hosts(tables)
            order.extend(sample(tables.membership.rng, present, len(present)))
        if not order:
            return None
        row = tables.hosts.get(order.pop())
        if row is not None and row.state in PRESENT_STATES:
            return row.host.host_id


def ping_dead(tables: Tables, actions: list[Action]) -> None:
    """Ping one host that is held dead.

    After a partition each side holds the other dead and would never ask again;
    a host that answers learns what is said of it, and refutes.
    """
    dead = [key for key, row in tables.hosts.items() if row.state is HostState.DEAD]
    for host_id in sample(tables.membership.rng, dead, 1):
        sequence = tables.membership.next_sequence()
        send_ping(tables, host_id, sequence, actions)


def sample_member(tables: Tables) -> tuple[HostUpdate, ...]:
    """Return one random member, so that all lists grow alike in the end."""
    chosen = sample(tables.membership.rng, list(tables.hosts.values()), 1)
    return tuple(update_of(row, with_host=True) for row in chosen)


def send_ping(
    tables: Tables,
    host_id: str,
    sequence: int,
    actions: list[Action],
    members: tuple[HostUpdate, ...] = (),
) -> None:
    """Ping a host; tell it what is said of it, and who is asking."""
    row = tables.hosts[host_id]
    first = [] if row.state is HostState.ALIVE else [update_of(row)]
    if host_id not in tables.membership.acknowledged:
        first.append(own_update(tables))
    updates = next_updates(tables, *first)
    actions.append(
        SendControl(host_id, Ping(sequence, tables.revision, updates, members))
    )


def retry_probes(tables: Tables, now: float, actions: list[Action]) -> None:
    """Ask again, directly and through others, and suspect who stays silent."""
    probes = tables.membership.probes
    for sequence, probe in list(probes.items()):
        row = tables.hosts.get(probe.host_id)
        if row is None or row.state is HostState.DEAD:
            del probes[sequence]
            continue
        if now >= probe.deadline and row.suspect_until == 0.0:
            suspect(tables, row, now)
        if now >= probe.next_at:
            retry_probe(tables, sequence, probe, now, actions)


def retry_probe(
    tables: Tables, sequence: int, probe: ProbeRow, now: float, actions: list[Action]
) -> None:
    """Ping a silent host again; until it is suspected, through others as well."""
    membership = tables.membership
    suspected = now >= probe.deadline
    probe.next_at = now + (SUSPECT_INTERVAL if suspected else RETRY_INTERVAL)
    probe.attempts += 1
    membership.acknowledged.discard(probe.host_id)
    send_ping(tables, probe.host_id, sequence, actions)
    if suspected:
        return
    helpers = [name for name in present_hosts(tables) if name != probe.host_id]
    for helper in sample(membership.rng, helpers, INDIRECT_PROBES):
        message = PingRequest(sequence, probe.host_id, tables.revision)
        actions.append(SendControl(helper, message))


def suspect(tables: Tables, row: HostRow, now: float) -> None:
    """Give a silent host a last deadline; a leaving one stays leaving."""
    if row.state is HostState.LEAVING:
        row.suspect_until = now + suspicion_timeout(tables)
        return
    set_state(tables, row, HostState.SUSPECT, now)
    queue_update(tables, update_of(row))


def expire_hosts(tables: Tables, now: float) -> None:
    """Hold dead who did not refute in time, and forget who is long dead."""
    for host_id, row in list(tables.hosts.items()):
        if host_id == tables.host_id:
            continue
        if row.state is HostState.DEAD:
            if row.forget_at <= now and host_id not in tables.membership.seeds:
                del tables.hosts[host_id]
        elif 0.0 < row.suspect_until <= now:
            set_state(tables, row, HostState.DEAD, now)
            queue_update(tables, update_of(row))


def expire_forwards(tables: Tables, now: float) -> None:
    """Give up pings made for others."""
    forwards = tables.membership.indirect_pings
    for sequence in [key for key, row in forwards.items() if row.deadline <= now]:
        del forwards[sequence]


# On messages -------------------------------------------------------------------


def receive_ping(
    tables: Tables, sender: str, message: Ping, actions: list[Action]
) -> None:
    """Answer, and tell the sender what is said of it."""
    row = tables.hosts[sender]
    rumour = () if row.state is HostState.ALIVE else (update_of(row),)
    updates = next_updates(tables, *rumour, weight=ANSWER_WEIGHT)
    ack = Ack(message.sequence, tables.revision, updates)
    actions.append(SendControl(sender, ack))


def receive_ack(
    tables: Tables, sender: str, message: Ack, actions: list[Action]
) -> None:
    """Note that a host answered, or pass its answer on."""
    membership = tables.membership
    probe = membership.probes.get(message.sequence)
    if probe is not None:
        end_probe(tables, message.sequence, probe)
    if probe is None or probe.host_id == sender:
        membership.acknowledged.add(sender)
    forward = membership.indirect_pings.pop(message.sequence, None)
    if forward is not None:
        ack = Ack(forward.sequence, tables.revision)
        actions.append(SendControl(forward.requester, ack))


def end_probe(tables: Tables, sequence: int, probe: ProbeRow) -> None:
    """Stop asking a host that answered.

    A suspect that has not refuted yet is asked on: its answer may be to a ping
    that did not tell it of the suspicion, and only it can lift that everywhere.
    """
    row = tables.hosts.get(probe.host_id)
    if row is None or row.state is not HostState.SUSPECT:
        del tables.membership.probes[sequence]
    if row is not None and row.state is HostState.LEAVING:
        row.suspect_until = 0.0


def receive_ping_request(
    tables: Tables, sender: str, message: PingRequest, now: float, actions: list[Action]
) -> None:
    """Ping a host for another."""
    membership = tables.membership
    if (
        message.host_id not in tables.hosts
        or len(membership.indirect_pings) >= MAX_FORWARDS
    ):
        return
    sequence = membership.next_sequence()
    deadline = now + PROBE_TIMEOUT
    membership.indirect_pings[sequence] = IndirectPingRow(
        sender, message.sequence, deadline
    )
    send_ping(tables, message.host_id, sequence, actions)


# Joining -----------------------------------------------------------------------


def copy_members(tables: Tables, now: float, actions: list[Action]) -> None:
    """Ask for the next part of the member list until all are here."""
    join = tables.membership.join
    if join is None or now < join.retry_at:
        return
    join.retry_at = now + JOIN_RETRY
    for peer in sample(tables.membership.rng, present_hosts(tables), 1):
        known = peer in tables.membership.acknowledged
        updates = () if known else (own_update(tables),)
        actions.append(SendControl(peer, MembersRequest(join.part, updates)))


def receive_members_request(
    tables: Tables, sender: str, message: MembersRequest, actions: list[Action]
) -> None:
    """Send one part of the member list."""
    names = sorted(present_hosts(tables))
    parts = -(-len(names) // MEMBERS_PER_PART)
    start = message.part * MEMBERS_PER_PART
    chosen = names[start : start + MEMBERS_PER_PART]
    updates = tuple(update_of(tables.hosts[name], with_host=True) for name in chosen)
    actions.append(SendControl(sender, Members(message.part, parts, updates)))


def receive_members(tables: Tables, message: Members, now: float) -> None:
    """Add members that are new here, and go on to the next part, or end."""
    found = apply_updates(tables, message.updates, now, news=False)
    join = tables.membership.join
    if join is None or join.part != message.part:
        return
    join.found = join.found or found
    join.part += 1
    join.retry_at = now
    if join.part >= message.parts:
        end_copy(tables, join, now)


def end_copy(tables: Tables, join: JoinRow, now: float) -> None:
    """End, or copy again: a peer that starts as well may know as little.

    In the end the host tells of itself: those who copied it from others' lists
    pass no news of it on. A last copy, a little later, brings hosts that started
    at the same time.
    """
    if join.last:
        tables.membership.join = None
        return
    if not join.found or join.copies >= MAX_LIST_COPIES:
        queue_update(tables, own_update(tables))
        tables.membership.join = JoinRow(last=True, retry_at=now + FINAL_COPY_DELAY)
        return
    tables.membership.join = JoinRow(join.copies + 1, retry_at=now + JOIN_RETRY)


def apply_host_list(tables: Tables, event: HostListRead, now: float) -> None:
    """Use the platform's lagging list as a hint; it kills nobody.

    A host that it no longer lists may still serve, and one that it lists may be
    gone: only pings decide. It shortens how long the dead are remembered.
    """
    for host_id, row in tables.hosts.items():
        listed = host_id in event.live or host_id in event.leaving
        if row.state is HostState.DEAD and not listed:
            row.forget_at = min(row.forget_at, now + UNLISTED_HOST_RETENTION)
