"""Changes of the configuration: templates, accounts and targets."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from citronspring.cli.client import AdminClient
from citronspring.cli.commands import Command
from citronspring.cli.exit_codes import InputFileError
from citronspring.cli.files import read_table
from citronspring.cli.flags import CHANGE
from citronspring.cli.output import print_json

if TYPE_CHECKING:
    from citronspring.cli.commands import Invocation


def template_path(name: str) -> str:
    """Return the path of a template."""
    return f"/v1/templates/{quote(name, safe='')}"


def account_path(account_id: str) -> str:
    """Return the path of a client account."""
    return f"/v1/accounts/{quote(account_id, safe='')}"


def target_path(account_id: str, target_id: str) -> str:
    """Return the path of a target."""
    return f"{account_path(account_id)}/targets/{quote(target_id, safe='')}"


def send_change(
    invocation: Invocation, what: str, method: str, path: str, body: dict[str, Any]
) -> int:
    """Make one change, print its id before it is sent, and what came of it."""
    client = AdminClient.from_flags(invocation)
    change_id = invocation.flags["change_id"] or client.new_change_id()
    print(f"change id {change_id}", file=sys.stderr)
    if invocation.flags["if_revision"] is not None:
        body["if_revision"] = invocation.flags["if_revision"]
    answer = client.change(method, path, body, change_id)
    if invocation.flags["output"] == "json":
        print_json(answer)
    else:
        print(f"{what}: committed at revision {answer.get('revision')}")
    return 0


def put_template(invocation: Invocation) -> int:
    """Create or replace a template."""
    (name,) = invocation.arguments
    template = read_table(name)
    if not isinstance(template.get("name"), str):
        raise InputFileError(f"{name}: names no template", "add name")
    path = template_path(template["name"])
    what = f"template {template['name']}"
    return send_change(invocation, what, "PUT", path, {"template": template})


def put_account(invocation: Invocation) -> int:
    """Create or replace a client account."""
    account_id, name = invocation.arguments
    body = read_table(name)
    unknown = sorted(set(body) - {"template", "parameters"})
    if unknown or "template" not in body:
        message = f"{name}: holds {unknown[0]}" if unknown else f"{name}: no template"
        raise InputFileError(message, "write template and parameters, nothing else")
    path = account_path(account_id)
    return send_change(invocation, f"account {account_id}", "PUT", path, body)


def delete_account(invocation: Invocation) -> int:
    """Delete a client account."""
    (account_id,) = invocation.arguments
    path = account_path(account_id)
    return send_change(invocation, f"account {account_id}", "DELETE", path, {})


def change_target(invocation: Invocation, verb: str) -> int:
    """Change one target."""
    account_id, target_id = invocation.arguments
    path = f"{target_path(account_id, target_id)}/{verb}"
    what = f"target {target_id} of {account_id}"
    return send_change(invocation, what, "POST", path, {})


def drain_target(invocation: Invocation) -> int:
    """Let a target take no new flows."""
    return change_target(invocation, "drain")


def undrain_target(invocation: Invocation) -> int:
    """Let a drained target take new flows again."""
    return change_target(invocation, "undrain")


def purge_target(invocation: Invocation) -> int:
    """Forget a target that was removed."""
    return change_target(invocation, "purge")


COMMANDS = (
    Command(
        ("template", "put"),
        ("FILE",),
        put_template,
        "Create or replace a template; its accounts are rendered again.",
        CHANGE,
    ),
    Command(
        ("account", "put"),
        ("ACCOUNT", "FILE"),
        put_account,
        "Create or replace a client account.",
        CHANGE,
    ),
    Command(
        ("account", "delete"),
        ("ACCOUNT",),
        delete_account,
        "Delete a client account with its targets, at once.",
        CHANGE,
    ),
    Command(
        ("target", "drain"),
        ("ACCOUNT", "TARGET"),
        drain_target,
        "Let a target take no new flows and keep the ones it has.",
        CHANGE,
    ),
    Command(
        ("target", "undrain"),
        ("ACCOUNT", "TARGET"),
        undrain_target,
        "Let a drained target take new flows again.",
        CHANGE,
    ),
    Command(
        ("target", "purge"),
        ("ACCOUNT", "TARGET"),
        purge_target,
        "Forget a target that was removed from the account before.",
        CHANGE,
    ),
)
