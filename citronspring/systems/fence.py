"""Fence: a host whose clock jumped forwards nothing until it knows it is current.

A frozen host sleeps through changes. When it wakes, packets that waited in its
sockets would go where the configuration of before the freeze sends them, perhaps
to an address that has moved to another client account meanwhile.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.control.tables import sample
from citronspring.events import CLOCK_JUMPED, FENCE_LOWERED
from citronspring.messages import Drop, DropReason, Log, ReadPlatform
from citronspring.systems.binding import remove_flow
from citronspring.systems.dissemination import present_hosts, suspicion_timeout
from citronspring.systems.membership import send_ping

if TYPE_CHECKING:
    from citronspring.messages import Action
    from citronspring.tables import Tables

#: Seconds between two ticks from which on the clock counts as having jumped. Less
#: than an opening waits for its target: a SYN-ACK that waited here longer belongs to
#: a connection that its owner has reset meanwhile.
CLOCK_JUMP = 0.5

#: Seconds after which a host cut off from everybody serves what it can again.
FENCE_TIMEOUT = 2.0

#: Seconds between two rounds of questions.
QUERY_INTERVAL = 0.25

#: Peers asked in a round.
PEERS_PER_QUERY = 3


def check_clock(tables: Tables, now: float, actions: list[Action]) -> None:
    """Raise the fence if the last tick is too long ago."""
    fence = tables.fence
    if fence.last_tick_at is None or now - fence.last_tick_at < CLOCK_JUMP:
        return
    tables.counters["fence.raised"] += 1
    fields: dict[str, object] = {"seconds": round(now - fence.last_tick_at, 3)}
    actions.append(Log(CLOCK_JUMPED.number, fields))
    fence.last_tick_at = now
    fence.until = now + FENCE_TIMEOUT
    fence.required = None
    fence.platform_answered = False
    fence.sequences.clear()
    restart_suspicions(tables, now)
    discard_openings(tables)
    actions.append(ReadPlatform(tables.revision))
    query_peers(tables, now, actions)


def discard_openings(tables: Tables) -> None:
    """Drop openings and searches under way; another host has them by now.

    Their deadlines passed while nobody listened. To refuse the caller for that, or
    to try another target, could meet a connection that is established elsewhere.
    """
    for flow in list(tables.openings):
        remove_flow(tables, flow)
    tables.searches.clear()


def restart_suspicions(tables: Tables, now: float) -> None:
    """Start over with hosts in doubt; their time passed while nobody listened."""
    tables.membership.probes.clear()
    for row in tables.hosts.values():
        if row.suspect_until > 0.0:
            row.suspect_until = now + suspicion_timeout(tables)


def run_fence(tables: Tables, now: float, actions: list[Action]) -> None:
    """Ask again, and lower the fence when there is nobody to ask."""
    fence = tables.fence
    fence.last_tick_at = now
    if fence.until is None:
        return
    lower_fence_if_current(tables, actions)
    if fence.until is None:
        return
    if fence.platform_answered and now >= fence.until - FENCE_TIMEOUT / 2:
        lower_fence(tables, "platform", actions)
    elif now >= fence.until:
        tables.counters["fence.expired"] += 1
        lower_fence(tables, "deadline", actions)
    elif now >= fence.next_query_at:
        query_peers(tables, now, actions)


def query_peers(tables: Tables, now: float, actions: list[Action]) -> None:
    """Ask a few peers for their revision."""
    fence = tables.fence
    fence.next_query_at = now + QUERY_INTERVAL
    present = present_hosts(tables)
    for peer in sample(tables.membership.rng, present, PEERS_PER_QUERY):
        sequence = tables.membership.next_sequence()
        fence.sequences.add(sequence)
        send_ping(tables, peer, sequence, actions)


def note_answered_revision(tables: Tables, sequence: int, revision: int) -> None:
    """Take a peer's answer if it was asked since the jump.

    An answer that waited in the socket through the freeze proves nothing, and
    neither does one from a peer that is itself behind.
    """
    fence = tables.fence
    if fence.until is None or sequence not in fence.sequences:
        return
    if revision >= tables.revision:
        fence.required = max(revision, fence.required or 0)


def lower_fence_if_current(tables: Tables, actions: list[Action]) -> None:
    """Lower the fence once the revision that was heard of is in force."""
    required = tables.fence.required
    if required is not None and tables.revision >= required:
        lower_fence(tables, "peer", actions)


def note_platform_answer(tables: Tables, asked_at: float) -> None:
    """Note that the platform answered a question asked since the jump.

    An answer to an earlier one waited in the socket through the freeze. Reads may
    be stale besides, so a peer's word is waited for some time first.
    """
    until = tables.fence.until
    if until is not None and asked_at >= until - FENCE_TIMEOUT:
        tables.fence.platform_answered = True


def lower_fence(tables: Tables, heard: str, actions: list[Action]) -> None:
    """Forward again."""
    actions.append(Log(FENCE_LOWERED.number, {"heard": heard}))
    tables.fence.until = None
    tables.fence.required = None
    tables.fence.sequences.clear()


def drop_fenced(tables: Tables, actions: list[Action]) -> None:
    """Drop a packet that arrives while the fence is up; count it."""
    actions.append(Drop(DropReason.FENCED))
    tables.counters["fence.dropped"] += 1
