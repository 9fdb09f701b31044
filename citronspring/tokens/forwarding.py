"""Packet processing: forward a caller's packet, reset its flow, or drop it."""

from __future__ import annotations

from citronspring.events import FLOW_RESET
from citronspring.light_stdlib import INFINITY, TYPE_CHECKING
from citronspring.tcp_flags import FIN, RST, SYN
from citronspring.tokens.admission import note_answer_size, note_time_to_answer
from citronspring.tokens.evidence import (
    is_confirmed_unreachable,
    is_removal_confirmed,
    note_answer,
    note_retransmission,
)
from citronspring.tokens.flows import (
    MAX_IN_FLIGHT,
    close_flow,
    count_request_bytes,
    end_request,
    finish_request,
    start_flow,
    start_request,
    touch_flow,
)
from citronspring.tokens.messages import (
    Drop,
    DropReason,
    Forward,
    Log,
    ResetCaller,
    ResetReason,
)
from citronspring.tokens.openings import move_flow, receive_opening

if TYPE_CHECKING:
    from citronspring.tokens.entities import Packet, Route
    from citronspring.tokens.messages import Action
    from citronspring.tokens.rows import FlowRow, TargetRow
    from citronspring.tokens.tables import Tables

#: Sequence numbers wrap at 32 bits; a distance of less than half the space is ahead.
SEQ_MASK = 0xFFFFFFFF
SEQ_HALF = 0x80000000

#: Seconds after the newest bytes from which older bytes count as retransmitted. Callers
#: wait 200 ms before they retransmit, while bytes of one burst arrive out of order by
#: some 5 ms. Taken for retransmissions, the latter would make every large upload count
#: as a time-out of its target.
RETRANSMISSION_GAP = 0.15


def receive_packet(
    tables: Tables, packet: Packet, current: bool, now: float, actions: list[Action]
) -> None:
    """Process one packet.

    Parameters
    ----------
    tables : Tables
        All state.
    packet : Packet
        A packet from a caller.
    current : bool
        Whether the applied configuration is known to be no older than its bound.
    now : float
        Current time in seconds.
    actions : list of Action
        Receives the resulting actions.
    """
    tables.last_packet_at = now
    if tables.configuration == 0:
        actions.append(Drop(packet, DropReason.NOT_CONFIGURED))
        return
    route = tables.routes.get(packet.route)
    if route is None:
        receive_unrouted(packet, current, actions)
    elif tables.stale and may_be_outdated(tables, packet):
        actions.append(Drop(packet, DropReason.WAITED))
    elif packet.flags & SYN:
        receive_opening(tables, packet, route, now, actions)
    else:
        receive_established(tables, packet, route, now, actions)


def may_be_outdated(tables: Tables, packet: Packet) -> bool:
    """Whether a packet that waited while the process stalled must not be forwarded.

    Its caller has retransmitted it. An opened flow may be open through another host;
    placed again, it would get an answer of a second target. Another packet may be of a
    flow that has ended through another host, while its port is in use again. Its target
    would reset the new flow.
    """
    return bool(packet.flags & SYN) or tables.flows_moved


def receive_unrouted(packet: Packet, current: bool, actions: list[Action]) -> None:
    """Refuse or drop a packet to an address without a route.

    A host that may not have the newest route yet drops an opening silently. The caller
    retransmits it, while a reset would end a connection attempt that is allowed.
    """
    if not packet.flags & SYN:
        actions.append(Drop(packet, DropReason.NO_ROUTE))
    elif current:
        # Imported on first use: a starting host forwards openings.
        from citronspring.tokens.refusals import refuse_opening

        refuse_opening(packet, ResetReason.NO_ROUTE, actions)
    else:
        actions.append(Drop(packet, DropReason.NOT_CURRENT))


# Packets after the opening -----------------------------------------------------


def receive_established(
    tables: Tables, packet: Packet, route: Route, now: float, actions: list[Action]
) -> None:
    """Forward a packet of a flow by its token, and record what it shows."""
    flow = tables.flows.get(packet.flow)
    if (
        flow is not None
        and packet.token != flow.target.token
        and is_of_another_flow(tables, packet, flow, now)
    ):
        if now < flow.newest_until:
            actions.append(Drop(packet, DropReason.OTHER_TOKEN, route.name))
            return
        close_flow(tables, packet.flow, flow)
        flow = None
    if flow is None or not flow.open:
        row = find_target_of_token(tables, packet, now, flow)
        if row is None:
            actions.append(Drop(packet, DropReason.UNKNOWN_TOKEN))
            return
        service = row.target.service
        if not is_service_of_route(tables, packet.route, service, now):
            reason = DropReason.FOREIGN_TOKEN
            actions.append(Drop(packet, reason, route.name, service))
            return
        flow = bind_flow(tables, packet, route, flow, row, now)
        if flow is None:
            actions.append(Forward(packet, row, row.token))
            return
    update_flow(tables, packet, flow, now)
    if tables.route_history.earlier:
        count_earlier_service(tables, packet.route, flow.target.target.service)
    reason_to_reset = flow_reset_reason(tables, flow, packet, now)
    if reason_to_reset is not None:
        reset_flow(tables, packet, flow, reason_to_reset, now, actions)
        return
    actions.append(Forward(packet, flow.target, flow.target.token))
    if packet.flags & (FIN | RST):
        close_flow(tables, packet.flow, flow)


def is_of_another_flow(
    tables: Tables, packet: Packet, flow: FlowRow, now: float
) -> bool:
    """Whether a packet's token shows that it is not of the flow of a row.

    A caller uses a port again. If its earlier flow ended through another host, this one
    still has the row of that flow, and its target would reset the new one. A second
    target that answers the opening changes the token too, but the packets that follow
    continue the flow of the row.
    """
    if not flow.open or continues_flow(packet, flow):
        return False
    row = find_target_of_token(tables, packet, now)
    if row is None or row is flow.target:
        return False
    return is_service_of_route(tables, packet.route, row.target.service, now)


def continues_flow(packet: Packet, flow: FlowRow) -> bool:
    """Whether both sequence numbers of a packet lie near those seen last."""
    ahead = (packet.seq - flow.next_seq + MAX_IN_FLIGHT) & SEQ_MASK
    acknowledged = (packet.ack - flow.ack + MAX_IN_FLIGHT) & SEQ_MASK
    return ahead <= 2 * MAX_IN_FLIGHT and acknowledged <= 2 * MAX_IN_FLIGHT


def find_target_of_token(
    tables: Tables, packet: Packet, now: float, opening: FlowRow | None = None
) -> TargetRow | None:
    """Return the target that a packet's token names, None if it names none.

    ``opening`` is the row of its flow if that is not open yet.
    """
    row = tables.by_token.get(packet.token)
    if row is not None:
        return row
    # Imported on first use: a starting host needs it for the second packet of a flow.
    from citronspring.tokens.opening_tokens import find_target_of_opening

    return find_target_of_opening(tables, packet, now, opening)


def is_service_of_route(tables: Tables, route: int, service: str, now: float) -> bool:
    """Whether a route has a service, or had it and the host still remembers that."""
    row = tables.route_services[route].get(service)
    return row is not None and now < row.forget_at


def count_earlier_service(tables: Tables, route: int, service: str) -> None:
    """Count a packet whose route no longer names the service of its target."""
    history = tables.route_history
    if (route, service) in history.earlier:
        history.packets[route] += 1


def bind_flow(
    tables: Tables,
    packet: Packet,
    route: Route,
    flow: FlowRow | None,
    row: TargetRow,
    now: float,
) -> FlowRow | None:
    """Bind a flow to the target that its token names.

    The token shows that the target answered the opening at some time. Only if the
    opening passed this host is that known to be recent. Flows of a host that has
    stopped arrive here after long pauses; counted as answers, they would clear a
    crashed target.
    """
    if flow is None:
        flow = start_flow(tables, packet, route, row, now)
        if flow is None:
            return None
    else:
        tables.histograms["opening_answered"].record(now - flow.first_sent_at)
        # After several attempts it is unknown which one was answered, and when it was
        # sent.
        sent_at = flow.first_sent_at if len(flow.tried) == 1 else -INFINITY
        if flow.target is not row:
            move_flow(flow, row)
        note_answer(tables, row, sent_at, now)
    flow.open = True
    flow.opening = None
    flow.tried = []
    flow.ack = packet.ack
    return flow


def update_flow(tables: Tables, packet: Packet, flow: FlowRow, now: float) -> None:
    """Update a flow by the requests, answers and retransmissions in a packet."""
    touch_flow(tables, flow, now)
    size = (packet.ack - flow.ack) & SEQ_MASK
    if 0 < size < SEQ_HALF:
        flow.ack = packet.ack
        row = tables.route_bytes_row(flow.route)
        if not flow.busy:
            row.add_answer(size, False)
        elif note_answer_size(tables.answer_row(flow.route), size, now):
            service = tables.service_row(flow.target.target.service)
            note_time_to_answer(service, now - flow.first_sent_at, now)
            row.add_answer(size, True)
        note_answer(tables, flow.target, flow.first_sent_at, now)
        end_request(flow)
        if flow.request_bytes:
            finish_request(tables, flow)
    if not packet.length:
        return
    end = (packet.seq + packet.length) & SEQ_MASK
    new_bytes = (end - flow.next_seq) & SEQ_MASK
    if 0 < new_bytes < SEQ_HALF:
        if tables.link_rate < INFINITY:
            count_request_bytes(tables, packet.flow, flow, new_bytes, now)
        flow.next_seq = end
        row = tables.route_bytes_row(flow.route)
        row.add_request(new_bytes, not flow.busy)
        start_request(flow, now)
    elif flow.busy and now - flow.sent_at >= RETRANSMISSION_GAP:
        flow.sent_at = now
        note_retransmission(tables, flow, now)


def flow_reset_reason(
    tables: Tables, flow: FlowRow, packet: Packet, now: float
) -> ResetReason | None:
    """Return why a flow must be reset, None if it may continue.

    Only flows whose requests may run twice are reset, as a reset does not show the
    caller whether its request has run.
    """
    if not flow.idempotent or not packet.length:
        return None
    if is_removal_confirmed(tables, flow.target, now):
        return ResetReason.TARGET_GONE
    if is_confirmed_unreachable(tables, flow, now):
        return ResetReason.TARGET_UNREACHABLE
    return None


def reset_flow(
    tables: Tables,
    packet: Packet,
    flow: FlowRow,
    reason: ResetReason,
    now: float,
    actions: list[Action],
) -> None:
    """Reset a flow whose target is unreachable or was removed."""
    actions.append(ResetCaller(packet, reason))
    row = flow.target
    fields: dict[str, object] = {
        "flow": packet.flow,
        "reason": reason.value,
        "target": row.target.target_id,
        "silent": round(now - row.unanswered_since, 3),
        "silences": row.timeouts,
        "repeats": row.retransmissions,
    }
    actions.append(Log(FLOW_RESET.number, fields))
    close_flow(tables, packet.flow, flow)
