"""The values kept in the platform: one head and immutable shards."""

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

#: Key of the one value that is compared and swapped.
HEAD_KEY = "head"

#: Shards of a configuration that starts empty; later the head's own count holds.
SHARD_COUNT = 128

#: Change ids the head remembers.
CHANGES_KEPT = 400

#: Most recent change records in the head, and their bytes as JSON.
RECORDS_KEPT = 64
RECORDS_BYTES = 65_536

#: Replaced shards kept for readers that still hold an older head.
RETIRED_KEPT = 32

#: Entries of the history of one account or template.
HISTORY_KEPT = 10

#: Most bytes of a value's JSON before compression.
MAX_JSON_BYTES = 8_000_000

#: Bytes of a shard's digest.
DIGEST_BYTES = 16

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One change of one account or template."""

    revision: int
    change_id: str
    author: str
    #: What it did, a line per difference.
    difference: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class AccountEntry:
    """An account as defined and as rendered."""

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
    """An address that left an account, and when."""

    #: See :func:`citronspring.configuration.addresses.addresses_of`.
    address: str
    account_id: str
    revision: int


@dataclass(frozen=True)
class Shard:
    """The accounts whose ids hash to one number."""

    #: Revision and change id of the commit that wrote it. No two commits write
    #: the same bytes, so a digest that was retired never comes into use again.
    written_by: str = ""
    accounts: dict[str, AccountEntry] = field(default_factory=dict)
    releases: tuple[AddressRelease, ...] = ()

    @cached_property
    def accounts_by_address(self) -> dict[str, str]:
        """Account id by address; built once, as most shards outlive a commit."""
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
    """Every template."""

    written_by: str = ""
    templates: dict[str, TemplateEntry] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CommittedChange:
    """A change id that the head remembers."""

    change_id: str
    #: Account id, or ``template:`` and the template's name.
    subject: str
    #: Last revision of the commit.
    revision: int
    author: str


@dataclass(frozen=True, slots=True)
class Head:
    """What a commit compares and swaps.

    Each revision has exactly one change record. A commit takes as many
    revisions as it changes accounts, at least one.
    """

    revision: int = 0
    #: Digest of each shard, empty for a shard that was never written.
    shards: tuple[str, ...] = ("",) * SHARD_COUNT
    templates: str = ""
    #: Oldest first.
    changes: tuple[CommittedChange, ...] = ()
    #: Every commit above this revision is in ``changes``.
    changes_floor: int = 0
    #: Oldest first.
    records: tuple[ChangeRecord, ...] = ()
    #: Every revision above this one is in ``records``.
    records_floor: int = 0
    #: Digests no longer in use, oldest first.
    retired: tuple[str, ...] = ()
    #: How often the platform had come back from an older copy at the last commit.
    epoch: int = 0

    def find_change(self, change_id: str) -> CommittedChange | None:
        """Return a remembered change."""
        for change in self.changes:
            if change.change_id == change_id:
                return change
        return None

    def last_change_of(self, subject: str) -> CommittedChange | None:
        """Return the newest remembered change of an account or template."""
        for change in reversed(self.changes):
            if change.subject == subject:
                return change
        return None


HEAD: TypeAdapter[Head] = TypeAdapter(Head)
SHARD: TypeAdapter[Shard] = TypeAdapter(Shard)
TEMPLATES: TypeAdapter[Templates] = TypeAdapter(Templates)
RECORD: TypeAdapter[ChangeRecord] = TypeAdapter(ChangeRecord)


def encode(adapter: TypeAdapter[T], value: T) -> bytes:
    """Return the bytes of a value as the platform keeps them."""
    text = adapter.dump_json(value, exclude_defaults=True)
    encoded = zlib.compress(text)
    if len(encoded) > MAX_VALUE_BYTES or len(text) > MAX_JSON_BYTES:
        raise ConfigurationError(
            f"a stored value would have {len(encoded)} bytes of {MAX_VALUE_BYTES}, "
            f"{len(text)} bytes unpacked of {MAX_JSON_BYTES}",
            "use smaller accounts or templates",
        )
    return encoded


def encode_checked(adapter: TypeAdapter[T], value: T) -> bytes:
    """Encode a value and make sure that it reads back as it is.

    A number that JSON cannot hold would be committed and then stop every
    reader of the shard. Reading it back first refuses just this one change.
    """
    encoded = encode(adapter, value)
    try:
        same = decode(adapter, encoded) == value
    except StoredValueError:
        same = False
    if not same:
        raise ConfigurationError(
            "the change holds a value that cannot be stored",
            "use finite numbers of usual size",
        )
    return encoded


def decode(adapter: TypeAdapter[T], encoded: bytes) -> T:
    """Read what :func:`encode` wrote; raises StoredValueError."""
    try:
        return adapter.validate_json(zlib.decompress(encoded))
    except (zlib.error, ValidationError) as error:
        raise StoredValueError(
            "the platform holds a value this release cannot read",
            "check that all hosts run one release and share no key prefix",
        ) from error


def digest_of(encoded: bytes) -> str:
    """Return the name of an immutable value."""
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()


def shard_key(digest: str) -> str:
    """Return the platform key of an immutable value."""
    return f"shard/{digest}"


def shard_of(account_id: str, shard_count: int) -> int:
    """Return the number of an account's shard."""
    return xxhash.xxh3_64_intdigest(account_id.encode()) % shard_count
