"""Write immutable values, and what a platform that came back has lost."""

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

#: Times one write is sent when its answers are lost.
WRITE_ATTEMPTS = 3


async def write_shard(platform: Platform, digest: str, value: bytes) -> None:
    """Write an immutable value; it may be there already."""
    for _ in range(WRITE_ATTEMPTS):
        try:
            await platform.put(shard_key(digest), value, ABSENT)
        except VersionMismatchError:
            return
        except OutcomeUnknownError:
            continue
        return
    raise PlatformUnavailableError("no answer to the write of a shard")


async def restore_lost_changes(reader: CatalogReader) -> bool:
    """Put the known catalog in the place of the older one that it was made from.

    Returns False, with nothing written, where not all of it is known here, or where
    others have changed the older one since.
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
            f"accepted changes are not written again yet: {error}",
            "try again in a moment",
        ) from error
    reader.update_catalog(replace(catalog, version=version))
    log(CHANGES_WRITTEN_AGAIN, revision=catalog.head.revision, before=head.revision)
    return True


def missing_values(catalog: Catalog, head: Head) -> dict[str, bytes]:
    """Return the values by digest that a catalog names and a head does not."""
    there = {*head.shards, head.templates, ""}
    values = {
        digest: encode(SHARD, shard)
        for digest, shard in zip(catalog.head.shards, catalog.shards, strict=True)
        if digest not in there
    }
    if catalog.head.templates not in there:
        values[catalog.head.templates] = encode(TEMPLATES, catalog.templates)
    return values
