"""Entry point of the command line: runs a command and prints errors on one line."""

from __future__ import annotations

import os
import sys
from difflib import get_close_matches
from typing import TYPE_CHECKING

from citronspring import __version__
from citronspring.cli import (
    changes,
    emulate,
    experiment,
    explain,
    serve,
    standin,
    views,
)
from citronspring.cli.commands import (
    HELP_FLAGS,
    Command,
    find_command,
    usage,
)
from citronspring.cli.exit_codes import (
    DONE,
    ERROR,
    USAGE,
    UsageError,
    exit_code_of,
)
from citronspring.cli.try_command import try_system
from citronspring.errors import CitronspringError
from citronspring.settings_errors import escape

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from citronspring.cli.commands import Invocation

#: Exit code of a program that the user interrupted.
INTERRUPTED = 130


def version(invocation: Invocation) -> int:
    """Print the version."""
    print(f"citronspring {__version__}")
    return DONE.code


def run_try(invocation: Invocation) -> int:
    """Run the demonstration."""
    return try_system(invocation.arguments)


#: All commands, in the order of the help; a new command is added here.
COMMANDS = (
    Command(
        ("try",),
        (),
        run_try,
        "Run a small system on loopback under failures and check its guarantees.",
    ),
    *experiment.COMMANDS,
    *emulate.COMMANDS,
    *explain.COMMANDS,
    *serve.COMMANDS,
    *standin.COMMANDS,
    *changes.COMMANDS,
    *views.COMMANDS,
    Command(("version",), (), version, "Print the version."),
)


def main(words: Sequence[str]) -> int:
    """Run one command line and return its exit code."""
    command = find_command(COMMANDS, words)
    if not words or wants_help(words):
        print(command.help() if command else usage(COMMANDS, known_prefix(words)))
        return DONE.code if words else USAGE.code
    try:
        if command is None:
            raise unknown_command(words)
        code = command.run(command.parse(words[len(command.words) :]))
        sys.stdout.flush()
        return code
    except KeyboardInterrupt:
        return INTERRUPTED
    except Exception as error:
        return report_error(error)


def wants_help(words: Sequence[str]) -> bool:
    """Return whether a command line asks for help."""
    return words[0] == "help" or not HELP_FLAGS.isdisjoint(words)


def unknown_command(words: Sequence[str]) -> UsageError:
    """Return the error for a command line that begins with no command."""
    prefix = known_prefix(words)
    if prefix:
        verbs = [item.words[1] for item in COMMANDS if item.words[:1] == prefix]
        return UsageError(
            f"{prefix[0]} needs a second word", f"add one of {', '.join(verbs)}"
        )
    known = sorted({item.words[0] for item in COMMANDS})
    close = get_close_matches(words[0], known, n=1)
    remedy = f"did you mean {close[0]}?" if close else "see citronspring --help"
    return UsageError(f"unknown command {escape(words[0])}", remedy)


def known_prefix(words: Sequence[str]) -> tuple[str, ...]:
    """Return the first word if a command begins with it, else nothing."""
    first = tuple(words[:1])
    return first if any(item.words[:1] == first for item in COMMANDS) else ()


def report_error(error: Exception) -> int:
    """Print an error on one line and return its exit code."""
    for cause in leaf_exceptions(error):
        match cause:
            case BrokenPipeError():
                # The reader of the output has closed the pipe, as `head` does. With
                # the null device in its place Python reports no second error when it
                # flushes at exit.
                os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
                return ERROR.code
            case CitronspringError():
                print(f"citronspring: {one_line(cause)}", file=sys.stderr)
                return exit_code_of(cause)
    first = next(leaf_exceptions(error))
    text = f"{type(first).__name__}: {one_line(first)}; report it as a fault"
    print(f"citronspring: {text}", file=sys.stderr)
    return ERROR.code


def leaf_exceptions(error: Exception) -> Iterator[Exception]:
    """Yield an exception, or the exceptions inside a group, also of nested ones."""
    match error:
        case ExceptionGroup():
            for inner in error.exceptions:
                yield from leaf_exceptions(inner)
        case _:
            yield error


def one_line(error: Exception) -> str:
    """Return the text of an error on one line."""
    return " ".join(str(error).split())


def run() -> None:
    """Run the command line of this process; entry point of the installed script."""
    sys.exit(main(sys.argv[1:]))
