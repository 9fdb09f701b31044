"""Reading the platform: on the core's word, and by a watch while it is a reader."""

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

#: Seconds a watch waits before it is asked anew.
WATCH_TIMEOUT = 30.0

#: Seconds a read may take; what comes later is too old to say what is current.
READ_TIMEOUT = 2.0

#: Seconds until the first try after a failure, and the most they double to.
INITIAL_RETRY_DELAY = 0.5
MAX_RETRY_DELAY = 8.0

#: Seconds between two looks at whether this host is a reader.
ROLE_CHECK_INTERVAL = 0.5

#: Seconds after which a confirmation is told again: a platform that came back from an
#: older copy has lost it, and addresses would move no more until the next change.
CONFIRM_INTERVAL = 60.0

#: States of hosts whose revision a zone's confirmation waits for.
SERVING = (HostState.ALIVE, HostState.SUSPECT, HostState.LEAVING)


class ConfigurationSource(Protocol):
    """Where the configuration is read; the configuration store is one."""

    async def read_snapshot(self) -> Snapshot:
        """Read every account."""

    async def read_records(
        self, after_revision: int
    ) -> tuple[ChangeRecord, ...] | None:
        """Read the records above a revision; None when some are forgotten."""

    async def watch_head(self, after_revision: int) -> int:
        """Wait for a revision above one and return it."""

    async def confirm_zone(self, zone: str, revision: int) -> int:
        """Tell that all hosts of a zone are at a revision or above."""


class PlatformReader:
    """Reads the platform for the core; its failures never stop serving.

    Parameters
    ----------
    core : Balancer
        Says when to read, and whether this host is a reader.
    source : ConfigurationSource
        Reads.
    clock : callable
        Returns seconds that never go back.
    perform : callable
        Does what the core asks for.
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
        #: The platform is not called before this time.
        self.retry_at = 0.0
        self.retry_interval = INITIAL_RETRY_DELAY
        #: Revision that this host told the platform its zone is at, and until when
        #: that is taken to be there.
        self.confirmed = 0
        self.confirmed_until = 0.0

    def request(self) -> None:
        """Have the platform read soon."""
        self.read_requested.set()

    async def read_on_request(self) -> None:
        """Read whenever it is asked for."""
        while True:
            await self.read_requested.wait()
            await self.wait_for_retry()
            self.read_requested = anyio.Event()
            if not await self.attempt(self.read):
                self.read_requested.set()

    async def watch(self) -> None:
        """While this host is a reader, ask for reads as soon as there is news."""
        while True:
            if not self.core.tables.replication.is_reader:
                await anyio.sleep(ROLE_CHECK_INTERVAL)
                continue
            await self.wait_for_retry()
            await self.attempt(self.watch_once)

    async def confirm(self) -> None:
        """While this host is a reader, tell the platform what its zone is at."""
        while True:
            await anyio.sleep(ROLE_CHECK_INTERVAL)
            revision = zone_revision(self.core.tables)
            due = self.confirmation_is_due(revision)
            if self.core.tables.replication.is_reader and due:
                await self.wait_for_retry()
                await self.attempt(self.confirm_once)

    def confirmation_is_due(self, revision: int) -> bool:
        """Whether the platform is to be told, or may have lost, a zone's revision."""
        told = revision <= self.confirmed and self.clock() < self.confirmed_until
        return revision > 0 and not told

    async def wait_for_retry(self) -> None:
        """Wait until the platform may be called."""
        await anyio.sleep(max(0.0, self.retry_at - self.clock()))

    async def attempt(self, call: Callable[[], Awaitable[None]]) -> bool:
        """Make one call; put the next ones off when it fails."""
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
        """Read what is newer than the core has and give it to the core."""
        asked_at = self.clock()
        with anyio.fail_after(READ_TIMEOUT):
            event = await self.read_event(self.core.tables.revision, asked_at)
        self.answered.set()
        self.perform(self.core.receive(event, self.clock()))

    async def read_event(self, revision: int, asked_at: float) -> Event:
        """Read records, or everything where there is nothing to add them to."""
        if revision > 0:
            records = await self.source.read_records(revision)
            if records is not None:
                return RecordsRead(records, asked_at)
        return SnapshotRead(await self.source.read_snapshot(), asked_at)

    async def watch_once(self) -> None:
        """Wait for one change, for a bounded time."""
        revision = self.core.tables.revision
        with anyio.move_on_after(WATCH_TIMEOUT):
            if await self.source.watch_head(revision) > revision:
                await self.read()

    async def confirm_once(self) -> None:
        """Tell the platform what this zone is at."""
        with anyio.fail_after(READ_TIMEOUT):
            zone = self.core.tables.zone
            self.confirmed = await self.source.confirm_zone(
                zone, zone_revision(self.core.tables)
            )
            self.confirmed_until = self.clock() + CONFIRM_INTERVAL


def zone_revision(tables: Tables) -> int:
    """Return the lowest revision that a serving host of this host's zone told of."""
    return min(
        row.revision
        for row in tables.hosts.values()
        if row.host.zone == tables.zone and row.state in SERVING
    )
