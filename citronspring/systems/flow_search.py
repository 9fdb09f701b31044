"""Flow search: finds the target that holds a flow unknown to its owner.

The TCP stacks of the targets serve as a replica of the flow table. The owner sends the
caller's packet to one possible target after the other. A target that does not hold the
flow runs nothing and answers with a reset, which is dropped here. The metrics call a
search a walk.
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

#: Seconds a candidate has to answer.
PROBE_TIMEOUT = 0.15

#: Seconds the backup host has to answer.
QUERY_TIMEOUT = 0.1

#: Seconds after which a search ends without an answer; the caller retransmits.
SEARCH_TIMEOUT = 3.0

#: Packets held per flow during a search.
HELD_PACKETS = 8

#: Maximum number of searches; beyond it, packets of unknown flows are dropped.
MAX_SEARCHES = 4096

#: Sequence numbers at most this far apart count as belonging to one connection. Two
#: independent random numbers are both this close once in a thousand times.
SEQUENCE_WINDOW = 1 << 26
SEQUENCE_MASK = 0xFFFFFFFF

#: Maximum distance of a caller's first acknowledgement from the number of a SYN-ACK.
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
    query_backup: bool = True,
) -> None:
    """Hold a packet of an unknown TCP flow and start the search for its target.

    Parameters
    ----------
    query_backup : bool
        Whether the backup host is queried first. False if this owner's binding
        was wrong, since the backup binding would have the same error.
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
    backup = tables.owners.owner_and_backup(packet.flow)[1]
    if backup is None or not query_backup:
        probe_next_candidate(tables, packet.flow, search, now, actions)
        return
    actions.append(Relay(RelayKind.QUERY, backup, packet.flow, packet))


def hold_packet(
    tables: Tables, search: SearchRow, packet: Packet, now: float, actions: list[Action]
) -> None:
    """Hold another packet of a flow whose target is being searched."""
    if len(search.packets) >= HELD_PACKETS:
        actions.append(Drop(DropReason.SEARCH_FULL))
    elif packet.payload_length and not search.packets[0].payload_length:
        probe_with_data(tables, search, packet, now, actions)
    else:
        search.packets.append(packet)


def probe_with_data(
    tables: Tables, search: SearchRow, packet: Packet, now: float, actions: list[Action]
) -> None:
    """Restart the probing with a data packet, which the holder will acknowledge."""
    search.packets.insert(0, packet)
    if search.position < 0:
        return
    search.position = -1
    probe_next_candidate(tables, packet.flow, search, now, actions)


def receive_unknown(
    tables: Tables, flow: FlowKey, now: float, actions: list[Action]
) -> None:
    """Probe the targets, as the backup host does not know the flow either."""
    search = tables.searches.get(flow)
    if search is not None and search.position < 0:
        probe_next_candidate(tables, flow, search, now, actions)


def probe_next_candidate(
    tables: Tables, flow: FlowKey, search: SearchRow, now: float, actions: list[Action]
) -> None:
    """Send the held packet to the next candidate, or end the search."""
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
    """Whether the current candidate has already answered with a reset."""
    return search.candidates[search.position].target.target_id in search.resets


def end_search(
    tables: Tables, flow: FlowKey, search: SearchRow, now: float, actions: list[Action]
) -> None:
    """Finish a search in which no candidate acknowledged the flow.

    If all but one answered with a reset, only the unresponsive one can hold the flow.
    The holder may well not respond, as a target does not acknowledge a bare ACK.
    """
    del tables.searches[flow]
    unresponsive = [
        row for row in search.candidates if row.target.target_id not in search.resets
    ]
    if len(unresponsive) == 1 and has_newest_revision(tables):
        bind_learned(tables, flow, unresponsive[0], now)
        for packet in search.packets[1:]:
            actions.append(SendToTarget(unresponsive[0].target.target_id, packet))
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
    """Handle a candidate's answer: a reset continues the search, others may bind."""
    if packet.flags & RST:
        reset_during_search(tables, search, target, packet, now, actions)
        return
    if not belongs_to_connection(search, packet):
        actions.append(Drop(DropReason.STALE_ANSWER))
        return
    complete_search(tables, search, target, packet, now, actions)


def belongs_to_connection(search: SearchRow, answer: Packet) -> bool:
    """Whether an answer belongs to the caller's connection.

    A target in TIME-WAIT of an earlier flow of the tuple also sends acknowledgements,
    but with the numbers of the old connection. A target on which the SYN was placed a
    second time answers with a SYN-ACK that the caller did not accept.
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
    """Bind the flow to the target that holds it and send it the held packets."""
    flow = answer.flow
    del tables.searches[flow]
    tables.counters["walks.found"] += 1
    bind_learned(tables, flow, target, now)
    actions.append(SendToCaller(answer))
    probed = search.position >= 0 and search.candidates[search.position] is target
    for packet in search.packets[1 if probed else 0 :]:
        actions.append(SendToTarget(target.target.target_id, packet))


def reset_during_search(
    tables: Tables,
    search: SearchRow,
    target: TargetRow,
    packet: Packet,
    now: float,
    actions: list[Action],
) -> None:
    """Drop a candidate's reset; forward it only if all candidates have reset."""
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
    """Whether this host knows every target that may hold flows of the account.

    A peer with a higher revision may have placed the flow on a target that this host
    does not know yet. A reset would then end a live connection.
    """
    return all(row.revision <= tables.revision for row in tables.hosts.values())


def expire_searches(tables: Tables, now: float, actions: list[Action]) -> None:
    """Continue searches whose candidate timed out; end the overdue ones."""
    for flow, search in list(tables.searches.items()):
        if search.deadline <= now:
            del tables.searches[flow]
            actions.append(Drop(DropReason.UNCERTAIN))
        elif search.attempt_deadline <= now:
            probe_next_candidate(tables, flow, search, now, actions)
