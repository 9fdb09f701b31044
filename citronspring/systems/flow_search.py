"""Second chance: finding the target that holds a flow this owner does not know.

The targets' own TCP stacks are the replica of the flow table. The owner offers
the packet to one possible target after the other; a target that does not hold
the flow answers with a reset, which runs nothing and is swallowed here.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.messages import (
    Drop,
    DropReason,
    Relay,
    RelayKind,
    SendToCaller,
    SendToTarget,
)
from citronspring.systems.binding import bind_learned
from citronspring.systems.idle import activate
from citronspring.systems.placement import possible_targets
from citronspring.tables import SearchRow
from citronspring.tcp_flags import ACK, RST, SYN

if TYPE_CHECKING:
    from citronspring.entities import FlowKey
    from citronspring.messages import Action, Packet
    from citronspring.tables import AccountRow, Tables, TargetRow

#: Seconds one candidate has to answer.
PROBE_TIMEOUT = 0.15

#: Seconds the second-ranked host has to answer.
QUERY_TIMEOUT = 0.1

#: Seconds after which a walk ends in silence; the caller retransmits.
SEARCH_TIMEOUT = 3.0

#: Packets held for one flow while its target is looked for.
HELD_PACKETS = 8

#: Walks at once; beyond it packets of unknown flows are dropped.
MAX_SEARCHES = 4096

#: Sequence numbers this far apart belong to one connection. Two numbers that are
#: random by chance both lie this near once in a thousand times.
SEQUENCE_WINDOW = 1 << 26
SEQUENCE_MASK = 0xFFFFFFFF

#: What a caller's first acknowledgement can lie beyond the number of a SYN-ACK.
CONFIRM_WINDOW = 1 << 16


def within_window(a: int, b: int, window: int = SEQUENCE_WINDOW) -> bool:
    """Whether two 32-bit sequence numbers lie within a window of each other."""
    return ((a - b + window) & SEQUENCE_MASK) <= 2 * window


def begin_search(
    tables: Tables,
    account: AccountRow,
    packet: Packet,
    now: float,
    actions: list[Action],
    ask: bool = True,
) -> None:
    """Hold a packet of an unknown TCP flow and start looking for its target.

    Parameters
    ----------
    ask : bool
        Whether the second-ranked host is asked first. Not when what this owner
        believed was wrong: its copy would be the same error.
    """
    activate(tables, account, now)
    if not tables.searches.has_room(account, MAX_SEARCHES):
        actions.append(Drop(DropReason.SEARCH_FULL))
        return
    tables.counters["walks"] += 1
    search = SearchRow(
        account,
        possible_targets(packet.flow, account),
        [packet],
        now + SEARCH_TIMEOUT,
        now + QUERY_TIMEOUT,
    )
    tables.searches[packet.flow] = search
    second = tables.owners.owner_and_backup(packet.flow)[1]
    if second is None or not ask:
        probe_next_candidate(tables, packet.flow, search, now, actions)
        return
    actions.append(Relay(RelayKind.QUERY, second, packet.flow, packet))


def hold_packet(
    tables: Tables, search: SearchRow, packet: Packet, now: float, actions: list[Action]
) -> None:
    """Keep a further packet of a flow whose target is being looked for."""
    if len(search.packets) >= HELD_PACKETS:
        actions.append(Drop(DropReason.SEARCH_FULL))
    elif packet.payload_length and not search.packets[0].payload_length:
        probe_with_data(tables, search, packet, now, actions)
    else:
        search.packets.append(packet)


def probe_with_data(
    tables: Tables, search: SearchRow, packet: Packet, now: float, actions: list[Action]
) -> None:
    """Start over with a packet that the holder of the flow will acknowledge."""
    search.packets.insert(0, packet)
    if search.position < 0:
        return
    search.position = -1
    probe_next_candidate(tables, packet.flow, search, now, actions)


def receive_unknown(
    tables: Tables, flow: FlowKey, now: float, actions: list[Action]
) -> None:
    """The second-ranked host does not know the flow either: ask the targets."""
    search = tables.searches.get(flow)
    if search is not None and search.position < 0:
        probe_next_candidate(tables, flow, search, now, actions)


def probe_next_candidate(
    tables: Tables, flow: FlowKey, search: SearchRow, now: float, actions: list[Action]
) -> None:
    """Offer the held packet to the next candidate, or end the walk."""
    search.position += 1
    while search.position < len(search.candidates) and candidate_has_reset(search):
        search.position += 1
    if search.position >= len(search.candidates):
        end_search(tables, flow, search, now, actions)
        return
    search.attempt_deadline = now + PROBE_TIMEOUT
    tables.counters["probes"] += 1
    target_id = search.candidates[search.position].target.target_id
    actions.append(SendToTarget(target_id, search.packets[0]))


def candidate_has_reset(search: SearchRow) -> bool:
    """Whether the current candidate has already said it does not hold the flow."""
    return search.candidates[search.position].target.target_id in search.resets


def end_search(
    tables: Tables, flow: FlowKey, search: SearchRow, now: float, actions: list[Action]
) -> None:
    """Settle a walk in which no candidate owned up to the flow.

    If all but one answered with a reset, the flow can live only on the silent
    one: a target acknowledges no bare ACK, so the holder may well say nothing.
    """
    del tables.searches[flow]
    silent = [
        row for row in search.candidates if row.target.target_id not in search.resets
    ]
    if len(silent) == 1 and has_newest_revision(tables):
        bind_learned(tables, flow, silent[0], now)
        for packet in search.packets[1:]:
            actions.append(SendToTarget(silent[0].target.target_id, packet))
        return
    tables.counters["walks.uncertain"] += 1
    actions.append(Drop(DropReason.UNCERTAIN))


def answer_during_search(
    tables: Tables,
    search: SearchRow,
    target: TargetRow,
    packet: Packet,
    now: float,
    actions: list[Action],
) -> None:
    """Take an answer from a candidate: a reset moves on, anything else binds."""
    if packet.flags & RST:
        reset_during_search(tables, search, target, packet, now, actions)
        return
    if not belongs_to_connection(search, packet):
        actions.append(Drop(DropReason.STALE_ANSWER))
        return
    complete_search(tables, search, target, packet, now, actions)


def belongs_to_connection(search: SearchRow, answer: Packet) -> bool:
    """Whether an answer belongs to the caller's connection.

    A target in TIME-WAIT of an earlier flow with the same tuple acknowledges
    too; its numbers are those of the old connection. A target on which the SYN was
    placed a second time answers with a SYN-ACK that the caller did not take.
    """
    probe = search.packets[0]
    if not answer.flags & ACK:
        return False
    if answer.flags & SYN:
        return probe.ack == (answer.seq + 1) & SEQUENCE_MASK
    return within_window(answer.ack, probe.seq) and within_window(answer.seq, probe.ack)


def complete_search(
    tables: Tables,
    search: SearchRow,
    target: TargetRow,
    answer: Packet,
    now: float,
    actions: list[Action],
) -> None:
    """Bind the flow to the target that knows it and let the held packets go."""
    flow = answer.flow
    del tables.searches[flow]
    tables.counters["walks.found"] += 1
    bind_learned(tables, flow, target, now)
    actions.append(SendToCaller(answer))
    offered = search.position >= 0 and search.candidates[search.position] is target
    for packet in search.packets[1 if offered else 0 :]:
        actions.append(SendToTarget(target.target.target_id, packet))


def reset_during_search(
    tables: Tables,
    search: SearchRow,
    target: TargetRow,
    packet: Packet,
    now: float,
    actions: list[Action],
) -> None:
    """Swallow a candidate's reset; pass it on only when all others said so too."""
    flow = packet.flow
    search.resets.add(target.target.target_id)
    all_reset = all(row.target.target_id in search.resets for row in search.candidates)
    if all_reset and has_newest_revision(tables):
        del tables.searches[flow]
        tables.counters["walks.unknown_flow"] += 1
        actions.append(SendToCaller(packet))
        return
    actions.append(Drop(DropReason.SWALLOWED_RESET))
    current = search.position >= 0 and search.candidates[search.position] is target
    if current:
        probe_next_candidate(tables, flow, search, now, actions)


def has_newest_revision(tables: Tables) -> bool:
    """Whether this host knows every target the account's flows can live on.

    A peer with a higher revision may have placed the flow on a target this host
    has not heard of; a reset now would break a live stream.
    """
    return all(row.revision <= tables.revision for row in tables.hosts.values())


def expire_searches(tables: Tables, now: float, actions: list[Action]) -> None:
    """Move walks on from candidates that do not answer; end the overdue."""
    for flow, search in list(tables.searches.items()):
        if search.deadline <= now:
            del tables.searches[flow]
            actions.append(Drop(DropReason.UNCERTAIN))
        elif search.attempt_deadline <= now:
            probe_next_candidate(tables, flow, search, now, actions)
