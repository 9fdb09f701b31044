"""Packet rate of one host process on loopback, compared with a bare forwarder."""

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

#: Measured seconds of each run, warm-up before it, and number of runs. The figure is
#: the best run, because other load on the machine can only lower the rate.
DURATION = 1.0
WARM_UP = 0.3
REPEATS = 4

#: Time in which a process must start, seconds.
START_TIMEOUT = 10.0

#: Smallest ratio to the rate of the bare forwarder.
BOUND = 0.4


@dataclass(frozen=True, slots=True)
class RunEndpoints:
    """Socket addresses of a run."""

    host: Endpoint
    gateway: Endpoint
    target: Endpoint

    @classmethod
    def from_kernel(cls) -> RunEndpoints:
        """Return addresses whose ports are free at the moment."""
        ips = (HOST_IP, GATEWAY_IP, TARGET_IP)
        return cls(*(Endpoint(ip, free_port(ip)) for ip in ips))


def free_port(ip: str) -> int:
    """Return a UDP port that is free at the moment."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class StaticConfiguration:
    """Configuration source that never changes.

    Parameters
    ----------
    snapshot : Snapshot
        The configuration that all reads return.
    """

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot

    async def read_snapshot(self) -> Snapshot:
        """Return the configuration."""
        return self.snapshot

    async def read_records(
        self, after_revision: int
    ) -> tuple[ChangeRecord, ...] | None:
        """Return no records, as nothing changes."""
        return ()

    async def watch_head(self, after_revision: int) -> int:
        """Wait forever, as nothing changes."""
        await anyio.sleep_forever()
        raise AssertionError

    async def confirm_zone(self, zone: str, revision: int) -> int:
        """Return the revision as confirmed."""
        return revision


def run_host(endpoints: RunEndpoints) -> None:
    """Run a host that forwards to the target; the main function of a process."""
    target = Target("target-0", ACCOUNT_ID, endpoints.target, ZONE)
    address = ServiceAddress(SERVICE_IP, SERVICE_PORT, Protocol.TCP)
    account = Account(ACCOUNT_ID, (address,), (target,), (ZONE,))
    ports = [free_port(HOST_IP) for _ in range(2)]
    section = HostSection(
        id="host-0",
        zone=ZONE,
        group="entry",
        tunnel=endpoints.host,
        relay=Endpoint(HOST_IP, ports[0]),
        control=Endpoint(HOST_IP, ports[1]),
    )
    settings = Settings(
        host=section,
        fabric=FabricSection(gateway=endpoints.gateway),
        platform=PlatformSection(url="http://127.0.0.1:1", zones=(ZONE,)),
    )
    source = StaticConfiguration(Snapshot(1, (account,)))
    anyio.run(HostDaemon.from_settings(settings, source).run)


def run_forwarder(endpoints: RunEndpoints) -> None:
    """Run a bare forwarder, which does not parse datagrams."""
    anyio.run(forward_forever, endpoints)


async def forward_forever(endpoints: RunEndpoints) -> None:
    """Read datagrams in batches, as a host does, and send each to the target."""
    sock = bind_udp(endpoints.host)
    destination = (endpoints.target.ip, endpoints.target.port)
    while True:
        await anyio.wait_readable(sock)
        for _ in range(BATCH):
            try:
                datagram, _ = sock.recvfrom(MAX_DATAGRAM)
            except BlockingIOError:
                break
            sock.sendto(datagram, destination)


def run_sender(endpoints: RunEndpoints) -> None:
    """Send caller packets of established flows forever, as fast as possible."""
    datagrams = [tunnelled_packet(number, from_caller=True) for number in range(FLOWS)]
    destination = (endpoints.host.ip, endpoints.host.port)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((endpoints.gateway.ip, endpoints.gateway.port))
        while True:
            for datagram in datagrams:
                sock.sendto(datagram, destination)


def tunnelled_packet(number: int, from_caller: bool) -> bytes:
    """Return a tunnelled data segment of flow `number`."""
    flow = numbered_flow(number)
    return encapsulate(encode_tcp(flow, from_caller, ACK, 1, 1, PAYLOAD))


def measure(forward: Callable[[RunEndpoints], None]) -> float:
    """Return the packets per second that reach the target."""
    endpoints = RunEndpoints.from_kernel()
    target = bind_udp(endpoints.target)
    target.settimeout(0.05)
    forwarder = multiprocessing.Process(target=forward, args=(endpoints,), daemon=True)
    sender = multiprocessing.Process(target=run_sender, args=(endpoints,), daemon=True)
    forwarder.start()
    try:
        establish(target, endpoints)
        sender.start()
        count_datagrams(target, WARM_UP)
        return count_datagrams(target, DURATION) / DURATION
    finally:
        stop(sender)
        stop(forwarder)
        target.close()


def stop(process: BaseProcess) -> None:
    """Kill a process if it was started, and wait for its end."""
    if process.pid is not None:
        process.kill()
        process.join()


def establish(target: socket.socket, endpoints: RunEndpoints) -> None:
    """Wait until the host forwards; establish all flows with packets of the target."""
    probe = tunnelled_packet(0, from_caller=True)
    destination = (endpoints.host.ip, endpoints.host.port)
    deadline = time.monotonic() + START_TIMEOUT
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as gateway:
        gateway.bind((endpoints.gateway.ip, endpoints.gateway.port))
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
    """Return the number of datagrams that arrive within a time in seconds."""
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
    """Measure host and bare forwarder alternately."""
    host_rates, bare_rates = [], []
    for _ in range(REPEATS):
        bare_rates.append(measure(run_forwarder))
        host_rates.append(measure(run_host))
    host_rate, bare_rate = max(host_rates), max(bare_rates)
    return [
        Result(
            "throughput.packets_per_second",
            round(host_rate),
            "packets/s",
            round(bare_rate),
            command=COMMAND,
        ),
        Result.at_least(
            "throughput.ratio",
            round(host_rate / bare_rate, 3),
            "ratio",
            BOUND,
            command=COMMAND,
        ),
    ]
