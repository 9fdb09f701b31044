"""The command line: finds the command and turns errors into one line."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import TYPE_CHECKING

from absl import app, flags

from citronspring import __version__
from citronspring.cli.serve import check_settings, serve
from citronspring.cli.try_command import try_system
from citronspring.errors import CitronspringError

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Exit codes.
EXIT_OK = 0
EXIT_ERROR = 1
EXIT_USAGE = 2


def version(arguments: Sequence[str]) -> int:
    """Print the version."""
    print(f"citronspring {__version__}")
    return EXIT_OK


#: Commands by name; each takes its arguments and returns an exit code.
COMMANDS: dict[str, Callable[[Sequence[str]], int]] = {
    "check-settings": check_settings,
    "serve": serve,
    "try": try_system,
    "version": version,
}


def usage() -> str:
    """Return the list of commands, one line each."""
    lines = ["usage: citronspring COMMAND [ARGUMENT ...] [--flag=value ...]", ""]
    for name, command in sorted(COMMANDS.items()):
        summary = (command.__doc__ or "").partition("\n")[0]
        lines.append(f"  {name:16} {summary}")
    return "\n".join(lines)


def main(argv: Sequence[str]) -> int:
    """Run one command."""
    name = argv[1] if len(argv) > 1 else ""
    command = COMMANDS.get(name)
    if command is None:
        print(usage(), file=sys.stderr)
        return EXIT_USAGE
    try:
        return command(argv[2:])
    except CitronspringError as error:
        print(f"citronspring: {error}", file=sys.stderr)
        return EXIT_ERROR


def run() -> None:
    """Entry point of the installed script."""
    try:
        app.run(main, flags_parser=parse)
    except flags.Error as error:
        print(f"citronspring: {error}; see --help", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def parse(argv: Sequence[str]) -> list[str]:
    """Parse flags anywhere on the line; print help without running anything."""
    if len(argv) == 1 or argv[1] in ("--help", "-h", "help"):
        print(usage())
        sys.exit(EXIT_OK)
    return flags.FLAGS(argv)  # type: ignore[no-any-return]
