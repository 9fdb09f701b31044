"""State dump and metrics of the token core."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.light_stdlib import INFINITY
from citronspring.tokens.admission import current_delay
from citronspring.tokens.entries import count_of, epoch_of
from citronspring.tokens.load.crossing_cost import usual_bytes
from citronspring.tokens.load.link_usage import (
    USAGE_WINDOW,
    describe_link,
    utilization,
)

if TYPE_CHECKING:
    from citronspring.tokens.tables import Tables

PREFIX = "citronspring"


def dump_state(tables: Tables, now: float) -> dict[str, object]:
    """Return the state as JSON-compatible values, for operators.

    Times are in seconds relative to now.
    """
    return {
        "host": tables.host_id,
        "zone": tables.zone,
        "configuration": tables.configuration,
        "read_revision": count_of(tables.reader.revision),
        "store_epoch": epoch_of(tables.reader.revision),
        "age": seconds(now - tables.reader.current_at),
        "store_failures": tables.reader.failures,
        "leaving": tables.leave_deadline is not None,
        "routes": len(tables.routes),
        "flows": len(tables.flows),
        "drained_zones": {
            zone: tables.zone_drains[zone].revision for zone in tables.drained_zones
        },
        "earlier_services": earlier_services(tables, now),
        "zones": {
            name: {"suspect_for": seconds(row.suspect_until - now)}
            for name, row in sorted(tables.zones.items())
        },
        "targets": {
            target_id: {
                "service": row.target.service,
                "zone": row.target.zone,
                "leaving": row.target.leaving,
                "gone_for": seconds(now - row.gone_at),
                "flows": row.flows,
                "busy": row.busy,
                "silences": row.timeouts,
                "avoid_for": seconds(row.avoid_until - now),
            }
            for target_id, row in sorted(tables.targets.items())
        },
        "zone_crossing_cost": tables.zone_crossing_cost,
        "route_bytes": {
            route_name(tables, key): round(usual_bytes(row))
            for key, row in sorted(tables.route_bytes.items())
        },
        "services": {
            name: {"delay": seconds(current_delay(tables, name, now))}
            for name in sorted(tables.services)
        },
        "link": {
            **describe_link(tables, now),
            "full": tables.link_usage.nearly_full,
            "received": tables.link_usage.received,
            "sent": tables.link_usage.sent,
            "expected_bytes": tables.uploads.remaining,
            "in_flight": tables.uploads.in_flight,
        },
        "request_sizes": {
            tables.routes[key].name: round(row.mean)
            for key, row in sorted(tables.request_sizes.items())
            if key in tables.routes
        },
        "counters": dict(sorted(tables.counters.items())),
    }


def earlier_services(tables: Tables, now: float) -> dict[str, dict[str, object]]:
    """Return the former services that are remembered, by route."""
    found: dict[str, dict[str, object]] = {}
    for key, service in sorted(tables.route_history.earlier):
        row = tables.route_services[key][service]
        found.setdefault(tables.routes[key].name, {})[service] = {
            "forgotten_in": seconds(row.forget_at - now),
            "recorded": row.recorded,
        }
    return found


def oldest_earlier_service(tables: Tables, now: float) -> float:
    """Return the seconds since the oldest remembered former service was replaced."""
    rows = [
        tables.route_services[key][service]
        for key, service in tables.route_history.earlier
    ]
    return max((now - row.earlier_since for row in rows), default=0.0)


def route_name(tables: Tables, key: int) -> str:
    """Return the name of a route, its key if the configuration has removed it."""
    route = tables.routes.get(key)
    return route.name if route is not None else str(key)


def seconds(value: float) -> float | None:
    """Return a rounded duration, None if it is not positive or unknown."""
    return round(value, 3) if 0 < value < INFINITY else None


def link_utilization(tables: Tables, now: float) -> float:
    """Return the utilization of the host's link in the last second."""
    return utilization(tables.link_usage, tables.link_rate, USAGE_WINDOW, now)


def metrics_text(tables: Tables, now: float) -> str:
    """Return counters, gauges and histograms in the Prometheus text format."""
    gauges = {
        "configuration_revision": tables.configuration,
        "knowledge_age_seconds": min(now - tables.reader.current_at, 1e9),
        "store_failures": tables.reader.failures,
        "flows": len(tables.flows),
        "targets": len(tables.targets),
        "link_utilization": link_utilization(tables, now),
        "expected_upload_bytes": tables.uploads.remaining,
        "earlier_service_age_seconds": oldest_earlier_service(tables, now),
    }
    lines = []
    for name, value in gauges.items():
        lines.append(f"# TYPE {PREFIX}_{name} gauge")
        lines.append(f"{PREFIX}_{name} {value:g}")
    lines.append(f"# TYPE {PREFIX}_service_delay_seconds gauge")
    for service in sorted(tables.services):
        delay = current_delay(tables, service, now)
        lines.append(f'{PREFIX}_service_delay_seconds{{service="{service}"}} {delay:g}')
    lines.append(f"# TYPE {PREFIX}_route_bytes gauge")
    for key, row in sorted(tables.route_bytes.items()):
        name = route_name(tables, key)
        lines.append(f'{PREFIX}_route_bytes{{route="{name}"}} {usual_bytes(row):g}')
    lines.append(f"# TYPE {PREFIX}_zone_drained gauge")
    for zone in sorted(tables.zone_drains):
        drained = int(tables.is_drained(zone))
        lines.append(f'{PREFIX}_zone_drained{{zone="{zone}"}} {drained}')
    lines.append(f"# TYPE {PREFIX}_link_bytes_total counter")
    for direction in ("received", "sent"):
        count = getattr(tables.link_usage, direction)
        lines.append(f'{PREFIX}_link_bytes_total{{direction="{direction}"}} {count}')
    lines.append(f"# TYPE {PREFIX}_earlier_service_packets_total counter")
    for key, count in sorted(tables.route_history.packets.items()):
        route = route_name(tables, key)
        lines.append(
            f'{PREFIX}_earlier_service_packets_total{{route="{route}"}} {count}'
        )
    lines.append(f"# TYPE {PREFIX}_events_total counter")
    for kind, count in sorted(tables.counters.items()):
        lines.append(f'{PREFIX}_events_total{{kind="{kind}"}} {count}')
    for name, histogram in tables.histograms.items():
        lines += histogram.lines(f"{PREFIX}_{name}_seconds")
    return "\n".join(lines) + "\n"
