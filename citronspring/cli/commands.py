"""Declarations of commands: words, arguments, flags and help texts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from absl import flags

from citronspring.cli.exit_codes import UsageError

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

HELP_FLAGS = frozenset({"--help", "-h", "-help"})


@dataclass(frozen=True, slots=True)
class TextFlag:
    """A flag with a text value."""

    name: str
    help: str
    default: str | None = None


@dataclass(frozen=True, slots=True)
class MultiTextFlag:
    """A flag that may be given several times."""

    name: str
    help: str
    default: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class NumberFlag:
    """A flag with a whole number, 0 or above."""

    name: str
    help: str
    default: int | None = None


@dataclass(frozen=True, slots=True)
class ChoiceFlag:
    """A flag with one of several words; the default is the first."""

    name: str
    help: str
    choices: tuple[str, ...]


Flag = TextFlag | MultiTextFlag | NumberFlag | ChoiceFlag


@dataclass(frozen=True, slots=True)
class Invocation:
    """Arguments and flags of a parsed command line."""

    arguments: tuple[str, ...] = ()
    #: Flag values by name, defaults included.
    flags: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Command:
    """One command of the program."""

    #: Words that select it, such as ``("account", "put")``.
    words: tuple[str, ...]
    #: Names of its positional arguments.
    arguments: tuple[str, ...]
    #: Runs the command and returns the exit code.
    run: Callable[[Invocation], int]
    #: One-line description.
    summary: str
    flags: tuple[Flag, ...] = ()

    @property
    def name(self) -> str:
        """The words, separated by spaces."""
        return " ".join(self.words)

    @property
    def synopsis(self) -> str:
        """The words and the names of the arguments, separated by spaces."""
        return " ".join((*self.words, *self.arguments))

    def parse(self, words: Sequence[str]) -> Invocation:
        """Return the arguments and flags of a command line; raises UsageError."""
        values = flag_values(self.flags)
        try:
            arguments = values(["citronspring", *words])[1:]
        except flags.Error as error:
            raise UsageError(
                " ".join(str(error).split()), f"see citronspring {self.name} --help"
            ) from None
        if not self.accepts_argument_count(len(arguments)):
            raise UsageError(
                f"{self.name} takes {len(self.arguments)} arguments, not "
                f"{len(arguments)}",
                f"type citronspring {self.synopsis}",
            )
        known = {flag.name: values[flag.name].value for flag in self.flags}
        return Invocation(tuple(arguments), known)

    def accepts_argument_count(self, count: int) -> bool:
        """Return whether this number of arguments is valid.

        The last argument may be repeated if its name ends in "...".
        """
        if self.arguments and self.arguments[-1].endswith("..."):
            return count >= len(self.arguments)
        return count == len(self.arguments)

    def help(self) -> str:
        """Return the help text of this command."""
        lines = [
            f"usage: citronspring {self.synopsis} [--flag=value ...]",
            "",
            self.summary,
        ]
        if self.flags:
            lines += ["", "flags:"]
        for flag in self.flags:
            lines += [f"  {describe_flag(flag)}", f"      {flag.help}"]
        return "\n".join(lines)


def flag_values(declared: Iterable[Flag]) -> flags.FlagValues:
    """Return absl flag values with only the flags of one command."""
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    values.set_gnu_getopt(True)
    for flag in declared:
        define_flag(flag, values)
    return values


def define_flag(flag: Flag, values: flags.FlagValues) -> None:
    """Define one flag."""
    match flag:
        case TextFlag(name, text, default):
            flags.DEFINE_string(name, default, text, flag_values=values)
        case MultiTextFlag(name, text, default):
            flags.DEFINE_multi_string(name, list(default), text, flag_values=values)
        case NumberFlag(name, text, default):
            flags.DEFINE_integer(name, default, text, 0, flag_values=values)
        case ChoiceFlag(name, text, choices):
            first = choices[0]
            flags.DEFINE_enum(name, first, list(choices), text, flag_values=values)


def describe_flag(flag: Flag) -> str:
    """Return the syntax of a flag, with its default."""
    match flag:
        case ChoiceFlag():
            return f"--{flag.name}={'|'.join(flag.choices)}"
        case MultiTextFlag(default=(first, *_)):
            return f"--{flag.name}=TEXT (may be repeated; default {first})"
        case MultiTextFlag():
            return f"--{flag.name}=TEXT (may be repeated)"
        case NumberFlag():
            return f"--{flag.name}=NUMBER"
    return f"--{flag.name}=TEXT"


def find_command(commands: Iterable[Command], words: Sequence[str]) -> Command | None:
    """Return the command that a command line begins with, None if there is none."""
    for command in commands:
        if tuple(words[: len(command.words)]) == command.words:
            return command
    return None


def usage(commands: Iterable[Command], prefix: Sequence[str] = ()) -> str:
    """Return the usage text of the commands that begin with a prefix."""
    found = [item for item in commands if item.words[: len(prefix)] == tuple(prefix)]
    width = max(len(command.synopsis) for command in found)
    lines = ["usage: citronspring COMMAND [ARGUMENT ...] [--flag=value ...]", ""]
    lines += [f"  {command.synopsis:{width}}  {command.summary}" for command in found]
    lines += ["", "citronspring COMMAND --help shows the flags of a command."]
    return "\n".join(lines)
