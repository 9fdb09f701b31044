"""The process of an entry host: sockets, signals and time around the core."""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING

import anyio

from citronspring import __version__
from citronspring.application import Application
from citronspring.daemons.carrier import Carrier
from citronspring.daemons.sockets import receive_forever
from citronspring.events import LEAVING, SIGNAL
from citronspring.logs import log, log_application, write_dump
from citronspring.messages import LeaveRequested, SnapshotRead, Stopped
from citronspring.metrics import MeasuredBalancer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskStatus

    from citronspring.entities import Snapshot
    from citronspring.messages import Action
    from citronspring.settings import Settings

#: Seconds between two ticks of the core.
TICK = 0.05

#: Reads the configuration from the platform.
ReadSnapshot = "Callable[[], Awaitable[Snapshot]]"


class HostDaemon:
    """One entry host.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    read_snapshot : callable
        Reads the configuration to start with.
    clock : callable
        Seconds that never go back.
    """

    def __init__(
        self,
        settings: Settings,
        read_snapshot: Callable[[], Awaitable[Snapshot]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings
        self.read_snapshot = read_snapshot
        self.clock = clock
        self.application = Application()
        self.core = MeasuredBalancer.from_config(
            settings.host.to_host(),
            [peer.to_host() for peer in settings.peers],
            settings.limits.max_flows,
        )
        self.carrier = Carrier.from_settings(
            self.core, self.application, settings, clock
        )
        self.application.connect("action", self.take_action)
        log_application(self.application)
        self.stopping = anyio.Event()

    @classmethod
    def from_settings(
        cls, settings: Settings, read_snapshot: Callable[[], Awaitable[Snapshot]]
    ) -> HostDaemon:
        """Make the process that the settings describe."""
        return cls(settings, read_snapshot)

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until the core says the host may stop."""
        snapshot = await self.read_snapshot()
        self.core.receive(SnapshotRead(snapshot), self.clock())
        async with anyio.create_task_group() as group:
            carrier = self.carrier
            group.start_soon(receive_forever, carrier.tunnel, carrier.receive_tunnelled)
            group.start_soon(receive_forever, carrier.relay, carrier.receive_relayed)
            group.start_soon(self.tick_forever)
            task_status.started()
            self.application.emit("started")
            await self.stopping.wait()
            group.cancel_scope.cancel()
        carrier.close()
        self.application.emit("stopped")

    async def tick_forever(self) -> None:
        """Run the core's timed systems."""
        while True:
            self.carrier.perform(self.core.tick(self.clock()))
            await anyio.sleep(TICK)

    def take_action(self, action: Action) -> None:
        """Do what the core asks for beside packets."""
        match action:
            case Stopped():
                self.stopping.set()

    def leave(self) -> None:
        """Start a graceful stop."""
        deadline = self.clock() + self.settings.limits.leave_seconds
        self.core.receive(LeaveRequested(deadline), self.clock())
        log(LEAVING, seconds=self.settings.limits.leave_seconds)
        self.application.emit("leaving", deadline)

    def dump(self) -> dict[str, object]:
        """Return the state of the process as plain values, for operators."""
        return {"version": __version__, **self.core.dump()}


async def watch_signals(
    daemon: HostDaemon, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
) -> None:
    """Leave gracefully on SIGTERM or SIGINT; dump the state on SIGUSR1."""
    wanted = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)
    with anyio.open_signal_receiver(*wanted) as signals:
        task_status.started()
        async for number in signals:
            log(SIGNAL, signal=signal.Signals(number).name)
            if number == signal.SIGUSR1:
                write_dump(daemon.dump())
            else:
                daemon.leave()
