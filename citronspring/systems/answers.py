"""Packets from targets: sent to the caller, used by a flow search, or dropped."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.messages import Drop, DropReason, SendToCaller
from citronspring.systems.binding import (
    FIN_FROM_TARGET,
    TCP,
    bind_learned,
    close,
    idle_deadline,
    mark_contradicted,
    note_fin,
    promote,
)
from citronspring.systems.flow_search import (
    CONFIRM_WINDOW,
    SEQUENCE_MASK,
    answer_during_search,
    within_window,
)
from citronspring.systems.health import note_answer
from citronspring.systems.openings import handle_datagram_refused, handle_opening_reset
from citronspring.tables import FlowState
from citronspring.tcp_flags import FIN, RST, SYN

if TYPE_CHECKING:
    from citronspring.messages import Action, Packet
    from citronspring.tables import FlowRow, Tables, TargetRow

#: States of a TCP flow whose binding was learned and is not yet verified.
UNVERIFIED_STATES = (FlowState.BACKUP, FlowState.UNVERIFIED, FlowState.CONTRADICTED)


def receive_answer(
    tables: Tables,
    row: FlowRow | None,
    source: TargetRow,
    packet: Packet,
    now: float,
    actions: list[Action],
) -> None:
    """Handle a target's answer."""
    if row is None:
        answer_of_unknown_flow(tables, source, packet, now, actions)
    elif row.target is not source:
        answer_of_other_target(tables, row, source, packet, now, actions)
    elif row.state == FlowState.ESTABLISHED:
        answer_established(tables, row, packet, now, actions)
    elif row.state == FlowState.OPENING:
        answer_opening(tables, row, packet, now, actions)
    elif row.state == FlowState.ANSWERED:
        answer_before_confirmation(tables, row, packet, now, actions)
    elif row.state == FlowState.CLOSING:
        actions.append(SendToCaller(packet))
    else:
        answer_unverified(tables, row, packet, now, actions)


def answer_established(
    tables: Tables, row: FlowRow, packet: Packet, now: float, actions: list[Action]
) -> None:
    """Forward an answer of an established flow and track its FIN or RST."""
    row.deadline = idle_deadline(packet.flow, row.target.account, now)
    if packet.flags & RST:
        close(tables, packet.flow, row, now)
    elif packet.flags & FIN:
        note_fin(tables, packet.flow, row, FIN_FROM_TARGET, now)
    actions.append(SendToCaller(packet))


def answer_opening(
    tables: Tables, row: FlowRow, packet: Packet, now: float, actions: list[Action]
) -> None:
    """Handle the first answer to an opening."""
    flow = packet.flow
    opening = tables.openings.get(flow)
    if opening is None:
        row.state = FlowState.ESTABLISHED
        answer_established(tables, row, packet, now, actions)
    elif packet.unreachable:
        handle_datagram_refused(tables, row, packet, now, actions)
    elif packet.flags & RST:
        if packet.ack == (opening.packet.seq + 1) & SEQUENCE_MASK:
            handle_opening_reset(tables, flow, row, now, actions)
        else:
            # The reset does not answer this SYN, but a packet meant for another target.
            actions.append(Drop(DropReason.SWALLOWED_RESET))
    elif flow[0] != TCP:
        row.state = FlowState.ESTABLISHED
        note_answer(row.target, now)
        del tables.openings[flow]
        actions.append(SendToCaller(packet))
    elif packet.flags & SYN:
        row.state = FlowState.ANSWERED
        note_answer(row.target, now)
        opening.answer_seq = packet.seq
        actions.append(SendToCaller(packet))
    else:
        # The target acknowledges numbers of an earlier flow of this tuple. The caller's
        # stack answers with a reset, which frees the tuple on the target.
        actions.append(SendToCaller(packet))


def answer_before_confirmation(
    tables: Tables, row: FlowRow, packet: Packet, now: float, actions: list[Action]
) -> None:
    """Handle a further answer before the caller has confirmed the first.

    A reset whose sequence number is not this target's own is dropped. It answers a
    packet that the caller meant for another target, on which a host with a different
    membership view placed the SYN. The caller would take it for the end of that
    connection.
    """
    opening = tables.openings.get(packet.flow)
    foreign = opening is not None and not within_window(
        packet.seq, (opening.answer_seq or 0) + 1, CONFIRM_WINDOW
    )
    if packet.flags & RST and foreign:
        actions.append(Drop(DropReason.SWALLOWED_RESET))
        return
    if packet.flags & RST:
        close(tables, packet.flow, row, now)
    actions.append(SendToCaller(packet))


def answer_unverified(
    tables: Tables, row: FlowRow, packet: Packet, now: float, actions: list[Action]
) -> None:
    """Handle an answer of the target of an unverified binding.

    A reset may only mean that the binding is wrong. It is dropped; the caller's next
    packet then starts a search of all possible targets, which finds out where the flow
    is.
    """
    if packet.flags & RST:
        mark_contradicted(row)
        actions.append(Drop(DropReason.SWALLOWED_RESET))
        return
    if row.state == FlowState.BACKUP:
        promote(tables, packet.flow, row)
    if row.state == FlowState.UNVERIFIED and proves_connection(packet):
        row.state = FlowState.ESTABLISHED
    answer_established(tables, row, packet, now, actions)


def proves_connection(packet: Packet) -> bool:
    """Whether only a target that holds the flow sends such an answer.

    A target in TIME-WAIT of an earlier flow of the tuple sends acknowledgements, and
    one on which the SYN was placed a second time sends a SYN-ACK; neither sends data.
    """
    return packet.payload_length > 0


def answer_of_other_target(
    tables: Tables,
    row: FlowRow,
    source: TargetRow,
    packet: Packet,
    now: float,
    actions: list[Action],
) -> None:
    """Drop a late answer, unless its data contradicts an unverified binding."""
    contradicted = packet.flow[0] == TCP and row.state in UNVERIFIED_STATES
    if not contradicted or not proves_connection(packet):
        actions.append(Drop(DropReason.STALE_ANSWER))
        return
    bind_learned(tables, packet.flow, source, now)
    actions.append(SendToCaller(packet))


def answer_of_unknown_flow(
    tables: Tables,
    source: TargetRow,
    packet: Packet,
    now: float,
    actions: list[Action],
) -> None:
    """Learn the target of a flow from an answer, as the owner does not know it."""
    search = tables.searches.get(packet.flow)
    if search is not None:
        answer_during_search(tables, search, source, packet, now, actions)
    elif packet.flags & RST:
        # It may answer a probe of a search that has ended.
        actions.append(Drop(DropReason.SWALLOWED_RESET))
    elif packet.unreachable:
        actions.append(Drop(DropReason.UNCERTAIN))
    else:
        learn_from_answer(tables, source, packet, now)
        actions.append(SendToCaller(packet))


def learn_from_answer(
    tables: Tables, source: TargetRow, packet: Packet, now: float
) -> None:
    """Bind a flow to the target that answers it, if there is room."""
    if len(tables.flows.rows) >= tables.max_flows:
        return
    flow = packet.flow
    row = bind_learned(tables, flow, source, now)
    if packet.flags & SYN:
        # An opening that another host placed; the caller may never confirm it.
        row.deadline = now + source.account.account.limits.opening_timeout
        tables.flows.schedule(flow, row, now)
    elif row.state == FlowState.UNVERIFIED and proves_connection(packet):
        row.state = FlowState.ESTABLISHED
