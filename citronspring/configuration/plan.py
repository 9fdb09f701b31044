"""Compute the effect of a change on a catalog, without any I/O."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from citronspring.configuration.changes import (
    DeleteAccount,
    DrainTarget,
    PurgeTarget,
    PutAccount,
    PutTemplate,
    UndrainTarget,
)
from citronspring.configuration.difference import (
    account_difference,
    mapping_difference,
    truncate_lines,
)
from citronspring.configuration.models import TemplateModel
from citronspring.configuration.rendering import (
    check_account_id,
    check_parameters,
    check_references,
    check_zones,
    drain,
    merge_previous_targets,
    purge,
    render,
    undrain,
)
from citronspring.configuration.shards import (
    HISTORY_KEPT,
    AccountEntry,
    HistoryEntry,
    TemplateEntry,
)
from citronspring.configuration.validation_errors import escape
from citronspring.entities import ChangeRecord
from citronspring.errors import ConflictError, NotFoundError
from citronspring.tokens.entries import count_of, epoch_of, ordered_revision

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any

    from citronspring.configuration.catalog import Catalog
    from citronspring.configuration.changes import AnyChange
    from citronspring.configuration.rendering import RenderedAccount

#: Account id in the record of a change that affects no account.
NO_ACCOUNT = ""


@dataclass(slots=True)
class Draft:
    """The changes that a commit will write."""

    catalog: Catalog
    change: AnyChange
    now: float
    #: Zones that the settings list; empty to allow any.
    zones: frozenset[str]
    #: Entry of each changed account, None if it is deleted.
    changed_entries: dict[str, AccountEntry | None] = field(default_factory=dict)
    #: Created or replaced template, if any.
    template: TemplateEntry | None = None
    #: One record for each revision of the commit.
    records: list[ChangeRecord] = field(default_factory=list)

    @property
    def base_revision(self) -> int:
        """Revision before the first one of the commit.

        The first commit after a restore from a backup skips the revisions that may have
        been assigned before it. If it reused them, hosts would mistake its changes for
        the lost ones that they already have.
        """
        head = self.catalog.head.revision
        epoch = epoch_of(self.catalog.version)
        return max(head, ordered_revision(epoch, count_of(head)))

    @property
    def next_revision(self) -> int:
        """Revision of the next record."""
        return self.revision + 1

    @property
    def revision(self) -> int:
        """Last revision of the commit so far."""
        return self.base_revision + len(self.records)

    def stage(self, account_id: str, entry: AccountEntry | None) -> None:
        """Add a changed account and its record."""
        account = entry.rendered.account if entry else None
        record = ChangeRecord(
            self.next_revision, self.change.change_id, account_id, account
        )
        self.changed_entries[account_id] = entry
        self.records.append(record)

    def stage_empty_record(self) -> None:
        """Add the record of a change that affects no account."""
        record = ChangeRecord(
            self.next_revision, self.change.change_id, NO_ACCOUNT, None
        )
        self.records.append(record)


def plan(
    catalog: Catalog, change: AnyChange, zones: frozenset[str], now: float
) -> Draft:
    """Return the draft of a change.

    Raises ConfigurationError, NotFoundError or ConflictError. Conflicts with the
    addresses of other accounts are not checked here.
    """
    draft = Draft(catalog, change, now, zones)
    check_if_revision(catalog, change)
    match change:
        case PutTemplate():
            put_template(draft, change)
        case PutAccount():
            put_account(draft, change)
        case DeleteAccount(account_id=account_id):
            require_entry(catalog, account_id)
            draft.stage(account_id, None)
        case DrainTarget(account_id=account_id, target_id=target_id):
            before = require_entry(catalog, account_id)
            after = drain(before.rendered, target_id, draft.next_revision)
            stage_rendered(draft, account_id, before, after)
        case UndrainTarget(account_id=account_id, target_id=target_id):
            before = require_entry(catalog, account_id)
            stage_rendered(
                draft, account_id, before, undrain(before.rendered, target_id)
            )
        case PurgeTarget(account_id=account_id, target_id=target_id):
            before = require_entry(catalog, account_id)
            stage_rendered(draft, account_id, before, purge(before.rendered, target_id))
    return draft


def put_account(draft: Draft, change: PutAccount) -> None:
    """Create or replace an account."""
    check_account_id(change.account_id)
    template = require_template(draft.catalog, change.template).template
    what = f"account {change.account_id}"
    parameters = check_parameters(template, change.parameters, what)
    before = draft.catalog.entry(change.account_id)
    stage_definition(draft, change.account_id, before, template, parameters)


def put_template(draft: Draft, change: PutTemplate) -> None:
    """Create or replace a template, and render its accounts again."""
    template = TemplateModel.from_config(change.template)
    check_references(template)
    for account_id, entry in sorted_entries(draft.catalog):
        if entry.template != template.name:
            continue
        what = f"account {account_id}"
        parameters = check_parameters(template, entry.parameters, what)
        stage_definition(draft, account_id, entry, template, parameters)
    if not draft.records:
        draft.stage_empty_record()
    old = draft.catalog.templates.templates.get(template.name)
    draft.template = next_template(draft, old, template)


def sorted_entries(catalog: Catalog) -> list[tuple[str, AccountEntry]]:
    """Return the accounts ordered by id."""
    return sorted(catalog.entries(), key=lambda item: item[0])


def stage_definition(
    draft: Draft,
    account_id: str,
    before: AccountEntry | None,
    template: TemplateModel,
    parameters: Mapping[str, Any],
) -> None:
    """Render an account and stage it, unless a template change does not affect it."""
    fresh = render(template, account_id, parameters)
    check_zones(fresh, draft.zones)
    rendered_before = before.rendered if before else None
    rendered = merge_previous_targets(
        rendered_before, fresh, draft.next_revision, draft.now
    )
    by_template = isinstance(draft.change, PutTemplate)
    if by_template and rendered == rendered_before:
        return
    entry = AccountEntry(template.name, dict(parameters), rendered, ())
    stage_entry(draft, account_id, before, entry)


def stage_rendered(
    draft: Draft, account_id: str, before: AccountEntry, rendered: RenderedAccount
) -> None:
    """Stage an account whose targets have changed but whose definition has not."""
    stage_entry(draft, account_id, before, replace(before, rendered=rendered))


def stage_entry(
    draft: Draft, account_id: str, before: AccountEntry | None, after: AccountEntry
) -> None:
    """Stage an account with this change added to its history."""
    lines = account_difference(before, after)
    if isinstance(draft.change, PutTemplate):
        lines = (f"template {after.template} changed", *lines)
    older = before.history if before else ()
    history = next_history(draft, older, lines)
    draft.stage(account_id, replace(after, history=history))


def next_history(
    draft: Draft, older: tuple[HistoryEntry, ...], difference: tuple[str, ...]
) -> tuple[HistoryEntry, ...]:
    """Return a history with this change as the newest entry."""
    change = draft.change
    newest = HistoryEntry(
        draft.next_revision, change.change_id, change.author, difference
    )
    return (newest, *older[: HISTORY_KEPT - 1])


def next_template(
    draft: Draft, old: TemplateEntry | None, template: TemplateModel
) -> TemplateEntry:
    """Return a template entry with this change added to its history."""
    lines = ["created"]
    if old is not None:
        lines = mapping_difference(old.template.model_dump(), template.model_dump())
    change = draft.change
    newest = HistoryEntry(
        draft.revision, change.change_id, change.author, truncate_lines(lines)
    )
    older = old.history if old else ()
    return TemplateEntry(template, (newest, *older[: HISTORY_KEPT - 1]))


def require_entry(catalog: Catalog, account_id: str) -> AccountEntry:
    """Return the entry of an account; raise NotFoundError if there is none."""
    entry = catalog.entry(account_id)
    if entry is None:
        raise NotFoundError(
            f"there is no account {escape(account_id)}",
            "create it or list the accounts",
        )
    return entry


def require_template(catalog: Catalog, name: str) -> TemplateEntry:
    """Return the entry of a template; raise NotFoundError if there is none."""
    entry = catalog.templates.templates.get(name)
    if entry is None:
        raise NotFoundError(
            f"there is no template {escape(name)}", "create it or list the templates"
        )
    return entry


def subject_of(change: AnyChange) -> str:
    """Return the subject of a change as recorded in the head."""
    match change:
        case PutTemplate(template=template):
            return f"template:{template_name(template)}"
        case _:
            return change.account_id


def template_name(template: object) -> str:
    """Return the name in an unvalidated template, empty if it has none."""
    name = template.get("name") if hasattr(template, "get") else None
    return name if isinstance(name, str) else ""


def current_history(catalog: Catalog, change: AnyChange) -> tuple[HistoryEntry, ...]:
    """Return the history of a change's account or template; it may be empty."""
    entry: AccountEntry | TemplateEntry | None
    match change:
        case PutTemplate(template=template):
            entry = catalog.templates.templates.get(template_name(template))
        case _:
            entry = catalog.entry(change.account_id)
    return entry.history if entry else ()


def current_revision(catalog: Catalog, change: AnyChange) -> int:
    """Return the revision of a change's account or template, 0 if it does not exist."""
    history = current_history(catalog, change)
    return history[0].revision if history else 0


def last_changed_revision(catalog: Catalog, change: AnyChange) -> int:
    """Return the last revision of a change's account or template, or of its deletion.

    The current revision of an account is 0 both before it is created and after it is
    deleted. By that alone, a commit that started from a stale read from before the
    creation would miss that another operator has deleted the account since, and would
    undo the deletion.
    """
    revision = current_revision(catalog, change)
    deletion = None if revision else catalog.head.last_change_of(subject_of(change))
    return deletion.revision if deletion is not None else revision


def check_if_revision(catalog: Catalog, change: AnyChange) -> None:
    """Raise ConflictError if the operator has seen another revision."""
    if change.if_revision is None:
        return
    if current_revision(catalog, change) != change.if_revision:
        raise conflict_error(catalog, change)


def conflict_error(catalog: Catalog, change: AnyChange) -> ConflictError:
    """Return the error that shows the other operator's change."""
    subject = subject_of(change)
    history = current_history(catalog, change)
    remedy = "review the other change, and submit yours again on top of it"
    if history:
        other = history[0]
        text = "; ".join(other.difference) or "no differences"
        return ConflictError(
            f"{escape(subject)} was changed by {other.author} at revision "
            f"{other.revision} (change {other.change_id}): {text}",
            remedy,
            change_id=other.change_id,
            revision=other.revision,
            difference=other.difference,
        )
    deletion = catalog.head.last_change_of(subject)
    if deletion is None:
        return ConflictError(f"{escape(subject)} does not exist", remedy)
    return ConflictError(
        f"{escape(subject)} was deleted by {deletion.author} at revision "
        f"{deletion.revision} (change {deletion.change_id})",
        remedy,
        change_id=deletion.change_id,
        revision=deletion.revision,
        difference=("deleted",),
    )
