"""Which target a new flow is given to."""

from __future__ import annotations

from binascii import crc32

from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.tokens.evidence import is_avoided, seems_unreachable

if TYPE_CHECKING:
    from citronspring.tokens.entities import Route
    from citronspring.tokens.entries import Target
    from citronspring.tokens.rows import TargetRow
    from citronspring.tokens.tables import Tables

#: How much of a request a flow stands for while nothing is outstanding on it.
IDLE_FLOW_LOAD = 0.25

#: Load that a target of another zone counts as having. Below one request a slot, so
#: that zone only decides between targets that are about equally busy.
OTHER_ZONE_PENALTY = 0.2


def choose_service(route: Route, draw: int) -> str | None:
    """Return a service of a route by its weight; the same for the same draw.

    Parameters
    ----------
    route : Route
        The route with its shares.
    draw : int
        Any number that differs from flow to flow.
    """
    total = sum(share.weight for share in route.shares)
    if total <= 0:
        return None
    point = draw % 1000 / 1000 * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


def choose_target(
    tables: Tables, service: str, tried: list[TargetRow], now: float
) -> TargetRow | None:
    """Return the target of a service that a new flow goes to, None if there is none.

    Targets in doubt are used only when all are in doubt, and one that the opening
    was sent to already only when there is no other. Cold ones come after both.
    """
    rows = tables.by_service.get(service)
    if not rows:
        return None
    # Nearly always the least loaded of all will do; the others are not looked at.
    best = min(rows, key=cached_order)
    if best not in tried and is_first_choice(tables, best, now):
        return best
    placeable = [row for row in rows if is_placeable(tables, row)]
    if not placeable:
        return None
    usable = prefer_warm(tables, placeable, now)
    untried = [row for row in usable if row not in tried] or usable
    preferred = [row for row in untried if not is_avoided(tables, row, now)] or untried
    return min(preferred, key=cached_order)


def is_first_choice(tables: Tables, row: TargetRow, now: float) -> bool:
    """Whether nothing speaks against a target."""
    warm = row.warm_at <= now
    return warm and is_placeable(tables, row) and not is_avoided(tables, row, now)


def is_placeable(tables: Tables, row: TargetRow) -> bool:
    """Whether a target may be given new flows at all."""
    return not row.target.leaving and not tables.is_drained(row.target.zone)


def prefer_warm(tables: Tables, rows: list[TargetRow], now: float) -> list[TargetRow]:
    """Return the warm targets, or all if no warm one may be in reach.

    A cold target bears a few flows a second from all hosts together, and a host does
    not know what the others send it. So it gets none while a warm one may answer, be
    that full or silent for a moment: under a rush all of them are.
    """
    warm = [row for row in rows if row.warm_at <= now]
    if all(seems_unreachable(tables, row, now) for row in warm):
        return rows
    return warm


def only_in_drained_zones(tables: Tables, service: str) -> bool:
    """Whether a service has targets, and none outside of drained zones."""
    rows = tables.by_service.get(service, ())
    staying = [row for row in rows if not row.target.leaving]
    return bool(staying) and not any(is_placeable(tables, row) for row in staying)


def tie_break_rank(host_id: str, target_id: str) -> int:
    """Return a target's place among those that are alike to a host.

    Hosts that start together know of no load. In one order for all, their first flows
    would go to the same few targets; drawn by host, they spread over all of them.
    """
    return crc32(f"{host_id} {target_id}".encode())


def zone_penalty(tables: Tables, target: Target) -> float:
    """Return the load that a target counts as having for its way."""
    return 0.0 if target.zone == tables.zone else OTHER_ZONE_PENALTY


def cached_order(row: TargetRow) -> tuple[float, float, int]:
    """Return what targets are ordered by, as it was counted last."""
    return row.order


def placement_order(row: TargetRow) -> tuple[float, float, int]:
    """Return how busy a target is for its size; of equals, the longest unused first."""
    load = (row.busy + IDLE_FLOW_LOAD * (row.flows - row.busy)) / row.target.slots
    return load + row.zone_penalty, row.placed_at, row.rank


def count_load(row: TargetRow, *, flows: int = 0, busy: int = 0) -> None:
    """Count flows, and requests at work, that a target has got or lost."""
    row.flows += flows
    row.busy += busy
    row.order = placement_order(row)


def note_placed(row: TargetRow, now: float) -> None:
    """Take that a target has been given a flow."""
    row.placed_at = now
    row.order = placement_order(row)
