"""The current configuration: its routes, and the update to the next revision."""

from __future__ import annotations

from citronspring.events import CONFIGURATION_APPLIED
from citronspring.light_stdlib import INFINITY, TYPE_CHECKING
from citronspring.tokens.entries import ConfigurationChange
from citronspring.tokens.messages import Log
from citronspring.tokens.rows import RouteServiceRow

if TYPE_CHECKING:
    from citronspring.tokens.entities import Route
    from citronspring.tokens.entries import Configuration
    from citronspring.tokens.messages import Action
    from citronspring.tokens.tables import Tables


def apply_configuration(
    tables: Tables, configuration: Configuration, now: float, actions: list[Action]
) -> ConfigurationChange | None:
    """Apply a configuration if it is newer than the current one.

    Return the difference, None if it was not newer. A late or stale answer may contain
    an older configuration, which would bring removed routes back.
    """
    if configuration.revision <= tables.configuration:
        return None
    change = diff_configuration(tables.routes, tables.configuration, configuration)
    apply_difference(tables, change, now, actions)
    return change


def apply_difference(
    tables: Tables, change: ConfigurationChange, now: float, actions: list[Action]
) -> None:
    """Update the current configuration by a difference.

    Only routes that differ are changed. Rebuilding thousands of routes for a change of
    one would delay openings on small hosts.
    """
    fields: dict[str, object] = {
        "revision": change.revision,
        "before": tables.configuration,
    }
    tables.configuration = change.revision
    tables.idle_timeout = change.idle_timeout
    for key in change.removed:
        remove_route(tables, key)
    for route in change.routes:
        set_route(tables, route, now, actions)
    fields["routes"] = len(tables.routes)
    actions.append(Log(CONFIGURATION_APPLIED.number, fields))


def remove_route(tables: Tables, key: int) -> None:
    """Remove a route if it exists."""
    route = tables.routes.pop(key, None)
    if route is not None:
        remove_services(tables, key, route)
        tables.answers.pop(key, None)
        tables.request_sizes.pop(key, None)
        tables.route_bytes.pop(key, None)
        count_priority(tables, route, -1)


def set_route(tables: Tables, route: Route, now: float, actions: list[Action]) -> None:
    """Add or replace a route."""
    known = tables.routes.get(route.key)
    if known is not None:
        count_priority(tables, known, -1)
    tables.routes[route.key] = route
    count_priority(tables, route, 1)
    count_multi_service_route(tables, known, route)
    set_services(tables, route, now, actions)


def has_several_services(route: Route) -> bool:
    """Whether a route has several services."""
    return len(route.shares) > 1


def count_multi_service_route(
    tables: Tables, before: Route | None, route: Route
) -> None:
    """Count a route with several services; with the first one, all are recorded."""
    history = tables.route_history
    was_split = before is not None and has_several_services(before)
    history.multi_service_routes += has_several_services(route) - was_split
    if (
        history.multi_service_routes == 1
        and has_several_services(route)
        and not was_split
    ):
        history.routes_to_check.update(tables.routes)


def remove_services(tables: Tables, key: int, route: Route) -> None:
    """Remove the services of a removed route, also from the route history."""
    history = tables.route_history
    history.multi_service_routes -= has_several_services(route)
    history.routes_to_check.add(key)
    for service in tables.route_services.pop(key):
        history.earlier.discard((key, service))


def set_services(
    tables: Tables, route: Route, now: float, actions: list[Action]
) -> None:
    """Update the services of a route; others are kept until their deadline."""
    history = tables.route_history
    rows = tables.route_services.setdefault(route.key, {})
    named = {share.service for share in route.shares}
    for service in named:
        row = rows.get(service)
        if row is None:
            rows[service] = RouteServiceRow()
        elif row.forget_at != INFINITY:
            row.forget_at = row.earlier_since = INFINITY
            history.earlier.discard((route.key, service))
    history.routes_to_check.add(route.key)
    if history.shards or len(rows) > len(named):
        # Imported on first use; most starts need no earlier services.
        from citronspring.tokens.route_history import remember_services

        remember_services(tables, route, now, actions)


def count_priority(tables: Tables, route: Route, step: int) -> None:
    """Count a route under its priority and objective; drop those without routes."""
    tables.priorities[route.priority] += step
    if not tables.priorities[route.priority]:
        del tables.priorities[route.priority]
    pair = (route.priority, route.objective)
    tables.objectives[pair] += step
    if not tables.objectives[pair]:
        del tables.objectives[pair]


def diff_configuration(
    routes: dict[int, Route], before: int, after: Configuration
) -> ConfigurationChange:
    """Return the difference between the current routes and a configuration."""
    wanted = {route.key: route for route in after.routes}
    changed = [route for key, route in wanted.items() if routes.get(key) != route]
    removed = routes.keys() - wanted.keys()
    return ConfigurationChange(
        before, after.revision, after.idle_timeout, tuple(changed), tuple(removed)
    )


def is_applicable(tables: Tables, change: ConfigurationChange) -> bool:
    """Whether a difference starts at the current configuration, or is outdated."""
    return tables.configuration in (change.base, change.revision) or (
        tables.configuration > change.revision
    )


def apply_configuration_change(
    tables: Tables, change: ConfigurationChange, now: float, actions: list[Action]
) -> None:
    """Apply a difference to the current configuration, unless it is older.

    The caller has checked `is_applicable`.
    """
    if change.revision <= tables.configuration:
        return
    apply_difference(tables, change, now, actions)
