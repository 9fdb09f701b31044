"""Relays between hosts about single flows: proposals, queries and bindings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.messages import Drop, DropReason, Relay, RelayKind, SendToTarget
from citronspring.systems.binding import (
    COUNTED_STATES,
    TCP,
    backup_deadline,
    bind,
    bind_learned,
    is_owner,
)
from citronspring.systems.services import target_of
from citronspring.tables import FlowState
from citronspring.tcp_flags import SYN

if TYPE_CHECKING:
    from citronspring.entities import FlowKey
    from citronspring.messages import Action, Packet, RelayReceived
    from citronspring.tables import FlowRow, OpeningRow, Tables, TargetRow


def confirm_proposal(
    tables: Tables, event: RelayReceived, now: float, actions: list[Action]
) -> None:
    """Keep the owner's binding as backup host, and forward the packet."""
    assert event.packet is not None
    proposed = target_of(tables, event.flow, event.target_id)
    row = known_flow(tables, event.flow)
    if (
        row is not None
        and row.target is not proposed
        and takes_precedence(row, event.packet)
    ):
        actions.append(SendToTarget(row.target.target.target_id, event.packet))
        actions.append(bind_message(event, row.target))
        return
    if proposed is None:
        actions.append(Drop(DropReason.UNCERTAIN))
        return
    if row is None or row.target is not proposed:
        # A backup has lower priority than a row of this host's own flows: a flow search
        # finds the flow without it.
        if tables.flows.rows.has_room(proposed.account, tables.max_flows):
            bind(tables, event.flow, proposed, FlowState.BACKUP, now)
    elif row.state == FlowState.BACKUP:
        row.deadline = backup_deadline(event.flow, proposed.account, now)
    actions.append(SendToTarget(proposed.target.target_id, event.packet))


def takes_precedence(row: FlowRow, packet: Packet) -> bool:
    """Whether this host's binding takes precedence over a proposed one.

    It does if this host counts the flow as its own: it was the owner until recently,
    and its target holds the flow. A backup of a TCP binding may belong to an earlier
    flow of the tuple, whose target may be leaving by now. A backup of a datagram flow
    takes precedence, since there is no other record of the flow.
    """
    if packet.flags & SYN and row.target.target.leaving:
        return False
    return row.state in COUNTED_STATES or packet.flow[0] != TCP


def bind_message(event: RelayReceived, target: TargetRow) -> Relay:
    """Return the message to the sender of a relay with the target of the flow."""
    target_id = target.target.target_id
    return Relay(RelayKind.BIND, event.sender, event.flow, target_id=target_id)


def answer_query(tables: Tables, event: RelayReceived, actions: list[Action]) -> None:
    """Forward a packet that the owner queries, or report the flow as unknown."""
    assert event.packet is not None
    row = known_flow(tables, event.flow)
    if row is None:
        actions.append(Relay(RelayKind.UNKNOWN, event.sender, event.flow))
        return
    actions.append(SendToTarget(row.target.target.target_id, event.packet))
    actions.append(bind_message(event, row.target))


def known_flow(tables: Tables, flow: FlowKey) -> FlowRow | None:
    """Return the row of a flow that is neither closed nor contradicted."""
    row = tables.flows.rows.get(flow)
    if row is None or row.state in (FlowState.CLOSING, FlowState.CONTRADICTED):
        return None
    return row


def receive_binding(
    tables: Tables, event: RelayReceived, now: float, actions: list[Action]
) -> None:
    """Apply a binding that another host sent.

    It applies only if this host has no better one: the answer to a query may arrive
    after a search has found the flow on another target.
    """
    target = target_of(tables, event.flow, event.target_id)
    if target is None:
        return
    flow = event.flow
    opening = tables.openings.get(flow)
    if flow in tables.searches:
        end_search_by_binding(tables, flow, target, now, actions)
    elif opening is not None and opening.answer_seq is None:
        move_opening(tables, flow, opening, target, now)
    elif not is_owner(tables, flow):
        store_backup(tables, flow, target, now)


def end_search_by_binding(
    tables: Tables,
    flow: FlowKey,
    target: TargetRow,
    now: float,
    actions: list[Action],
) -> None:
    """Send the held packets; the other host has already sent the first one."""
    search = tables.searches[flow]
    del tables.searches[flow]
    bind_learned(tables, flow, target, now)
    for packet in search.packets[1:]:
        actions.append(SendToTarget(target.target.target_id, packet))


def move_opening(
    tables: Tables, flow: FlowKey, opening: OpeningRow, target: TargetRow, now: float
) -> None:
    """Move an opening to the target on which the backup host had placed it before."""
    if flow[0] == TCP:
        bind(tables, flow, target, FlowState.OPENING, now)
        opening.tried.append(target)
    else:
        bind(tables, flow, target, FlowState.ESTABLISHED, now)
        del tables.openings[flow]


def store_backup(tables: Tables, flow: FlowKey, target: TargetRow, now: float) -> None:
    """Keep a backup of the binding that the owner changed."""
    row = known_flow(tables, flow)
    if row is None or row.state == FlowState.BACKUP:
        bind(tables, flow, target, FlowState.BACKUP, now)
