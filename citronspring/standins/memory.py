"""An in-memory platform, with switches that inject failures."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from citronspring.errors import (
    ConfigurationError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    VersionMismatchError,
)
from citronspring.key_value.port import (
    ABSENT,
    MAX_VALUE_BYTES,
    HostList,
    StoredValue,
)
from citronspring.tokens.entries import count_of, epoch_of, ordered_revision

#: Versions kept of each key, so that stale reads have an old one to return.
MAX_VERSIONS_KEPT = 8

Sleep = Callable[[float], Awaitable[None]]


@dataclass(slots=True)
class Switches:
    """Failures to inject; each affected call decrements its count down to zero."""

    #: Every call fails.
    outage: bool = False
    #: Delay of each call, seconds.
    delay: float = 0.0
    #: Number of next writes that take effect but whose answers are lost.
    lost_answers: int = 0
    #: Number of next writes that are lost before they take effect.
    lost_requests: int = 0
    #: Number of next reads that return an old version.
    stale_reads: int = 0
    #: Age of a stale read, in versions.
    stale_by: int = 1
    #: The host list stays in the state that it had when this was switched on.
    stale_hosts: bool = False


@dataclass(frozen=True, slots=True)
class PlatformBackup:
    """The values of a platform at one moment."""

    values: dict[str, StoredValue]
    last_version: int


@dataclass(slots=True)
class MemoryPlatform:
    """Keys, versions and the host list of one platform.

    It reads no clock: a delay awaits ``sleep``, and without a delay only ``watch``
    suspends, so tests can run it in virtual time or step by step.
    """

    switches: Switches = field(default_factory=Switches)
    sleep: Sleep = anyio.sleep
    #: Versions of each key, oldest first.
    values: dict[str, deque[StoredValue]] = field(default_factory=dict)
    #: Increases over all keys, so that a recreated key gets a new version.
    last_version: int = ABSENT
    hosts: HostList = field(default_factory=HostList)
    #: Host list returned while the list is stale.
    stale_hosts: HostList | None = None
    #: Set and discarded at each write; created by a watch that has to wait.
    write_event: anyio.Event | None = None

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of a key, an old version of it while reads are stale."""
        await self.begin_call()
        versions = self.values.get(key)
        if not versions:
            return None
        if self.switches.stale_reads <= 0:
            return versions[-1]
        self.switches.stale_reads -= 1
        index = max(0, len(versions) - 1 - self.switches.stale_by)
        return versions[index]

    async def put(self, key: str, value: bytes, expected: int) -> int:
        """Compare-and-swap a key."""
        if len(value) > MAX_VALUE_BYTES:
            raise ConfigurationError(
                f"{key} has {len(value)} bytes", f"use at most {MAX_VALUE_BYTES}"
            )
        await self.begin_call()
        self.lose_request(key)
        if self.current_version(key) != expected:
            raise VersionMismatchError(f"{key} is not at version {expected}")
        version = self.store(key, value)
        self.lose_answer(key)
        return version

    async def delete(self, key: str) -> None:
        """Remove a key with its old versions."""
        await self.begin_call()
        self.lose_request(key)
        self.values.pop(key, None)
        self.lose_answer(key)

    async def watch(self, key: str, after_version: int) -> StoredValue:
        """Wait until a key has a version above ``after_version``."""
        await self.begin_call()
        while self.current_version(key) <= after_version:
            if self.write_event is None:
                self.write_event = anyio.Event()
            await self.write_event.wait()
            self.raise_in_outage()
        return self.values[key][-1]

    async def list_hosts(self) -> HostList:
        """Return the list of hosts, an old one while it is stale."""
        await self.begin_call()
        if not self.switches.stale_hosts:
            self.stale_hosts = None
            return self.hosts
        if self.stale_hosts is None:
            self.stale_hosts = self.hosts
        return self.stale_hosts

    def backup(self) -> PlatformBackup:
        """Return a backup of all values for `restore`."""
        newest = {key: versions[-1] for key, versions in self.values.items()}
        return PlatformBackup(newest, self.last_version)

    def restore(self, backup: PlatformBackup) -> None:
        """Restore a backup under a new epoch, in which version counts are reused."""
        epoch = epoch_of(self.last_version) + 1

        def in_new_epoch(version: int) -> int:
            return ordered_revision(epoch, count_of(version))

        self.last_version = in_new_epoch(backup.last_version)
        self.values = {
            key: deque(
                [StoredValue(stored.value, in_new_epoch(stored.version))],
                maxlen=MAX_VERSIONS_KEPT,
            )
            for key, stored in backup.values.items()
        }
        self.notify_watches()

    def set_hosts(self, live: frozenset[str], leaving: frozenset[str]) -> None:
        """Replace the list of hosts."""
        if self.switches.stale_hosts and self.stale_hosts is None:
            self.stale_hosts = self.hosts
        self.hosts = HostList(live, leaving)

    def set_switches(self, switches: Switches) -> None:
        """Replace the switches; an outage ends pending watches."""
        self.switches = switches
        self.notify_watches()

    def current_version(self, key: str) -> int:
        """Return the newest version of a key, ABSENT if there is none."""
        versions = self.values.get(key)
        return versions[-1].version if versions else ABSENT

    def store(self, key: str, value: bytes) -> int:
        """Write a key regardless of its version, and notify pending watches."""
        self.last_version += 1
        versions = self.values.setdefault(key, deque(maxlen=MAX_VERSIONS_KEPT))
        versions.append(StoredValue(value, self.last_version))
        self.notify_watches()
        return self.last_version

    def notify_watches(self) -> None:
        """Let pending watches check their keys again."""
        if self.write_event is not None:
            self.write_event.set()
            self.write_event = None

    async def begin_call(self) -> None:
        """Delay or fail a call according to the switches."""
        self.raise_in_outage()
        if self.switches.delay > 0:
            await self.sleep(self.switches.delay)
            self.raise_in_outage()

    def raise_in_outage(self) -> None:
        """Raise PlatformUnavailableError during an outage."""
        if self.switches.outage:
            raise PlatformUnavailableError(
                "the platform is unavailable", "retry when it is available again"
            )

    def lose_request(self, key: str) -> None:
        """Raise OutcomeUnknownError if this write is to be lost before its effect."""
        if self.switches.lost_requests > 0:
            self.switches.lost_requests -= 1
            raise OutcomeUnknownError(f"no answer to the write of {key}")

    def lose_answer(self, key: str) -> None:
        """Raise OutcomeUnknownError if the answer to this write is to be lost."""
        if self.switches.lost_answers > 0:
            self.switches.lost_answers -= 1
            raise OutcomeUnknownError(f"no answer to the write of {key}")
