"""A complete system on loopback in one process: real host daemons and stand-ins."""

from __future__ import annotations

import itertools
import random
import socket
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from citronspring.daemons.host import HostDaemon
from citronspring.daemons.sockets import bind_udp
from citronspring.entities import Endpoint
from citronspring.errors import SettingsError
from citronspring.settings import (
    AdminSection,
    FabricSection,
    HostSection,
    PlatformSection,
    Settings,
)
from citronspring.standins.caller import Caller
from citronspring.standins.fabric import Fabric
from citronspring.standins.target import TargetServer

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from citronspring.entities import Account, Snapshot, Target
    from citronspring.standins.service import Request

#: Address on which a system reserves its range of ports, and the ports at which a range
#: may begin. They lie below the ephemeral ports, which the kernel assigns to others.
RESERVED_IP = "127.0.3.5"
FIRST_PORT_CANDIDATES = range(20_000, 30_000, 100)

#: Seconds to wait for cancelled tasks to close their sockets before the ports are
#: released.
RELEASE_DELAY = 0.05

#: Offset of the last port of a range, on which targets terminate their tunnels.
TUNNEL_OFFSET = 99


def reserve_ports() -> socket.socket:
    """Return a socket on the first port of a range that no other system holds."""
    for port in FIRST_PORT_CANDIDATES:
        try:
            return bind_udp(Endpoint(RESERVED_IP, port))
        except SettingsError:
            continue
    raise SettingsError("no free ports on loopback", "stop other stand-in systems")


@dataclass(slots=True)
class Loopback:
    """Fabric, callers, targets and hosts as tasks of one task group."""

    group: TaskGroup
    rng: random.Random
    zones: tuple[str, ...]
    hosts: dict[str, HostDaemon] = field(default_factory=dict)
    scopes: dict[str, anyio.CancelScope] = field(default_factory=dict)
    targets: dict[str, TargetServer] = field(default_factory=dict)
    #: Ids of requests in the order in which they were run, each with its target.
    executed: list[tuple[str, str]] = field(default_factory=list)
    fabric: Fabric = field(init=False)
    caller: Caller = field(init=False)
    ports: itertools.count[int] = field(init=False)

    def __post_init__(self) -> None:
        self.reserved = reserve_ports()
        first_port = self.reserved.getsockname()[1]
        self.tunnel_port = first_port + TUNNEL_OFFSET
        self.ports = itertools.count(first_port)
        access = Endpoint("127.0.3.1", next(self.ports))
        gateway = Endpoint("127.0.3.2", next(self.ports))
        local = Endpoint("127.0.3.3", next(self.ports))
        self.fabric = Fabric(gateway, access, self.rng)
        self.caller = Caller(local, access, self.rng)
        self.gateway = gateway
        # Reserved before anything starts: hosts may be started before, or without, the
        # fabric, and another system on the machine would otherwise take their ports.
        self.group.start_soon(self.hold_ports)

    gateway: Endpoint = field(init=False)
    #: Reserves the range of ports against other systems on this machine.
    reserved: socket.socket = field(init=False)
    tunnel_port: int = field(init=False)

    async def hold_ports(self) -> None:
        """Keep the range of ports reserved until all sockets in it are closed.

        Another system could otherwise reserve the range and fail to bind its ports.
        """
        try:
            await anyio.sleep_forever()
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.sleep(RELEASE_DELAY)
            self.fabric.close()
            self.caller.close()
            self.reserved.close()

    async def start(self) -> None:
        """Start the fabric and the callers."""
        await self.group.start(self.fabric.run)
        await self.group.start(self.caller.run)

    def make_host_sections(self, count: int) -> list[HostSection]:
        """Return the settings sections of ``count`` hosts."""
        return [self.make_host_section(index) for index in range(count)]

    def make_host_section(self, index: int) -> HostSection:
        """Return the settings section of one host."""
        ip = f"127.0.1.{index + 1}"
        return HostSection(
            id=f"host-{index}",
            zone=self.zones[index % len(self.zones)],
            group="entry",
            tunnel=Endpoint(ip, next(self.ports)),
            relay=Endpoint(ip, next(self.ports)),
            control=Endpoint(ip, next(self.ports)),
        )

    def make_settings(
        self, section: HostSection, peers: list[HostSection], platform_url: str
    ) -> Settings:
        """Return the settings of one host."""
        others = tuple(peer for peer in peers if peer.id != section.id)
        return Settings(
            host=section,
            fabric=FabricSection(gateway=self.gateway),
            platform=PlatformSection(url=platform_url, zones=self.zones),
            peers=others,
            admin=AdminSection(listen=Endpoint(section.tunnel.ip, next(self.ports))),
        )

    async def add_host(self, daemon: HostDaemon) -> None:
        """Start a host daemon, and add it to the fabric's hosts."""
        section = daemon.settings.host
        self.hosts[section.id] = daemon
        await self.group.start(self.run_host, daemon)
        self.fabric.hosts.append(section.tunnel)

    async def run_host(
        self,
        daemon: HostDaemon,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run a host until it stops or is killed."""
        with anyio.CancelScope() as scope:
            self.scopes[daemon.settings.host.id] = scope
            await daemon.run(task_status=task_status)

    async def add_target(self, target: Target, account: Account) -> TargetServer:
        """Start a target of a client account."""

        def record_run(request: Request) -> None:
            self.executed.append((request.request_id, target.target_id))

        server = TargetServer(
            target.tunnel,
            account.addresses,
            self.fabric.pick_host,
            self.rng,
            record_run,
        )
        self.targets[target.target_id] = server
        await self.group.start(server.run)
        return server

    async def add_targets(self, snapshot: Snapshot) -> None:
        """Start every target of a configuration."""
        for account in snapshot.accounts:
            for target in account.targets:
                await self.add_target(target, account)
