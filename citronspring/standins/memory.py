"""A platform in memory, with switches for what can fail."""

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

#: Old versions kept of each key, so that reads can be stale.
MAX_VERSIONS_KEPT = 8

Sleep = Callable[[float], Awaitable[None]]


@dataclass(slots=True)
class Switches:
    """What goes wrong; the counts run down to zero by themselves."""

    #: No call is taken.
    outage: bool = False
    #: Seconds each call takes.
    delay: float = 0.0
    #: The next writes take effect and their answers are lost.
    lost_answers: int = 0
    #: The next writes are lost before they take effect.
    lost_requests: int = 0
    #: The next reads answer with an old version.
    stale_reads: int = 0
    #: How many versions old a stale read is.
    stale_by: int = 1
    #: The host list stays as it was when this was switched on.
    stale_hosts: bool = False


@dataclass(frozen=True, slots=True)
class PlatformBackup:
    """What a platform held at one moment."""

    values: dict[str, StoredValue]
    last_version: int


@dataclass(slots=True)
class MemoryPlatform:
    """Keys, versions and the host list of one platform.

    It holds no clock: a delay goes through ``sleep``, and without a delay only
    ``watch`` ever suspends, so tests can run it under virtual time or by hand.
    """

    switches: Switches = field(default_factory=Switches)
    sleep: Sleep = anyio.sleep
    #: Versions of each key, oldest first.
    values: dict[str, deque[StoredValue]] = field(default_factory=dict)
    #: Rises over all keys, so that a key made again has a new version.
    last_version: int = ABSENT
    hosts: HostList = field(default_factory=HostList)
    #: What the list answers while it is stale.
    stale_hosts: HostList | None = None
    #: Set, and replaced, at each write.
    write_event: anyio.Event | None = None

    async def get(self, key: str) -> StoredValue | None:
        """Read a key, an old version of it while reads are stale."""
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
                f"{key} has {len(value)} bytes", f"keep to {MAX_VALUE_BYTES}"
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
        """Read the list of hosts, an old one while it is stale."""
        await self.begin_call()
        if not self.switches.stale_hosts:
            self.stale_hosts = None
            return self.hosts
        if self.stale_hosts is None:
            self.stale_hosts = self.hosts
        return self.stale_hosts

    def backup(self) -> PlatformBackup:
        """Return a copy of all values, to come back from."""
        newest = {key: versions[-1] for key, versions in self.values.items()}
        return PlatformBackup(newest, self.last_version)

    def restore(self, copy: PlatformBackup) -> None:
        """Come back from an older copy; versions are given out again."""
        epoch = epoch_of(self.last_version) + 1

        def of_epoch(version: int) -> int:
            return ordered_revision(epoch, count_of(version))

        self.last_version = of_epoch(copy.last_version)
        self.values = {
            key: deque(
                [StoredValue(stored.value, of_epoch(stored.version))],
                maxlen=MAX_VERSIONS_KEPT,
            )
            for key, stored in copy.values.items()
        }
        self.notify_watches()

    def set_hosts(self, live: frozenset[str], leaving: frozenset[str]) -> None:
        """Replace the list of hosts."""
        if self.switches.stale_hosts and self.stale_hosts is None:
            self.stale_hosts = self.hosts
        self.hosts = HostList(live, leaving)

    def set_switches(self, switches: Switches) -> None:
        """Replace the switches; an outage ends the watches that wait."""
        self.switches = switches
        self.notify_watches()

    def current_version(self, key: str) -> int:
        """Return the newest version of a key, ABSENT if there is none."""
        versions = self.values.get(key)
        return versions[-1].version if versions else ABSENT

    def store(self, key: str, value: bytes) -> int:
        """Write a key, whatever its version, and wake the watches."""
        self.last_version += 1
        versions = self.values.setdefault(key, deque(maxlen=MAX_VERSIONS_KEPT))
        versions.append(StoredValue(value, self.last_version))
        self.notify_watches()
        return self.last_version

    def notify_watches(self) -> None:
        """Let the watches look again."""
        if self.write_event is not None:
            self.write_event.set()
            self.write_event = None

    async def begin_call(self) -> None:
        """Delay or refuse a call, as the switches say."""
        self.raise_in_outage()
        if self.switches.delay > 0:
            await self.sleep(self.switches.delay)
            self.raise_in_outage()

    def raise_in_outage(self) -> None:
        """Raise PlatformUnavailableError during an outage."""
        if self.switches.outage:
            raise PlatformUnavailableError(
                "the platform takes no calls", "try again when it is back"
            )

    def lose_request(self, key: str) -> None:
        """Lose a write before it takes effect, if switched so."""
        if self.switches.lost_requests > 0:
            self.switches.lost_requests -= 1
            raise OutcomeUnknownError(f"no answer to the write of {key}")

    def lose_answer(self, key: str) -> None:
        """Lose the answer to a write that took effect, if switched so."""
        if self.switches.lost_answers > 0:
            self.switches.lost_answers -= 1
            raise OutcomeUnknownError(f"no answer to the write of {key}")
