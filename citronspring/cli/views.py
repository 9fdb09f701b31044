"""Commands that show templates, accounts and hosts, and the one that drains a host."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from citronspring.cli.changes import account_path, template_path
from citronspring.cli.client import AdminClient
from citronspring.cli.commands import Command
from citronspring.cli.exit_codes import RemoteError
from citronspring.cli.flags import ACCESS, READ
from citronspring.cli.output import print_json, print_table

if TYPE_CHECKING:
    from collections.abc import Callable

    from citronspring.cli.commands import Invocation

#: Type of a function that prints a host's answer as a table.
Printer = "Callable[[dict[str, Any]], None]"


def view(
    invocation: Invocation, path: str, print_answer: Callable[[dict[str, Any]], None]
) -> int:
    """Read a path and print the answer, as JSON or with ``print_answer``."""
    answer = AdminClient.from_flags(invocation).get(path)
    if invocation.flags["output"] == "json":
        print_json(answer)
        return 0
    try:
        print_answer(answer)
    except (KeyError, TypeError, AttributeError):
        message = f"{path}: the host's answer has an unexpected form"
        raise RemoteError(
            "error", message, "use the command line of the host's release"
        ) from None
    return 0


def list_templates(invocation: Invocation) -> int:
    """List the templates."""
    return view(invocation, "/v1/templates", print_templates)


def print_templates(answer: dict[str, Any]) -> None:
    """Print the templates."""
    rows = [(row["name"], row["revision"]) for row in answer["templates"]]
    print_table(("template", "revision"), rows)


def show_template(invocation: Invocation) -> int:
    """Show a template, always as JSON."""
    (name,) = invocation.arguments
    return view(invocation, template_path(name), print_json)


def list_accounts(invocation: Invocation) -> int:
    """List the client accounts."""
    return view(invocation, "/v1/accounts", print_accounts)


def print_accounts(answer: dict[str, Any]) -> None:
    """Print the accounts."""
    names = ("account_id", "template", "targets", "revision")
    rows = [[row[name] for name in names] for row in answer["accounts"]]
    print_table(("account", "template", "targets", "revision"), rows)


def show_account(invocation: Invocation) -> int:
    """Show a client account."""
    (account_id,) = invocation.arguments
    return view(invocation, account_path(account_id), print_account)


def print_account(answer: dict[str, Any]) -> None:
    """Print one account."""
    facts = [
        ("account", answer["account_id"]),
        ("revision", answer["revision"]),
        ("template", answer["template"]),
        ("addresses", ", ".join(answer["addresses"])),
        ("zones", ", ".join(answer["zones"])),
        *answer["limits"].items(),
    ]
    print_table(("what", "value"), [(name, str(value)) for name, value in facts])
    print()
    names = ("target_id", "state", "zone", "tunnel", "health", "max_connections")
    rows = [[target[name] for name in names] for target in answer["targets"]]
    headings = ("target", "state", "zone", "tunnel", "health", "connections")
    print_table(headings, rows)


def show_history(invocation: Invocation) -> int:
    """Show the last changes of a client account."""
    (account_id,) = invocation.arguments
    return view(invocation, f"{account_path(account_id)}/history", print_history)


def print_history(answer: dict[str, Any]) -> None:
    """Print the changes."""
    rows = [
        (item["revision"], item["author"], item["change_id"], line)
        for item in answer["history"]
        for line in item["difference"] or ["-"]
    ]
    print_table(("revision", "author", "change id", "what"), rows)


def show_status(invocation: Invocation) -> int:
    """Show hosts, zones, leaving hosts and ejected targets."""
    return view(invocation, "/v1/status", print_status)


def print_status(answer: dict[str, Any]) -> None:
    """Print the status as known to a host."""
    print(
        f"as known to {answer['host']}, which has applied revision {answer['revision']}"
    )
    print()
    names = ("host", "zone", "state", "revision")
    print_table(names, [[row[name] for name in names] for row in answer["hosts"]])
    print()
    rows = [(row["zone"], row["hosts"], row["revision"]) for row in answer["zones"]]
    print_table(("zone", "hosts", "lowest revision"), rows)
    print()
    print(f"leaving: {', '.join(answer['leaving']) or 'none'}")
    if not answer["ejected"]:
        print("ejected targets: none")
        return
    rows = [
        (row["account_id"], row["target_id"], row["seconds_left"])
        for row in answer["ejected"]
    ]
    print_table(("account", "ejected target", "seconds left"), rows)


def dump(invocation: Invocation) -> int:
    """Dump the state of one host, always as JSON."""
    client = AdminClient.from_flags(invocation, invocation.arguments)
    print_json(client.get("/v1/dump"))
    return 0


def drain_host(invocation: Invocation) -> int:
    """Stop one host gracefully."""
    client = AdminClient.from_flags(invocation, invocation.arguments)
    answer = client.send_with_retries("POST", "/v1/host/drain", None, "")
    if invocation.flags["output"] == "json":
        print_json(answer)
    else:
        print(f"{answer.get('host')} leaves, within {answer.get('seconds_left')} s")
    return 0


COMMANDS = (
    Command(("template", "list"), (), list_templates, "List the templates.", READ),
    Command(
        ("template", "show"),
        ("TEMPLATE",),
        show_template,
        "Show a template as JSON.",
        READ,
    ),
    Command(("account", "list"), (), list_accounts, "List the client accounts.", READ),
    Command(
        ("account", "show"), ("ACCOUNT",), show_account, "Show a client account.", READ
    ),
    Command(
        ("account", "history"),
        ("ACCOUNT",),
        show_history,
        "Show the last changes of a client account, newest first.",
        READ,
    ),
    Command(
        ("host", "drain"),
        ("HOST",),
        drain_host,
        "Stop the host at this URL gracefully: it leaves, then exits.",
        ACCESS,
    ),
    Command(
        ("status",),
        (),
        show_status,
        "Show the revision of every host, zones, leaving hosts, ejected targets.",
        READ,
    ),
    Command(
        ("dump",), ("HOST",), dump, "Dump the state of the host at this URL.", ACCESS
    ),
)
