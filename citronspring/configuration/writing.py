"""Write shards, and rewrite changes that the platform has lost."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from citronspring.configuration.reader import missing_changes
from citronspring.configuration.shards import (
    HEAD,
    HEAD_KEY,
    SHARD,
    TEMPLATES,
    Head,
    decode,
    encode,
    shard_key,
)
from citronspring.errors import (
    OutcomeUnknownError,
    PlatformUnavailableError,
    VersionMismatchError,
)
from citronspring.events import CHANGES_WRITTEN_AGAIN
from citronspring.key_value.port import ABSENT
from citronspring.logs import log

if TYPE_CHECKING:
    from citronspring.configuration.catalog import Catalog
    from citronspring.configuration.reader import CatalogReader
    from citronspring.key_value.port import Platform

#: Number of attempts for a write whose responses are lost.
WRITE_ATTEMPTS = 3


async def write_shard(platform: Platform, digest: str, value: bytes) -> None:
    """Write an immutable value; it may already exist."""
    for _ in range(WRITE_ATTEMPTS):
        try:
            await platform.put(shard_key(digest), value, ABSENT)
        except VersionMismatchError:
            return
        except OutcomeUnknownError:
            continue
        return
    raise PlatformUnavailableError("no response to the write of a shard")


async def restore_lost_changes(reader: CatalogReader) -> bool:
    """Write the known catalog back to a platform that was restored from a backup.

    Returns False, with nothing written, if this process does not hold the whole
    catalog, or if the platform's head has changes that the known catalog lacks.
    """
    if not reader.is_complete:
        return False
    catalog, platform = reader.catalog, reader.platform
    stored = await platform.get(HEAD_KEY)
    head = decode(HEAD, stored.value) if stored else Head()
    if missing_changes(head, catalog.head):
        return False
    for digest, value in missing_values(catalog, head).items():
        await write_shard(platform, digest, value)
    expected = stored.version if stored else ABSENT
    try:
        version = await platform.put(HEAD_KEY, encode(HEAD, catalog.head), expected)
    except (VersionMismatchError, OutcomeUnknownError) as error:
        raise PlatformUnavailableError(
            f"lost changes are not rewritten yet: {error}",
            "try again in a moment",
        ) from error
    reader.update_catalog(replace(catalog, version=version))
    log(CHANGES_WRITTEN_AGAIN, revision=catalog.head.revision, before=head.revision)
    return True


def missing_values(catalog: Catalog, head: Head) -> dict[str, bytes]:
    """Return the values, by digest, that a catalog refers to and a head does not."""
    present = {*head.shards, head.templates, ""}
    values = {
        digest: encode(SHARD, shard)
        for digest, shard in zip(catalog.head.shards, catalog.shards, strict=True)
        if digest not in present
    }
    if catalog.head.templates not in present:
        values[catalog.head.templates] = encode(TEMPLATES, catalog.templates)
    return values
