"""Fence: after a clock jump a host forwards nothing until it is current again.

A stalled host misses configuration changes. When it resumes, packets that waited in its
sockets would be forwarded by the configuration from before the stall, possibly to an
address that has moved to another client account since.
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

#: Seconds between two ticks from which on the clock counts as having jumped. This is
#: less than an opening waits for its target: a SYN-ACK that waited here for longer
#: belongs to a connection that its owner has reset in the meantime.
CLOCK_JUMP = 0.5

#: Seconds after which a host that reaches no peer forwards again.
FENCE_TIMEOUT = 2.0

#: Seconds between two rounds of queries.
QUERY_INTERVAL = 0.25

#: Peers queried per round.
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
    """Drop pending openings and searches; another host has taken them over by now.

    Their deadlines passed during the stall. Refusing the caller, or trying another
    target, could break a connection that is established through another host.
    """
    for flow in list(tables.openings):
        remove_flow(tables, flow)
    tables.searches.clear()


def restart_suspicions(tables: Tables, now: float) -> None:
    """Restart the time-outs of suspect hosts, which ran during the stall."""
    tables.membership.probes.clear()
    for row in tables.hosts.values():
        if row.suspect_until > 0.0:
            row.suspect_until = now + suspicion_timeout(tables)


def run_fence(tables: Tables, now: float, actions: list[Action]) -> None:
    """Repeat the queries; lower the fence if no peer answers in time."""
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
    """Record the revision in a peer's answer to a query sent since the jump.

    An answer that waited in the socket during the stall proves nothing, nor does one
    from a peer that is itself behind.
    """
    fence = tables.fence
    if fence.until is None or sequence not in fence.sequences:
        return
    if revision >= tables.revision:
        fence.required = max(revision, fence.required or 0)


def lower_fence_if_current(tables: Tables, actions: list[Action]) -> None:
    """Lower the fence once the revision reported by peers is applied."""
    required = tables.fence.required
    if required is not None and tables.revision >= required:
        lower_fence(tables, "peer", actions)


def note_platform_answer(tables: Tables, asked_at: float) -> None:
    """Record that the platform answered a read started since the jump.

    An answer to an earlier read waited in the socket during the stall. Platform reads
    may also be stale, so the fence first waits some time for the answer of a peer.
    """
    until = tables.fence.until
    if until is not None and asked_at >= until - FENCE_TIMEOUT:
        tables.fence.platform_answered = True


def lower_fence(tables: Tables, source: str, actions: list[Action]) -> None:
    """Lower the fence, so that packets are forwarded again."""
    actions.append(Log(FENCE_LOWERED.number, {"heard": source}))
    tables.fence.until = None
    tables.fence.required = None
    tables.fence.sequences.clear()


def drop_fenced(tables: Tables, actions: list[Action]) -> None:
    """Drop and count a packet that arrives while the fence is up."""
    actions.append(Drop(DropReason.FENCED))
    tables.counters["fence.dropped"] += 1
