"""State snapshots for peers that start while the store is unreachable."""

from __future__ import annotations

from citronspring.json_text import DECODE_ERRORS, dumps, integer, number
from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.tokens.codec import (
    FORMAT_VERSION,
    decode_body,
    decode_configuration,
    decode_route_history,
    decode_target,
    decode_zone_drain,
    encode_body,
    encode_route,
    encode_route_history,
    encode_target,
    encode_zone_drain,
)
from citronspring.tokens.entries import RouteHistory
from citronspring.tokens.messages import PeerSnapshot, Refused, Unanswered

if TYPE_CHECKING:
    from typing import Any

    from citronspring.tokens.tables import Tables

#: HTTP status of an answer with a snapshot, and of a peer that has no configuration.
OK = 200
NO_CONFIGURATION = 503


def encode_snapshot(tables: Tables, now: float) -> tuple[int, bytes]:
    """Return status and body for a peer that requests a snapshot."""
    if tables.configuration == 0:
        return NO_CONFIGURATION, b"no configuration is known here\n"
    rows = [row for row in tables.targets.values() if row.gone_at > now]
    earlier = [one.target for one in tables.earlier_starts.values()]
    body = {
        "format": FORMAT_VERSION,
        "consistent": tables.reader.consistent,
        "revision": tables.reader.revision,
        "age": max(now - tables.reader.current_at, 0.0),
        "configuration": encode_configuration(tables),
        "targets": [
            *(encode_target(row.target, max(row.warm_at - now, 0.0)) for row in rows),
            *(encode_target(target, target.warmup) for target in earlier),
        ],
        "drains": [encode_zone_drain(drain) for drain in tables.zone_drains.values()],
        "histories": encode_histories(tables),
    }
    return OK, encode_body(dumps(body))


def encode_histories(tables: Tables) -> list[dict[str, Any]]:
    """Return the route histories, and earlier services that the store does not record.

    The latter have revision 0. The store may have been unreachable since a route's
    services changed, and only hosts that run since then know the earlier ones.
    """
    histories = list(tables.route_history.shards.values())
    unrecorded: dict[int, tuple[str, ...]] = {}
    for key, service in sorted(tables.route_history.earlier):
        if not tables.route_services[key][service].recorded:
            unrecorded[key] = (*unrecorded.get(key, ()), service)
    if unrecorded:
        histories.append(RouteHistory(0, unrecorded, 0))
    return [encode_route_history(history) for history in histories]


def encode_configuration(tables: Tables) -> dict[str, Any]:
    """Return the current configuration as JSON-compatible values."""
    return {
        "revision": tables.configuration,
        "idle_timeout": tables.idle_timeout,
        "routes": [encode_route(route) for route in tables.routes.values()],
    }


def decode_snapshot(status: int, body: bytes) -> PeerSnapshot | Refused | Unanswered:
    """Return the snapshot in a peer's answer."""
    if status != OK:
        return Refused(status)
    try:
        found = decode_body(body)
        targets = [decode_target(target) for target in found["targets"]]
        drains = [decode_zone_drain(drain) for drain in found.get("drains", ())]
        histories = [decode_route_history(one) for one in found.get("histories", ())]
        return PeerSnapshot(
            decode_configuration(found["configuration"]),
            (*targets, *drains, *histories),
            integer(found["revision"]),
            number(found["age"]),
            complete=found.get("format") == FORMAT_VERSION
            and found.get("consistent", True) is True,
        )
    except DECODE_ERRORS as error:
        return Unanswered(f"invalid snapshot: {error!r}")
