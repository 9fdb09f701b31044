"""Values stored in the platform: a head, and immutable shards."""

from __future__ import annotations

import hashlib
import zlib
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any, TypeVar

import xxhash
from pydantic import TypeAdapter, ValidationError

from citronspring.configuration.addresses import addresses_of
from citronspring.configuration.models import TemplateModel
from citronspring.configuration.rendering import RenderedAccount
from citronspring.entities import ChangeRecord
from citronspring.errors import ConfigurationError, StoredValueError
from citronspring.key_value.port import MAX_VALUE_BYTES

#: Key of the head, the only value that is replaced by compare-and-swap.
HEAD_KEY = "head"

#: Number of shards of a new configuration; an existing one keeps the number in its
#: head.
SHARD_COUNT = 128

#: Number of change ids that the head records.
CHANGES_KEPT = 400

#: Maximum number of change records in the head, and their maximum size as JSON in
#: bytes.
RECORDS_KEPT = 64
RECORDS_BYTES = 65_536

#: Number of replaced shards that are kept for readers with an older head.
RETIRED_KEPT = 32

#: Maximum number of entries in the history of an account or template.
HISTORY_KEPT = 10

#: Maximum size of a value as JSON before compression, in bytes.
MAX_JSON_BYTES = 8_000_000

#: Size of a shard's digest in bytes.
DIGEST_BYTES = 16

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """A change of an account or template."""

    revision: int
    change_id: str
    author: str
    #: Effect of the change, one line per difference.
    difference: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class AccountEntry:
    """Definition, rendered form and history of a client account."""

    template: str
    parameters: dict[str, Any]
    rendered: RenderedAccount
    #: Newest first, never empty.
    history: tuple[HistoryEntry, ...]

    @property
    def revision(self) -> int:
        """Revision of its last change."""
        return self.history[0].revision


@dataclass(frozen=True, slots=True)
class AddressRelease:
    """An address that was removed from an account, with the revision of the removal."""

    #: Text as in :func:`citronspring.configuration.addresses.addresses_of`.
    address: str
    account_id: str
    revision: int


@dataclass(frozen=True)
class Shard:
    """The accounts whose ids hash to one shard number."""

    #: Revision and change id of the commit that wrote the shard. They make the bytes
    #: of any two commits differ, so that a retired digest is never used again.
    written_by: str = ""
    accounts: dict[str, AccountEntry] = field(default_factory=dict)
    releases: tuple[AddressRelease, ...] = ()

    @cached_property
    def accounts_by_address(self) -> dict[str, str]:
        """Account id by address; cached, as most commits leave a shard unchanged."""
        return {
            address: account_id
            for account_id, entry in self.accounts.items()
            for address in addresses_of(entry.rendered.account)
        }


@dataclass(frozen=True, slots=True)
class TemplateEntry:
    """A template with its history, newest first and never empty."""

    template: TemplateModel
    history: tuple[HistoryEntry, ...]

    @property
    def revision(self) -> int:
        """Revision of its last change."""
        return self.history[0].revision


@dataclass(frozen=True, slots=True)
class Templates:
    """All templates."""

    written_by: str = ""
    templates: dict[str, TemplateEntry] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CommittedChange:
    """A committed change that the head records."""

    change_id: str
    #: Account id, or ``template:`` and the template's name.
    subject: str
    #: Last revision of the commit.
    revision: int
    author: str


@dataclass(frozen=True, slots=True)
class Head:
    """The value that a commit replaces by compare-and-swap.

    Each revision has exactly one change record. A commit uses one revision for each
    account that it changes, and at least one.
    """

    revision: int = 0
    #: Digest of each shard; empty for a shard that was never written.
    shards: tuple[str, ...] = ("",) * SHARD_COUNT
    templates: str = ""
    #: Oldest first.
    changes: tuple[CommittedChange, ...] = ()
    #: All commits above this revision are in ``changes``.
    changes_floor: int = 0
    #: Oldest first.
    records: tuple[ChangeRecord, ...] = ()
    #: The records of all revisions above this one are in ``records``.
    records_floor: int = 0
    #: Digests no longer in use, oldest first.
    retired: tuple[str, ...] = ()
    #: Epoch of the last commit: how often the platform had been restored from a backup.
    epoch: int = 0

    def find_change(self, change_id: str) -> CommittedChange | None:
        """Return a recorded change, None if the id is not recorded."""
        for change in self.changes:
            if change.change_id == change_id:
                return change
        return None

    def last_change_of(self, subject: str) -> CommittedChange | None:
        """Return the newest recorded change of an account or template, if any."""
        for change in reversed(self.changes):
            if change.subject == subject:
                return change
        return None


HEAD: TypeAdapter[Head] = TypeAdapter(Head)
SHARD: TypeAdapter[Shard] = TypeAdapter(Shard)
TEMPLATES: TypeAdapter[Templates] = TypeAdapter(Templates)
RECORD: TypeAdapter[ChangeRecord] = TypeAdapter(ChangeRecord)


def encode(adapter: TypeAdapter[T], value: T) -> bytes:
    """Return the bytes of a value as stored in the platform."""
    text = adapter.dump_json(value, exclude_defaults=True)
    encoded = zlib.compress(text)
    if len(encoded) > MAX_VALUE_BYTES or len(text) > MAX_JSON_BYTES:
        raise ConfigurationError(
            f"a stored value would have {len(encoded)} bytes (at most "
            f"{MAX_VALUE_BYTES}), and {len(text)} uncompressed (at most "
            f"{MAX_JSON_BYTES})",
            "use smaller accounts or templates",
        )
    return encoded


def encode_checked(adapter: TypeAdapter[T], value: T) -> bytes:
    """Encode a value, and check that decoding gives the same value.

    A number that JSON cannot represent could be committed, but no process could read
    the shard afterwards. The check refuses only the change that contains it.
    """
    encoded = encode(adapter, value)
    try:
        same = decode(adapter, encoded) == value
    except StoredValueError:
        same = False
    if not same:
        raise ConfigurationError(
            "the change contains a value that cannot be stored",
            "use finite numbers of ordinary size",
        )
    return encoded


def decode(adapter: TypeAdapter[T], encoded: bytes) -> T:
    """Decode the bytes from :func:`encode`; raise StoredValueError if not valid."""
    try:
        return adapter.validate_json(zlib.decompress(encoded))
    except (zlib.error, ValidationError) as error:
        raise StoredValueError(
            "the platform holds a value that this release cannot read",
            "check that all hosts run the same release, and that nothing else uses "
            "their key prefix",
        ) from error


def digest_of(encoded: bytes) -> str:
    """Return the digest of an immutable value, which is part of its key."""
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()


def shard_key(digest: str) -> str:
    """Return the platform key of an immutable value."""
    return f"shard/{digest}"


def shard_of(account_id: str, shard_count: int) -> int:
    """Return the shard number of an account."""
    return xxhash.xxh3_64_intdigest(account_id.encode()) % shard_count
