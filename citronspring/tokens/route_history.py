"""Route history: current and former services of routes, as recorded in the store.

Packets of open flows name their target by a token, which counts only if the target's
service is or was one of the route. A host that starts knows the current services from
the configuration and the former ones from the route history, which zone readers write.
Its entries are 16 shards. Each write expects the revisions that were read, and replaces
only the routes that this host knows to differ.
"""

from __future__ import annotations

from binascii import crc32

from citronspring.events import (
    HISTORY_WRITE_FAILED,
    HISTORY_WRITTEN,
    SERVICE_FORGOTTEN,
    SERVICE_REPLACED,
)
from citronspring.light_stdlib import INFINITY, TYPE_CHECKING
from citronspring.tokens.election import is_zone_reader, zone_lacks_reader
from citronspring.tokens.entries import RouteHistory, count_of, is_of_earlier_epoch
from citronspring.tokens.messages import (
    ConditionFailed,
    Done,
    Log,
    Refused,
    Unanswered,
    WriteRouteHistory,
)
from citronspring.tokens.rows import RouteServiceRow

if TYPE_CHECKING:
    from citronspring.tokens.entities import Route
    from citronspring.tokens.messages import Action, ElectionAnswer
    from citronspring.tokens.tables import Tables

#: Number of shards, each one entry of the store.
SHARDS = 16

#: Seconds for which a former service is remembered beyond the longest lifetime of a
#: flow: more than it takes until every host has the configuration without it.
FORGET_MARGIN = 10.0

#: Shards written at once. A call has 0.5 s, and a shard of the largest deployment takes
#: 11 KB of its body.
MAX_SHARDS_PER_WRITE = 4

#: Seconds between two writes of a host.
WRITE_INTERVAL = 1.0

#: Range in seconds of the random delay before a first write and after a failed one.
WRITE_JITTER = 1.0


def shard_of(key: int) -> int:
    """Return the shard of a route."""
    return crc32(str(key).encode()) % SHARDS


# Services of a route ------------------------------------------------------------


def remember_services(
    tables: Tables, route: Route, now: float, actions: list[Action]
) -> None:
    """Remember the services that a route no longer names.

    This includes those that only the store records, as the shard may have been read
    before the route.
    """
    rows = tables.route_services[route.key]
    for service in recorded_services(tables, route.key):
        rows.setdefault(service, RouteServiceRow()).recorded = True
    named = {share.service for share in route.shares}
    for service, row in rows.items():
        if service not in named and row.forget_at == INFINITY:
            remember_service(tables, route.key, service, row, now, actions)


def remember_service(
    tables: Tables,
    key: int,
    service: str,
    row: RouteServiceRow,
    now: float,
    actions: list[Action],
) -> None:
    """Set the deadline at which a former service is forgotten."""
    row.earlier_since = now
    row.forget_at = now + tables.flow_lifetime + FORGET_MARGIN
    tables.route_history.earlier.add((key, service))
    fields: dict[str, object] = {
        "route": tables.routes[key].name,
        "service": service,
        "kept_for": round(row.forget_at - now, 3),
        "recorded": row.recorded,
        "configuration": tables.configuration,
    }
    actions.append(Log(SERVICE_REPLACED.number, fields))


def forget_services(tables: Tables, now: float, actions: list[Action]) -> None:
    """Forget the former services whose deadline has passed.

    The row of one that the store still records is kept, with its past deadline. Without
    it, the next version of the shard would count as the discovery of a former service.
    """
    for key, service in sorted(tables.route_history.earlier):
        row = tables.route_services[key][service]
        if now >= row.forget_at:
            forget_service(tables, key, service, actions)


def forget_service(
    tables: Tables, key: int, service: str, actions: list[Action]
) -> None:
    """Forget a former service; the row is kept while the store records it."""
    history, rows = tables.route_history, tables.route_services[key]
    row = rows[service]
    if (key, service) in history.earlier:
        history.earlier.discard((key, service))
        fields: dict[str, object] = {
            "route": tables.routes[key].name,
            "service": service,
            "recorded": row.recorded,
        }
        actions.append(Log(SERVICE_FORGOTTEN.number, fields))
    if row.recorded:
        history.routes_to_check.add(key)
    else:
        del rows[service]


# Shards that were read ----------------------------------------------------------


def recorded_services(tables: Tables, key: int) -> tuple[str, ...]:
    """Return the services that the store records of a route."""
    history = tables.route_history.shards.get(shard_of(key))
    return () if history is None else history.routes.get(key, ())


def apply_route_history(
    tables: Tables, history: RouteHistory, now: float, actions: list[Action]
) -> None:
    """Apply a shard, unless a newer one is known, or services that only hosts know."""
    if history.revision == 0:
        apply_unrecorded_services(tables, history, now, actions)
    else:
        replace_shard(tables, history, history.removed, now, actions)


def apply_unreadable_shard(
    tables: Tables, shard: int, revision: int, now: float, actions: list[Action]
) -> None:
    """Apply a shard whose content cannot be decoded, and so counts as lost."""
    replace_shard(tables, RouteHistory(shard, {}, revision), True, now, actions)


def removed_shards(
    tables: Tables, listed: set[int | None], revision: int
) -> list[RouteHistory]:
    """Return removals of the shards that a list of all entries lacks."""
    return [
        RouteHistory(shard, {}, revision, removed=True)
        for shard, known in tables.route_history.shards.items()
        if shard not in listed and not known.removed and known.revision <= revision
    ]


def apply_unrecorded_services(
    tables: Tables, history: RouteHistory, now: float, actions: list[Action]
) -> None:
    """Remember former services that a peer knows."""
    for key, services in history.routes.items():
        rows = tables.route_services.get(key)
        if rows is None:
            continue
        for service in services:
            if service not in rows:
                row = rows[service] = RouteServiceRow()
                remember_service(tables, key, service, row, now, actions)
                tables.route_history.routes_to_check.add(key)


def replace_shard(
    tables: Tables,
    history: RouteHistory,
    lost: bool,
    now: float,
    actions: list[Action],
) -> None:
    """Replace what is known of a shard, unless that is newer.

    A service that is missing was forgotten by the host that wrote the shard. It was
    lost, and is kept, if ``lost`` is true or the store was restored from a backup.
    """
    state = tables.route_history
    known = state.shards.get(history.shard)
    if known is not None and known.revision >= history.revision:
        return
    before: dict[int, tuple[str, ...]] = {}
    if known is not None:
        before = known.routes
        lost = lost or is_of_earlier_epoch(known.revision, history.revision)
    state.shards[history.shard] = history
    state.applied_at = now
    for key in sorted(before.keys() | history.routes.keys()):
        services = history.routes.get(key, ())
        if before.get(key, ()) != services:
            state.routes_to_check.add(key)
            if key in tables.routes:
                mark_recorded(tables, key, services, lost, now, actions)


def mark_recorded(
    tables: Tables,
    key: int,
    services: tuple[str, ...],
    lost: bool,
    now: float,
    actions: list[Action],
) -> None:
    """Update the rows of a route by what the store records."""
    rows = tables.route_services[key]
    for service in services:
        row = rows.get(service)
        if row is None:
            row = rows[service] = RouteServiceRow(recorded=True)
            remember_service(tables, key, service, row, now, actions)
        row.recorded = True
    for service, row in list(rows.items()):
        if service in services or not row.recorded:
            continue
        row.recorded = False
        was_forgotten = row.forget_at != INFINITY and not lost
        if was_forgotten or row.forget_at <= now:
            forget_service(tables, key, service, actions)


# Writes of a zone reader --------------------------------------------------------


def next_history_write(
    tables: Tables, fresh: bool, now: float
) -> WriteRouteHistory | None:
    """Return the write that is due, None if none is.

    Parameters
    ----------
    tables : Tables
        All state; this host holds the lease of its zone, and some routes are to check.
    fresh : bool
        Whether the store has confirmed the state within its bound. After a restore the
        state may still lack what operators have to rewrite; until then this host only
        adds to the record.
    now : float
        Current time in seconds.
    """
    state = tables.route_history
    if state.write_at == INFINITY:
        # Other readers' writes arrive once the next watch is open.
        earliest = max(tables.reader.call_at, state.answered_at + WRITE_INTERVAL, now)
        state.write_at = earliest + next_jitter(tables)
    if now < state.write_at:
        return None
    state.write_at = now + WRITE_INTERVAL
    if not fresh or not may_write(tables):
        return None
    histories = shards_to_write(tables, now)
    if not state.routes_to_check:
        state.write_at = INFINITY
    return WriteRouteHistory(tuple(histories)) if histories else None


def next_jitter(tables: Tables) -> float:
    """Return the next random delay of this host."""
    state = tables.route_history
    state.jitter_count += 1
    draw = crc32(f"{tables.host_id} {state.jitter_count}".encode()) % 1000 / 1000
    return WRITE_JITTER * draw


def may_write(tables: Tables) -> bool:
    """Whether this host is its zone's reader and has read its own latest write."""
    reader = tables.reader
    return (
        is_zone_reader(tables)
        and not zone_lacks_reader(tables)
        and reader.listed
        and not reader.failures
        and reader.current_at > tables.route_history.answered_at
    )


def shards_to_write(tables: Tables, now: float) -> list[RouteHistory]:
    """Return the shards to write, and drop routes that need no write from the list."""
    state = tables.route_history
    may_remove = not tables.restore_grace.awaits_operators
    confirmed = tables.reader.current_at > state.applied_at
    changes: dict[int, dict[int, tuple[str, ...]]] = {}
    for key in sorted(state.routes_to_check):
        recorded = recorded_services(tables, key)
        wanted = services_to_record(tables, key, recorded, now)
        if wanted == recorded:
            state.routes_to_check.discard(key)
            continue
        # A route counts as removed only if a watch that was sent after the shard was
        # applied confirms the configuration.
        if not may_remove or (key not in tables.routes and not confirmed):
            wanted = tuple(sorted({*wanted, *recorded}))
        if wanted != recorded:
            changes.setdefault(shard_of(key), {})[key] = wanted
    shards = sorted(changes)[:MAX_SHARDS_PER_WRITE]
    return [changed_shard(tables, shard, changes[shard]) for shard in shards]


def services_to_record(
    tables: Tables, key: int, recorded: tuple[str, ...], now: float
) -> tuple[str, ...]:
    """Return the services of a route that the store should record, sorted."""
    rows = tables.route_services.get(key, {})
    services = sorted(name for name, row in rows.items() if now < row.forget_at)
    has_earlier = any(row.forget_at != INFINITY for row in rows.values())
    if recorded or has_earlier or tables.route_history.multi_service_routes:
        return tuple(services)
    return ()


def changed_shard(
    tables: Tables, shard: int, changes: dict[int, tuple[str, ...]]
) -> RouteHistory:
    """Return a shard with some routes changed and the revision that was read."""
    known = tables.route_history.shards.get(shard)
    routes = {} if known is None else dict(known.routes)
    for key, services in changes.items():
        if services:
            routes[key] = services
        else:
            routes.pop(key, None)
    revision = 0 if known is None or known.removed else known.revision
    return RouteHistory(shard, routes, revision)


def handle_write_answer(
    tables: Tables, call: WriteRouteHistory, answer: ElectionAnswer, now: float
) -> list[Action]:
    """Schedule the next write.

    The tables are updated only when the watch delivers this one.
    """
    state = tables.route_history
    state.answered_at = now
    state.write_at = now + WRITE_INTERVAL
    fields: dict[str, object] = {
        "shards": [f"{history.shard:x}" for history in call.histories],
        "routes": sum(len(history.routes) for history in call.histories),
        "expected": [count_of(history.revision) for history in call.histories],
    }
    if isinstance(answer, Done):
        tables.counters["route-history-writes"] += 1
        return [Log(HISTORY_WRITTEN.number, fields)]
    tables.counters["route-history-failed-writes"] += 1
    state.write_at += next_jitter(tables)
    fields["cause"] = failure_cause(answer)
    return [Log(HISTORY_WRITE_FAILED.number, fields)]


def failure_cause(answer: ElectionAnswer) -> str:
    """Return why a write failed."""
    match answer:
        case ConditionFailed():
            return "another host was first"
        case Refused():
            return f"status {answer.status}"
        case Unanswered():
            return answer.cause
        case _:
            return type(answer).__name__
