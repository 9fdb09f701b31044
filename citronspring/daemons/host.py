"""The process of a host: sockets, signals and timers around the core."""

from __future__ import annotations

import signal
import time
from contextlib import closing
from typing import TYPE_CHECKING

import anyio

from citronspring import __version__
from citronspring.application import Application
from citronspring.daemons.control import ControlChannel, wall_clock
from citronspring.daemons.packet_io import PacketIO
from citronspring.daemons.prober import Prober
from citronspring.daemons.reader import PlatformReader
from citronspring.daemons.sockets import receive_forever
from citronspring.events import LEAVING, NOT_CONFIGURED, SIGNAL
from citronspring.logs import log, log_application, write_dump
from citronspring.messages import (
    LeaveRequested,
    ProbeResult,
    ProbeTarget,
    ReadPlatform,
    SendControl,
    Stopped,
)
from citronspring.metrics import MeasuredBalancer

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskStatus

    from citronspring.daemons.reader import ConfigurationSource
    from citronspring.entities import Endpoint
    from citronspring.messages import Action
    from citronspring.settings import Settings

#: Seconds between two ticks of the core.
TICK_INTERVAL = 0.05

#: Seconds that a starting host waits for its configuration before it reports that it
#: serves without one.
CONFIGURATION_TIMEOUT = 5.0


def boot_clock() -> float:
    """Return seconds since the machine booted, including time spent suspended.

    A clock that stops while the machine is suspended would hide from the process that
    it has missed changes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class HostDaemon:
    """One host.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    source : ConfigurationSource
        Source of the configuration.
    clock : callable
        Monotonic clock in seconds.
    """

    def __init__(
        self,
        settings: Settings,
        source: ConfigurationSource,
        clock: Callable[[], float] = boot_clock,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.application = Application()
        boot_time = wall_clock()
        self.core = MeasuredBalancer.from_config(
            settings.host.to_host(),
            [peer.to_host() for peer in settings.peers],
            settings.limits.max_flows,
            incarnation=boot_time,
        )
        self.packet_io = PacketIO.from_settings(
            self.core, self.application, settings, clock
        )
        perform = self.packet_io.perform
        self.control = ControlChannel.from_settings(
            self.core, settings, boot_time, clock, perform
        )
        self.reader = PlatformReader(self.core, source, clock, perform)
        self.prober = Prober(self.find_health_endpoint, self.handle_probe_result)
        #: Highest revision announced as applied.
        self.revision = 0
        self.application.connect("action", self.handle_action)
        log_application(self.application)
        self.stopping = anyio.Event()

    @classmethod
    def from_settings(
        cls, settings: Settings, source: ConfigurationSource
    ) -> HostDaemon:
        """Return the host that the settings describe."""
        return cls(settings, source)

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until the core reports that the host may stop."""
        with closing(self.packet_io), closing(self.control), closing(self.prober):
            await self.serve(task_status)
        self.application.emit("stopped")

    async def serve(self, task_status: TaskStatus[None]) -> None:
        """Run all tasks of the host until it may stop."""
        async with anyio.create_task_group() as group:
            packet_io = self.packet_io
            begin = packet_io.begin_batch
            for sock, handle in (
                (packet_io.tunnel, packet_io.receive_tunnelled),
                (packet_io.relay, packet_io.receive_relayed),
            ):
                group.start_soon(receive_forever, sock, handle, begin)
            control = self.control
            group.start_soon(receive_forever, control.socket, control.receive)
            group.start_soon(self.reader.read_on_request)
            group.start_soon(self.reader.watch)
            group.start_soon(self.reader.confirm)
            group.start_soon(self.prober.run)
            group.start_soon(self.tick_forever)
            await self.wait_for_configuration()
            task_status.started()
            self.application.emit("started")
            await self.stopping.wait()
            group.cancel_scope.cancel()

    async def wait_for_configuration(self) -> None:
        """Wait for the first configuration, from a peer or the platform."""
        with anyio.move_on_after(CONFIGURATION_TIMEOUT) as scope:
            while self.core.tables.revision == 0 and not self.reader.answered.is_set():
                await anyio.sleep(TICK_INTERVAL)
        if scope.cancelled_caught:
            log(NOT_CONFIGURED)

    async def tick_forever(self) -> None:
        """Run the core's timers forever."""
        while True:
            self.packet_io.perform(self.core.tick(self.clock()))
            self.control.flush()
            self.packet_io.count_kernel_drops()
            self.announce_revision()
            await anyio.sleep(TICK_INTERVAL)

    def announce_revision(self) -> None:
        """Emit ``revision-applied`` once a new revision takes effect."""
        if self.core.tables.revision > self.revision:
            self.revision = self.core.tables.revision
            self.application.emit("revision-applied", self.revision)

    def handle_action(self, action: Action) -> None:
        """Execute the core's actions other than packets."""
        match action:
            case SendControl():
                self.control.send(action)
            case ProbeTarget():
                self.prober.request(action)
            case ReadPlatform():
                self.reader.request()
            case Stopped():
                self.stopping.set()

    def find_health_endpoint(self, target_id: str) -> Endpoint | None:
        """Return the health endpoint of a target, None if it has none."""
        row = self.core.tables.targets.get(target_id)
        return None if row is None else row.target.health

    def handle_probe_result(self, result: ProbeResult) -> None:
        """Pass the result of a probe to the core."""
        self.packet_io.perform(self.core.receive(result, self.clock()))

    def leave(self) -> None:
        """Start a graceful shutdown."""
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
    """Shut down gracefully on SIGTERM or SIGINT; dump the state on SIGUSR1."""
    wanted = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)
    with anyio.open_signal_receiver(*wanted) as signals:
        task_status.started()
        async for number in signals:
            log(SIGNAL, signal=signal.Signals(number).name)
            if number == signal.SIGUSR1:
                write_dump(daemon.dump())
            else:
                daemon.leave()
