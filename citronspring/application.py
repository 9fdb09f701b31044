"""The application object, which connects components through named events."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Any

from citronspring.errors import CitronspringError

if TYPE_CHECKING:
    from collections.abc import Callable

#: Events by name, with the arguments that each listener gets.
EVENTS = {
    "started": "no argument",
    "packet-dropped": "kind: str",
    "action": "action: Action that is neither a packet nor a relay",
    "revision-applied": "revision: int",
    "leaving": "deadline: float",
    "stopped": "no argument",
}


class Application:
    """Named events and their listeners."""

    def __init__(self) -> None:
        self.listeners: dict[str, list[Callable[..., None]]] = defaultdict(list)

    def connect(self, event: str, listener: Callable[..., None]) -> None:
        """Register a listener for an event."""
        if event not in EVENTS:
            known = ", ".join(sorted(EVENTS))
            raise CitronspringError(f"unknown event {event!r}", f"use one of {known}")
        self.listeners[event].append(listener)

    def emit(self, event: str, *args: Any) -> None:
        """Call the listeners of an event in the order they were connected."""
        for listener in self.listeners[event]:
            listener(*args)
