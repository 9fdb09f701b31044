"""Refusals of openings: resets at once, with the cause in the log.

Imported on first use: a starting host forwards openings.
"""

from __future__ import annotations

from citronspring.events import OPENING_REFUSED
from citronspring.light_stdlib import INFINITY, TYPE_CHECKING
from citronspring.tokens.admission import current_delay
from citronspring.tokens.messages import Log, ResetCaller, ResetReason
from citronspring.tokens.placement import only_in_drained_zones

if TYPE_CHECKING:
    from citronspring.tokens.entities import Packet, Route
    from citronspring.tokens.messages import Action
    from citronspring.tokens.tables import Tables


def refuse_opening(
    packet: Packet, reason: ResetReason, actions: list[Action], **inputs: object
) -> None:
    """Reset an opening that was sent to no target, so that nothing has run.

    ``inputs`` are logged beside the reason.
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
    """Refuse an opening for which no target is available, and log the cause."""
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
    """Refuse an opening whose request would miss its objective, and log the cause."""
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


def refuse_host_busy(
    tables: Tables,
    packet: Packet,
    route: Route,
    service: str | None,
    now: float,
    actions: list[Action],
) -> None:
    """Refuse an opening for which the host's link has no room, and log the cause."""
    from citronspring.tokens.load.host_capacity import expected_size
    from citronspring.tokens.load.link_usage import describe_link

    refuse_opening(
        packet,
        ResetReason.HOST_BUSY,
        actions,
        route=route.name,
        service=service,
        usual_size=expected_size(tables, route),
        expected_bytes=tables.uploads.remaining,
        in_flight=tables.uploads.in_flight,
        **describe_link(tables, now),
        objective=route.objective if route.objective < INFINITY else None,
        priority=route.priority,
        configuration=tables.configuration,
    )
