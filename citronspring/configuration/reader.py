"""Read the head and its shards, and never go back to an older one."""

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

#: Reads after which stale answers count as an outage.
READ_ATTEMPTS = 8

T = TypeVar("T")


@dataclass(slots=True)
class CatalogReader:
    """The newest head known, and the newest catalog read.

    Reads can be stale. A head replaces the known one only when both its version
    and its revision are higher, so that no answer brings an old configuration
    back.
    """

    platform: Platform
    version: int = ABSENT
    head: Head = field(default_factory=Head)
    catalog: Catalog = field(default_factory=Catalog.empty)
    #: Shards read for a catalog that is not whole yet, by digest. An attempt that ran
    #: out of time began anew for ever where 128 reads take longer than it has; a
    #: shard never changes under its digest, so that the next one can go on.
    partial_shards: dict[str, Shard] = field(default_factory=dict)

    async def refresh(self) -> Head:
        """Read the head and return the newest one known."""
        stored = await self.platform.get(HEAD_KEY)
        if stored is not None:
            self.update_head(stored)
        return self.head

    async def refresh_past(self, version: int) -> None:
        """Read the head until it is newer than ``version``.

        Raises PlatformUnavailableError when all answers are older.
        """
        for _ in range(READ_ATTEMPTS):
            await self.refresh()
            if self.version > version:
                return
        raise stale_platform_error()

    async def watch(self, after_revision: int) -> int:
        """Wait for a head above a revision and return its revision."""
        while self.head.revision <= after_revision:
            stored = await self.platform.watch(HEAD_KEY, self.version)
            if stored.version <= self.version:
                raise stale_platform_error()
            self.update_head(stored)
        return self.head.revision

    def update_head(self, stored: StoredValue) -> None:
        """Make a stored head the known one, if it is newer."""
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
                "restore the key-value service from a newer copy",
            )
        self.version, self.head = stored.version, head

    @property
    def is_complete(self) -> bool:
        """Whether all that the known head names is in memory."""
        return self.version > ABSENT and self.catalog.version == self.version

    def update_catalog(self, catalog: Catalog) -> None:
        """Make a catalog the known one, if it is newer."""
        if catalog.version > self.version:
            self.version, self.head = catalog.version, catalog.head
        if catalog.version > self.catalog.version:
            self.catalog = catalog

    async def read_catalog(self, *, keep: bool = True) -> Catalog:
        """Read what the known head names and the known catalog has not.

        A shard that is gone was replaced after this head: read a newer one.

        Parameters
        ----------
        keep : bool
            Whether to keep the catalog in memory, so that the next one needs
            only the shards that changed.
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
        """Return the catalog of one head; None when a shard is gone."""
        known = self.catalog
        if known.version == version:
            return known
        have = dict(zip(known.head.shards, known.shards, strict=True))
        have.update(self.partial_shards)
        # A name of its own: two reads may be under way, and one of them ends first.
        found = {digest: have[digest] for digest in head.shards if digest in have}
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
        """Read an immutable value; ``empty`` for no digest, None if it is gone."""
        if not digest:
            return empty
        stored = await self.platform.get(shard_key(digest))
        if stored is None:
            return None
        if digest_of(stored.value) != digest:
            raise StoredValueError(
                f"shard {digest} does not hold what its name says",
                "restore the key-value service from an undamaged copy",
            )
        return decode(adapter, stored.value)


def missing_changes(known: Head, head: Head) -> list[str]:
    """Return the ids of changes of a known head that another one lacks.

    Its revision does not tell: a platform that has come back from an older copy
    gives revisions to other changes than before.
    """
    return [
        change.change_id
        for change in known.changes
        if change.revision > head.changes_floor
        and head.find_change(change.change_id) is None
    ]


def changes_lost_error(lost: list[str]) -> ChangesLostError:
    """Make the error of a platform that lacks accepted changes."""
    return ChangesLostError(
        "the platform has come back from an older copy, without the accepted "
        f"changes {', '.join(lost)}",
        "the process that made them writes them again with its next call; if it "
        "is gone, or others were made since, make them anew and restart the hosts",
    )


def stale_platform_error() -> PlatformUnavailableError:
    """Make the error of a platform that answers with old values only."""
    return PlatformUnavailableError(
        "the platform answers with old values only", "try again in a moment"
    )
