"""Operations that show or stop this host; none calls the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CONTENT_TYPE_LATEST
from starlette.responses import Response

from citronspring import __version__
from citronspring.admin.operations import (
    Call,
    Operation,
    accepted_response,
    seconds_until,
)
from citronspring.admin.problems import JsonResponse
from citronspring.admin.tokens import Role
from citronspring.configuration.changes import change_id_revision
from citronspring.entities import HostState
from citronspring.metrics import metrics_text

if TYPE_CHECKING:
    from citronspring.tables import Tables


async def show_status(call: Call) -> Response:
    """Return the state of the system as known to this host."""
    status = describe_status(call.host.core.tables, call.host.clock())
    return JsonResponse(status | {"newest_revision": newest_revision(call)})


def newest_revision(call: Call) -> int:
    """Return the newest revision known to this host, applied or not.

    Clients make change ids from it. With an id made from an older revision the store
    could not tell that the change was never committed.
    """
    stored = change_id_revision(call.configuration.new_change_id("status"))
    return max(stored, call.host.core.tables.revision)


def describe_status(tables: Tables, now: float) -> dict[str, object]:
    """Return revisions, zones, leaving hosts and ejected targets."""
    return {
        "version": __version__,
        "host": tables.host_id,
        "revision": tables.revision,
        "accounts": len(tables.accounts),
        "flows": len(tables.flows.rows),
        "hosts": describe_hosts(tables),
        "zones": describe_zones(tables),
        "leaving": [
            host_id
            for host_id, row in sorted(tables.hosts.items())
            if row.state is HostState.LEAVING
        ],
        "ejected": [
            {
                "account_id": row.target.account_id,
                "target_id": target_id,
                "seconds_left": seconds_until(row.health.ejected_until, now),
            }
            for target_id, row in sorted(tables.targets.items())
            if row.health.ejected_until > now
        ],
    }


def describe_hosts(tables: Tables) -> list[dict[str, object]]:
    """Return a row for each host known to this host."""
    return [
        {
            "host": host_id,
            "zone": row.host.zone,
            "state": row.state.value,
            "revision": row.revision,
        }
        for host_id, row in sorted(tables.hosts.items())
    ]


def describe_zones(tables: Tables) -> list[dict[str, object]]:
    """Return the number of live hosts and their lowest revision, for each zone."""
    zones: dict[str, list[int]] = {}
    for row in tables.hosts.values():
        revisions = zones.setdefault(row.host.zone, [])
        if row.state is not HostState.DEAD:
            revisions.append(row.revision)
    return [
        {"zone": zone, "hosts": len(revisions), "revision": min(revisions, default=0)}
        for zone, revisions in sorted(zones.items())
    ]


async def show_dump(call: Call) -> Response:
    """Return the state of this process."""
    return JsonResponse(call.host.dump())


async def drain_host(call: Call) -> Response:
    """Start a graceful stop of this host."""
    call.host.leave()
    tables = call.host.core.tables
    deadline = tables.leave_deadline or call.host.clock()
    wait = seconds_until(deadline, call.host.clock())
    return accepted_response({"host": tables.host_id, "seconds_left": wait})


async def show_metrics(call: Call) -> Response:
    """Return the metrics in the text format of Prometheus."""
    return Response(metrics_text(call.host.core), media_type=CONTENT_TYPE_LATEST)


OPERATIONS = (
    Operation(
        "GET",
        "/v1/status",
        Role.READ,
        show_status,
        "Show revisions, zones, leaving hosts and ejected targets, as known to this "
        "host.",
    ),
    Operation("GET", "/v1/dump", Role.READ, show_dump, "Dump the state of this host."),
    Operation(
        "POST",
        "/v1/host/drain",
        Role.OPERATE,
        drain_host,
        "Stop this host gracefully: it leaves, serves what is in flight, and exits.",
    ),
    Operation(
        "GET", "/metrics", Role.READ, show_metrics, "Show metrics for Prometheus."
    ),
)
