"""Reads the platform: when the core requests it, and by a watch on a zone reader."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import anyio

from citronspring.entities import HostState
from citronspring.errors import CitronspringError
from citronspring.events import PLATFORM_READ_FAILED
from citronspring.logs import log
from citronspring.messages import RecordsRead, SnapshotRead

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from citronspring.balancer import Balancer
    from citronspring.entities import ChangeRecord, Snapshot
    from citronspring.messages import Action, Event
    from citronspring.tables import Tables

#: Timeout of a watch in seconds, after which it is restarted.
WATCH_TIMEOUT = 30.0

#: Timeout of a read in seconds; a later answer is too old to prove what is current.
READ_TIMEOUT = 2.0

#: First and largest delay between retries in seconds; the delay doubles.
INITIAL_RETRY_DELAY = 0.5
MAX_RETRY_DELAY = 8.0

#: Seconds between two checks whether this host is a zone reader.
ROLE_CHECK_INTERVAL = 0.5

#: Seconds after which a confirmation is repeated. A platform that was restored from a
#: backup has lost it, and no address could move until the next change.
CONFIRM_INTERVAL = 60.0

#: States of hosts that must have a revision before their zone is confirmed at it.
SERVING = (HostState.ALIVE, HostState.SUSPECT, HostState.LEAVING)


class ConfigurationSource(Protocol):
    """Source of the configuration, for example the configuration store."""

    async def read_snapshot(self) -> Snapshot:
        """Return all accounts."""

    async def read_records(
        self, after_revision: int
    ) -> tuple[ChangeRecord, ...] | None:
        """Return the records above a revision; None if some are no longer stored."""

    async def watch_head(self, after_revision: int) -> int:
        """Wait for a revision above the given one and return it."""

    async def confirm_zone(self, zone: str, revision: int) -> int:
        """Confirm that all hosts of a zone have a revision or a later one."""


class PlatformReader:
    """Reads the platform for the core; failures do not stop the host from serving.

    Parameters
    ----------
    core : Balancer
        Decision core; it requests reads and knows whether this host is a zone reader.
    source : ConfigurationSource
        Source of the configuration.
    clock : callable
        Monotonic clock in seconds.
    perform : callable
        Executes actions of the core.
    """

    def __init__(
        self,
        core: Balancer,
        source: ConfigurationSource,
        clock: Callable[[], float],
        perform: Callable[[list[Action]], None],
    ) -> None:
        self.core = core
        self.source = source
        self.clock = clock
        self.perform = perform
        self.read_requested = anyio.Event()
        #: Set by the first successful read.
        self.answered = anyio.Event()
        #: Time before which the platform is not called.
        self.retry_at = 0.0
        self.retry_interval = INITIAL_RETRY_DELAY
        #: Revision that this host confirmed for its zone, and the time until which the
        #: platform is assumed to have it.
        self.confirmed = 0
        self.confirmed_until = 0.0

    def request(self) -> None:
        """Request a read."""
        self.read_requested.set()

    async def read_on_request(self) -> None:
        """Read whenever a read is requested."""
        while True:
            await self.read_requested.wait()
            await self.wait_for_retry()
            self.read_requested = anyio.Event()
            if not await self.attempt(self.read):
                self.read_requested.set()

    async def watch(self) -> None:
        """Watch for changes while this host is a zone reader, and request reads."""
        while True:
            if not self.core.tables.replication.is_reader:
                await anyio.sleep(ROLE_CHECK_INTERVAL)
                continue
            await self.wait_for_retry()
            await self.attempt(self.watch_once)

    async def confirm(self) -> None:
        """Confirm the zone's revision to the platform while this host is a reader."""
        while True:
            await anyio.sleep(ROLE_CHECK_INTERVAL)
            revision = zone_revision(self.core.tables)
            due = self.confirmation_is_due(revision)
            if self.core.tables.replication.is_reader and due:
                await self.wait_for_retry()
                await self.attempt(self.confirm_once)

    def confirmation_is_due(self, revision: int) -> bool:
        """Whether a zone's revision is unconfirmed or its confirmation may be lost."""
        is_confirmed = (
            revision <= self.confirmed and self.clock() < self.confirmed_until
        )
        return revision > 0 and not is_confirmed

    async def wait_for_retry(self) -> None:
        """Wait until the retry delay has passed."""
        await anyio.sleep(max(0.0, self.retry_at - self.clock()))

    async def attempt(self, call: Callable[[], Awaitable[None]]) -> bool:
        """Make one call; on failure, delay the next ones."""
        try:
            await call()
        except (CitronspringError, OSError, TimeoutError) as error:
            self.retry_at = self.clock() + self.retry_interval
            self.retry_interval = min(2 * self.retry_interval, MAX_RETRY_DELAY)
            log(PLATFORM_READ_FAILED, error=str(error))
            return False
        self.retry_interval = INITIAL_RETRY_DELAY
        return True

    async def read(self) -> None:
        """Read changes newer than the core's revision and pass them to the core."""
        asked_at = self.clock()
        with anyio.fail_after(READ_TIMEOUT):
            event = await self.read_event(self.core.tables.revision, asked_at)
        self.answered.set()
        self.perform(self.core.receive(event, self.clock()))

    async def read_event(self, revision: int, asked_at: float) -> Event:
        """Return the newer records, or a snapshot if there is no base for records."""
        if revision > 0:
            records = await self.source.read_records(revision)
            if records is not None:
                return RecordsRead(records, asked_at)
        return SnapshotRead(await self.source.read_snapshot(), asked_at)

    async def watch_once(self) -> None:
        """Wait for one change, up to the timeout, and read it."""
        revision = self.core.tables.revision
        with anyio.move_on_after(WATCH_TIMEOUT):
            if await self.source.watch_head(revision) > revision:
                await self.read()

    async def confirm_once(self) -> None:
        """Confirm this zone's revision to the platform."""
        with anyio.fail_after(READ_TIMEOUT):
            zone = self.core.tables.zone
            self.confirmed = await self.source.confirm_zone(
                zone, zone_revision(self.core.tables)
            )
            self.confirmed_until = self.clock() + CONFIRM_INTERVAL


def zone_revision(tables: Tables) -> int:
    """Return the lowest revision reported by a serving host of this host's zone."""
    return min(
        row.revision
        for row in tables.hosts.values()
        if row.host.zone == tables.zone and row.state in SERVING
    )
