"""Changes that operators submit, and their ids."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from citronspring.configuration.plain_data import check_plain_data
from citronspring.errors import ConfigurationError

#: A revision that the client knows, a dash, and a token that the client chooses.
CHANGE_ID = re.compile(r"(0|[1-9][0-9]{0,17})-([A-Za-z0-9_.-]{1,64})")

#: Maximum length of an author's name in characters.
MAX_AUTHOR_LENGTH = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """Base class with the attributes of every change."""

    #: Idempotency key: created once by the client and sent again with each retry, see
    #: :func:`make_change_id`.
    change_id: str
    author: str
    #: Revision at which the operator saw the account or template. 0 requires that it
    #: does not exist; None accepts the state at the start of the commit.
    if_revision: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class PutTemplate(Change):
    """Create or replace a template, and render its accounts again."""

    #: The template as the operator wrote it, not yet validated.
    template: Mapping[str, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class PutAccount(Change):
    """Create or replace a client account."""

    account_id: str
    #: Name of the template.
    template: str
    #: The parameters as the operator wrote them, not yet validated.
    parameters: Mapping[str, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class DeleteAccount(Change):
    """Delete a client account with all its targets immediately, without draining."""

    account_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainTarget(Change):
    """Send no new flows to a target; it keeps its existing ones."""

    account_id: str
    target_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class UndrainTarget(Change):
    """Send new flows to a drained target again."""

    account_id: str
    target_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PurgeTarget(Change):
    """Remove a target from the list after it was removed from the parameters."""

    account_id: str
    target_id: str


AccountChange = PutAccount | DeleteAccount | DrainTarget | UndrainTarget | PurgeTarget

AnyChange = PutTemplate | AccountChange


def make_change_id(revision: int, token: str) -> str:
    """Return a change id.

    Parameters
    ----------
    revision : int
        A revision that the client has seen committed. It should be recent, because
        the store records only some hundred change ids. The store uses it to
        distinguish a change that was never committed from one that was committed so
        long ago that its id is no longer recorded.
    token : str
        Makes the id unique among all clients, for example a random UUID.
    """
    change_id = f"{revision}-{token}"
    change_id_revision(change_id)
    return change_id


def change_id_revision(change_id: str) -> int:
    """Return the revision that a change id contains.

    Raises ConfigurationError if the id is malformed.
    """
    found = CHANGE_ID.fullmatch(change_id)
    if found is None:
        raise ConfigurationError(
            f"change id {change_id[:100]!r} is not of the form revision-token",
            "make it from a revision you have seen and a random token, such as 41-3f9c",
        )
    return int(found[1])


def check_change(change: AnyChange) -> None:
    """Raise ConfigurationError if an attribute of a change has a wrong type or form."""
    check_text("change id", change.change_id)
    change_id_revision(change.change_id)
    check_text("author", change.author)
    check_author(change.author)
    if change.if_revision is not None and type(change.if_revision) is not int:
        raise ConfigurationError("if_revision is not an integer", "give a revision")
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
    """Raise ConfigurationError unless a value is one line of printable text."""
    if not isinstance(value, str) or not value.isprintable():
        raise ConfigurationError(f"{what} is not one line of text", "quote it")


def check_mapping(what: str, value: object) -> None:
    """Raise ConfigurationError unless a value is a table of plain data."""
    if not isinstance(value, Mapping):
        raise ConfigurationError(f"{what} is not a table", "write it as a table")
    check_plain_data(what, dict(value))


def check_author(author: str) -> None:
    """Raise ConfigurationError if an author's name is empty or too long."""
    if not 0 < len(author) <= MAX_AUTHOR_LENGTH:
        raise ConfigurationError(
            f"author {author[:100]!r} is empty or too long",
            f"give 1 to {MAX_AUTHOR_LENGTH} characters",
        )
