"""Packets a second through one host process on loopback, beside a bare forwarder."""

from __future__ import annotations

import multiprocessing
import socket
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from benchmarks.direct import numbered_flow
from benchmarks.result import Result
from benchmarks.world import ACCOUNT_ID, SERVICE_IP, SERVICE_PORT
from citronspring.daemons.host import HostDaemon
from citronspring.daemons.sockets import BATCH, bind_udp
from citronspring.entities import (
    Account,
    Endpoint,
    Protocol,
    ServiceAddress,
    Snapshot,
    Target,
)
from citronspring.packets import MAX_DATAGRAM, encapsulate, encode_tcp
from citronspring.settings import FabricSection, HostSection, PlatformSection, Settings
from citronspring.tcp_flags import ACK

if TYPE_CHECKING:
    from collections.abc import Callable
    from multiprocessing.process import BaseProcess

    from citronspring.entities import ChangeRecord

COMMAND = "python -m benchmarks --only throughput"

HOST_IP, GATEWAY_IP, TARGET_IP = "127.9.1.1", "127.9.2.1", "127.9.3.1"
ZONE = "drukkerij"

FLOWS = 1000
PAYLOAD = bytes(200)

#: Seconds counted of each run, after the warm-up; runs of which the best counts, as
#: others that use the machine only ever take away from one.
DURATION = 1.0
WARM_UP = 0.3
REPEATS = 4

#: Seconds a process has to start.
START_TIMEOUT = 10.0

#: Least ratio to the bare forwarder.
BOUND = 0.4


@dataclass(frozen=True, slots=True)
class RunEndpoints:
    """The sockets of a run."""

    host: Endpoint
    gateway: Endpoint
    target: Endpoint

    @classmethod
    def from_kernel(cls) -> RunEndpoints:
        """Return ports that are free now."""
        ips = (HOST_IP, GATEWAY_IP, TARGET_IP)
        return cls(*(Endpoint(ip, free_port(ip)) for ip in ips))


def free_port(ip: str) -> int:
    """Return a UDP port that nobody has now."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class StaticConfiguration:
    """A configuration that never changes.

    Parameters
    ----------
    snapshot : Snapshot
        The configuration.
    """

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot

    async def read_snapshot(self) -> Snapshot:
        """Return the configuration."""
        return self.snapshot

    async def read_records(
        self, after_revision: int
    ) -> tuple[ChangeRecord, ...] | None:
        """Return that there is nothing new."""
        return ()

    async def watch_head(self, after_revision: int) -> int:
        """Wait for ever."""
        await anyio.sleep_forever()
        raise AssertionError

    async def confirm_zone(self, zone: str, revision: int) -> int:
        """Confirm at once."""
        return revision


def run_host(ends: RunEndpoints) -> None:
    """Run a host process that forwards to the target."""
    target = Target("target-0", ACCOUNT_ID, ends.target, ZONE)
    address = ServiceAddress(SERVICE_IP, SERVICE_PORT, Protocol.TCP)
    account = Account(ACCOUNT_ID, (address,), (target,), (ZONE,))
    ports = [free_port(HOST_IP) for _ in range(2)]
    section = HostSection(
        id="host-0",
        zone=ZONE,
        group="entry",
        tunnel=ends.host,
        relay=Endpoint(HOST_IP, ports[0]),
        control=Endpoint(HOST_IP, ports[1]),
    )
    settings = Settings(
        host=section,
        fabric=FabricSection(gateway=ends.gateway),
        platform=PlatformSection(url="http://127.0.0.1:1", zones=(ZONE,)),
    )
    source = StaticConfiguration(Snapshot(1, (account,)))
    anyio.run(HostDaemon.from_settings(settings, source).run)


def run_forwarder(ends: RunEndpoints) -> None:
    """Forward every datagram to the target, without looking at it."""
    anyio.run(forward_forever, ends)


async def forward_forever(ends: RunEndpoints) -> None:
    """Read datagrams in batches, as a host does, and send each on."""
    sock = bind_udp(ends.host)
    destination = (ends.target.ip, ends.target.port)
    while True:
        await anyio.wait_readable(sock)
        for _ in range(BATCH):
            try:
                datagram, _ = sock.recvfrom(MAX_DATAGRAM)
            except BlockingIOError:
                break
            sock.sendto(datagram, destination)


def run_sender(ends: RunEndpoints) -> None:
    """Send callers' packets of established flows for ever, as fast as it goes."""
    datagrams = [tunnelled_packet(number, from_caller=True) for number in range(FLOWS)]
    destination = (ends.host.ip, ends.host.port)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((ends.gateway.ip, ends.gateway.port))
        while True:
            for datagram in datagrams:
                sock.sendto(datagram, destination)


def tunnelled_packet(number: int, from_caller: bool) -> bytes:
    """Return a tunnelled data segment of a numbered flow."""
    flow = numbered_flow(number)
    return encapsulate(encode_tcp(flow, from_caller, ACK, 1, 1, PAYLOAD))


def measure(forward: Callable[[RunEndpoints], None]) -> float:
    """Return the packets a second that reach the target."""
    ends = RunEndpoints.from_kernel()
    target = bind_udp(ends.target)
    target.settimeout(0.05)
    forwarder = multiprocessing.Process(target=forward, args=(ends,), daemon=True)
    sender = multiprocessing.Process(target=run_sender, args=(ends,), daemon=True)
    forwarder.start()
    try:
        establish(target, ends)
        sender.start()
        count_datagrams(target, WARM_UP)
        return count_datagrams(target, DURATION) / DURATION
    finally:
        stop(sender)
        stop(forwarder)
        target.close()


def stop(process: BaseProcess) -> None:
    """End a process, if it was started."""
    if process.pid is not None:
        process.kill()
        process.join()


def establish(target: socket.socket, ends: RunEndpoints) -> None:
    """Have the host learn every flow from an answer, once it listens."""
    probe = tunnelled_packet(0, from_caller=True)
    destination = (ends.host.ip, ends.host.port)
    deadline = time.monotonic() + START_TIMEOUT
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as gateway:
        gateway.bind((ends.gateway.ip, ends.gateway.port))
        for number in range(FLOWS):
            target.sendto(tunnelled_packet(number, from_caller=False), destination)
        while time.monotonic() < deadline:
            target.sendto(tunnelled_packet(0, from_caller=False), destination)
            gateway.sendto(probe, destination)
            if count_datagrams(target, 0.1):
                break
        else:
            raise TimeoutError("the forwarder did not start: see its error above")
        for number in range(FLOWS):
            target.sendto(tunnelled_packet(number, from_caller=False), destination)
        count_datagrams(target, 0.3)


def count_datagrams(target: socket.socket, seconds: float) -> int:
    """Return how many datagrams arrive in so many seconds."""
    count = 0
    deadline = time.monotonic() + seconds
    buffer = bytearray(MAX_DATAGRAM)
    while time.monotonic() < deadline:
        try:
            target.recv_into(buffer)
        except TimeoutError:
            continue
        count += 1
    return count


def run() -> list[Result]:
    """Measure both, in turns."""
    hosts, bare = [], []
    for _ in range(REPEATS):
        bare.append(measure(run_forwarder))
        hosts.append(measure(run_host))
    ours, theirs = max(hosts), max(bare)
    return [
        Result(
            "throughput.packets_per_second",
            round(ours),
            "packets/s",
            round(theirs),
            command=COMMAND,
        ),
        Result.at_least(
            "throughput.ratio", round(ours / theirs, 3), "ratio", BOUND, command=COMMAND
        ),
    ]
