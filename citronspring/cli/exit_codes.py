"""Exit codes by kind of error."""

from __future__ import annotations

from dataclasses import dataclass

from citronspring.errors import CitronspringError


class UsageError(CitronspringError):
    """The command line is not valid."""

    kind = "usage"


class InputFileError(CitronspringError):
    """A file named on the command line cannot be used."""

    kind = "input-file"


class UnreachableError(CitronspringError):
    """No host processed the request, so nothing was changed."""

    kind = "unreachable"


class RemoteError(CitronspringError):
    """A host answered with a problem document.

    Parameters
    ----------
    kind, message, remedy : str
        Members of the document.
    """

    def __init__(self, kind: str, message: str, remedy: str) -> None:
        self.kind = kind
        super().__init__(message, remedy)


@dataclass(frozen=True, slots=True)
class ExitCode:
    """One exit code."""

    code: int
    meaning: str
    #: Kinds of errors that lead to it.
    kinds: tuple[str, ...] = ()


DONE = ExitCode(0, "Success. For `try`: no guarantee was violated.")
ERROR = ExitCode(1, "Any other error. For `try`: a guarantee was violated.")
USAGE = ExitCode(2, "The command line is wrong; nothing was sent.", ("usage",))
INVALID = ExitCode(
    3,
    "Settings, an input file, a template or an account is not valid.",
    ("settings", "input-file", "invalid-configuration", "malformed-request"),
)
NOT_FOUND = ExitCode(4, "No such template, account or target.", ("not-found",))
CONFLICT = ExitCode(
    5,
    "Refused: another operator made a change first, or an address belongs to another "
    "client account.",
    ("conflict", "move-refused"),
)
NOT_ALLOWED = ExitCode(
    6,
    "The token is unknown, lacks the role, or exceeds its request rate.",
    ("unauthorized", "forbidden", "rate-limited"),
)
NOT_CHANGED = ExitCode(
    7,
    "The platform is unavailable or no host is reachable; nothing was changed.",
    ("platform-unavailable", "unreachable"),
)
UNKNOWN = ExitCode(
    8,
    "The outcome is unknown: repeat the command with the same --change_id.",
    ("outcome-unknown",),
)

EXIT_CODES = (
    DONE,
    ERROR,
    USAGE,
    INVALID,
    NOT_FOUND,
    CONFLICT,
    NOT_ALLOWED,
    NOT_CHANGED,
    UNKNOWN,
)


def exit_code_of(error: CitronspringError) -> int:
    """Return the exit code of an error."""
    for exit_code in EXIT_CODES:
        if error.kind in exit_code.kinds:
            return exit_code.code
    return ERROR.code
