"""Placement: choosing the target of a new flow, and listing those to choose from."""

from __future__ import annotations

from binascii import crc32

from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.tokens.evidence import is_avoided, seems_unreachable
from citronspring.tokens.rows import ServiceTargets

if TYPE_CHECKING:
    from collections.abc import Callable

    from citronspring.tokens.entities import Route
    from citronspring.tokens.rows import TargetRow
    from citronspring.tokens.tables import Tables

#: Load that a flow without an outstanding request adds, relative to a request.
IDLE_FLOW_LOAD = 0.25

#: Load per slot at which all slots of a target are taken, so that a new request queues.
#: It is the upper bound of the crossing penalty.
FULL_LOAD = 1.0

#: Seconds between two openings of this host to a target in warm-up, while others can
#: take them. Such a target can serve five a second from all hosts, whose number is not
#: known.
WARMUP_OPENING_INTERVAL = 1.0

#: Difference in seconds between remaining warm-ups that placement takes into account.
#: With a smaller one, all hosts would choose the same one of targets that started
#: together.
WARMUP_STEP = 0.5


def choose_service(route: Route, draw: int) -> str | None:
    """Return a service of a route by weight; equal draws give the same service.

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
    tables: Tables,
    service: str,
    tried: list[TargetRow],
    now: float,
    weight: float = 1.0,
) -> TargetRow | None:
    """Return the target of a service for a new flow, None if there is none.

    Avoided targets are used only if all are avoided, and one that the opening was sent
    to before only if there is no other. Targets in warm-up come after both.

    Parameters
    ----------
    tables : Tables
        All state.
    service : str
        The service.
    tried : list of TargetRow
        Targets that the opening was sent to before.
    now : float
        Current time in seconds.
    weight : float
        Cost of leaving the home zone relative to small requests, see
        `crossing_weight`.
    """
    rows = tables.by_service.get(service)
    if not rows:
        return None
    # The least loaded target nearly always qualifies; then the others are not examined.
    split = tables.targets_by_zone[service]
    home = [] if tables.is_drained(tables.zone) else split.home
    best = least_loaded(tables, home, split.others, weight, cached_order)
    if best is not None and best not in tried and is_first_choice(tables, best, now):
        return best
    placeable = [row for row in rows if is_placeable(tables, row)]
    if not placeable:
        return None
    usable = prefer_warm(tables, placeable, now)
    untried = [row for row in usable if row not in tried] or usable
    preferred = [row for row in untried if not is_avoided(tables, row, now)] or untried
    within_quota = within_warmup_quota(preferred, now) or preferred
    zone = tables.zone
    home = [row for row in within_quota if row.target.zone == zone]
    others = [row for row in within_quota if row.target.zone != zone]

    def order(row: TargetRow) -> tuple[float, ...]:
        return warmup_order(row, now)

    return least_loaded(tables, home, others, weight, order)


def least_loaded(
    tables: Tables,
    home: list[TargetRow],
    others: list[TargetRow],
    weight: float,
    order: Callable[[TargetRow], tuple[float, ...]],
) -> TargetRow | None:
    """Return the least loaded target, one of another zone only if that is worth it.

    ``order`` returns the sort key of a target; its first value is the load.
    """

    def weighted_order(row: TargetRow) -> tuple[float, ...]:
        return crossing_load(row, weight), *order(row)[1:]

    key = weighted_order if weight > 1.0 else order
    best = min(home, key=key, default=None)
    if best is None:
        return min(others, key=key, default=None)
    penalty = crossing_penalty(tables, weight)
    load = crossing_load(best, weight)
    if load < penalty:
        return best
    other = min(others, key=key, default=None)
    if other is None:
        return best
    other_load = crossing_load(other, weight) + penalty
    if (other_load, *order(other)[1:]) < (load, *order(best)[1:]):
        return other
    return best


def is_first_choice(tables: Tables, row: TargetRow, now: float) -> bool:
    """Whether a target can take new flows and has warmed up without being avoided."""
    warm = row.warm_at <= now
    return warm and is_placeable(tables, row) and not is_avoided(tables, row, now)


def is_placeable(tables: Tables, row: TargetRow) -> bool:
    """Whether a target may get new flows at all."""
    return not row.target.leaving and not tables.is_drained(row.target.zone)


def prefer_warm(tables: Tables, rows: list[TargetRow], now: float) -> list[TargetRow]:
    """Return the targets that have warmed up, or all if none of those may be reachable.

    A target in warm-up can serve a few flows per second from all hosts together, and a
    host does not know how many the others send. It therefore gets none while a
    warmed-up target may answer, even if that one is overloaded or unresponsive for a
    moment; in a burst all of them are.
    """
    warm = [row for row in rows if row.warm_at <= now]
    if all(seems_unreachable(tables, row, now) for row in warm):
        return rows
    return warm


def within_warmup_quota(rows: list[TargetRow], now: float) -> list[TargetRow]:
    """Return the targets that can take an opening of this host without overload.

    They have warmed up, or have had none of its openings lately.
    """
    return [
        row
        for row in rows
        if row.warm_at <= now or now - row.placed_at >= WARMUP_OPENING_INTERVAL
    ]


def only_in_drained_zones(tables: Tables, service: str) -> bool:
    """Whether a service has targets, but none outside of drained zones."""
    rows = tables.by_service.get(service, ())
    staying = [row for row in rows if not row.target.leaving]
    return bool(staying) and not any(is_placeable(tables, row) for row in staying)


def tie_break_rank(host_id: str, target_id: str) -> int:
    """Return a target's order among equally loaded targets, different on each host.

    Hosts that start together have no load data yet. With a common order, their first
    flows would all go to the same few targets; with an order per host they spread over
    all targets.
    """
    return crc32(f"{host_id} {target_id}".encode())


def crossing_penalty(tables: Tables, weight: float) -> float:
    """Return the load that leaving the home zone must save."""
    cost = tables.zone_crossing_cost
    return min(cost * weight, max(cost, FULL_LOAD))


def crossing_load(row: TargetRow, weight: float) -> float:
    """Return a target's load as it counts for leaving the home zone.

    Idle flows do not delay requests. The larger a route's requests, the less idle flows
    count; otherwise a home zone with many of them would send uploads to other zones.
    """
    idle = IDLE_FLOW_LOAD * (row.flows - row.busy) / row.target.slots
    return row.order[0] - idle * (1.0 - 1.0 / weight)


def cached_order(row: TargetRow) -> tuple[float, float, int]:
    """Return the cached placement order of a target."""
    return row.order


def target_load(row: TargetRow) -> float:
    """Return the load of a target per slot, the only place where it is computed."""
    return (row.busy + IDLE_FLOW_LOAD * (row.flows - row.busy)) / row.target.slots


def warmup_order(row: TargetRow, now: float) -> tuple[float, ...]:
    """Return the sort key of a target where equal load is decided by its warm-up."""
    load, *rest = row.order
    return load, max(row.warm_at - now, 0.0) // WARMUP_STEP, *rest


def placement_order(row: TargetRow) -> tuple[float, float, int]:
    """Return the sort key of placement: load per slot, then time of the last flow."""
    return target_load(row), row.placed_at, row.rank


def count_load(row: TargetRow, *, flows: int = 0, busy: int = 0) -> None:
    """Update the number of flows and outstanding requests at a target."""
    row.flows += flows
    row.busy += busy
    row.order = placement_order(row)


def note_placed(row: TargetRow, now: float) -> None:
    """Record that a target was given a flow."""
    row.placed_at = now
    row.order = placement_order(row)


def list_under_service(tables: Tables, row: TargetRow) -> None:
    """List a target under its service, unless another target holds its token.

    Flows of two targets with one token would reach the wrong one, so the later target
    gets no flows.
    """
    if tables.by_token.get(row.token) is not row:
        return
    rows = tables.by_service.setdefault(row.target.service, [])
    if row not in rows:
        rows.append(row)
    split = tables.targets_by_zone.setdefault(row.target.service, ServiceTargets())
    here, elsewhere = split.home, split.others
    if row.target.zone != tables.zone:
        here, elsewhere = elsewhere, here
    if row not in here:
        here.append(row)
    if row in elsewhere:
        elsewhere.remove(row)


def unlist_from_service(tables: Tables, row: TargetRow) -> None:
    """Remove a target from its service, so that it gets no new flows."""
    rows = tables.by_service.get(row.target.service, [])
    if row not in rows:
        return
    rows.remove(row)
    split = tables.targets_by_zone[row.target.service]
    for part in (split.home, split.others):
        if row in part:
            part.remove(row)


def release_token(tables: Tables, row: TargetRow) -> None:
    """Remove the mapping of a target's token, if the target holds it."""
    if tables.by_token.get(row.token) is row:
        del tables.by_token[row.token]
