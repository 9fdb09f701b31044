"""The complete configuration at one version of the head."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from citronspring.configuration.shards import Head, Shard, Templates, shard_of
from citronspring.entities import Snapshot
from citronspring.key_value.port import ABSENT

if TYPE_CHECKING:
    from collections.abc import Iterator

    from citronspring.configuration.shards import AccountEntry, AddressRelease


@dataclass(frozen=True, slots=True)
class Catalog:
    """A head with the shards and templates that it refers to."""

    #: Version of the head in the platform.
    version: int
    head: Head
    shards: tuple[Shard, ...]
    templates: Templates

    @classmethod
    def empty(cls) -> Catalog:
        """Return the catalog of an empty configuration."""
        head = Head()
        return cls(ABSENT, head, (Shard(),) * len(head.shards), Templates())

    def entry(self, account_id: str) -> AccountEntry | None:
        """Return the entry of an account, None if there is none."""
        shard = self.shards[shard_of(account_id, len(self.shards))]
        return shard.accounts.get(account_id)

    def entries(self) -> Iterator[tuple[str, AccountEntry]]:
        """Yield every account id with its entry."""
        for shard in self.shards:
            yield from shard.accounts.items()

    def releases(self) -> Iterator[AddressRelease]:
        """Yield every address that was removed from an account."""
        for shard in self.shards:
            yield from shard.releases

    def snapshot(self) -> Snapshot:
        """Return the rendered accounts, ordered by id."""
        entries = sorted(self.entries(), key=lambda item: item[0])
        accounts = tuple(entry.rendered.account for _, entry in entries)
        return Snapshot(self.head.revision, accounts)
