"""Generate the reference page of the commands from their declarations."""

from __future__ import annotations

import sys

from citronspring.cli.commands import Command, describe_flag
from citronspring.cli.exit_codes import EXIT_CODES
from citronspring.cli.main import COMMANDS

INTRODUCTION = """# Commands

`citronspring COMMAND`, or `python -m citronspring COMMAND`. Errors are one line on
standard error that names the remedy. Commands that change the configuration print
their change id on standard error before they send anything. If a response is lost,
they retry the change with the same id, a few times and at each `--host` in turn; a
change is committed once however often it is sent.

This page is generated from `citronspring.cli` by
`python -m citronspring.cli.reference > docs/reference/commands.md`.

## Exit codes

| code | meaning | kinds of errors |
|---|---|---|
"""


def command_section(command: Command) -> list[str]:
    """Return the lines of the section about one command."""
    lines = ["", f"## {command.name}", "", "```text"]
    lines += [f"citronspring {command.synopsis}", "```", "", command.summary]
    if command.flags:
        lines += ["", "| flag | meaning |", "|---|---|"]
    for flag in command.flags:
        text = describe_flag(flag).replace("|", "\\|")
        lines.append(f"| `{text}` | {flag.help} |")
    return lines


def commands_page() -> str:
    """Return the text of the page."""
    lines = [
        f"| {item.code} | {item.meaning} | {', '.join(item.kinds)} |"
        for item in EXIT_CODES
    ]
    for command in COMMANDS:
        lines += command_section(command)
    return INTRODUCTION + "\n".join(lines) + "\n"


if __name__ == "__main__":
    sys.stdout.write(commands_page())
