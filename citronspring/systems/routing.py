"""Routing of packets to their owner, and from the owner to target or caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.messages import (
    Drop,
    DropReason,
    RefusalReason,
    Refuse,
    Relay,
    RelayKind,
    SendToTarget,
)
from citronspring.systems.answers import receive_answer
from citronspring.systems.binding import (
    FIN_FROM_CALLER,
    TCP,
    backup_deadline,
    close,
    idle_deadline,
    is_owner,
    note_fin,
    promote,
    remove_flow,
)
from citronspring.systems.flow_search import (
    CONFIRM_WINDOW,
    begin_search,
    has_newest_revision,
    hold_packet,
    receive_unknown,
    within_window,
)
from citronspring.systems.hints import STATE_FLAGS, offer_hint, receive_hint, use_hint
from citronspring.systems.limits import RETRY_AFTER
from citronspring.systems.openings import (
    forward_via_backup,
    open_flow,
    reopen_flow,
)
from citronspring.systems.placement import possible_targets
from citronspring.systems.relays import (
    answer_query,
    bind_message,
    confirm_proposal,
    known_flow,
    receive_binding,
)
from citronspring.systems.services import account_of, is_retired, target_of
from citronspring.tables import FlowState
from citronspring.tcp_flags import ACK, FIN, RST, SYN

if TYPE_CHECKING:
    from citronspring.messages import Action, Packet, PacketReceived, RelayReceived
    from citronspring.tables import AccountRow, FlowRow, Tables, TargetRow


#: States in which a caller's packets are forwarded to the bound target as they are.
SETTLED_STATES = frozenset((FlowState.ESTABLISHED, FlowState.UNVERIFIED))


def receive_packet(
    tables: Tables, event: PacketReceived, now: float, actions: list[Action]
) -> None:
    """Route a packet from the fabric or from a target's tunnel."""
    packet = event.packet
    source = None
    if event.target_id is not None:
        # A target that answered for another account's service address would send one
        # client account's data to a caller of another.
        source = target_of(tables, packet.flow, event.target_id)
        if source is None:
            actions.append(Drop(DropReason.FOREIGN_SOURCE))
            return
    owner = tables.owners.owner_and_backup(packet.flow)[0]
    if owner == tables.host_id:
        handle_as_owner(tables, packet, source, now, actions)
    else:
        relay_to_owner(tables, packet, source, owner, now, actions)


def relay_to_owner(
    tables: Tables,
    packet: Packet,
    source: TargetRow | None,
    owner: str | None,
    now: float,
    actions: list[Action],
) -> None:
    """Forward a packet of another owner's flow by a hint, or relay it to the owner."""
    hint = tables.hints.get(packet.flow)
    if hint is not None and use_hint(tables, hint, packet, source, now, actions):
        return
    if owner is None:
        actions.append(Drop(DropReason.NO_OWNER))
        return
    tables.counters["relayed"] += 1
    source_id = None if source is None else source.target.target_id
    actions.append(Relay(RelayKind.TO_OWNER, owner, packet.flow, packet, source_id))


def receive_relay(
    tables: Tables, event: RelayReceived, now: float, actions: list[Action]
) -> None:
    """Handle a relay from another host; packets are not relayed a second time."""
    match event.kind:
        case RelayKind.TO_OWNER:
            assert event.packet is not None
            source = target_of(tables, event.flow, event.source)
            if event.source and source is None:
                actions.append(Drop(DropReason.FOREIGN_SOURCE))
                return
            handle_as_owner(tables, event.packet, source, now, actions)
            offer_hint(tables, event, actions)
        case RelayKind.PROPOSE:
            confirm_proposal(tables, event, now, actions)
        case RelayKind.QUERY:
            receive_query(tables, event, now, actions)
        case RelayKind.UNKNOWN:
            receive_unknown(tables, event.flow, now, actions)
        case RelayKind.BIND:
            receive_binding(tables, event, now, actions)
        case RelayKind.HINT:
            receive_hint(tables, event, now)


def receive_query(
    tables: Tables, event: RelayReceived, now: float, actions: list[Action]
) -> None:
    """Answer a query about a flow, or handle the packet if this host is the owner."""
    assert event.packet is not None
    if not is_owner(tables, event.flow):
        answer_query(tables, event, actions)
        return
    handle_as_owner(tables, event.packet, None, now, actions)
    row = known_flow(tables, event.flow)
    if row is not None and row.state in (FlowState.ESTABLISHED, FlowState.UNVERIFIED):
        actions.append(bind_message(event, row.target))


def handle_as_owner(
    tables: Tables,
    packet: Packet,
    source: TargetRow | None,
    now: float,
    actions: list[Action],
) -> None:
    """Decide, as owner, where a packet goes."""
    row = tables.flows.rows.get(packet.flow)
    if packet.from_caller:
        if row is None:
            open_or_search(tables, packet, now, actions)
        else:
            forward_known_flow(tables, row, packet, now, actions)
    elif source is None:
        actions.append(Drop(DropReason.FOREIGN_SOURCE))
    else:
        receive_answer(tables, row, source, packet, now, actions)


def forward_known_flow(
    tables: Tables, row: FlowRow, packet: Packet, now: float, actions: list[Action]
) -> None:
    """Forward a caller's packet of a flow that has a row."""
    state = row.state
    flow = packet.flow
    if flow[0] != TCP:
        forward_datagram(tables, row, packet, now, actions)
    elif packet.flags & SYN and opens_new_flow(tables, row, packet):
        reopen_known_flow(tables, row, packet, now, actions)
    elif state in SETTLED_STATES:
        account = row.target.account
        if now >= account.deadlines_renewed_until:
            account.renew_deadlines(now)
        row.deadline = account.tcp_deadline
        if packet.flags & STATE_FLAGS:
            track_caller_state(tables, row, packet, now)
        actions.append(SendToTarget(row.target.target.target_id, packet))
    else:
        forward_unsettled(tables, row, packet, now, actions)


def forward_unsettled(
    tables: Tables, row: FlowRow, packet: Packet, now: float, actions: list[Action]
) -> None:
    """Forward a caller's packet of a TCP flow whose state needs special handling."""
    to_target = SendToTarget(row.target.target.target_id, packet)
    opens_flow = packet.flags & (SYN | RST)
    match row.state:
        case FlowState.CONTRADICTED:
            discard_binding_and_search(tables, row, packet, now, actions)
        case FlowState.CLOSING:
            # Final acknowledgements, which the bound target expects.
            actions.append(to_target)
        case FlowState.BACKUP:
            row.deadline = backup_deadline(packet.flow, row.target.account, now)
            promote(tables, packet.flow, row)
            track_caller_state(tables, row, packet, now)
            actions.append(to_target)
        case FlowState.ANSWERED if not opens_flow:
            confirm_opening(tables, row, packet, now, actions)
        case FlowState.OPENING if not opens_flow:
            handle_wrong_target(tables, row, packet, now, actions)
        case _:
            row.deadline = idle_deadline(packet.flow, row.target.account, now)
            track_caller_state(tables, row, packet, now)
            actions.append(to_target)


def opens_new_flow(tables: Tables, row: FlowRow, packet: Packet) -> bool:
    """Whether a SYN opens a new flow of the tuple.

    An unverified binding may belong to an earlier flow. A SYN on an established flow is
    usually a late duplicate, which its target ignores. A leaving target must not get
    new flows, however, so there the SYN is placed again.
    """
    if row.state in (FlowState.OPENING, FlowState.ANSWERED):
        opening = tables.openings.get(packet.flow)
        return opening is None or opening.packet.seq != packet.seq
    return row.state != FlowState.ESTABLISHED or row.target.target.leaving


def reopen_known_flow(
    tables: Tables, row: FlowRow, packet: Packet, now: float, actions: list[Action]
) -> None:
    """Open a new flow whose tuple already has a row."""
    if not is_owner(tables, packet.flow):
        redirect_to_owner(tables, packet, actions)
        return
    account = row.target.account
    if is_retired(tables, packet.flow):
        refuse_unknown_service(tables, packet, now, actions)
        return
    preferred = None if row.state == FlowState.CLOSING else row.target
    reopen_flow(tables, preferred, account, packet, now, actions)


def forward_datagram(
    tables: Tables, row: FlowRow, packet: Packet, now: float, actions: list[Action]
) -> None:
    """Forward a datagram; periodically via the backup host, to refresh its binding."""
    row.deadline = idle_deadline(packet.flow, row.target.account, now)
    if row.state == FlowState.CLOSING:
        open_flow(tables, row.target.account, packet, now, actions)
        return
    if row.state == FlowState.BACKUP:
        promote(tables, packet.flow, row)
    opening = tables.openings.get(packet.flow)
    if opening is not None:
        opening.sent += 1
    if row.refresh_at <= now:
        row.refresh_at = row.target.account.refresh_deadline
        forward_via_backup(tables, row.target, packet, actions)
        return
    actions.append(SendToTarget(row.target.target.target_id, packet))


def confirm_opening(
    tables: Tables, row: FlowRow, packet: Packet, now: float, actions: list[Action]
) -> None:
    """Handle the caller's first acknowledgement, which may be for another target."""
    opening = tables.openings.pop(packet.flow, None)
    answer_seq = None if opening is None else opening.answer_seq
    if answer_seq is None or within_window(packet.ack, answer_seq + 1, CONFIRM_WINDOW):
        row.state = FlowState.ESTABLISHED
        row.deadline = idle_deadline(packet.flow, row.target.account, now)
        track_caller_state(tables, row, packet, now)
        actions.append(SendToTarget(row.target.target.target_id, packet))
        return
    handle_wrong_target(tables, row, packet, now, actions)


def handle_wrong_target(
    tables: Tables, row: FlowRow, packet: Packet, now: float, actions: list[Action]
) -> None:
    """Search for the target that the caller is really connected to.

    Two hosts with different membership views each placed the SYN, and the caller
    accepted the answer of the other target. The target bound here would reset the
    caller's packets.
    """
    tables.counters["openings.doubled"] += 1
    discard_binding_and_search(tables, row, packet, now, actions)


def discard_binding_and_search(
    tables: Tables, row: FlowRow, packet: Packet, now: float, actions: list[Action]
) -> None:
    """Remove a wrong binding and search, without querying the backup host."""
    account = row.target.account
    remove_flow(tables, packet.flow)
    if packet.flags & RST:
        broadcast_caller_reset(account, packet, actions)
    elif is_owner(tables, packet.flow):
        begin_search(tables, account, packet, now, actions, query_backup=False)
    else:
        redirect_to_owner(tables, packet, actions)


def track_caller_state(
    tables: Tables, row: FlowRow, packet: Packet, now: float
) -> None:
    """Record a caller's FIN or RST."""
    if packet.flags & RST:
        close(tables, packet.flow, row, now)
    elif packet.flags & FIN:
        note_fin(tables, packet.flow, row, FIN_FROM_CALLER, now)


def open_or_search(
    tables: Tables, packet: Packet, now: float, actions: list[Action]
) -> None:
    """Handle a caller's packet of a flow that is unknown to this host."""
    account = account_of(tables, packet.flow)
    opens_flow = packet.flow[0] != TCP or packet.flags & (SYN | ACK) == SYN
    if account is None or opens_flow and is_retired(tables, packet.flow):
        refuse_unknown_service(tables, packet, now, actions)
    elif packet.unreachable:
        actions.append(Drop(DropReason.UNCERTAIN))
    elif not is_owner(tables, packet.flow):
        redirect_to_owner(tables, packet, actions)
    elif opens_flow:
        tables.searches.pop(packet.flow, None)
        open_flow(tables, account, packet, now, actions)
    elif packet.flags & RST:
        broadcast_caller_reset(account, packet, actions)
    else:
        search_flow(tables, account, packet, now, actions)


def redirect_to_owner(tables: Tables, packet: Packet, actions: list[Action]) -> None:
    """Send a packet that was relayed here by mistake to the flow's owner.

    The sender's membership view is outdated, or this host's is. Placing the flow here
    too would place it twice. The owner does not relay a query any further, so no loop
    forms.
    """
    owner = tables.owners.owner_and_backup(packet.flow)[0]
    if owner is None:
        actions.append(Drop(DropReason.NO_OWNER))
        return
    actions.append(Relay(RelayKind.QUERY, owner, packet.flow, packet))


def refuse_unknown_service(
    tables: Tables, packet: Packet, now: float, actions: list[Action]
) -> None:
    """Refuse an opening to an address that no client account has.

    A host without a configuration, or one that knows of a newer revision, cannot be
    sure of that: its refusal would end an opening that every other host serves.
    """
    if packet.flags & SYN and tables.revision and has_newest_revision(tables):
        retry_at = now + RETRY_AFTER
        actions.append(Refuse(packet, RefusalReason.NO_SERVICE, retry_at))
    else:
        actions.append(Drop(DropReason.UNKNOWN_SERVICE))


def search_flow(
    tables: Tables,
    account: AccountRow,
    packet: Packet,
    now: float,
    actions: list[Action],
) -> None:
    """Start the search for the target of an unknown flow, or add to it."""
    search_row = tables.searches.get(packet.flow)
    if search_row is not None:
        hold_packet(tables, search_row, packet, now, actions)
    else:
        begin_search(tables, account, packet, now, actions)


def broadcast_caller_reset(
    account: AccountRow, packet: Packet, actions: list[Action]
) -> None:
    """Send a caller's reset of an unknown flow to every target that may hold it."""
    for target in possible_targets(packet.flow, account):
        actions.append(SendToTarget(target.target.target_id, packet))
