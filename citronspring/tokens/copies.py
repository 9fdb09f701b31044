"""Copies of what a host knows, for peers that start while the store is away."""

from __future__ import annotations

from citronspring.endpoints import Endpoint
from citronspring.json_text import dumps, loads
from citronspring.lean import INFINITY, TYPE_CHECKING
from citronspring.tokens.entities import Configuration, Route, Share, Target
from citronspring.tokens.messages import PeerCopy, Refused, Unanswered

if TYPE_CHECKING:
    from typing import Any

    from citronspring.tokens.tables import Tables

#: What decoding raises when a copy has another shape, as one of another release may.
UNUSABLE = (AttributeError, IndexError, KeyError, TypeError, ValueError)

#: Bytes from which a body is compressed. A difference of 1,400 routes shrinks from
#: 185 to 26 KB in 0.6 ms, and a reader's share of its link does for a whole zone; a
#: body of a packet or two gains nothing.
SMALLEST_PACKED = 2000

#: Level of compression: the quickest; 6 saves another fifth for twice the time.
PACK_LEVEL = 1

#: Bytes that a body may have when it is unpacked, 20 times the largest configuration
#: of the platform, so that a damaged one cannot use up a host's memory.
LARGEST_UNPACKED = 20_000_000

#: Status of an answer that holds a copy, and of a peer that has none to give.
OK = 200
NOTHING_KNOWN = 503


def pack(text: str) -> bytes:
    """Return JSON text as it is sent between hosts, compressed where that pays."""
    body = text.encode()
    if len(body) < SMALLEST_PACKED:
        return body
    # Imported for the first large body; a start needs none.
    from zlib import compress

    return compress(body, PACK_LEVEL)


def unpack(body: bytes) -> Any:
    """Return the plain values in a body; raises one of `UNUSABLE`."""
    if body.startswith(b"{"):
        return loads(body)
    from zlib import decompressobj, error

    unpacker = decompressobj()
    try:
        text = unpacker.decompress(body, LARGEST_UNPACKED)
    except error as cause:
        raise ValueError(f"the body is damaged: {cause}") from cause
    if not unpacker.eof:
        raise ValueError("the body is cut off, or too large")
    return loads(text)


def encode_copy(tables: Tables, now: float) -> tuple[int, bytes]:
    """Return status and body of the answer to a peer that asks for a copy."""
    if tables.configuration == 0:
        return NOTHING_KNOWN, b"no configuration is known here\n"
    rows = [row for row in tables.targets.values() if row.gone_at > now]
    body = {
        "revision": tables.reader.revision,
        "age": max(now - tables.reader.current_at, 0.0),
        "configuration": plain_configuration(tables),
        "targets": [
            plain_target(row.target, max(row.warm_at - now, 0.0)) for row in rows
        ],
    }
    return OK, pack(dumps(body))


def plain_configuration(tables: Tables) -> dict[str, Any]:
    """Return the configuration in force as plain values."""
    return {
        "revision": tables.configuration,
        "idle_timeout": tables.idle_timeout,
        "routes": [plain_route(route) for route in tables.routes.values()],
    }


def plain_route(route: Route) -> dict[str, Any]:
    """Return a route as plain values."""
    return {
        "name": route.name,
        "key": route.key,
        "shares": [[share.service, share.weight] for share in route.shares],
        "idempotent": route.idempotent,
        "objective": None if route.objective == INFINITY else route.objective,
        "priority": route.priority,
    }


def plain_target(target: Target, warmup: float) -> dict[str, Any]:
    """Return a target as plain values."""
    names: tuple[str, ...] = Target.__match_args__
    values: dict[str, Any] = {name: getattr(target, name) for name in names}
    values["warmup"] = warmup
    return values


def decode_copy(status: int, body: bytes) -> PeerCopy | Refused | Unanswered:
    """Return the copy in a peer's answer."""
    if status != OK:
        return Refused(status)
    try:
        found = unpack(body)
        return PeerCopy(
            decode_configuration(found["configuration"]),
            tuple(decode_target(target) for target in found["targets"]),
            int(found["revision"]),
            float(found["age"]),
        )
    except UNUSABLE as error:
        return Unanswered(f"a copy that cannot be read: {error!r}")


def decode_configuration(body: dict[str, Any]) -> Configuration:
    """Return a configuration from plain values."""
    routes = tuple(decode_route(route) for route in body["routes"])
    return Configuration(int(body["revision"]), routes, float(body["idle_timeout"]))


def decode_route(body: dict[str, Any]) -> Route:
    """Return a route from plain values."""
    return Route(
        str(body["name"]),
        int(body["key"]),
        tuple(Share(str(name), float(weight)) for name, weight in body["shares"]),
        bool(body["idempotent"]),
        objective_of(body),
        int(body.get("priority", 0)),
    )


def objective_of(body: dict[str, Any]) -> float:
    """Return the objective in a route's plain values; infinite if there is none."""
    objective = body.get("objective")
    return INFINITY if objective is None else float(objective)


def decode_target(body: dict[str, Any]) -> Target:
    """Return a target from plain values."""
    ip, port = body["endpoint"]
    return Target(
        str(body["target_id"]),
        int(body["incarnation"]),
        Endpoint(str(ip), int(port)),
        str(body["service"]),
        str(body["zone"]),
        int(body["slots"]),
        bool(body["leaving"]),
        float(body["warmup"]),
        int(body["revision"]),
        start_of(body),
    )


def start_of(body: dict[str, Any]) -> int | None:
    """Return which start of a target plain values are of, None if they do not say."""
    started = body.get("started")
    return None if started is None else int(started)
