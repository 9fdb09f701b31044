"""Entries of the store: the operators' configuration and registered targets."""

from __future__ import annotations

from citronspring.errors import StoredValueError
from citronspring.json_text import dumps, loads
from citronspring.light_stdlib import INFINITY, TYPE_CHECKING
from citronspring.platform.addresses import parse_endpoint, parse_ipv4, parse_port
from citronspring.tokens.entities import Route, Share, route_key
from citronspring.tokens.entries import Configuration, Target, ZoneReader

if TYPE_CHECKING:
    from typing import Any

    from citronspring.endpoints import Endpoint

#: Key of the configuration in force.
CONFIGURATION_KEY = "op/config"

#: Beginning of the keys of registered targets; what follows is the target's id.
TARGET_PREFIX = "servers/"

#: Beginning of the keys under which hosts register as readers; a zone follows.
READER_PREFIX = "readers/"

#: Beginning of the keys by which operators ask to empty a zone, whose name follows.
#: The value says nothing.
DRAIN_PREFIX = "op/evacuate/"

#: Requests of this kind may run twice.
IDEMPOTENT_ROUTE_TYPE = "idempotent"

#: What a target says of itself: whether it is about to stop.
LEAVING_BY_STATE = {"ready": False, "draining": True}

#: Fields that an entry of a target must have, with their types. They are checked
#: though not all are used: other programs write under the same keys, and what only
#: looks like a target would be given flows.
TARGET_FIELDS: dict[str, tuple[type, ...]] = {
    "service": (str,),
    "addr": (str,),
    "zone": (str,),
    "version": (str,),
    "concurrency": (int,),
    "state": (str,),
    "seq": (int,),
    "warmup_left_ms": (int, float),
}

#: Names the start of a target; targets of older releases do not write it.
START_FIELD = "born"

#: Longest time in seconds that a target can say it stays slow: a day.
MAX_WARMUP = 86_400.0

#: Hexadecimal digits, for the number within a target's id.
HEX_DIGITS = frozenset("0123456789abcdef")

MILLISECOND = 0.001

#: What decoding raises when a value has another shape than the pages say.
DECODE_ERRORS = (
    AttributeError,
    KeyError,
    IndexError,
    OverflowError,
    TypeError,
    ValueError,
)


def decode_entry(
    key: str, value: bytes, revision: int
) -> Configuration | Target | ZoneReader | None:
    """Return what an entry holds; None for a key that is nothing to a host.

    Raises
    ------
    StoredValueError
        If the value is not what its key says.
    """
    if key == CONFIGURATION_KEY:
        return decode_configuration(parse_object(value))
    if key.startswith(TARGET_PREFIX):
        return decode_target(
            key.removeprefix(TARGET_PREFIX), parse_object(value), revision
        )
    if key.startswith(READER_PREFIX):
        return decode_reader(
            key.removeprefix(READER_PREFIX), parse_object(value), revision
        )
    return None


def parse_object(value: bytes) -> dict[str, Any]:
    """Return the object in a value."""
    try:
        found = loads(value)
    except (ValueError, RecursionError) as error:
        raise StoredValueError(f"the value is no JSON: {error}") from error
    if not isinstance(found, dict):
        raise StoredValueError("the value is no object")
    return found


def decode_configuration(body: dict[str, Any]) -> Configuration:
    """Translate the operators' configuration."""
    try:
        return Configuration(
            revision=int(body["version"]),
            routes=tuple(decode_route(route) for route in body["routes"]),
            idle_timeout=float(body["limits"]["idle_timeout_ms"]) * MILLISECOND,
        )
    except DECODE_ERRORS as error:
        raise StoredValueError(f"the configuration is not valid: {error!r}") from error


def decode_route(body: dict[str, Any]) -> Route:
    """Translate a route."""
    # ``host`` is the service address and ``prefix`` its port between slashes.
    address = parse_ipv4(body["host"])
    port = parse_port(body["prefix"].strip("/"))
    if "backends" in body:
        shares = tuple(
            Share(share["service"], float(share["weight"]))
            for share in body["backends"]
        )
    else:
        shares = (Share(body["service"], 1.0),)
    return Route(
        name=body["name"],
        key=route_key(address, port),
        shares=shares,
        idempotent=body["route_type"] == IDEMPOTENT_ROUTE_TYPE,
        objective=decode_objective(body.get("target_latency_ms")),
        priority=int(body.get("priority", 0)),
    )


def decode_objective(milliseconds: float | None) -> float:
    """Return a latency objective in seconds; infinite where a route has none."""
    return float(milliseconds) * MILLISECOND if milliseconds else INFINITY


def decode_target(target_id: str, body: dict[str, Any], revision: int) -> Target:
    """Translate what a target registered."""
    try:
        check_target_fields(body)
        return Target(
            target_id=target_id,
            incarnation=parse_incarnation(target_id),
            endpoint=parse_endpoint(body["addr"]),
            service=body["service"],
            zone=body["zone"],
            slots=max(1, body["concurrency"]),
            leaving=LEAVING_BY_STATE[body["state"]],
            warmup=decode_warmup(body["warmup_left_ms"]),
            revision=revision,
            started=decode_start(body),
            sequence=body["seq"],
        )
    except DECODE_ERRORS as error:
        raise StoredValueError(f"the target is not valid: {error!r}") from error


def check_target_fields(body: dict[str, Any]) -> None:
    """Raise ValueError if a field of a target is missing or of another type."""
    for name, types in TARGET_FIELDS.items():
        if not has_type(body.get(name), types):
            raise ValueError(f"{name} is {body.get(name)!r:.40}")
    if START_FIELD in body and decode_start(body) is None:
        raise ValueError(f"{START_FIELD} is {body[START_FIELD]!r:.40}")


def has_type(value: object, types: tuple[type, ...]) -> bool:
    """Whether a value has one of some JSON types; a truth value is no number."""
    return type(value) in types


def decode_start(body: dict[str, Any]) -> int | None:
    """Return which start of a target an entry is of, None if it does not say."""
    started = body.get(START_FIELD)
    return started if has_type(started, (int,)) else None


def decode_warmup(milliseconds: float) -> float:
    """Return how long a target stays slow, in seconds."""
    if not 0 <= milliseconds <= MAX_WARMUP / MILLISECOND:
        raise ValueError(f"a target cannot stay slow for {milliseconds!r:.40} ms")
    return milliseconds * MILLISECOND


def decode_reader(zone: str, body: dict[str, Any], revision: int) -> ZoneReader:
    """Translate what the reader of a zone registered."""
    try:
        return ZoneReader(zone, str(body["host"]), parse_endpoint(body["at"]), revision)
    except DECODE_ERRORS as error:
        raise StoredValueError(f"the reader is not valid: {error!r}") from error


def encode_reader(host_id: str, endpoint: Endpoint) -> bytes:
    """Return what a host registers as the reader of its zone."""
    return dumps({"host": host_id, "at": str(endpoint)}).encode()


def parse_incarnation(target_id: str) -> int:
    """Return the number in a target's id, that of its hexadecimal digits."""
    _, _, digits = target_id.rpartition("-")
    if not digits or not HEX_DIGITS.issuperset(digits):
        raise ValueError(f"the id {target_id!r} ends in no hexadecimal number")
    number = int(digits, 16)
    if not 0 < number < 1 << 64:
        raise ValueError(f"the number of {target_id!r} does not fit 8 bytes, or is 0")
    return number
