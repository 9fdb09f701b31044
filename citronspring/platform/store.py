"""Calls to the platform's store and its answers."""

from __future__ import annotations

from binascii import a2b_base64

from citronspring.errors import StoredValueError
from citronspring.http_request import HttpRequest
from citronspring.json_text import loads
from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.platform.entries import (
    DECODE_ERRORS,
    DRAIN_PREFIX,
    READER_PREFIX,
    TARGET_PREFIX,
    decode_entry,
    decode_start,
    parse_object,
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

    from citronspring.tokens.entries import Change, Entry

#: Keys that a host follows: all of them, as one watch costs less than two.
WATCHED_PREFIX = ""

#: Counts how often the store has come back from an older copy; in all answers.
EPOCH_HEADER = b"store-era"

#: Headers of an answer that has none.
NO_HEADERS: Mapping[bytes, bytes] = {}

#: Answers of the store.
OK = 200
HISTORY_GONE = 410


def encode_call(call: ListEntries | WatchEntries) -> HttpRequest:
    """Return the request of a read."""
    match call:
        case ListEntries():
            path = f"/api/kv-range?prefix={WATCHED_PREFIX}"
            if call.after_key:
                path = f"{path}&after={quote_key(call.after_key)}"
        case WatchEntries():
            path = (
                f"/api/kv-watch?prefix={WATCHED_PREFIX}"
                f"&after={count_of(call.after_revision)}"
                f"&wait_ms={round(call.wait * 1000)}"
            )
    return HttpRequest("GET", path)


def quote_key(key: str) -> str:
    """Return a key as it stands in a query."""
    # Imported for the second page of a list; at start it would hold up the first.
    from urllib.parse import quote

    return quote(key, safe="")


def decode_answer(
    call: ListEntries | WatchEntries,
    status: int,
    body: bytes,
    headers: Mapping[bytes, bytes] = NO_HEADERS,
) -> StoreAnswer:
    """Translate the answer to a read."""
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
        return Unanswered(f"an answer that cannot be read: {error!r}")


def decode_epoch(headers: Mapping[bytes, bytes]) -> int:
    """Return how often the store had come back from an older copy.

    Raises
    ------
    ValueError
        If the header is no number.
    """
    return int(headers.get(EPOCH_HEADER, b"0"))


def decode_page(body: dict[str, Any], epoch: int) -> Page:
    """Translate one page of a range."""
    entries: list[Entry] = []
    for item in body["items"]:
        entry = decode_item(item, epoch)
        if entry is not None:
            entries.append(entry)
    next_key = body["items"][-1]["key"] if body["has_more"] else None
    revision = ordered_revision(epoch, int(body["store_revision"]))
    return Page(tuple(entries), revision, next_key)


def decode_changes(body: dict[str, Any], epoch: int) -> Changes:
    """Translate the events of a watch."""
    changes: list[Change] = []
    revision = None
    for event in body["events"]:
        revision = ordered_revision(epoch, int(event["revision"]))
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
    """Translate the removal of a key; None if it is nothing to a host."""
    if key.startswith(DRAIN_PREFIX):
        return decode_drain(key, revision, ended=True)
    if key.startswith(TARGET_PREFIX):
        return TargetRemoved(key.removeprefix(TARGET_PREFIX), revision)
    if key.startswith(READER_PREFIX):
        return ReaderRemoved(key.removeprefix(READER_PREFIX), revision)
    return None


def decode_item(item: dict[str, Any], epoch: int) -> Entry | None:
    """Translate an item; one that cannot be read is named with the reason."""
    key, revision = item["key"], ordered_revision(epoch, int(item["revision"]))
    if key.startswith(DRAIN_PREFIX):
        return decode_drain(key, revision, ended=False)
    value = b""
    try:
        value = a2b_base64(item["value"])
        return decode_entry(key, value, revision)
    except (StoredValueError, ValueError) as error:
        name = key.removeprefix(TARGET_PREFIX)
        return Unreadable(name, str(error), revision, decode_start_leniently(value))


def decode_drain(key: str, revision: int, *, ended: bool) -> ZoneDrain | None:
    """Translate that a zone is to be emptied, or may be used again."""
    zone = key.removeprefix(DRAIN_PREFIX)
    return ZoneDrain(zone, revision, ended) if zone else None


def decode_start_leniently(value: bytes) -> int | None:
    """Return which start of a target an unreadable value names, None for none."""
    try:
        return decode_start(parse_object(value))
    except StoredValueError:
        return None
