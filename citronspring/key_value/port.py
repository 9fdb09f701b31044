"""Interface to the platform's key-value service and host list."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

#: Maximum size of a value in the service, in bytes.
MAX_VALUE_BYTES = 1_000_000

#: Expected version of a key that must not exist yet.
ABSENT = 0


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A value and its version in the service."""

    value: bytes
    #: Increases with each write of the key, and is never 0. The order also holds across
    #: restores of the service from backups, see `citronspring.tokens.entries`.
    version: int


@dataclass(frozen=True, slots=True)
class HostList:
    """The platform's list of host ids, which may lag behind."""

    live: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()


class Platform(Protocol):
    """The operations that citronspring needs from the platform.

    Each method makes one counted call. Reads may be stale; only a successful
    compare-and-swap proves which version is the newest.

    Every method raises PlatformUnavailableError if the service did not accept the
    call. ``put`` and ``delete`` raise OutcomeUnknownError if the call was sent but no
    response arrived.
    """

    async def get(self, key: str) -> StoredValue | None:
        """Read a key; return None if it does not exist."""

    async def put(self, key: str, value: bytes, expected: int) -> int:
        """Write a key whose version is ``expected``, and return its new version.

        ``ABSENT`` requires that the key does not exist. Raises VersionMismatchError,
        with nothing written, if the key has another version.
        """

    async def delete(self, key: str) -> None:
        """Remove a key; removing an absent key is not an error."""

    async def watch(self, key: str, after_version: int) -> StoredValue:
        """Wait until a key has a version above ``after_version``."""

    async def list_hosts(self) -> HostList:
        """Read the list of live and leaving hosts, which may lag behind."""
