"""Which target a new flow is given to."""

from __future__ import annotations

from binascii import crc32

from citronspring.lean import TYPE_CHECKING
from citronspring.tokens.evidence import avoided

if TYPE_CHECKING:
    from citronspring.tokens.entities import Route
    from citronspring.tokens.rows import TargetRow
    from citronspring.tokens.tables import Tables

#: How much of a request a flow stands for while nothing is outstanding on it.
IDLE_FLOW_LOAD = 0.25

#: Load that a target which has just started counts as having, relative to its
#: slots: it works about this much slower for some seconds.
COLD_LOAD = 0.6

#: Load that a target of another zone counts as having. Below one request a slot, so
#: that zone only decides between targets that are about equally busy.
OTHER_ZONE_LOAD = 0.2


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
    was sent to already only when there is no other.
    """
    placeable = [
        row
        for row in tables.by_service.get(service, ())
        if not row.target.leaving and not tables.is_drained(row.target.zone)
    ]
    if not placeable:
        return None
    fresh = [row for row in placeable if row not in tried] or placeable
    sound = [row for row in fresh if not avoided(tables, row, now)] or fresh
    return min(sound, key=lambda row: load_of(tables, row, now))


def only_in_drained_zones(tables: Tables, service: str) -> bool:
    """Whether a service has targets, and none outside of drained zones."""
    staying = [
        row for row in tables.by_service.get(service, ()) if not row.target.leaving
    ]
    return bool(staying) and all(tables.is_drained(row.target.zone) for row in staying)


def rank_of(host_id: str, target_id: str) -> int:
    """Return a target's place among those that are alike to a host.

    Hosts that start together know of no load. In one order for all, their first flows
    would go to the same few targets; drawn by host, they spread over all of them.
    """
    return crc32(f"{host_id} {target_id}".encode())


def load_of(tables: Tables, row: TargetRow, now: float) -> tuple[float, float, int]:
    """Return how busy a target is for its size; of equals, the longest unused first."""
    load = (row.busy + IDLE_FLOW_LOAD * (row.flows - row.busy)) / row.target.slots
    if row.warm_at > now:
        load += COLD_LOAD
    if row.target.zone != tables.zone:
        load += OTHER_ZONE_LOAD
    return load, row.placed_at, row.rank
