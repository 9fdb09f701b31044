"""Sizes of the store's answers, from which download times follow."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.tokens.entries import Configuration, RouteHistory, Target
from citronspring.tokens.messages import Changes, Page

if TYPE_CHECKING:
    from citronspring.tokens.messages import StoreAnswer

#: Bytes of a route in the store's answer: a large deployment has 700 KB for 2,845
#: routes.
ROUTE_BYTES = 246

#: Bytes of a target's entry, and of any other entry or removal.
TARGET_BYTES = 400
ENTRY_BYTES = 150

#: Bytes of a route in a route history.
HISTORY_BYTES = 60

#: Bytes of an answer apart from its entries.
HEADER_BYTES = 200


def answer_bytes(answer: StoreAnswer) -> int:
    """Return the size in bytes of an answer of the store on the wire."""
    match answer:
        case Page():
            entries: tuple[object, ...] = answer.entries
        case Changes():
            entries = answer.changes
        case _:
            entries = ()
    return HEADER_BYTES + sum(entry_bytes(entry) for entry in entries)


def entry_bytes(entry: object) -> int:
    """Return the size in bytes of an entry or a removal on the wire."""
    match entry:
        case Configuration():
            return ENTRY_BYTES + ROUTE_BYTES * len(entry.routes)
        case Target():
            return TARGET_BYTES
        case RouteHistory():
            return ENTRY_BYTES + HISTORY_BYTES * len(entry.routes)
        case _:
            return ENTRY_BYTES
