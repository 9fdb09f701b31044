"""Route histories in the platform's store: keys, values and the transaction."""

from __future__ import annotations

from binascii import a2b_base64, b2a_base64

from citronspring.errors import StoredValueError
from citronspring.json_text import DECODE_ERRORS, dumps, loads_object
from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.platform.entries import HISTORY_PREFIX
from citronspring.tokens.codec import decode_services
from citronspring.tokens.entries import RouteHistory, Unreadable, count_of

if TYPE_CHECKING:
    from typing import Any

    from citronspring.tokens.messages import WriteRouteHistory

#: Shards by the end of their key, one hexadecimal digit.
SHARD_BY_SUFFIX = {f"{shard:x}": shard for shard in range(16)}


def decode_shard(
    key: str, value: str | None, revision: int
) -> RouteHistory | Unreadable | None:
    """Return the decoded shard, None if the key names none.

    ``value`` is None for a removed entry.
    """
    shard = SHARD_BY_SUFFIX.get(key.removeprefix(HISTORY_PREFIX))
    if shard is None:
        return None
    if value is None:
        return RouteHistory(shard, {}, revision, removed=True)
    try:
        routes = decode_services(loads_object(a2b_base64(value))["routes"])
    except (StoredValueError, *DECODE_ERRORS) as error:
        return Unreadable(
            key, f"invalid route history: {error!r}", revision, None, shard
        )
    return RouteHistory(shard, routes, revision)


def history_transaction(call: WriteRouteHistory) -> dict[str, Any]:
    """Return the transaction that writes shards; they belong to no lease."""
    expected, writes = [], []
    for history in call.histories:
        key = f"{HISTORY_PREFIX}{history.shard:x}"
        text = dumps({"routes": history.routes})
        value = b2a_base64(text.encode(), newline=False).decode()
        expected.append({"key": key, "revision": count_of(history.revision)})
        writes.append({"key": key, "value": value, "lease": 0})
    return {"expected": expected, "writes": writes, "deletes": []}
