"""Membership: SWIM-style failure detection and joining, at equal cost per host."""

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

#: Seconds between two pings; each goes to the next host in turn.
PROTOCOL_PERIOD = 0.5

#: Seconds between two attempts to reach a host that does not answer.
RETRY_INTERVAL = 0.2

#: Seconds between two pings to a suspect host, to let it refute.
SUSPECT_INTERVAL = 0.5

#: Seconds without any answer after which a host is suspected.
PROBE_TIMEOUT = 0.65

#: Hosts that are asked to ping a host that does not answer.
INDIRECT_PROBES = 3

#: Members per message.
MEMBERS_PER_PART = 10

#: Maximum number of copies of the member list by a starting host; it copies the list
#: again only while the last copy brought new members.
MAX_LIST_COPIES = 3

#: Seconds until the final copy of the list.
FINAL_COPY_DELAY = 2.0

#: Seconds a peer has to send its member list.
JOIN_RETRY = 0.5

#: Seconds after which a dead host that the platform does not list is removed.
UNLISTED_HOST_RETENTION = 60.0

#: Maximum number of pending indirect pings for other hosts; more are ignored.
MAX_INDIRECT_PINGS = 256


# Timers ------------------------------------------------------------------------


def run_membership(tables: Tables, now: float, actions: list[Action]) -> None:
    """Run pings, suspicions and gossip that are due."""
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
        expire_indirect_pings(tables, now)
        gossip(tables, actions)


def start_period(tables: Tables, now: float, actions: list[Action]) -> None:
    """Ping the next host in turn, and one dead host."""
    membership = tables.membership
    if membership.next_period_at == 0.0:
        # Hosts started together must not ping in lockstep.
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
    """Ping one host that was declared dead.

    After a partition each side has declared the other dead and would never ping it
    again. A host that answers learns of the update about it and refutes it.
    """
    dead = [key for key, row in tables.hosts.items() if row.state is HostState.DEAD]
    for host_id in sample(tables.membership.rng, dead, 1):
        sequence = tables.membership.next_sequence()
        send_ping(tables, host_id, sequence, actions)


def sample_member(tables: Tables) -> tuple[HostUpdate, ...]:
    """Return one random member, so that all member lists converge."""
    chosen = sample(tables.membership.rng, list(tables.hosts.values()), 1)
    return tuple(update_of(row, with_host=True) for row in chosen)


def send_ping(
    tables: Tables,
    host_id: str,
    sequence: int,
    actions: list[Action],
    members: tuple[HostUpdate, ...] = (),
) -> None:
    """Ping a host; include its state as known to this host, and own addresses."""
    row = tables.hosts[host_id]
    first = [] if row.state is HostState.ALIVE else [update_of(row)]
    if host_id not in tables.membership.acknowledged:
        first.append(own_update(tables))
    updates = next_updates(tables, *first)
    actions.append(
        SendControl(host_id, Ping(sequence, tables.revision, updates, members))
    )


def retry_probes(tables: Tables, now: float, actions: list[Action]) -> None:
    """Retry unanswered pings, directly and indirectly; suspect hosts that time out."""
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
    """Ping an unresponsive host again, before its suspicion also indirectly."""
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
    """Mark an unresponsive host as suspect; a leaving host only gets a deadline."""
    if row.state is HostState.LEAVING:
        row.suspect_until = now + suspicion_timeout(tables)
        return
    set_state(tables, row, HostState.SUSPECT, now)
    queue_update(tables, update_of(row))


def expire_hosts(tables: Tables, now: float) -> None:
    """Declare suspects dead that did not refute; remove hosts that died long ago."""
    for host_id, row in list(tables.hosts.items()):
        if host_id == tables.host_id:
            continue
        if row.state is HostState.DEAD:
            if row.forget_at <= now and host_id not in tables.membership.seeds:
                del tables.hosts[host_id]
        elif 0.0 < row.suspect_until <= now:
            set_state(tables, row, HostState.DEAD, now)
            queue_update(tables, update_of(row))


def expire_indirect_pings(tables: Tables, now: float) -> None:
    """Drop expired pings made for other hosts."""
    pings = tables.membership.indirect_pings
    for sequence in [key for key, row in pings.items() if row.deadline <= now]:
        del pings[sequence]


# Messages ----------------------------------------------------------------------


def receive_ping(
    tables: Tables, sender: str, message: Ping, actions: list[Action]
) -> None:
    """Answer a ping; include the sender's state if it does not count as alive."""
    row = tables.hosts[sender]
    sender_state = () if row.state is HostState.ALIVE else (update_of(row),)
    updates = next_updates(tables, *sender_state, weight=ANSWER_WEIGHT)
    ack = Ack(message.sequence, tables.revision, updates)
    actions.append(SendControl(sender, ack))


def receive_ack(
    tables: Tables, sender: str, message: Ack, actions: list[Action]
) -> None:
    """Record that a host answered, or forward its answer."""
    membership = tables.membership
    probe = membership.probes.get(message.sequence)
    if probe is not None:
        end_probe(tables, message.sequence, probe)
    if probe is None or probe.host_id == sender:
        membership.acknowledged.add(sender)
    ping = membership.indirect_pings.pop(message.sequence, None)
    if ping is not None:
        ack = Ack(ping.sequence, tables.revision)
        actions.append(SendControl(ping.requester, ack))


def end_probe(tables: Tables, sequence: int, probe: ProbeRow) -> None:
    """Stop pinging a host that answered.

    A suspect that has not refuted yet is still pinged: its answer may be to a ping that
    did not include the suspicion, and only the suspect itself can lift it on all hosts.
    """
    row = tables.hosts.get(probe.host_id)
    if row is None or row.state is not HostState.SUSPECT:
        del tables.membership.probes[sequence]
    if row is not None and row.state is HostState.LEAVING:
        row.suspect_until = 0.0


def receive_ping_request(
    tables: Tables, sender: str, message: PingRequest, now: float, actions: list[Action]
) -> None:
    """Ping a host on behalf of another."""
    membership = tables.membership
    if (
        message.host_id not in tables.hosts
        or len(membership.indirect_pings) >= MAX_INDIRECT_PINGS
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
    """Request the next part of the member list until it is complete."""
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
    """Add new members and request the next part, or end the copy."""
    found = apply_updates(tables, message.updates, now, forward_updates=False)
    join = tables.membership.join
    if join is None or join.part != message.part:
        return
    join.found = join.found or found
    join.part += 1
    join.retry_at = now
    if join.part >= message.parts:
        end_copy(tables, join, now)


def end_copy(tables: Tables, join: JoinRow, now: float) -> None:
    """End the copy of the member list, or repeat it.

    It is repeated because a peer that is also starting may know few members. At the end
    the host sends an update about itself, as hosts that copied it from a list do not
    forward updates about it. A final copy, a little later, brings hosts that started at
    the same time.
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
    """Use the platform's list, which may be outdated, as a hint only.

    A host that is not listed may still serve, and a listed one may have stopped: only
    pings decide. The list only shortens how long dead hosts are kept.
    """
    for host_id, row in tables.hosts.items():
        listed = host_id in event.live or host_id in event.leaving
        if row.state is HostState.DEAD and not listed:
            row.forget_at = min(row.forget_at, now + UNLISTED_HOST_RETENTION)
