"""Log events on standard error, as JSON or for a console."""

from __future__ import annotations

import json
import logging
import sys
from functools import partial
from typing import TYPE_CHECKING, Any

import structlog

from citronspring.events import (
    CATALOGUE,
    REVISION_APPLIED,
    STARTED,
    STATE_DUMP,
    STOPPED,
    UNKNOWN_EVENT,
)
from citronspring.messages import Log

if TYPE_CHECKING:
    from collections.abc import Mapping, MutableMapping

    from citronspring.application import Application
    from citronspring.events import Event
    from citronspring.messages import Action
    from citronspring.settings import LogsSection

#: Fields whose values are never logged.
SECRET_FIELDS = frozenset({"authorization", "key", "secret", "token"})

#: Keys that identify the event in each line; fields of the event cannot replace them.
EVENT_KEYS = frozenset({"number", "event", "name", "level", "message", "timestamp"})

logger = structlog.get_logger(__name__)


def configure_logs(logs: LogsSection) -> None:
    """Configure structlog according to the settings."""
    renderer: Any = structlog.processors.JSONRenderer(default=str)
    if logs.format == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    level = logging.getLevelNamesMapping()[logs.level.upper()]
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            hide_secrets,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )


def hide_secrets(
    logger: object, method: str, fields: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Replace the values of fields that hold secrets."""
    for key in fields.keys() & SECRET_FIELDS:
        fields[key] = "(hidden)"
    return fields


def log(event: Event, **fields: object) -> None:
    """Log an event of the catalogue."""
    log_fields(event, fields)


def log_number(number: int, fields: Mapping[str, object]) -> None:
    """Log an event given by its number."""
    event = CATALOGUE.get(number)
    if event is None:
        log_fields(UNKNOWN_EVENT, {**fields, "unknown_number": number})
        return
    log_fields(event, fields)


def log_fields(event: Event, fields: Mapping[str, object]) -> None:
    """Log an event; a field named like a key of the line gets an underscore."""
    renamed = {
        f"{key}_" if key in EVENT_KEYS else key: value for key, value in fields.items()
    }
    write = getattr(logger, event.level.value)
    write(event.name, number=event.number, message=event.message, **renamed)


def write_dump(state: Mapping[str, object]) -> None:
    """Write a state dump as one JSON line, regardless of the log level."""
    line = {"number": STATE_DUMP.number, "event": STATE_DUMP.name, "state": state}
    sys.stderr.write(json.dumps(line, default=str) + "\n")
    sys.stderr.flush()


def log_application(application: Application) -> None:
    """Connect the events of an application object to the log."""
    application.connect("started", partial(log, STARTED))
    application.connect("stopped", partial(log, STOPPED))
    application.connect("revision-applied", log_revision)
    application.connect("action", log_action)


def log_revision(revision: int) -> None:
    """Log that a revision has been applied."""
    log(REVISION_APPLIED, revision=revision)


def log_action(action: Action) -> None:
    """Log the log events among the core's actions."""
    match action:
        case Log():
            log_number(action.number, action.fields)
