"""Confirmed revisions of the availability zones, one key in the platform for each."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from citronspring.errors import (
    OutcomeUnknownError,
    PlatformUnavailableError,
    StoredValueError,
    VersionMismatchError,
)
from citronspring.key_value.port import ABSENT

if TYPE_CHECKING:
    from collections.abc import Iterable

    from citronspring.key_value.port import Platform, StoredValue

#: Number of attempts to write a confirmation when other hosts write it concurrently.
CONFIRM_ATTEMPTS = 8


@dataclass(slots=True)
class ZoneConfirmations:
    """The confirmed revision of each zone, in the platform."""

    platform: Platform

    async def read(self, zones: Iterable[str]) -> dict[str, int]:
        """Return the confirmed revision of each zone, 0 if there is none."""
        return {
            zone: confirmed_revision(await self.platform.get(zone_key(zone)))
            for zone in sorted(zones)
        }

    async def confirm(self, zone: str, revision: int) -> int:
        """Raise the confirmed revision of a zone, and return the confirmed one.

        The compare-and-swap keeps a lagging host from lowering the revision, even if
        its read was stale.
        """
        key = zone_key(zone)
        for _ in range(CONFIRM_ATTEMPTS):
            stored = await self.platform.get(key)
            confirmed = confirmed_revision(stored)
            if confirmed >= revision:
                return confirmed
            expected = stored.version if stored else ABSENT
            try:
                await self.platform.put(key, str(revision).encode(), expected)
            except (VersionMismatchError, OutcomeUnknownError):
                continue
            return revision
        raise PlatformUnavailableError(
            f"zone {zone} could not confirm revision {revision}",
            "confirm it again in a moment",
        )


def zone_key(zone: str) -> str:
    """Return the platform key of a zone's confirmation."""
    return f"confirmed/{zone}"


def confirmed_revision(stored: StoredValue | None) -> int:
    """Return the revision of a stored confirmation, 0 if there is none."""
    if stored is None:
        return 0
    try:
        return int(stored.value)
    except ValueError as error:
        raise StoredValueError(
            "the confirmation of a zone is not a revision", "delete the zone's key"
        ) from error
