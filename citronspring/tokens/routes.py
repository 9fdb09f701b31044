"""The configuration in force: its routes, turned from one revision into the next."""

from __future__ import annotations

from citronspring.events import CONFIGURATION_APPLIED
from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.tokens.entries import ConfigurationChange
from citronspring.tokens.messages import Log

if TYPE_CHECKING:
    from citronspring.tokens.entities import Route
    from citronspring.tokens.entries import Configuration
    from citronspring.tokens.messages import Action
    from citronspring.tokens.tables import Tables


def apply_configuration(
    tables: Tables, configuration: Configuration, actions: list[Action]
) -> ConfigurationChange | None:
    """Put a configuration in force if it is newer than the one that is.

    Returns what differs; None if it was not newer. A late or stale answer can bring an
    older one; applied, it would bring removed routes back.
    """
    if configuration.revision <= tables.configuration:
        return None
    change = diff_configuration(tables.routes, tables.configuration, configuration)
    apply_difference(tables, change, actions)
    return change


def apply_difference(
    tables: Tables, change: ConfigurationChange, actions: list[Action]
) -> None:
    """Turn the configuration that is in force into the next one.

    Only routes that differ are touched. Openings would wait on small hosts while a
    change of one route made thousands anew.
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
        set_route(tables, route)
    fields["routes"] = len(tables.routes)
    actions.append(Log(CONFIGURATION_APPLIED.number, fields))


def remove_route(tables: Tables, key: int) -> None:
    """Take a route away, if there is one."""
    route = tables.routes.pop(key, None)
    if route is not None:
        del tables.route_services[key]
        tables.answers.pop(key, None)
        count_priority(tables, route, -1)


def set_route(tables: Tables, route: Route) -> None:
    """Add a route, or put it in the place of the one that is."""
    known = tables.routes.get(route.key)
    if known is not None:
        count_priority(tables, known, -1)
    tables.routes[route.key] = route
    count_priority(tables, route, 1)
    services = tables.route_services.setdefault(route.key, set())
    services.update(share.service for share in route.shares)


def count_priority(tables: Tables, route: Route, step: int) -> None:
    """Count a route under its priority; one without routes is not kept."""
    tables.priorities[route.priority] += step
    if not tables.priorities[route.priority]:
        del tables.priorities[route.priority]


def diff_configuration(
    routes: dict[int, Route], before: int, after: Configuration
) -> ConfigurationChange:
    """Return what differs between the routes in force and a configuration."""
    wanted = {route.key: route for route in after.routes}
    changed = [route for key, route in wanted.items() if routes.get(key) != route]
    removed = routes.keys() - wanted.keys()
    return ConfigurationChange(
        before, after.revision, after.idle_timeout, tuple(changed), tuple(removed)
    )


def is_applicable(tables: Tables, change: ConfigurationChange) -> bool:
    """Whether a difference can be applied here, or is no news."""
    return tables.configuration in (change.base, change.revision) or (
        tables.configuration > change.revision
    )


def apply_configuration_change(
    tables: Tables, change: ConfigurationChange, actions: list[Action]
) -> bool:
    """Put in force what differs from the configuration that is; return if it was news.

    The caller has made sure that it `is_applicable`.
    """
    if change.revision <= tables.configuration:
        return False
    apply_difference(tables, change, actions)
    return True
