"""Requests to the platform's store, and decoding of its answers."""

from __future__ import annotations

from binascii import a2b_base64

from citronspring.errors import StoredValueError
from citronspring.http_request import HttpRequest, quote_value
from citronspring.json_text import (
    DECODE_ERRORS,
    has_encoding,
    integer,
    loads,
    loads_object,
)
from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.platform.entries import (
    DRAIN_PREFIX,
    HISTORY_PREFIX,
    READER_PREFIX,
    TARGET_PREFIX,
    decode_entry,
    decode_start,
)
from citronspring.tokens.entries import (
    ReaderRemoved,
    TargetRemoved,
    Unreadable,
    ZoneDrain,
    count_of,
    ordered_revision,
)
from citronspring.tokens.messages import (
    Changes,
    HistoryLost,
    ListEntries,
    Page,
    Refused,
    StoreAnswer,
    Unanswered,
    WatchEntries,
)

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any

    from citronspring.tokens.entries import Change, Entry, RouteHistory

#: Prefix of the keys that a host watches: all keys, as one watch costs less than two.
WATCHED_PREFIX = ""

#: Header in every answer that counts how often the store was restored from a backup.
EPOCH_HEADER = b"store-era"

#: Default for an answer without headers.
NO_HEADERS: Mapping[bytes, bytes] = {}

#: HTTP status codes of the store's answers.
OK = 200
HISTORY_GONE = 410


def encode_call(call: ListEntries | WatchEntries) -> HttpRequest:
    """Return the HTTP request of a list or watch call."""
    match call:
        case ListEntries():
            path = f"/api/kv-range?prefix={WATCHED_PREFIX}"
            if call.after_key:
                path = f"{path}&after={quote_value(call.after_key)}"
        case WatchEntries():
            path = (
                f"/api/kv-watch?prefix={WATCHED_PREFIX}"
                f"&after={count_of(call.after_revision)}"
                f"&wait_ms={round(call.wait * 1000)}"
            )
    return HttpRequest("GET", path)


def decode_answer(
    call: ListEntries | WatchEntries,
    status: int,
    body: bytes,
    headers: Mapping[bytes, bytes] = NO_HEADERS,
) -> StoreAnswer:
    """Return the decoded answer to a list or watch call."""
    if status not in (OK, HISTORY_GONE):
        return Refused(status)
    try:
        epoch = decode_epoch(headers)
        if status == HISTORY_GONE:
            return HistoryLost(epoch)
        found = loads(body)
        match call:
            case ListEntries():
                return decode_page(found, epoch)
            case WatchEntries():
                return decode_changes(found, epoch)
    except DECODE_ERRORS as error:
        return Unanswered(f"the answer cannot be decoded: {error!r}")


def decode_epoch(headers: Mapping[bytes, bytes]) -> int:
    """Return how often the store had been restored from a backup.

    Raises
    ------
    ValueError
        If the header is not a number.
    """
    return int(headers.get(EPOCH_HEADER, b"0"))


def decode_page(body: dict[str, Any], epoch: int) -> Page:
    """Return the decoded page of a list."""
    entries: list[Entry] = []
    for item in body["items"]:
        entry = decode_item(item, epoch)
        if entry is not None:
            entries.append(entry)
    next_key = body["items"][-1]["key"] if body["has_more"] else None
    revision = ordered_revision(epoch, integer(body["store_revision"]))
    return Page(tuple(entries), revision, next_key)


def decode_changes(body: dict[str, Any], epoch: int) -> Changes:
    """Return the decoded events of a watch."""
    changes: list[Change] = []
    revision = None
    for event in body["events"]:
        revision = ordered_revision(epoch, integer(event["revision"]))
        if event.get("deleted"):
            removed = decode_removal(event["key"], revision)
            if removed is not None:
                changes.append(removed)
            continue
        entry = decode_item(event, epoch)
        if entry is not None:
            changes.append(entry)
    return Changes(tuple(changes), revision, epoch)


def decode_removal(key: str, revision: int) -> Change | None:
    """Return the removal of an entry; None for a key that a host does not use."""
    if not has_encoding(key):
        return None
    if key.startswith(DRAIN_PREFIX):
        return decode_drain(key, revision, ended=True)
    if key.startswith(TARGET_PREFIX):
        return TargetRemoved(key.removeprefix(TARGET_PREFIX), revision)
    if key.startswith(READER_PREFIX):
        return ReaderRemoved(key.removeprefix(READER_PREFIX), revision)
    if key.startswith(HISTORY_PREFIX):
        return decode_history(key, None, revision)
    return None


def decode_item(item: dict[str, Any], epoch: int) -> Entry | None:
    """Return the decoded entry; for an invalid one, its name and the reason."""
    key, revision = item["key"], ordered_revision(epoch, integer(item["revision"]))
    if not key.isascii() and not has_encoding(key):
        name = key.encode(errors="backslashreplace").decode()
        return Unreadable(name, "the key has no UTF-8 encoding", revision)
    if key.startswith(DRAIN_PREFIX):
        return decode_drain(key, revision, ended=False)
    if key.startswith(HISTORY_PREFIX):
        return decode_history(key, item["value"], revision)
    value = b""
    try:
        value = a2b_base64(item["value"])
        return decode_entry(key, value, revision)
    except (StoredValueError, *DECODE_ERRORS) as error:
        # Raised further, it would make the whole answer unreadable, again and again.
        name = key.removeprefix(TARGET_PREFIX)
        return Unreadable(name, str(error), revision, decode_start_leniently(value))


def decode_history(
    key: str, value: str | None, revision: int
) -> RouteHistory | Unreadable | None:
    """Return the decoded shard of the route history; ``value`` is None if removed."""
    # Imported on first use; the store of most deployments has no route history.
    from citronspring.platform.route_histories import decode_shard

    return decode_shard(key, value, revision)


def decode_drain(key: str, revision: int, *, ended: bool) -> ZoneDrain | None:
    """Return the start or end of the drain of a zone; None if the key names no zone."""
    zone = key.removeprefix(DRAIN_PREFIX)
    return ZoneDrain(zone, revision, ended) if zone else None


def decode_start_leniently(value: bytes) -> int | None:
    """Return the start time in an invalid target entry, None if it is unreadable."""
    try:
        return decode_start(loads_object(value))
    except StoredValueError:
        return None
