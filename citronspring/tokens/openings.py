"""Openings: placed once, sent to another target too if no answer comes, or refused."""

from __future__ import annotations

from citronspring.events import OPENING_PLACED, OPENING_REFUSED
from citronspring.light_stdlib import TYPE_CHECKING, heappop, heappush
from citronspring.tokens.admission import current_delay, is_admitted
from citronspring.tokens.evidence import note_timeout
from citronspring.tokens.flows import close_flow, start_flow
from citronspring.tokens.messages import (
    Drop,
    DropReason,
    Forward,
    Log,
    ResetCaller,
    ResetReason,
)
from citronspring.tokens.placement import (
    choose_service,
    choose_target,
    count_load,
    note_placed,
    only_in_drained_zones,
)

if TYPE_CHECKING:
    from citronspring.tokens.entities import Packet, Route
    from citronspring.tokens.messages import Action
    from citronspring.tokens.rows import FlowRow, TargetRow
    from citronspring.tokens.tables import Tables

#: Seconds within which a caller's next packet shows that an opening was answered.
#: The way to the target, to the caller and back takes under 8 ms on the links of
#: today; a slow target answers an opening within 2 ms. Far below the 200 ms after
#: which a caller sends its opening again by itself.
OPENING_ANSWER_TIMEOUT = 0.03

#: Targets that one packet of the caller is sent to at most.
MAX_TARGETS_PER_OPENING = 3

#: Seconds after which an overdue opening is let go. The process stood still; the
#: caller has sent copies since, perhaps through another host, and one more opening
#: would answer a flow that is open elsewhere.
MAX_TIMER_DELAY = 0.2


def receive_opening(
    tables: Tables, packet: Packet, route: Route, now: float, actions: list[Action]
) -> None:
    """Place a new flow, or send its opening elsewhere if it came again."""
    if tables.stale:
        # The caller has sent copies since, and its flow may be open through another
        # host. Placed again, a second target would answer, and the caller's packets
        # would stray to it.
        actions.append(Drop(packet, DropReason.WAITED))
        return
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
    """Send an opening that came again to its target, or to another one."""
    drained = tables.is_drained(flow.target.target.zone)
    if flow.open and drained:
        # It was overtaken; its target knows the flow, and is to get no opening now.
        actions.append(Drop(packet, DropReason.ZONE_DRAINED))
    elif flow.open:
        actions.append(Forward(packet, flow.target))
    elif now - flow.first_sent_at >= OPENING_ANSWER_TIMEOUT:
        note_timeout(tables, flow.target, flow.first_sent_at, now)
        place_opening(tables, packet, route, flow, now, actions)
    elif drained:
        place_opening(tables, packet, route, flow, now, actions)
    else:
        # Copies that waited here together: the first has had no time to be answered.
        actions.append(Forward(packet, flow.target))


def place_opening(
    tables: Tables,
    packet: Packet,
    route: Route,
    flow: FlowRow | None,
    now: float,
    actions: list[Action],
) -> None:
    """Choose a target for an opening and send it there."""
    tried = flow.tried if flow is not None else []
    service = choose_service(route, packet.seq)
    if flow is None and not passes_admission(tables, packet, route, service, now):
        refuse_overload(tables, packet, route, service, now, actions)
        return
    target = find_target(tables, service, tried, now)
    if target is None:
        if not tried:
            refuse_without_target(tables, packet, route, service, now, actions)
        # A target that was tried and leaves since may still answer.
        return
    log_placement(tables, packet, route, target, len(tried), now, actions)
    if flow is None:
        flow = start_flow(tables, packet, route, target, now)
    else:
        move_flow(flow, target)
    if flow is not None:
        await_opening_answer(tables, packet, flow, now)
    note_placed(target, now)
    actions.append(Forward(packet, target))


def passes_admission(
    tables: Tables, packet: Packet, route: Route, service: str | None, now: float
) -> bool:
    """Whether an opening that was not placed here may be.

    A copy of one that another host may have placed is always let in: its target may
    have answered already, and the caller be about to go on.
    """
    if service is None or packet.ack:
        return True
    return is_admitted(tables, packet, route, service, now)


def find_target(
    tables: Tables, service: str | None, tried: list[TargetRow], now: float
) -> TargetRow | None:
    """Return the target for an opening, None if there is none."""
    if service is None:
        return None
    return choose_target(tables, service, tried, now)


def move_flow(flow: FlowRow, target: TargetRow) -> None:
    """Count an unanswered opening at another target."""
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
    """Log where an opening went, and what decided that."""
    fields: dict[str, object] = {
        "flow": packet.flow,
        "route": route.name,
        "target": target.target.target_id,
        "attempt": attempt,
        "busy": target.busy,
        "flows": target.flows,
        "configuration": tables.configuration,
        "age": round(now - tables.reader.current_at, 3),
    }
    actions.append(Log(OPENING_PLACED.number, fields))


def refuse_opening(
    packet: Packet, reason: ResetReason, actions: list[Action], **inputs: object
) -> None:
    """Reset an opening that nothing was sent for; it has not run.

    What decided it beside the reason goes into the log.
    """
    actions.append(ResetCaller(packet, reason))
    fields = {"flow": packet.flow, "reason": reason.value, **inputs}
    actions.append(Log(OPENING_REFUSED.number, fields))


def refuse_without_target(
    tables: Tables,
    packet: Packet,
    route: Route,
    service: str | None,
    now: float,
    actions: list[Action],
) -> None:
    """Refuse an opening that no target may be given, and say what decided that."""
    reason = ResetReason.NO_TARGET
    if service is not None and only_in_drained_zones(tables, service):
        reason = ResetReason.ZONE_DRAINED
    refuse_opening(
        packet,
        reason,
        actions,
        route=route.name,
        service=service,
        drained=tables.drained_zones,
        age=round(now - tables.reader.current_at, 3),
    )


def refuse_overload(
    tables: Tables,
    packet: Packet,
    route: Route,
    service: str | None,
    now: float,
    actions: list[Action],
) -> None:
    """Refuse an opening whose request would be late, and say what decided that."""
    delay = current_delay(tables, service, now) if service is not None else 0.0
    refuse_opening(
        packet,
        ResetReason.OVERLOADED,
        actions,
        route=route.name,
        service=service,
        delay=round(delay, 3),
        objective=route.objective,
        priority=route.priority,
        configuration=tables.configuration,
    )


def await_opening_answer(
    tables: Tables, packet: Packet, flow: FlowRow, now: float
) -> None:
    """Have an opening looked at again once its answer is overdue."""
    flow.opening = packet
    flow.first_sent_at = now
    flow.tried.append(flow.target)
    heappush(tables.opening_deadlines, (now + OPENING_ANSWER_TIMEOUT, packet.flow))


def unanswered_openings(tables: Tables, now: float) -> list[bytes]:
    """Return the flows whose openings went unanswered, and note the silence."""
    overdue = []
    deadlines = tables.opening_deadlines
    while deadlines and deadlines[0][0] <= now:
        deadline, key = heappop(deadlines)
        flow = tables.flows.get(key)
        if flow is None or flow.open or now - deadline > MAX_TIMER_DELAY:
            continue
        if flow.first_sent_at > deadline - OPENING_ANSWER_TIMEOUT:
            # It was sent once more since; that opening has a deadline of its own.
            continue
        note_timeout(tables, flow.target, flow.first_sent_at, now)
        if len(flow.tried) < MAX_TARGETS_PER_OPENING:
            overdue.append(key)
    return overdue
