"""Follows one flow, target or host through the logs of several hosts."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from citronspring.events import (
    CATALOGUE,
    CONFIGURATION_APPLIED,
    LEAVING,
    LINES_LEFT_OUT,
    STARTED,
    STOPPED,
    STORE_HISTORY_LOST,
    STORE_LOST,
    STORE_REGAINED,
    TARGET_CHANGED,
    TARGET_REMOVED,
    ZONE_DRAIN_CHANGED,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

#: Seconds before the first line of a flow from which a host's state is told: a store
#: outage or a removed target that long ago may still decide.
CONTEXT_SECONDS = 15.0

#: Events that tell what a host believed or could not know.
HOST_EVENTS = frozenset(
    event.number
    for event in (
        CONFIGURATION_APPLIED,
        LEAVING,
        LINES_LEFT_OUT,
        STARTED,
        STOPPED,
        STORE_HISTORY_LOST,
        STORE_LOST,
        STORE_REGAINED,
        ZONE_DRAIN_CHANGED,
    )
)
TARGET_EVENTS = frozenset((TARGET_CHANGED.number, TARGET_REMOVED.number))

#: Keys that each line has; the others are what decided.
COMMON_KEYS = frozenset(("time", "host", "number", "event", "level"))


@dataclass(frozen=True, slots=True)
class Trail:
    """The lines about one thing, and what its hosts believed meanwhile."""

    #: In the order of time.
    lines: tuple[dict[str, Any], ...]
    #: Lines of the logs that are no log events.
    unreadable: int


def read_lines(texts: Iterable[str]) -> Iterator[dict[str, Any] | None]:
    """Return the log events among lines of text; None for any other line.

    A log collector may put words before the object; they are passed over.
    """
    for text in texts:
        start = text.find('{"time":')
        if start < 0:
            yield None
            continue
        try:
            yield json.loads(text[start:])
        except ValueError:
            yield None


def find_trail(name: str, texts: Iterable[str]) -> Trail:
    """Return what logs tell of a flow, target or host.

    Parameters
    ----------
    name : str
        ``caller:port>service:port`` of a flow or a part of it, the id of a target,
        or that of a host.
    texts : iterable of str
        Lines of the logs of any number of hosts, in any order.
    """
    lines, unreadable = [], 0
    for line in read_lines(texts):
        if line is None:
            unreadable += 1
        else:
            lines.append(line)
    lines.sort(key=lambda line: float(line["time"]))
    own = [line for line in lines if is_about(name, line)]
    around = context_lines(own, lines) if own else []
    kept = sorted((*own, *around), key=lambda line: float(line["time"]))
    return Trail(tuple(kept), unreadable)


def is_about(name: str, line: dict[str, Any]) -> bool:
    """Whether a line is about a flow, target or host."""
    flow = line.get("flow")
    if isinstance(flow, str) and name in flow:
        return True
    return name in (line.get("target"), line.get("host"), line.get("entry"))


def context_lines(
    own: list[dict[str, Any]], lines: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Return what the hosts of some lines believed shortly before and meanwhile."""
    begin, end = float(own[0]["time"]) - CONTEXT_SECONDS, float(own[-1]["time"])
    hosts = {line.get("host") for line in own}
    targets = {line.get("target") for line in own} - {None}
    return [
        line
        for line in lines
        if begin <= float(line["time"]) <= end
        and line.get("host") in hosts
        and line not in own
        and (line["number"] in HOST_EVENTS or concerns_targets(line, targets))
    ]


def concerns_targets(line: dict[str, Any], targets: set[Any]) -> bool:
    """Whether a line tells what became of one of some targets."""
    return line["number"] in TARGET_EVENTS and line.get("target") in targets


def format_line(line: dict[str, Any]) -> str:
    """Return a line for people: when, where, what, and what decided."""
    event = CATALOGUE.get(line["number"])
    message = event.message if event is not None else line["event"]
    decided = ", ".join(
        f"{key} {value}" for key, value in line.items() if key not in COMMON_KEYS
    )
    return f"{float(line['time']):.3f}  {line.get('host')}  {message}  [{decided}]"
