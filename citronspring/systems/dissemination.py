"""Dissemination of membership updates: which one applies and how it spreads."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from citronspring.control.messages import Gossip, HostUpdate
from citronspring.control.tables import UpdateRow, sample
from citronspring.entities import HostState
from citronspring.messages import SendControl
from citronspring.tables import HostRow

if TYPE_CHECKING:
    from citronspring.messages import Action
    from citronspring.tables import Tables

#: Of two updates with the same incarnation the one with the higher value applies.
STATE_PRECEDENCE = {
    HostState.ALIVE: 0,
    HostState.SUSPECT: 1,
    HostState.LEAVING: 2,
    HostState.DEAD: 3,
}

#: States of hosts that take part in the membership protocol.
PRESENT_STATES = (HostState.ALIVE, HostState.SUSPECT, HostState.LEAVING)

#: Seconds a suspect has to refute before it is declared dead.
SUSPICION_TIMEOUT = 1.5

#: Seconds after which a dead host is removed. Until then it is pinged occasionally, so
#: that the two sides of a healed partition find each other.
DEAD_HOST_RETENTION = 900.0

#: Maximum weight of the updates in a message and in an answer. An answer that is
#: delayed by its size or by the host's byte budget gets the host suspected.
MESSAGE_WEIGHT = 9
ANSWER_WEIGHT = 4

#: Weight of an update that includes the host's addresses; without them it is 1.
HOST_WEIGHT = 3

#: Number of messages that carry an update, as a multiple of the logarithm of the number
#: of hosts.
TRANSMISSION_FACTOR = 2

#: Seconds between two rounds in which new updates are sent to random hosts.
GOSSIP_INTERVAL = 0.2

#: Hosts that get a message in each round. Above ``UPDATE_BACKLOG`` updates one is
#: enough, since all hosts then have something to send, and two would take half of the
#: budget.
GOSSIP_FANOUT = 2
UPDATE_BACKLOG = 24


def present_hosts(tables: Tables) -> list[str]:
    """Return the other hosts that take part in the membership protocol."""
    return [
        host_id
        for host_id, row in tables.hosts.items()
        if row.state in PRESENT_STATES and host_id != tables.host_id
    ]


def supersedes(update: HostUpdate, row: HostRow) -> bool:
    """Whether an update is newer than what is known about a host."""
    if update.incarnation != row.incarnation:
        return update.incarnation > row.incarnation
    return STATE_PRECEDENCE[update.state] > STATE_PRECEDENCE[row.state]


def apply_updates(
    tables: Tables,
    updates: tuple[HostUpdate, ...],
    now: float,
    forward_updates: bool = True,
) -> bool:
    """Apply the updates of a message; return whether it brought new hosts.

    Parameters
    ----------
    tables : Tables
        The state.
    updates : tuple of HostUpdate
        The updates.
    now : float
        The time.
    forward_updates : bool
        Whether to forward them. All members are new to a host that joins; if it
        forwarded them all, a restarting fleet would use up its budget for that.
    """
    found = False
    for update in updates:
        if update.host_id == tables.host_id:
            refute(tables, update)
        else:
            found = apply_update(tables, update, now, forward_updates) or found
    return found


def refute(tables: Tables, update: HostUpdate) -> None:
    """Supersede an update about this host that declares it suspect or dead.

    Without this a host that was suspected once, or that restarts under an id that was
    declared dead, would be excluded by all others while it serves.
    """
    me = tables.me
    if supersedes(update, me):
        tables.counters["membership.refuted"] += 1
        me.incarnation = update.incarnation + 1
        queue_update(tables, update_of(me))


def apply_update(
    tables: Tables, update: HostUpdate, now: float, forward_updates: bool
) -> bool:
    """Apply an update about another host; return whether the host is new here."""
    row = tables.hosts.get(update.host_id)
    if row is None:
        added = add_host(tables, update)
        if added and forward_updates:
            queue_update(tables, update)
        return added
    if not supersedes(update, row):
        return False
    if update.incarnation > row.incarnation:
        tables.membership.acknowledged.discard(update.host_id)
    if forward_updates and needs_forwarding(update, row):
        queue_update(tables, without_known_address(update, row))
    set_state(tables, row, update.state, now)
    row.incarnation = update.incarnation
    row.host = update.host or row.host
    return False


def needs_forwarding(update: HostUpdate, row: HostRow) -> bool:
    """Whether this host must forward the update.

    The first update about a host that the settings name needs no forwarding. It would
    use up the budget of a fleet that starts, and delay pings.
    """
    first = row.incarnation == 0 and row.state is HostState.ALIVE
    return not first or update.state is not HostState.ALIVE


def without_known_address(update: HostUpdate, row: HostRow) -> HostUpdate:
    """Return the update without the host's addresses if they are already known."""
    return replace(update, host=None) if update.host == row.host else update


def add_host(tables: Tables, update: HostUpdate) -> bool:
    """Add an unknown host; ignore updates without addresses or about dead hosts."""
    if update.host is None or update.state not in PRESENT_STATES:
        return False
    row = HostRow(update.host, update.state, update.incarnation)
    if update.state is HostState.SUSPECT:
        row.state = HostState.ALIVE
    tables.hosts[update.host_id] = row
    tables.counters["membership.joined"] += 1
    return True


def set_state(tables: Tables, row: HostRow, state: HostState, now: float) -> None:
    """Change a host's state and store the deadline that goes with it."""
    row.state = state
    row.suspect_until = 0.0
    match state:
        case HostState.SUSPECT:
            row.suspect_until = now + suspicion_timeout(tables)
            tables.counters["membership.suspected"] += 1
        case HostState.DEAD:
            row.forget_at = now + DEAD_HOST_RETENTION
            tables.membership.acknowledged.discard(row.host.host_id)
            tables.counters["membership.died"] += 1


def suspicion_timeout(tables: Tables) -> float:
    """Return the seconds a suspect has to refute.

    Updates are queued, and so are refutations. When a third of a large fleet restarts,
    hosts that refuted in time would be declared dead with a fixed time-out. These
    deaths and their refutations would lengthen the queue further, without an end.
    """
    backlog = len(tables.membership.updates) / UPDATE_BACKLOG
    return SUSPICION_TIMEOUT * max(1.0, backlog)


def update_of(row: HostRow, with_host: bool = False) -> HostUpdate:
    """Return an update that describes what is known about a host."""
    host = row.host if with_host else None
    return HostUpdate(row.host.host_id, row.state, row.incarnation, host)


def queue_update(tables: Tables, update: HostUpdate) -> None:
    """Queue an update for the next messages."""
    tables.membership.updates[update.host_id] = UpdateRow(update)


def transmission_limit(tables: Tables) -> int:
    """Return how many messages carry one update."""
    return TRANSMISSION_FACTOR * len(tables.hosts).bit_length()


def next_updates(
    tables: Tables, *first: HostUpdate, weight: int = MESSAGE_WEIGHT
) -> tuple[HostUpdate, ...]:
    """Return the updates for a message, those sent least often first."""
    queued = tables.membership.updates
    chosen = list(first)
    named = {update.host_id for update in first}
    remaining = weight - sum(map(update_weight, first))
    limit = transmission_limit(tables)
    for row in sorted(queued.values(), key=lambda row: row.sent):
        remaining -= update_weight(row.update)
        if remaining < 0:
            break
        if row.update.host_id not in named:
            chosen.append(row.update)
        row.sent += 1
        if row.sent >= limit:
            del queued[row.update.host_id]
    return tuple(chosen)


def update_weight(update: HostUpdate) -> int:
    """Return the weight of an update in a message."""
    return 1 if update.host is None else HOST_WEIGHT


def gossip(tables: Tables, actions: list[Action]) -> None:
    """Send new updates to a few random hosts.

    With pings alone, the number of hosts that know an update doubles only once a
    period. With hundreds of hosts that is slower than a suspect can refute.
    """
    membership = tables.membership
    if not membership.updates:
        return
    fanout = 1 if len(membership.updates) > UPDATE_BACKLOG else GOSSIP_FANOUT
    for peer in sample(membership.rng, present_hosts(tables), fanout):
        message = Gossip(tables.revision, next_updates(tables))
        actions.append(SendControl(peer, message))


def announce_state(tables: Tables, state: HostState) -> None:
    """Change this host's own state under a new incarnation."""
    me = tables.me
    me.state = state
    me.incarnation += 1
    queue_update(tables, update_of(me))


def own_update(tables: Tables) -> HostUpdate:
    """Return this host's own addresses and state."""
    return update_of(tables.me, with_host=True)
