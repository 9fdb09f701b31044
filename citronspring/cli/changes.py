"""Commands that change templates, client accounts and targets."""

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
    invocation: Invocation, subject: str, method: str, path: str, body: dict[str, Any]
) -> int:
    """Send a change and print its result; the change id is printed before."""
    client = AdminClient.from_flags(invocation)
    change_id = invocation.flags["change_id"] or client.new_change_id()
    print(f"change id {change_id}", file=sys.stderr)
    if invocation.flags["if_revision"] is not None:
        body["if_revision"] = invocation.flags["if_revision"]
    answer = client.change(method, path, body, change_id)
    if invocation.flags["output"] == "json":
        print_json(answer)
    else:
        print(f"{subject}: committed at revision {answer.get('revision')}")
    return 0


def put_template(invocation: Invocation) -> int:
    """Create or replace a template."""
    (name,) = invocation.arguments
    template = read_table(name)
    if not isinstance(template.get("name"), str):
        raise InputFileError(f"{name}: the template has no name", "add name")
    path = template_path(template["name"])
    subject = f"template {template['name']}"
    return send_change(invocation, subject, "PUT", path, {"template": template})


def put_account(invocation: Invocation) -> int:
    """Create or replace a client account."""
    account_id, name = invocation.arguments
    body = read_table(name)
    unknown = sorted(set(body) - {"template", "parameters"})
    if unknown or "template" not in body:
        message = (
            f"{name}: unknown key {unknown[0]}"
            if unknown
            else f"{name}: template is missing"
        )
        raise InputFileError(message, "the keys are template and parameters")
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
    subject = f"target {target_id} of {account_id}"
    return send_change(invocation, subject, "POST", path, {})


def drain_target(invocation: Invocation) -> int:
    """Drain a target, so that it gets no new flows."""
    return change_target(invocation, "drain")


def undrain_target(invocation: Invocation) -> int:
    """End the drain of a target, so that it gets new flows again."""
    return change_target(invocation, "undrain")


def purge_target(invocation: Invocation) -> int:
    """Delete the record of a target that was removed before."""
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
        "Delete a client account with its targets, immediately.",
        CHANGE,
    ),
    Command(
        ("target", "drain"),
        ("ACCOUNT", "TARGET"),
        drain_target,
        "Drain a target: it gets no new flows and keeps the ones it has.",
        CHANGE,
    ),
    Command(
        ("target", "undrain"),
        ("ACCOUNT", "TARGET"),
        undrain_target,
        "End the drain of a target: it gets new flows again.",
        CHANGE,
    ),
    Command(
        ("target", "purge"),
        ("ACCOUNT", "TARGET"),
        purge_target,
        "Delete the record of a target that was removed from the account before.",
        CHANGE,
    ),
)
