"""Finds the log lines about one flow, target or host in the logs of several hosts."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from citronspring.events import (
    CATALOGUE,
    CONFIGURATION_APPLIED,
    HISTORY_WRITE_FAILED,
    HISTORY_WRITTEN,
    LEAVING,
    LINES_LEFT_OUT,
    SERVICE_FORGOTTEN,
    SERVICE_REPLACED,
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

#: Seconds before the first line of a flow from which a host's events are included: a
#: store outage or a removed target may still affect decisions that much later.
CONTEXT_SECONDS = 15.0

#: Events that show what state a host had, or could not have.
HOST_EVENTS = frozenset(
    event.number
    for event in (
        CONFIGURATION_APPLIED,
        HISTORY_WRITE_FAILED,
        HISTORY_WRITTEN,
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

#: Events that show which services a route had; they may be an hour older than a drop.
ROUTE_EVENTS = frozenset((SERVICE_REPLACED.number, SERVICE_FORGOTTEN.number))

#: Keys of every line; the others are the fields of the event.
COMMON_KEYS = frozenset(("time", "host", "number", "event", "level"))


@dataclass(frozen=True, slots=True)
class Trail:
    """Log lines about one flow, target or host, and events of the hosts involved."""

    #: Sorted by time.
    lines: tuple[dict[str, Any], ...]
    #: Number of lines that are not log events.
    unreadable: int


def read_lines(texts: Iterable[str]) -> Iterator[dict[str, Any] | None]:
    """Yield the log events among lines of text; None for any other line.

    Text that a log collector writes before the JSON object is ignored.
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
    """Return the log lines about a flow, target or host.

    Parameters
    ----------
    name : str
        ``caller:port>service:port`` of a flow or a part of it, the id of a target or a
        host, or the name of a route.
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
    matching = [line for line in lines if is_about(name, line)]
    context = context_lines(matching, lines) if matching else []
    selected = sorted((*matching, *context), key=lambda line: float(line["time"]))
    return Trail(tuple(selected), unreadable)


def is_about(name: str, line: dict[str, Any]) -> bool:
    """Whether a line is about a flow, target, host or route."""
    flow = line.get("flow")
    if isinstance(flow, str) and name in flow:
        return True
    return name in [line.get(key) for key in ("target", "host", "entry", "route")]


def context_lines(
    matching: list[dict[str, Any]], lines: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Return the state events of the same hosts, from shortly before the lines on."""
    begin, end = (
        float(matching[0]["time"]) - CONTEXT_SECONDS,
        float(matching[-1]["time"]),
    )
    hosts = {line.get("host") for line in matching}
    targets = {line.get("target") for line in matching} - {None}
    routes = {line.get("route") for line in matching} - {None}
    return [
        line
        for line in lines
        if float(line["time"]) <= end
        and line.get("host") in hosts
        and line not in matching
        and (
            concerns_routes(line, routes)
            or begin <= float(line["time"])
            and (line["number"] in HOST_EVENTS or concerns_targets(line, targets))
        )
    ]


def concerns_routes(line: dict[str, Any], routes: set[Any]) -> bool:
    """Whether a line reports a change of the services of one of the given routes."""
    return line["number"] in ROUTE_EVENTS and line.get("route") in routes


def concerns_targets(line: dict[str, Any], targets: set[Any]) -> bool:
    """Whether a line reports a change of one of the given targets."""
    return line["number"] in TARGET_EVENTS and line.get("target") in targets


def format_line(line: dict[str, Any]) -> str:
    """Return a line as readable text: time, host, message and fields."""
    event = CATALOGUE.get(line["number"])
    message = event.message if event is not None else line["event"]
    decided = ", ".join(
        f"{key} {value}" for key, value in line.items() if key not in COMMON_KEYS
    )
    return f"{float(line['time']):.3f}  {line.get('host')}  {message}  [{decided}]"
