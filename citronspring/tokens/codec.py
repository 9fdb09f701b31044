"""Encoding of a host's state as JSON-compatible values, for exchange between hosts."""

from __future__ import annotations

from citronspring.addresses import parse_endpoint
from citronspring.json_text import integer, loads, number, text
from citronspring.light_stdlib import INFINITY, TYPE_CHECKING
from citronspring.tokens.entities import Route, Share, valid_objective
from citronspring.tokens.entries import (
    Configuration,
    ConfigurationChange,
    ReaderRemoved,
    RouteHistory,
    Target,
    TargetRemoved,
    Unreadable,
    ZoneDrain,
    ZoneReader,
    check_target,
)

if TYPE_CHECKING:
    from typing import Any

    from citronspring.endpoints import Endpoint
    from citronspring.tokens.entries import FeedChange


#: Version of the format that hosts exchange. Version 2 adds zone drains, version 3
#: numbers revisions by epoch, version 4 adds route histories. A message of an earlier
#: version may lack such data, so its absence there means nothing.
FORMAT_VERSION = 4

#: Size in bytes from which a body is compressed. Compression takes 0.6 ms for a
#: difference of 1,400 routes and reduces it from 185 to 26 KB, so that a zone reader's
#: share of its link serves a whole zone. A body of one or two packets gains nothing.
MIN_COMPRESSED_BYTES = 2000

#: Compression level; the fastest. Level 6 saves another fifth but takes twice the time.
COMPRESSION_LEVEL = 1

#: Most characters of a reason that hosts pass on; an error may quote a long value.
MAX_REASON_CHARACTERS = 200

#: Largest decompressed body in bytes, 20 times the largest configuration of the
#: platform. It keeps a corrupted body from exhausting a host's memory.
MAX_DECOMPRESSED_BYTES = 20_000_000


def encode_body(text: str) -> bytes:
    """Return JSON text as a body, compressed if that reduces traffic."""
    body = text.encode()
    if len(body) < MIN_COMPRESSED_BYTES:
        return body
    # Imported for the first large body; starting a host needs no compression.
    from zlib import compress

    return compress(body, COMPRESSION_LEVEL)


def decode_body(body: bytes) -> Any:
    """Return the JSON value in a body; raise ValueError on failure."""
    if body.startswith(b"{"):
        return loads(body)
    from zlib import decompressobj, error

    decompressor = decompressobj()
    try:
        text = decompressor.decompress(body, MAX_DECOMPRESSED_BYTES)
    except error as cause:
        raise ValueError(f"corrupted body: {cause}") from cause
    if not decompressor.eof:
        raise ValueError("body is truncated or exceeds the size limit")
    return loads(text)


def encode_change(change: FeedChange, age: float = 0.0) -> dict[str, Any]:
    """Return a change as JSON-compatible values.

    ``age`` is the time in seconds since it was read.
    """
    match change:
        case ConfigurationChange():
            return {
                "base": change.base,
                "revision": change.revision,
                "idle_timeout": change.idle_timeout,
                "routes": [encode_route(route) for route in change.routes],
                "removed_routes": list(change.removed),
            }
        case Target():
            return {"target": encode_target(change, max(change.warmup - age, 0.0))}
        case Unreadable():
            names: tuple[str, ...] = Unreadable.__match_args__
            entry = {name: getattr(change, name) for name in names}
            entry["reason"] = change.reason[:MAX_REASON_CHARACTERS]
            return {"unreadable": entry}
        case TargetRemoved():
            return {"removed": change.target_id, "revision": change.revision}
        case ZoneReader():
            names = ZoneReader.__match_args__
            return {"reader": {name: getattr(change, name) for name in names}}
        case ReaderRemoved():
            return {"reader_removed": change.zone, "revision": change.revision}
        case ZoneDrain():
            return {"drain": encode_zone_drain(change)}
        case RouteHistory():
            return {"history": encode_route_history(change)}


def decode_change(body: dict[str, Any]) -> FeedChange:
    """Return a change from its encoded values."""
    if "base" in body:
        return ConfigurationChange(
            integer(body["base"]),
            integer(body["revision"]),
            number(body["idle_timeout"]),
            tuple(decode_route(route) for route in body["routes"]),
            tuple(integer(key) for key in body["removed_routes"]),
        )
    if "target" in body:
        return decode_target(body["target"])
    if "unreadable" in body:
        found = body["unreadable"]
        return Unreadable(
            text(found["name"]),
            text(found["reason"]),
            integer(found["revision"]),
            start_time_of(found),
            None if found.get("shard") is None else integer(found["shard"]),
        )
    if "reader" in body:
        return decode_zone_reader(body["reader"])
    if "reader_removed" in body:
        return ReaderRemoved(text(body["reader_removed"]), integer(body["revision"]))
    if "drain" in body:
        return decode_zone_drain(body["drain"])
    if "history" in body:
        return decode_route_history(body["history"])
    return TargetRemoved(text(body["removed"]), integer(body["revision"]))


def encode_route(route: Route) -> dict[str, Any]:
    """Return a route as JSON-compatible values."""
    return {
        "name": route.name,
        "key": route.key,
        "shares": [[share.service, share.weight] for share in route.shares],
        "idempotent": route.idempotent,
        "objective": None if route.objective == INFINITY else route.objective,
        "priority": route.priority,
    }


def encode_target(target: Target, warmup: float) -> dict[str, Any]:
    """Return a target as JSON-compatible values."""
    names: tuple[str, ...] = Target.__match_args__
    values: dict[str, Any] = {name: getattr(target, name) for name in names}
    values["warmup"] = warmup
    return values


def decode_configuration(body: dict[str, Any]) -> Configuration:
    """Return a configuration from its encoded values."""
    routes = tuple(decode_route(route) for route in body["routes"])
    return Configuration(
        integer(body["revision"]), routes, number(body["idle_timeout"])
    )


def decode_route(body: dict[str, Any]) -> Route:
    """Return a route from its encoded values."""
    return Route(
        text(body["name"]),
        integer(body["key"]),
        tuple(Share(text(name), number(weight)) for name, weight in body["shares"]),
        bool(body["idempotent"]),
        objective_of(body),
        integer(body.get("priority", 0)),
    )


def objective_of(body: dict[str, Any]) -> float:
    """Return the objective of an encoded route, infinite if it has none."""
    objective = body.get("objective")
    return INFINITY if objective is None else valid_objective(number(objective))


def decode_target(body: dict[str, Any]) -> Target:
    """Return a target from its encoded values."""
    return check_target(
        Target(
            text(body["target_id"]),
            integer(body["incarnation"]),
            decode_endpoint(body["endpoint"]),
            text(body["service"]),
            text(body["zone"]),
            integer(body["slots"]),
            bool(body["leaving"]),
            number(body["warmup"]),
            integer(body["revision"]),
            start_time_of(body),
            integer(body.get("sequence", 0)),
        )
    )


def decode_endpoint(body: list[Any]) -> Endpoint:
    """Return an IPv4 address and port; raises ValueError if they are invalid."""
    ip, port = body
    return parse_endpoint(f"{text(ip)}:{integer(port)}")


def decode_zone_reader(body: dict[str, Any]) -> ZoneReader:
    """Return a zone reader from its encoded values."""
    return ZoneReader(
        text(body["zone"]),
        text(body["host_id"]),
        decode_endpoint(body["endpoint"]),
        integer(body["revision"]),
    )


def encode_zone_drain(drain: ZoneDrain) -> dict[str, Any]:
    """Return a zone drain as JSON-compatible values."""
    names: tuple[str, ...] = ZoneDrain.__match_args__
    return {name: getattr(drain, name) for name in names}


def decode_zone_drain(body: dict[str, Any]) -> ZoneDrain:
    """Return a zone drain from its encoded values."""
    return ZoneDrain(text(body["zone"]), integer(body["revision"]), bool(body["ended"]))


def encode_route_history(history: RouteHistory) -> dict[str, Any]:
    """Return a route history as JSON-compatible values."""
    names: tuple[str, ...] = RouteHistory.__match_args__
    return {name: getattr(history, name) for name in names}


def decode_route_history(body: dict[str, Any]) -> RouteHistory:
    """Return a route history from its encoded values."""
    return RouteHistory(
        integer(body["shard"]),
        decode_services(body["routes"]),
        integer(body["revision"]),
        bool(body["removed"]),
    )


def decode_services(body: dict[str, Any]) -> dict[int, tuple[str, ...]]:
    """Return the services of routes by the key of the route.

    Raises
    ------
    TypeError, ValueError, AttributeError
        If the body has another shape.
    """
    routes = {}
    for key, services in body.items():
        if not isinstance(services, list):
            raise ValueError(f"invalid services of route {key:.40}: {services!r:.40}")
        routes[int(key)] = tuple(text(service) for service in services)
    return routes


def start_time_of(body: dict[str, Any]) -> int | None:
    """Return the start time of an encoded target, None if it is not given."""
    started = body.get("started")
    return None if started is None else integer(started)
