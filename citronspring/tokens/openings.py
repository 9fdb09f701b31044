"""New flows: placing openings, and retrying unanswered ones elsewhere."""

from __future__ import annotations

from citronspring.events import OPENING_PLACED
from citronspring.light_stdlib import (
    INFINITY,
    TYPE_CHECKING,
    heappop,
    heappush,
)
from citronspring.tokens.admission import current_delay, is_admitted
from citronspring.tokens.entities import opening_token
from citronspring.tokens.evidence import note_timeout
from citronspring.tokens.flows import (
    close_flow,
    expect_request,
    make_room,
    start_flow,
)
from citronspring.tokens.messages import (
    Drop,
    DropReason,
    Forward,
    Log,
)
from citronspring.tokens.placement import (
    choose_service,
    choose_target,
    count_load,
    note_placed,
)

if TYPE_CHECKING:
    from citronspring.tokens.entities import Packet, Route
    from citronspring.tokens.messages import Action
    from citronspring.tokens.rows import FlowRow, TargetRow
    from citronspring.tokens.tables import Tables

#: Seconds within which a caller's next packet shows that its opening was answered. A
#: packet takes under 8 ms to the target, from there to the caller and back on current
#: links, and a slow target answers an opening within 2 ms. The limit is far below the
#: 200 ms after which a caller retransmits its opening.
OPENING_ANSWER_TIMEOUT = 0.03

#: Largest number of times that an opening is sent before its caller repeats it.
MAX_ATTEMPTS_BEFORE_COPY = 3

#: Delay of a timer, in seconds, beyond which an unanswered opening is abandoned. The
#: process has stalled; the caller has retransmitted since, perhaps through another
#: host, and another opening would answer a flow that is open elsewhere.
MAX_TIMER_DELAY = 0.2


def receive_opening(
    tables: Tables, packet: Packet, route: Route, now: float, actions: list[Action]
) -> None:
    """Place a new flow, or handle a retransmitted opening."""
    flow = tables.flows.get(packet.flow)
    if flow is not None and flow.first_seq != packet.seq:
        close_flow(tables, packet.flow, flow)
        flow = None
    if flow is None:
        place_opening(tables, packet, route, None, now, actions)
    else:
        receive_retransmitted_opening(tables, packet, route, flow, now, actions)


def receive_retransmitted_opening(
    tables: Tables,
    packet: Packet,
    route: Route,
    flow: FlowRow,
    now: float,
    actions: list[Action],
) -> None:
    """Send a retransmitted opening to its target, or to another one."""
    drained = tables.is_drained(flow.target.target.zone)
    if flow.open and drained:
        # The opening was overtaken by later packets. Its target knows the flow and must
        # get no new opening now.
        actions.append(Drop(packet, DropReason.ZONE_DRAINED))
    elif flow.open:
        actions.append(Forward(packet, flow.target, flow.target.token))
    elif now - flow.first_sent_at >= OPENING_ANSWER_TIMEOUT:
        note_timeout(tables, flow.target, flow.first_sent_at, now)
        place_opening(tables, packet, route, flow, now, actions)
    elif drained:
        place_opening(tables, packet, route, flow, now, actions)
    else:
        # Retransmissions that were queued together; the first one cannot have been
        # answered yet.
        token = opening_token([row.token for row in flow.tried], packet.seq)
        actions.append(Forward(packet, flow.target, token))


def place_opening(
    tables: Tables,
    packet: Packet,
    route: Route,
    flow: FlowRow | None,
    now: float,
    actions: list[Action],
) -> None:
    """Choose a target for an opening and forward it."""
    tried = flow.tried if flow is not None else []
    service = choose_service(route, packet.seq)
    if flow is None and refuse_if_full(tables, packet, route, service, now, actions):
        return
    target = find_target(tables, route, service, tried, now)
    if target is None:
        if not tried:
            # Imported on first use: a starting host forwards openings.
            from citronspring.tokens.refusals import refuse_without_target

            refuse_without_target(tables, packet, route, service, now, actions)
        # A target that was tried and is leaving may still answer.
        return
    log_placement(tables, packet, route, target, len(tried), now, actions)
    if flow is None:
        make_room(tables, now)
        flow = start_flow(tables, packet, route, target, now)
        if flow is not None and tables.link_rate < INFINITY:
            expect_request(tables, packet.flow, flow, now)
    else:
        move_flow(flow, target)
    if flow is not None:
        await_opening_answer(tables, packet, flow, now)
    note_placed(target, now)
    attempts = [target] if flow is None else flow.tried
    token = opening_token([row.token for row in attempts], packet.seq)
    actions.append(Forward(packet, target, token))


def refuse_if_full(
    tables: Tables,
    packet: Packet,
    route: Route,
    service: str | None,
    now: float,
    actions: list[Action],
) -> bool:
    """Refuse a new opening that targets or the host's own link have no room for."""
    admitted = passes_admission(tables, packet, route, service, now)
    if admitted and passes_host_capacity(tables, packet, route, service, now):
        return False
    # Imported on first use: a starting host forwards openings.
    from citronspring.tokens.refusals import refuse_host_busy, refuse_overload

    refuse = refuse_host_busy if admitted else refuse_overload
    refuse(tables, packet, route, service, now, actions)
    return True


def passes_admission(
    tables: Tables, packet: Packet, route: Route, service: str | None, now: float
) -> bool:
    """Return whether an opening that was not placed here may be.

    A retransmission that another host may have placed is always admitted. Its target
    may have answered already, and the caller be about to continue.
    """
    if service is None or packet.ack:
        return True
    return is_admitted(tables, packet, route, service, now)


def passes_host_capacity(
    tables: Tables, packet: Packet, route: Route, service: str | None, now: float
) -> bool:
    """Return whether this host's own link has room for an opening.

    As in `passes_admission`, a retransmission is always admitted.
    """
    if service is None or packet.ack or tables.link_rate == INFINITY:
        return True
    # Imported on first use: a starting host does not need it for its first packets.
    from citronspring.tokens.load.host_capacity import link_admits

    return link_admits(tables, route, current_delay(tables, service, now), now)


def find_target(
    tables: Tables,
    route: Route,
    service: str | None,
    tried: list[TargetRow],
    now: float,
) -> TargetRow | None:
    """Return the target for an opening, None if there is none."""
    if service is None:
        return None
    weight = crossing_weight_of(tables, route)
    target = choose_target(tables, service, tried, now, weight)
    if target is not None and target.target.zone != tables.zone and not tried:
        tables.counters["openings-to-other-zones"] += 1
    return target


def crossing_weight_of(tables: Tables, route: Route) -> float:
    """Return the weight of leaving the home zone; 1 until sizes are known."""
    if route.key not in tables.route_bytes:
        return 1.0
    # Imported on first use: a starting host has seen no requests.
    from citronspring.tokens.load.crossing_cost import crossing_weight

    return crossing_weight(tables, route.key)


def move_flow(flow: FlowRow, target: TargetRow) -> None:
    """Assign an unanswered flow to another target."""
    count_load(flow.target, flows=-1)
    flow.target = target
    count_load(target, flows=1)


def log_placement(
    tables: Tables,
    packet: Packet,
    route: Route,
    target: TargetRow,
    attempt: int,
    now: float,
    actions: list[Action],
) -> None:
    """Log the target of an opening and the inputs of that decision."""
    fields: dict[str, object] = {
        "flow": packet.flow,
        "route": route.name,
        "target": target.target.target_id,
        "attempt": attempt,
        "busy": target.busy,
        "flows": target.flows,
        "zone": target.target.zone,
        "crossing_weight": round(crossing_weight_of(tables, route), 2),
        "configuration": tables.configuration,
        "age": round(now - tables.reader.current_at, 3),
    }
    actions.append(Log(OPENING_PLACED.number, fields))


def await_opening_answer(
    tables: Tables, packet: Packet, flow: FlowRow, now: float
) -> None:
    """Schedule a check of whether an opening was answered."""
    flow.opening = packet
    flow.first_sent_at = now
    flow.tried.append(flow.target)
    heappush(tables.opening_deadlines, (now + OPENING_ANSWER_TIMEOUT, packet.flow))


def unanswered_openings(tables: Tables, now: float) -> list[bytes]:
    """Return the flows whose openings are unanswered, and record the time-outs.

    A leaving host returns and records none. Routers send the packets that follow an
    opening to other hosts at any moment, so their absence shows nothing; a second
    target would only answer a flow that is open at the first.
    """
    overdue = []
    deadlines = tables.opening_deadlines
    while deadlines and deadlines[0][0] <= now:
        deadline, key = heappop(deadlines)
        flow = tables.flows.get(key)
        if flow is None or flow.open or now - deadline > MAX_TIMER_DELAY:
            continue
        if tables.leave_deadline is not None:
            continue
        if flow.first_sent_at > deadline - OPENING_ANSWER_TIMEOUT:
            # It was retransmitted since; that opening has its own deadline.
            continue
        note_timeout(tables, flow.target, flow.first_sent_at, now)
        # If a second target seems silent, too, the flow has rather moved to another
        # host. After a late answer of a third, none could tell which of them has it.
        one_target = flow.target is flow.tried[0]
        if one_target and len(flow.tried) < MAX_ATTEMPTS_BEFORE_COPY:
            overdue.append(key)
    return overdue
