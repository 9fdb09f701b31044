"""A platform wrapper that counts calls and bytes."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citronspring.key_value.port import HostList, Platform, StoredValue


@dataclass(slots=True)
class CallCounts:
    """Number of calls by operation, and bytes of values; a watch counts as one call."""

    calls: Counter[str] = field(default_factory=Counter)
    bytes_read: int = 0
    bytes_written: int = 0

    @property
    def total(self) -> int:
        """Number of all calls."""
        return self.calls.total()

    def clear(self) -> None:
        """Reset all counts to zero."""
        self.calls.clear()
        self.bytes_read = 0
        self.bytes_written = 0


@dataclass(slots=True)
class CountingPlatform:
    """Forwards calls to another platform and counts them, including failed ones."""

    platform: Platform
    counts: CallCounts = field(default_factory=CallCounts)

    async def get(self, key: str) -> StoredValue | None:
        """Read a key."""
        self.counts.calls["get"] += 1
        stored = await self.platform.get(key)
        self.count_read(stored)
        return stored

    async def put(self, key: str, value: bytes, expected: int) -> int:
        """Compare-and-swap a key."""
        self.counts.calls["put"] += 1
        self.counts.bytes_written += len(value)
        return await self.platform.put(key, value, expected)

    async def delete(self, key: str) -> None:
        """Remove a key."""
        self.counts.calls["delete"] += 1
        await self.platform.delete(key)

    async def watch(self, key: str, after_version: int) -> StoredValue:
        """Wait for a newer version."""
        self.counts.calls["watch"] += 1
        stored = await self.platform.watch(key, after_version)
        self.count_read(stored)
        return stored

    async def list_hosts(self) -> HostList:
        """Read the host list."""
        self.counts.calls["list_hosts"] += 1
        return await self.platform.list_hosts()

    def count_read(self, stored: StoredValue | None) -> None:
        """Add the size of a value that was read."""
        if stored is not None:
            self.counts.bytes_read += len(stored.value)
