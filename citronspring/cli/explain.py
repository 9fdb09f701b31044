"""The command ``explain``: decisions about a flow, target or host, with reasons."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.cli.commands import Command
from citronspring.errors import NotFoundError
from citronspring.trail import find_trail, format_line

if TYPE_CHECKING:
    from collections.abc import Iterator

    from citronspring.cli.commands import Invocation


def explain(invocation: Invocation) -> int:
    """Print the events about a flow, target or host in log files."""
    name, *paths = invocation.arguments
    trail = find_trail(name, read_lines(paths))
    if not trail.lines:
        raise NotFoundError(
            f"no log line is about {name!r}",
            "give caller:port>service:port or a part of it, a target or a host; "
            "under load some lines are not logged, which event 690 reports",
        )
    for line in trail.lines:
        print(format_line(line))
    return 0


def read_lines(paths: list[str]) -> Iterator[str]:
    """Yield the lines of all files."""
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as error:
            raise NotFoundError(
                f"{path} cannot be read: {error.strerror}", "name readable log files"
            ) from error


COMMANDS = (
    Command(
        ("explain",),
        ("NAME", "FILE..."),
        explain,
        "Follow a flow, target or host through the logs of several hosts.",
    ),
)
