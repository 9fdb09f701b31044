"""Read the head and its shards; an older head never replaces a newer one."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeVar

from citronspring.configuration.catalog import Catalog
from citronspring.configuration.shards import (
    HEAD,
    HEAD_KEY,
    SHARD,
    TEMPLATES,
    Head,
    Shard,
    Templates,
    decode,
    digest_of,
    shard_key,
)
from citronspring.errors import (
    ChangesLostError,
    PlatformUnavailableError,
    StoredValueError,
)
from citronspring.key_value.port import ABSENT
from citronspring.tokens.entries import epoch_of

if TYPE_CHECKING:
    from pydantic import TypeAdapter

    from citronspring.key_value.port import Platform, StoredValue

#: Number of stale reads in a row that count as an outage.
READ_ATTEMPTS = 8

T = TypeVar("T")


@dataclass(slots=True)
class CatalogReader:
    """The newest head that this process knows, and the newest catalog it has read.

    Reads can be stale. A head replaces the known one only if its version is higher; one
    with a lower revision, or one that lacks known changes, is refused. So no read ever
    brings back an old configuration.
    """

    platform: Platform
    version: int = ABSENT
    head: Head = field(default_factory=Head)
    catalog: Catalog = field(default_factory=Catalog.empty)
    #: Shards, by digest, of a catalog that is not completely read yet. They are kept
    #: for the next attempt: if 128 reads take longer than the timeout, starting over
    #: each time would never finish. A shard never changes under its digest.
    partial_shards: dict[str, Shard] = field(default_factory=dict)

    async def refresh(self) -> Head:
        """Read the head, and return the newest one known."""
        stored = await self.platform.get(HEAD_KEY)
        if stored is not None:
            self.update_head(stored)
        return self.head

    async def refresh_past(self, version: int) -> None:
        """Read the head until it is newer than ``version``.

        Raises PlatformUnavailableError if all reads return older versions.
        """
        for _ in range(READ_ATTEMPTS):
            await self.refresh()
            if self.version > version:
                return
        raise stale_platform_error()

    async def watch(self, after_revision: int) -> int:
        """Wait for a head above a revision, and return its revision."""
        while self.head.revision <= after_revision:
            stored = await self.platform.watch(HEAD_KEY, self.version)
            if stored.version <= self.version:
                raise stale_platform_error()
            self.update_head(stored)
        return self.head.revision

    def update_head(self, stored: StoredValue) -> None:
        """Replace the known head by a stored one, if that is newer."""
        if stored.version <= self.version:
            return
        head = decode(HEAD, stored.value)
        if epoch_of(stored.version) > epoch_of(self.version):
            lost = missing_changes(self.head, head)
            if lost:
                raise changes_lost_error(lost)
        elif head.revision < self.head.revision:
            raise StoredValueError(
                f"the platform's head went from revision {self.head.revision} back "
                f"to {head.revision}",
                "restore the key-value service from a newer backup",
            )
        self.version, self.head = stored.version, head

    @property
    def is_complete(self) -> bool:
        """Whether the whole catalog of the known head is in memory."""
        return self.version > ABSENT and self.catalog.version == self.version

    def update_catalog(self, catalog: Catalog) -> None:
        """Replace the known head and catalog, if the given catalog is newer."""
        if catalog.version > self.version:
            self.version, self.head = catalog.version, catalog.head
        if catalog.version > self.catalog.version:
            self.catalog = catalog

    async def read_catalog(self, *, keep: bool = True) -> Catalog:
        """Return the catalog of the newest head.

        Only the shards that the known catalog lacks are read. If a shard has been
        deleted, a newer head has replaced it, so the head is read again.

        Parameters
        ----------
        keep : bool
            Whether to keep the catalog in memory, so that the next call reads only
            the shards that have changed.
        """
        for _ in range(READ_ATTEMPTS):
            catalog = await self.read_shards(self.version, self.head)
            if catalog is not None:
                if keep:
                    self.update_catalog(catalog)
                return catalog
            await self.refresh()
        raise stale_platform_error()

    async def read_shards(self, version: int, head: Head) -> Catalog | None:
        """Return the catalog of a head, None if a shard has been deleted."""
        known = self.catalog
        if known.version == version:
            return known
        available = dict(zip(known.head.shards, known.shards, strict=True))
        available.update(self.partial_shards)
        # A local variable is needed: two reads may run concurrently, and the one that
        # ends first resets the attribute.
        found = {
            digest: available[digest] for digest in head.shards if digest in available
        }
        self.partial_shards = found
        for digest in head.shards:
            if digest in found:
                continue
            shard = await self.read_value(SHARD, digest, Shard())
            if shard is None:
                return None
            found[digest] = shard
        shards = [found[digest] for digest in head.shards]
        templates: Templates | None = known.templates
        if head.templates != known.head.templates:
            templates = await self.read_value(TEMPLATES, head.templates, Templates())
        if templates is None:
            return None
        self.partial_shards = {}
        return Catalog(version, head, tuple(shards), templates)

    async def read_value(
        self, adapter: TypeAdapter[T], digest: str, empty: T
    ) -> T | None:
        """Read an immutable value.

        Returns ``empty`` if the digest is empty, None if the value has been deleted.
        """
        if not digest:
            return empty
        stored = await self.platform.get(shard_key(digest))
        if stored is None:
            return None
        if digest_of(stored.value) != digest:
            raise StoredValueError(
                f"the content of shard {digest} does not match its digest",
                "restore the key-value service from an undamaged backup",
            )
        return decode(adapter, stored.value)


def missing_changes(known: Head, head: Head) -> list[str]:
    """Return the ids of the changes in a known head that another one lacks.

    Comparing revisions is not enough: after a restore from a backup the platform
    assigns revisions again, to other changes.
    """
    return [
        change.change_id
        for change in known.changes
        if change.revision > head.changes_floor
        and head.find_change(change.change_id) is None
    ]


def changes_lost_error(lost: list[str]) -> ChangesLostError:
    """Return the error for a platform that has lost accepted changes."""
    return ChangesLostError(
        "the platform was restored from a backup that lacks the accepted changes "
        f"{', '.join(lost)}",
        "the process that committed them rewrites them with its next call; if it no "
        "longer runs, or other changes were committed since, submit them again and "
        "restart the hosts",
    )


def stale_platform_error() -> PlatformUnavailableError:
    """Return the error for a platform that returns only old values."""
    return PlatformUnavailableError(
        "the platform returns only old values", "try again in a moment"
    )
