"""Dissemination: which news of a host counts, and how it is passed on."""

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

#: Of two pieces of news under one incarnation the higher counts.
STATE_PRECEDENCE = {
    HostState.ALIVE: 0,
    HostState.SUSPECT: 1,
    HostState.LEAVING: 2,
    HostState.DEAD: 3,
}

#: States of hosts that take part.
PRESENT_STATES = (HostState.ALIVE, HostState.SUSPECT, HostState.LEAVING)

#: Seconds a suspect has to refute before it is held dead.
SUSPICION_TIMEOUT = 1.5

#: Seconds after which a dead host is forgotten. Until then it is pinged now and
#: then, so that the two sides of a healed partition find each other.
DEAD_HOST_RETENTION = 900.0

#: Weight of the news in one message, and in an answer. An answer that is kept
#: back by its size, or its host's budget, gets the host suspected.
MESSAGE_WEIGHT = 9
ANSWER_WEIGHT = 4

#: Weight of news with the host's sockets; without them it is 1.
HOST_WEIGHT = 3

#: Messages one piece of news goes out with, times the logarithm of the fleet.
TRANSMISSION_FACTOR = 2

#: Seconds between two rounds in which fresh news goes to random hosts.
GOSSIP_INTERVAL = 0.2

#: Hosts it goes to in a round; one is enough while there is much news, since all
#: have something to tell then, and two would take half of the budget.
GOSSIP_FANOUT = 2
UPDATE_BACKLOG = 24


def present_hosts(tables: Tables) -> list[str]:
    """Return the other hosts that take part."""
    return [
        host_id
        for host_id, row in tables.hosts.items()
        if row.state in PRESENT_STATES and host_id != tables.host_id
    ]


def supersedes(update: HostUpdate, row: HostRow) -> bool:
    """Whether news is newer than what is known of a host."""
    if update.incarnation != row.incarnation:
        return update.incarnation > row.incarnation
    return STATE_PRECEDENCE[update.state] > STATE_PRECEDENCE[row.state]


def apply_updates(
    tables: Tables, updates: tuple[HostUpdate, ...], now: float, news: bool = True
) -> bool:
    """Take what a message says of hosts; return whether it brought new ones.

    Parameters
    ----------
    tables : Tables
        The state.
    updates : tuple of HostUpdate
        What is said.
    now : float
        The time.
    news : bool
        Whether to pass it on. To a host that joins every member is new; if it
        told of them all, a fleet that restarts would fill its budget with it.
    """
    found = False
    for update in updates:
        if update.host_id == tables.host_id:
            refute(tables, update)
        else:
            found = apply_update(tables, update, now, news) or found
    return found


def refute(tables: Tables, update: HostUpdate) -> None:
    """Outrank a rumour about this host.

    Without it a host once suspected, or one that restarts under an id that was
    declared dead, would be left out by everybody while it serves.
    """
    me = tables.me
    if supersedes(update, me):
        tables.counters["membership.refuted"] += 1
        me.incarnation = update.incarnation + 1
        queue_update(tables, update_of(me))


def apply_update(tables: Tables, update: HostUpdate, now: float, news: bool) -> bool:
    """Take what is said of another host; return whether the host is new here."""
    row = tables.hosts.get(update.host_id)
    if row is None:
        added = add_host(tables, update)
        if added and news:
            queue_update(tables, update)
        return added
    if not supersedes(update, row):
        return False
    if update.incarnation > row.incarnation:
        tables.membership.acknowledged.discard(update.host_id)
    if news and needs_forwarding(update, row):
        queue_update(tables, without_known_address(update, row))
    set_state(tables, row, update.state, now)
    row.incarnation = update.incarnation
    row.host = update.host or row.host
    return False


def needs_forwarding(update: HostUpdate, row: HostRow) -> bool:
    """Whether others need to hear of it from here.

    The first word of a host that the settings name is none: passed on, it would
    fill the budget of a fleet that starts, and pings would wait behind it.
    """
    first = row.incarnation == 0 and row.state is HostState.ALIVE
    return not first or update.state is not HostState.ALIVE


def without_known_address(update: HostUpdate, row: HostRow) -> HostUpdate:
    """Return news without sockets that everybody who knows the host has."""
    return replace(update, host=None) if update.host == row.host else update


def add_host(tables: Tables, update: HostUpdate) -> bool:
    """Add a host that is new here; news without sockets or of the dead is none."""
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
    """Return the seconds that a suspect has to refute.

    News waits its turn, and so does a refutation: when a third of a large fleet
    restarts, hosts that refuted in time would be held dead, and these deaths and
    their refutations be more news still, without an end.
    """
    backlog = len(tables.membership.updates) / UPDATE_BACKLOG
    return SUSPICION_TIMEOUT * max(1.0, backlog)


def update_of(row: HostRow, with_host: bool = False) -> HostUpdate:
    """Return what is known of a host as news."""
    host = row.host if with_host else None
    return HostUpdate(row.host.host_id, row.state, row.incarnation, host)


def queue_update(tables: Tables, update: HostUpdate) -> None:
    """Pass news on with the next messages."""
    tables.membership.updates[update.host_id] = UpdateRow(update)


def transmission_limit(tables: Tables) -> int:
    """Return how many messages one piece of news goes out with."""
    return TRANSMISSION_FACTOR * len(tables.hosts).bit_length()


def next_updates(
    tables: Tables, *first: HostUpdate, weight: int = MESSAGE_WEIGHT
) -> tuple[HostUpdate, ...]:
    """Return news for a message, what went out least often first."""
    waiting = tables.membership.updates
    chosen = list(first)
    named = {update.host_id for update in first}
    left = weight - sum(map(update_weight, first))
    most = transmission_limit(tables)
    for row in sorted(waiting.values(), key=lambda row: row.sent):
        left -= update_weight(row.update)
        if left < 0:
            break
        if row.update.host_id not in named:
            chosen.append(row.update)
        row.sent += 1
        if row.sent >= most:
            del waiting[row.update.host_id]
    return tuple(chosen)


def update_weight(update: HostUpdate) -> int:
    """Return how much of a message a piece of news takes."""
    return 1 if update.host is None else HOST_WEIGHT


def gossip(tables: Tables, actions: list[Action]) -> None:
    """Send fresh news to a few random hosts.

    On pings alone news takes a period for each doubling of those who know it;
    with hundreds of hosts that is slower than a suspect can refute.
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
    """Return this host's own sockets and state."""
    return update_of(tables.me, with_host=True)
