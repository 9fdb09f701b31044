"""The changes operators make, and their ids."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from citronspring.configuration.plain_data import check_plain_data
from citronspring.errors import ConfigurationError

#: A revision the client knew, a dash, and a token of the client's own.
CHANGE_ID = re.compile(r"(0|[1-9][0-9]{0,17})-([A-Za-z0-9_.-]{1,64})")

#: Longest name of an author, in characters.
MAX_AUTHOR_LENGTH = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """What every change carries."""

    #: Made once by the client and sent again with each retry, see
    #: :func:`make_change_id`.
    change_id: str
    author: str
    #: Revision at which the operator saw the account or template: 0 expects
    #: none to exist, None takes it as it is when the commit starts.
    if_revision: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class PutTemplate(Change):
    """Create or replace a template; its accounts are rendered again."""

    #: The template as the operator wrote it, not validated yet.
    template: Mapping[str, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class PutAccount(Change):
    """Create or replace a client account."""

    account_id: str
    #: Name of the template.
    template: str
    #: Parameters as the operator wrote them, not validated yet.
    parameters: Mapping[str, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class DeleteAccount(Change):
    """Delete a client account with all its targets, at once."""

    account_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainTarget(Change):
    """Let a target take no new flows and keep the ones it has."""

    account_id: str
    target_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class UndrainTarget(Change):
    """Let a drained target take new flows again."""

    account_id: str
    target_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PurgeTarget(Change):
    """Forget a target that was removed from the parameters before."""

    account_id: str
    target_id: str


AccountChange = PutAccount | DeleteAccount | DrainTarget | UndrainTarget | PurgeTarget

AnyChange = PutTemplate | AccountChange


def make_change_id(revision: int, token: str) -> str:
    """Make a change id.

    Parameters
    ----------
    revision : int
        Any revision that the client has seen accepted; a recent one, as the
        store remembers some hundred change ids. From it the store tells "never
        committed" from "committed so long ago that the id is forgotten".
    token : str
        Tells the ids of all clients apart, for example a random UUID.
    """
    change_id = f"{revision}-{token}"
    change_id_revision(change_id)
    return change_id


def change_id_revision(change_id: str) -> int:
    """Return the revision that the maker of a change id had seen.

    Raises ConfigurationError when the id has another form.
    """
    found = CHANGE_ID.fullmatch(change_id)
    if found is None:
        raise ConfigurationError(
            f"change id {change_id[:100]!r} has not the form revision-token",
            "make it from a revision you have seen and a random token, as 41-3f9c",
        )
    return int(found[1])


def check_change(change: AnyChange) -> None:
    """Raise ConfigurationError when a change is not formed as its class says."""
    check_text("change id", change.change_id)
    change_id_revision(change.change_id)
    check_text("author", change.author)
    check_author(change.author)
    if change.if_revision is not None and type(change.if_revision) is not int:
        raise ConfigurationError("if_revision is no whole number", "give a revision")
    if not isinstance(change, PutTemplate):
        check_text("account id", change.account_id)
    match change:
        case PutTemplate(template=template):
            check_mapping("template", template)
        case PutAccount(template=template, parameters=parameters):
            check_text("template name", template)
            check_mapping(f"account {change.account_id}: parameters", parameters)
        case DrainTarget() | UndrainTarget() | PurgeTarget():
            check_text("target id", change.target_id)


def check_text(what: str, value: object) -> None:
    """Raise ConfigurationError when a value is no text of one line."""
    if not isinstance(value, str) or not value.isprintable():
        raise ConfigurationError(f"{what} is no text of one line", "quote it")


def check_mapping(what: str, value: object) -> None:
    """Raise ConfigurationError when a value is no table of plain data."""
    if not isinstance(value, Mapping):
        raise ConfigurationError(f"{what} has no keys", "write it as a table")
    check_plain_data(what, dict(value))


def check_author(author: str) -> None:
    """Raise ConfigurationError when an author's name is not usable."""
    if not 0 < len(author) <= MAX_AUTHOR_LENGTH:
        raise ConfigurationError(
            f"author {author[:100]!r} is not a name",
            f"give 1 to {MAX_AUTHOR_LENGTH} characters",
        )
