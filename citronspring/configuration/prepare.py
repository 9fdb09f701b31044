"""Encode a draft into the values that a commit writes."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from citronspring.configuration.catalog import Catalog
from citronspring.configuration.moves import new_releases
from citronspring.configuration.plan import subject_of
from citronspring.configuration.shards import (
    CHANGES_KEPT,
    HEAD,
    RECORD,
    RECORDS_BYTES,
    RECORDS_KEPT,
    RETIRED_KEPT,
    SHARD,
    TEMPLATES,
    CommittedChange,
    Head,
    Shard,
    Templates,
    digest_of,
    encode_checked,
    shard_of,
)
from citronspring.tokens.entries import epoch_of

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from citronspring.configuration.plan import Draft
    from citronspring.configuration.shards import AccountEntry, AddressRelease
    from citronspring.entities import ChangeRecord


@dataclass(frozen=True, slots=True)
class PreparedCommit:
    """The values that a commit writes."""

    #: The catalog after the commit; its version is that of the previous head.
    catalog: Catalog
    #: Immutable values by digest.
    values: dict[str, bytes]
    head_value: bytes
    #: Digests that no head refers to any more and that are no longer kept for readers
    #: of older heads.
    expired_digests: tuple[str, ...]


def prepare(
    draft: Draft, orphans: Iterable[str], confirmed: Mapping[str, int]
) -> PreparedCommit:
    """Return the values that a commit writes.

    Parameters
    ----------
    draft : Draft
        The effect of the change.
    orphans : iterable of str
        Digests of values that earlier attempts of this commit wrote and that no head
        refers to.
    confirmed : mapping of str to int
        Newest confirmed revision of each listed zone; empty if it was not needed.
        Releases that every zone has confirmed are removed.
    """
    catalog = draft.catalog
    written_by = f"{draft.revision}/{draft.change.change_id}"
    values: dict[str, bytes] = {}
    shards, digests = list(catalog.shards), list(catalog.head.shards)
    retired = [*catalog.head.retired, *orphans]
    for index, shard in changed_shards(draft, written_by, confirmed).items():
        encoded = encode_checked(SHARD, shard)
        retired.append(digests[index])
        shards[index], digests[index] = shard, digest_of(encoded)
        values[digests[index]] = encoded
    templates, templates_digest = catalog.templates, catalog.head.templates
    if draft.template is not None:
        templates = changed_templates(draft, written_by)
        encoded = encode_checked(TEMPLATES, templates)
        retired.append(templates_digest)
        templates_digest = digest_of(encoded)
        values[templates_digest] = encoded
    retired = [digest for digest in retired if digest]
    head = replace(
        next_head(draft),
        shards=tuple(digests),
        templates=templates_digest,
        retired=tuple(retired[-RETIRED_KEPT:]),
    )
    after = Catalog(catalog.version, head, tuple(shards), templates)
    dropped = tuple(retired[:-RETIRED_KEPT])
    return PreparedCommit(after, values, encode_checked(HEAD, head), dropped)


def changed_shards(
    draft: Draft, written_by: str, confirmed: Mapping[str, int]
) -> dict[int, Shard]:
    """Return the new shards of the changed accounts, by number."""
    catalog = draft.catalog
    accounts: dict[int, dict[str, AccountEntry]] = {}
    for account_id, entry in draft.changed_entries.items():
        index = shard_of(account_id, len(catalog.shards))
        changed = accounts.setdefault(index, dict(catalog.shards[index].accounts))
        changed.pop(account_id, None)
        if entry is not None:
            changed[account_id] = entry
    releases = changed_releases(draft, accounts.keys(), confirmed)
    return {
        index: Shard(written_by, dict(sorted(changed.items())), releases[index])
        for index, changed in accounts.items()
    }


def changed_releases(
    draft: Draft, indexes: Iterable[int], confirmed: Mapping[str, int]
) -> dict[int, tuple[AddressRelease, ...]]:
    """Return the releases of the changed shards, by shard number."""
    catalog = draft.catalog
    revisions = {record.account_id: record.revision for record in draft.records}
    fresh = new_releases(catalog, draft.changed_entries, revisions)
    confirmed_by_all = min(confirmed.values(), default=0)
    releases = {}
    for index in indexes:
        newest = {
            (release.address, release.account_id): release
            for release in (*catalog.shards[index].releases, *fresh)
            if shard_of(release.account_id, len(catalog.shards)) == index
            and release.revision > confirmed_by_all
        }
        releases[index] = tuple(newest.values())
    return releases


def changed_templates(draft: Draft, written_by: str) -> Templates:
    """Return the templates, including the created or replaced one."""
    entry = draft.template
    assert entry is not None
    templates = {**draft.catalog.templates.templates, entry.template.name: entry}
    return Templates(written_by, dict(sorted(templates.items())))


def next_head(draft: Draft) -> Head:
    """Return the head with the change and its records added."""
    head = draft.catalog.head
    change = draft.change
    committed = CommittedChange(
        change.change_id, subject_of(change), draft.revision, change.author
    )
    changes = (*head.changes, committed)
    changes_floor = head.changes_floor
    if len(changes) > CHANGES_KEPT:
        changes_floor = changes[-CHANGES_KEPT - 1].revision
    contiguous = draft.base_revision == head.revision
    known = head.records if contiguous else ()
    records = newest_records((*known, *draft.records))
    return replace(
        head,
        revision=draft.revision,
        changes=changes[-CHANGES_KEPT:],
        changes_floor=changes_floor,
        records=records,
        records_floor=draft.revision - len(records),
        epoch=epoch_of(draft.catalog.version),
    )


def newest_records(records: tuple[ChangeRecord, ...]) -> tuple[ChangeRecord, ...]:
    """Return as many of the newest records as fit into the head."""
    kept: list[ChangeRecord] = []
    room = RECORDS_BYTES
    for record in reversed(records[-RECORDS_KEPT:]):
        room -= len(RECORD.dump_json(record, exclude_defaults=True))
        if room < 0:
            break
        kept.append(record)
    return tuple(reversed(kept))
