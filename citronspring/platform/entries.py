"""Decoding of store entries: configuration, registered targets and zone readers."""

from __future__ import annotations

from citronspring.addresses import parse_endpoint, parse_ipv4, parse_port
from citronspring.errors import StoredValueError
from citronspring.json_text import (
    DECODE_ERRORS,
    dumps,
    integer,
    loads_object,
    number,
    text,
)
from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.tokens.entities import Route, Share, route_key, valid_objective
from citronspring.tokens.entries import (
    Configuration,
    Target,
    ZoneReader,
    check_target,
    is_start_time,
)

if TYPE_CHECKING:
    from typing import Any

    from citronspring.endpoints import Endpoint

#: Key of the current configuration.
CONFIGURATION_KEY = "op/config"

#: Prefix of the keys of registered targets, followed by the target's id.
TARGET_PREFIX = "servers/"

#: Prefix of the keys under which zone readers register, followed by the zone.
READER_PREFIX = "readers/"

#: Prefix of the keys of the route history's shards, followed by the shard.
HISTORY_PREFIX = "route-history/"

#: Prefix of the keys by which operators drain a zone, followed by the zone. The value
#: is ignored.
DRAIN_PREFIX = "op/evacuate/"

#: Route types whose requests may be executed more than once.
IDEMPOTENT_ROUTE_TYPES = ("idempotent", "download")

#: Whether a target is leaving, by the state that it registers.
LEAVING_BY_STATE = {"ready": False, "draining": True}

#: Required fields of a target's entry and their types. All are checked, also unused
#: ones: other programs write under the same prefix, and an entry that only resembles a
#: target must not receive flows.
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

#: Field with the start time of the target's process; older targets do not write it.
START_FIELD = "born"

#: Hexadecimal digits, for the number in a target's id.
HEX_DIGITS = frozenset("0123456789abcdef")

MILLISECOND = 0.001


def decode_entry(
    key: str, value: bytes, revision: int
) -> Configuration | Target | ZoneReader | None:
    """Return the decoded entry; None for a key that a host does not use.

    Raises
    ------
    StoredValueError
        If the value is not valid for its key.
    """
    if key == CONFIGURATION_KEY:
        return decode_configuration(loads_object(value))
    if key.startswith(TARGET_PREFIX):
        return decode_target(
            key.removeprefix(TARGET_PREFIX), loads_object(value), revision
        )
    if key.startswith(READER_PREFIX):
        return decode_reader(
            key.removeprefix(READER_PREFIX), loads_object(value), revision
        )
    return None


def decode_configuration(body: dict[str, Any]) -> Configuration:
    """Return the decoded configuration."""
    try:
        return Configuration(
            revision=integer(body["version"]),
            routes=tuple(decode_route(route) for route in body["routes"]),
            idle_timeout=number(body["limits"]["idle_timeout_ms"]) * MILLISECOND,
        )
    except DECODE_ERRORS as error:
        raise StoredValueError(f"invalid configuration: {error!r}") from error


def decode_route(body: dict[str, Any]) -> Route:
    """Return the decoded route."""
    # ``host`` is the service address and ``prefix`` its port between slashes.
    address = parse_ipv4(body["host"])
    port = parse_port(body["prefix"].strip("/"))
    if "backends" in body:
        shares = tuple(
            Share(text(share["service"]), number(share["weight"]))
            for share in body["backends"]
        )
    else:
        shares = (Share(text(body["service"]), 1.0),)
    return Route(
        name=text(body["name"]),
        key=route_key(address, port),
        shares=shares,
        idempotent=body["route_type"] in IDEMPOTENT_ROUTE_TYPES,
        objective=valid_objective(
            number(body.get("target_latency_ms") or 0) * MILLISECOND
        ),
        priority=integer(body.get("priority", 0)),
    )


def decode_target(target_id: str, body: dict[str, Any], revision: int) -> Target:
    """Return the decoded registration of a target."""
    try:
        check_target_fields(body)
        return check_target(
            Target(
                target_id=target_id,
                incarnation=parse_incarnation(target_id),
                endpoint=parse_endpoint(body["addr"]),
                service=text(body["service"]),
                zone=text(body["zone"]),
                slots=max(1, body["concurrency"]),
                leaving=LEAVING_BY_STATE[body["state"]],
                warmup=body["warmup_left_ms"] * MILLISECOND,
                revision=revision,
                started=decode_start(body),
                sequence=body["seq"],
            )
        )
    except DECODE_ERRORS as error:
        raise StoredValueError(f"invalid target: {error!r}") from error


def check_target_fields(body: dict[str, Any]) -> None:
    """Raise ValueError if a field of a target is missing or has the wrong type."""
    for name, types in TARGET_FIELDS.items():
        if not has_type(body.get(name), types):
            raise ValueError(f"invalid {name}: {body.get(name)!r:.40}")
    if START_FIELD in body and decode_start(body) is None:
        raise ValueError(f"invalid {START_FIELD}: {body[START_FIELD]!r:.40}")


def has_type(value: object, types: tuple[type, ...]) -> bool:
    """Whether a value has one of the given JSON types; a boolean is not a number."""
    return type(value) in types


def decode_start(body: dict[str, Any]) -> int | None:
    """Return the start time of a target's process, None if the entry has none."""
    started = body.get(START_FIELD)
    return started if type(started) is int and is_start_time(started) else None


def decode_reader(zone: str, body: dict[str, Any], revision: int) -> ZoneReader:
    """Return the decoded registration of a zone reader."""
    try:
        return ZoneReader(
            zone, text(body["host"]), parse_endpoint(body["at"]), revision
        )
    except DECODE_ERRORS as error:
        raise StoredValueError(f"invalid zone reader: {error!r}") from error


def encode_reader(host_id: str, endpoint: Endpoint) -> bytes:
    """Return the value with which a host registers as zone reader."""
    return dumps({"host": host_id, "at": str(endpoint)}).encode()


def parse_incarnation(target_id: str) -> int:
    """Return the hexadecimal number at the end of a target's id."""
    _, _, digits = target_id.rpartition("-")
    if not digits or not HEX_DIGITS.issuperset(digits):
        raise ValueError(f"the id {target_id!r} does not end in a hexadecimal number")
    return int(digits, 16)
