"""Render client accounts from templates, and keep the state of their targets."""

from __future__ import annotations

import re
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from pydantic import JsonValue, TypeAdapter, ValidationError

from citronspring.configuration.models import AccountModel, Name, TargetModel
from citronspring.configuration.validation_errors import (
    configuration_error,
    escape,
    remedy_of_unknown,
)
from citronspring.entities import Account, Endpoint, Target
from citronspring.errors import ConfigurationError, NotFoundError

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable, Mapping

    from citronspring.configuration.models import TemplateModel

#: A string that is replaced by the value of a parameter.
REFERENCE = re.compile(r"\{([a-z][a-z0-9_]*)\}")

#: Seconds for which a target that was removed from the parameters stays listed.
RETENTION_SECONDS = 7 * 86_400.0

NAME = TypeAdapter(Name)


@dataclass(frozen=True, slots=True)
class RenderedAccount:
    """A rendered account, and how long its removed targets stay listed."""

    account: Account
    #: Deadline by target id, for targets that are no longer in the parameters.
    retain_until: dict[str, float]


def check_account_id(account_id: str) -> None:
    """Raise ConfigurationError if an account id is not valid."""
    try:
        NAME.validate_python(account_id)
    except ValidationError as error:
        raise configuration_error(error, "account id") from error


def check_parameters(
    template: TemplateModel, parameters: Mapping[str, Any], what: str
) -> dict[str, Any]:
    """Check the parameters of an account and return them in JSON form.

    Defaults are not added, so that a change of the template's defaults takes effect.
    """
    unknown = sorted(set(parameters) - set(template.parameters))
    if unknown:
        raise ConfigurationError(
            f"{what}: template {template.name} has no parameter {escape(unknown[0])}",
            remedy_of_unknown(unknown[0], list(template.parameters)),
        )
    return {
        name: check_parameter(template, name, value, what)
        for name, value in parameters.items()
    }


def check_parameter(template: TemplateModel, name: str, value: Any, what: str) -> Any:
    """Check one parameter and return it in JSON form."""
    parameter = template.parameters[name]
    try:
        return parameter.check(value)
    except ValueError as error:
        raise ConfigurationError(
            f"{what}: parameter {name}: {error}", f"correct {name}"
        ) from error


def check_references(template: TemplateModel) -> None:
    """Raise ConfigurationError if a body refers to an undeclared parameter."""
    for name in sorted(references_in(template.body.model_dump())):
        if name not in template.parameters:
            raise ConfigurationError(
                f"template {template.name}: the body uses {{{escape(name)}}}",
                f"declare the parameter {escape(name)}",
            )


def references_in(value: JsonValue) -> set[str]:
    """Return the names of the parameters that a value refers to."""
    match value:
        case str():
            found = REFERENCE.fullmatch(value)
            return {found[1]} if found else set()
        case list():
            return set().union(*(references_in(item) for item in value))
        case dict():
            return set().union(*(references_in(item) for item in value.values()))
    return set()


def substitute(value: JsonValue, values: Mapping[str, Any]) -> Any:
    """Return a value in which references are replaced by the parameters."""
    match value:
        case str():
            found = REFERENCE.fullmatch(value)
            return values[found[1]] if found else value
        case list():
            return [substitute(item, values) for item in value]
        case dict():
            return {key: substitute(item, values) for key, item in value.items()}
    return value


def render(
    template: TemplateModel, account_id: str, parameters: Mapping[str, Any]
) -> Account:
    """Render an account as if all its targets were added at revision 0.

    Raises ConfigurationError, which names the account, key and value.
    """
    what = f"account {account_id}"
    values = parameters_with_defaults(template, parameters, what)
    raw = substitute(template.body.model_dump(), values)
    defaults = raw.pop("target_defaults")
    if isinstance(raw["targets"], list):
        raw["targets"] = [with_defaults(item, defaults) for item in raw["targets"]]
    try:
        model = AccountModel.model_validate(raw)
    except ValidationError as error:
        raise configuration_error(error, what, TargetModel) from error
    account = to_account(account_id, model)
    check_unique(account, what)
    return account


def parameters_with_defaults(
    template: TemplateModel, parameters: Mapping[str, Any], what: str
) -> dict[str, Any]:
    """Return the parameters with the template's defaults filled in."""
    values = {}
    for name, parameter in template.parameters.items():
        if name not in parameters and parameter.required:
            raise ConfigurationError(
                f"{what}: parameter {name} is missing", f"add {name}"
            )
        values[name] = parameters.get(name, parameter.default)
    return values


def with_defaults(target: Any, defaults: dict[str, Any]) -> Any:
    """Return a target, with the template's defaults for keys that it lacks."""
    return {**defaults, **target} if isinstance(target, dict) else target


def to_account(account_id: str, model: AccountModel) -> Account:
    """Return the account entity of a model."""
    return Account(
        account_id,
        tuple(sorted(address.to_entity() for address in model.addresses)),
        tuple(to_target(account_id, target) for target in model.targets),
        tuple(model.zones),
        model.limits.to_entity(),
    )


def to_target(account_id: str, model: TargetModel) -> Target:
    """Return the target entity of a model."""
    return Target(
        model.target_id,
        account_id,
        Endpoint.from_text(model.tunnel),
        model.zone,
        model.slots,
        model.max_connections,
        Endpoint.from_text(model.health) if model.health else None,
    )


def check_unique(account: Account, what: str) -> None:
    """Raise ConfigurationError if an account has duplicate entries."""
    refuse_duplicates(account.addresses, f"{what}: service address")
    refuse_duplicates((t.target_id for t in account.targets), f"{what}: target")
    refuse_duplicates((t.tunnel.ip for t in account.targets), f"{what}: tunnel")
    refuse_duplicates(account.zones, f"{what}: zone")


def refuse_duplicates(values: Iterable[Hashable], what: str) -> None:
    """Raise ConfigurationError if a value is listed twice."""
    seen = set()
    for value in values:
        if value in seen:
            raise ConfigurationError(f"{what} {value} is listed twice", "list it once")
        seen.add(value)


def check_zones(account: Account, zones: frozenset[str]) -> None:
    """Raise ConfigurationError if a zone of an account is not allowed.

    An account may only use the zones of the settings, and its targets only the
    account's own zones.
    """
    named = [*account.zones, *(target.zone for target in account.targets)]
    for zone in named:
        if zones and zone not in zones:
            raise ConfigurationError(
                f"account {account.account_id}: zone {zone} is not listed",
                f"use one of {', '.join(sorted(zones))}",
            )
    for target in account.targets:
        if target.zone not in account.zones:
            raise ConfigurationError(
                f"account {account.account_id}: target {target.target_id} is in "
                f"zone {target.zone}, which is not a zone of the account",
                f"add {target.zone} to its zones",
            )


def merge_previous_targets(
    before: RenderedAccount | None, fresh: Account, revision: int, now: float
) -> RenderedAccount:
    """Merge a newly rendered account with the previous state of its targets.

    The added and leaving revisions of a target determine on every host which flows
    it may have. If rendering changed them, hosts would send packets of existing flows
    to other targets.

    Parameters
    ----------
    before : RenderedAccount or None
        The current account, None if it is new.
    fresh : Account
        The account as rendered from its parameters.
    revision : int
        Revision at which the result takes effect.
    now : float
        Time at which the retention of removed targets starts.
    """
    before = before or RenderedAccount(Account(fresh.account_id), {})
    old = {target.target_id: target for target in before.account.targets}
    new_ids = {target.target_id for target in fresh.targets}
    targets = [
        merge_target(old.get(target.target_id), target, before, revision)
        for target in fresh.targets
    ]
    retain_until = {}
    for target_id, target in old.items():
        deadline = before.retain_until.get(target_id, now + RETENTION_SECONDS)
        if target_id in new_ids or deadline <= now:
            continue
        targets.append(mark_leaving(target, revision))
        retain_until[target_id] = deadline
    account = replace(fresh, targets=tuple(sorted(targets, key=target_order)))
    check_unique(account, f"account {fresh.account_id}, leaving targets included")
    return RenderedAccount(account, retain_until)


def merge_target(
    old: Target | None, fresh: Target, before: RenderedAccount, revision: int
) -> Target:
    """Return a newly rendered target with the revisions of the previous one."""
    if old is None:
        return replace(fresh, added_revision=revision)
    if old.tunnel != fresh.tunnel:
        raise ConfigurationError(
            f"account {fresh.account_id}: target {fresh.target_id} has the tunnel "
            f"{old.tunnel} and may have flows there; {fresh.tunnel} is another server",
            "give the new server a target id of its own",
        )
    put_back = fresh.target_id in before.retain_until
    leaving_revision = None if put_back else old.leaving_revision
    return replace(
        fresh, added_revision=old.added_revision, leaving_revision=leaving_revision
    )


def mark_leaving(target: Target, revision: int) -> Target:
    """Return a target that accepts no new flows from ``revision`` on."""
    return target if target.leaving else replace(target, leaving_revision=revision)


def drain(before: RenderedAccount, target_id: str, revision: int) -> RenderedAccount:
    """Mark a target as leaving; raise NotFoundError if there is none."""
    target = find_target(before, target_id)
    return replace_target(before, mark_leaving(target, revision))


def undrain(before: RenderedAccount, target_id: str) -> RenderedAccount:
    """Return an account in which a drained target accepts new flows again."""
    target = find_target(before, target_id)
    if target_id in before.retain_until:
        raise ConfigurationError(
            f"target {target_id} was removed from the parameters of "
            f"{target.account_id}",
            "put it back into the parameters",
        )
    return replace_target(before, replace(target, leaving_revision=None))


def purge(before: RenderedAccount, target_id: str) -> RenderedAccount:
    """Return an account without a target that was removed from the parameters."""
    target = find_target(before, target_id)
    if target_id not in before.retain_until:
        raise ConfigurationError(
            f"target {target_id} is in the parameters of {target.account_id}",
            "remove it from them first",
        )
    kept = tuple(t for t in before.account.targets if t.target_id != target_id)
    retain_until = {k: v for k, v in before.retain_until.items() if k != target_id}
    return RenderedAccount(replace(before.account, targets=kept), retain_until)


def find_target(rendered: RenderedAccount, target_id: str) -> Target:
    """Return a target; raise NotFoundError if there is none."""
    for target in rendered.account.targets:
        if target.target_id == target_id:
            return target
    raise NotFoundError(
        f"account {rendered.account.account_id} has no target {escape(target_id)}",
        "list the account's targets",
    )


def replace_target(rendered: RenderedAccount, target: Target) -> RenderedAccount:
    """Return an account with one target replaced."""
    targets = tuple(
        target if old.target_id == target.target_id else old
        for old in rendered.account.targets
    )
    return replace(rendered, account=replace(rendered.account, targets=targets))


def target_order(target: Target) -> str:
    """Return the sort key of a target."""
    return target.target_id
