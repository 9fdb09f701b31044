"""Operations on templates, client accounts and their targets."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, Any, cast

from citronspring.admin.bodies import ChangeBody, PutAccountBody, PutTemplateBody
from citronspring.admin.errors import MalformedRequestError
from citronspring.admin.operations import Call, Operation, read_revision
from citronspring.admin.problems import JsonResponse
from citronspring.admin.tokens import Role
from citronspring.configuration.changes import (
    DeleteAccount,
    DrainTarget,
    PurgeTarget,
    PutAccount,
    PutTemplate,
    UndrainTarget,
)

if TYPE_CHECKING:
    from starlette.responses import Response

    from citronspring.configuration.shards import AccountEntry
    from citronspring.entities import Target


async def list_templates(call: Call) -> Response:
    """Return the name and revision of every template."""
    catalog = await call.configuration.read_catalog()
    rows = [
        {"name": name, "revision": entry.revision}
        for name, entry in sorted(catalog.templates.templates.items())
    ]
    return JsonResponse({"templates": rows, "revision": catalog.head.revision})


async def show_template(call: Call) -> Response:
    """Return one template."""
    entry = await call.configuration.read_template(call.path_parameter("name"))
    template = entry.template.model_dump(mode="json", exclude_defaults=True)
    content = {"name": entry.template.name, "revision": entry.revision}
    return JsonResponse(content | {"template": template})


async def put_template(call: Call) -> Response:
    """Create or replace a template."""
    body = cast("PutTemplateBody", await call.read_change())
    name = call.path_parameter("name")
    if body.template.get("name", name) != name:
        raise MalformedRequestError(
            "the name in the template differs from the name in the path",
            "use the same name in both",
        )
    change = PutTemplate(
        change_id=call.change_id,
        author=call.principal.name,
        if_revision=body.if_revision,
        template={**body.template, "name": name},
    )
    return await call.commit(change)


async def list_accounts(call: Call) -> Response:
    """Return a row for each client account."""
    catalog = await call.configuration.read_catalog()
    rows = [
        {
            "account_id": account_id,
            "template": entry.template,
            "revision": entry.revision,
            "targets": len(entry.rendered.account.targets),
        }
        for account_id, entry in sorted(catalog.entries(), key=lambda item: item[0])
    ]
    return JsonResponse({"accounts": rows, "revision": catalog.head.revision})


async def show_account(call: Call) -> Response:
    """Return one client account, both its parameters and the rendered result."""
    account_id = call.path_parameter("account")
    entry = await call.configuration.read_account(account_id)
    return JsonResponse(describe_account(account_id, entry))


def describe_account(account_id: str, entry: AccountEntry) -> dict[str, Any]:
    """Return a client account as values that JSON can encode."""
    account = entry.rendered.account
    return {
        "account_id": account_id,
        "revision": entry.revision,
        "template": entry.template,
        "parameters": entry.parameters,
        "addresses": [
            f"{address.protocol.name.lower()} {address.ip}:{address.port}"
            for address in account.addresses
        ],
        "targets": [describe_target(target) for target in account.targets],
        "zones": list(account.zones),
        "limits": asdict(account.limits),
    }


def describe_target(target: Target) -> dict[str, Any]:
    """Return a target as values that JSON can encode."""
    return {
        "target_id": target.target_id,
        "state": "leaving" if target.leaving else "active",
        "zone": target.zone,
        "tunnel": str(target.tunnel),
        "health": str(target.health) if target.health else None,
        "slots": target.slots,
        "max_connections": target.max_connections,
        "added_revision": target.added_revision,
        "leaving_revision": target.leaving_revision,
    }


async def put_account(call: Call) -> Response:
    """Create or replace a client account."""
    body = cast("PutAccountBody", await call.read_change())
    change = PutAccount(
        change_id=call.change_id,
        author=call.principal.name,
        if_revision=body.if_revision,
        account_id=call.path_parameter("account"),
        template=body.template,
        parameters=body.parameters,
    )
    return await call.commit(change)


async def delete_account(call: Call) -> Response:
    """Delete a client account."""
    body = await call.read_change()
    query = call.request.query_params
    revision = read_revision(query.get("if_revision"))
    call.change_id = query.get("change_id") or call.change_id
    change = DeleteAccount(
        change_id=call.change_id,
        author=call.principal.name,
        if_revision=body.if_revision if revision is None else revision,
        account_id=call.path_parameter("account"),
    )
    return await call.commit(change)


async def show_history(call: Call) -> Response:
    """Return the last changes of a client account, newest first."""
    account_id = call.path_parameter("account")
    entry = await call.configuration.read_account(account_id)
    history = [asdict(item) for item in entry.history]
    return JsonResponse({"account_id": account_id, "history": history})


async def change_target(
    call: Call, change_type: type[DrainTarget | UndrainTarget | PurgeTarget]
) -> Response:
    """Commit a change of one target."""
    body = await call.read_change()
    change = change_type(
        change_id=call.change_id,
        author=call.principal.name,
        if_revision=body.if_revision,
        account_id=call.path_parameter("account"),
        target_id=call.path_parameter("target"),
    )
    return await call.commit(change)


async def drain_target(call: Call) -> Response:
    """Drain a target, so that it gets no new flows."""
    return await change_target(call, DrainTarget)


async def undrain_target(call: Call) -> Response:
    """End the drain of a target, so that it gets new flows again."""
    return await change_target(call, UndrainTarget)


async def purge_target(call: Call) -> Response:
    """Delete the record of a target that was removed before."""
    return await change_target(call, PurgeTarget)


ACCOUNT = "/v1/accounts/{account}"
TARGET = f"{ACCOUNT}/targets/{{target}}"
TEMPLATE = "/v1/templates/{name}"

OPERATIONS = (
    Operation("GET", "/v1/templates", Role.READ, list_templates, "List the templates."),
    Operation("GET", TEMPLATE, Role.READ, show_template, "Show a template."),
    Operation(
        "PUT",
        TEMPLATE,
        Role.OPERATE,
        put_template,
        "Create or replace a template; its accounts are rendered again.",
        PutTemplateBody,
    ),
    Operation(
        "GET", "/v1/accounts", Role.READ, list_accounts, "List the client accounts."
    ),
    Operation("GET", ACCOUNT, Role.READ, show_account, "Show a client account."),
    Operation(
        "PUT",
        ACCOUNT,
        Role.OPERATE,
        put_account,
        "Create or replace a client account.",
        PutAccountBody,
    ),
    Operation(
        "DELETE",
        ACCOUNT,
        Role.OPERATE,
        delete_account,
        "Delete a client account; `if_revision` and `change_id` may be in the query.",
        ChangeBody,
    ),
    Operation(
        "GET",
        f"{ACCOUNT}/history",
        Role.READ,
        show_history,
        "Show the last changes of a client account, newest first.",
    ),
    Operation(
        "POST",
        f"{TARGET}/drain",
        Role.OPERATE,
        drain_target,
        "Drain a target: it gets no new flows and keeps the ones it has.",
        ChangeBody,
    ),
    Operation(
        "POST",
        f"{TARGET}/undrain",
        Role.OPERATE,
        undrain_target,
        "End the drain of a target: it gets new flows again.",
        ChangeBody,
    ),
    Operation(
        "POST",
        f"{TARGET}/purge",
        Role.OPERATE,
        purge_target,
        "Delete the record of a target that was removed from the account before.",
        ChangeBody,
    ),
)
