"""Copies of what a host knows, for peers that start while the store is away."""

from __future__ import annotations

from citronspring.json_text import dumps
from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.tokens.codec import (
    FORMAT,
    UNUSABLE,
    decode_configuration,
    decode_target,
    decode_zone_drain,
    pack,
    plain_route,
    plain_target,
    plain_zone_drain,
    unpack,
)
from citronspring.tokens.messages import PeerCopy, Refused, Unanswered

if TYPE_CHECKING:
    from typing import Any

    from citronspring.tokens.tables import Tables

#: Status of an answer that holds a copy, and of a peer that has none to give.
OK = 200
NOTHING_KNOWN = 503


def encode_copy(tables: Tables, now: float) -> tuple[int, bytes]:
    """Return status and body of the answer to a peer that asks for a copy."""
    if tables.configuration == 0:
        return NOTHING_KNOWN, b"no configuration is known here\n"
    rows = [row for row in tables.targets.values() if row.gone_at > now]
    body = {
        "format": FORMAT,
        "revision": tables.reader.revision,
        "age": max(now - tables.reader.current_at, 0.0),
        "configuration": plain_configuration(tables),
        "targets": [
            plain_target(row.target, max(row.warm_at - now, 0.0)) for row in rows
        ],
        "drains": [plain_zone_drain(drain) for drain in tables.zone_drains.values()],
    }
    return OK, pack(dumps(body))


def plain_configuration(tables: Tables) -> dict[str, Any]:
    """Return the configuration in force as plain values."""
    return {
        "revision": tables.configuration,
        "idle_timeout": tables.idle_timeout,
        "routes": [plain_route(route) for route in tables.routes.values()],
    }


def decode_copy(status: int, body: bytes) -> PeerCopy | Refused | Unanswered:
    """Return the copy in a peer's answer."""
    if status != OK:
        return Refused(status)
    try:
        found = unpack(body)
        targets = [decode_target(target) for target in found["targets"]]
        drains = [decode_zone_drain(drain) for drain in found.get("drains", ())]
        return PeerCopy(
            decode_configuration(found["configuration"]),
            (*targets, *drains),
            int(found["revision"]),
            float(found["age"]),
            whole=found.get("format") == FORMAT,
        )
    except UNUSABLE as error:
        return Unanswered(f"a copy that cannot be read: {error!r}")
