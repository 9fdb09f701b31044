"""Time per packet and per opening, and memory of a flow, in the token mode.

The baselines are the first mode, hash only and a bare forwarder.
"""

from __future__ import annotations

import gc
import socket
import statistics
import time
import tracemalloc
from typing import TYPE_CHECKING

from benchmarks.decision import measure_costs
from benchmarks.pool import run_jobs
from benchmarks.result import Result
from citronspring.daemons.token_host import BATCH, TokenHost
from citronspring.endpoints import Endpoint
from citronspring.host_settings import HostSettings
from citronspring.platform.__main__ import PLATFORM_ADAPTER
from citronspring.platform.packets import HEADER
from citronspring.tcp_flags import ACK, SYN
from citronspring.tokens.balancer import TokenBalancer
from citronspring.tokens.entities import Packet, Route, Share, route_key
from citronspring.tokens.entries import Configuration, Target
from citronspring.tokens.flows import close_flow
from citronspring.tokens.messages import ListEntries, Page
from citronspring.tokens.times import ReaderTimes

if TYPE_CHECKING:
    from collections.abc import Callable

COMMAND = "python -m benchmarks --only tokens"

ADDRESS = 0xC6120001
ROUTE = route_key(ADDRESS, 443)
TARGETS = 7

#: Packets timed in one repeat, and number of repeats. The figure is their median.
PACKETS = 1000
REPEATS = 25

#: Largest ratio of the time per packet of an established flow to that of hash only.
PACKET_BOUND = 4.0

#: Smallest ratio of the packet rate to that of a bare forwarder.
FORWARD_BOUND = 0.4

#: Numbers of targets of a service at which an opening is timed.
SERVICE_SIZES = (7, 70, 700)

#: Number of flows at which memory is measured, and its bound in bytes per flow.
MEMORY_FLOWS = 40_000
BYTES_BOUND = 620.0

LOOPBACK = "127.0.0.1"


def make_core(targets: int = TARGETS, port: int = 9) -> TokenBalancer:
    """Return a core with one route and a number of targets at one UDP port."""
    core = TokenBalancer.from_config("host", "north", ReaderTimes.from_bounds(3, 4))
    core.tables.reader.call_at = 0.0
    entries: list[Configuration | Target] = [
        Configuration(1, (Route("r", ROUTE, (Share("s", 1.0),), True),), 15.0)
    ]
    for number in range(1, targets + 1):
        endpoint = Endpoint(LOOPBACK, port)
        entries.append(
            Target(f"i-{number:x}", number, endpoint, "s", "north", 2, False, 0.0, 1)
        )
    core.handle_store_answer(ListEntries(), Page(tuple(entries), 1, None), 0.0, 0.0)
    return core


def opening_packet(number: int) -> Packet:
    """Return the SYN of flow `number`."""
    return Packet(number.to_bytes(12, "big"), ROUTE, SYN, 0, 1000, 0, 0)


def data_packet(number: int) -> Packet:
    """Return a data packet of flow `number`."""
    token = number % TARGETS + 1
    return Packet(number.to_bytes(12, "big"), ROUTE, ACK, token, 1001, 5, 0)


def time_calls(
    receive: Callable[[Packet, float], object], packets: list[Packet]
) -> float:
    """Return the mean time per packet in microseconds."""
    gc.disable()
    began = time.perf_counter()
    for packet in packets:
        receive(packet, 1.0)
    taken = time.perf_counter() - began
    gc.enable()
    return taken / len(packets) * 1e6


def measure_packets() -> float:
    """Return the median time per packet of established flows in microseconds."""
    core = make_core()
    packets = [data_packet(number) for number in range(PACKETS)]
    time_calls(core.receive, packets)
    return statistics.median(time_calls(core.receive, packets) for _ in range(REPEATS))


def measure_openings(targets: int) -> float:
    """Return the median time per opening at a number of targets, in microseconds."""
    core = make_core(targets)
    times = []
    for _ in range(REPEATS):
        times.append(
            time_calls(core.receive, [opening_packet(n) for n in range(PACKETS)])
        )
        for key, flow in list(core.tables.flows.items()):
            close_flow(core.tables, key, flow)
    return statistics.median(times)


def measure_bytes() -> float:
    """Return the mean memory of a flow in bytes."""
    core = make_core()
    gc.collect()
    tracemalloc.start()
    for number in range(MEMORY_FLOWS):
        core.receive(data_packet(number), 1.0)
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return taken / MEMORY_FLOWS


def bind_udp_socket() -> socket.socket:
    """Return a non-blocking UDP socket on loopback."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind((LOOPBACK, 0))
    return sock


def free_endpoint(kind: int) -> Endpoint:
    """Return a loopback endpoint whose port is free at the moment."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((LOOPBACK, 0))
        return Endpoint(*sock.getsockname())


def bare_forwarder(sock: socket.socket, sink: tuple[str, int]) -> Callable[[], None]:
    """Return a function that forwards one batch of datagrams to a sink unread.

    The batches are as large as those of a host.
    """

    def forward() -> None:
        for _ in range(BATCH):
            try:
                data = sock.recv(2048)
            except BlockingIOError:
                return
            sock.sendto(data, sink)

    return forward


def time_batch(
    forward: Callable[[], object], sender: socket.socket, target: tuple[str, int]
) -> float:
    """Return the time per packet in microseconds to forward one queued batch."""
    head = HEADER.pack(1001, 5, 2, 1, 443, 4001, 0x64400007, ADDRESS, 0, 200)
    data = head + bytes(200)
    for _ in range(BATCH):
        sender.sendto(data, target)
    began = time.perf_counter()
    forward()
    return (time.perf_counter() - began) / BATCH * 1e6


def discard_datagrams(sock: socket.socket) -> None:
    """Discard all datagrams that are queued on a socket."""
    while True:
        try:
            sock.recv(2048)
        except BlockingIOError:
            return


def measure_forwarding() -> tuple[float, float]:
    """Return the median time per packet in microseconds: host, bare forwarder."""
    with bind_udp_socket() as sink, bind_udp_socket() as bare:
        settings = HostSettings(
            host_id="host",
            zone="north",
            packets=free_endpoint(socket.SOCK_DGRAM),
            readiness=free_endpoint(socket.SOCK_STREAM),
            peer_endpoint=free_endpoint(socket.SOCK_STREAM),
            messages=free_endpoint(socket.SOCK_DGRAM),
            peers=(),
            store=Endpoint(LOOPBACK, 9),
            link_rate=1.25e8,
            processor_share=1.0,
            change_bound=3.0,
            settling_time=4.0,
            stop_grace=6.0,
        )
        host = TokenHost(settings, PLATFORM_ADAPTER)
        host.core = make_core(TARGETS, sink.getsockname()[1])
        forward = bare_forwarder(bare, sink.getsockname())
        host_times, bare_times = [], []
        with bind_udp_socket() as sender:
            # Alternate, so that both run under the same load of the machine.
            for _ in range(40 * REPEATS):
                host_times.append(
                    time_batch(lambda: host.read_packets(1), sender, settings.packets)
                )
                bare_times.append(time_batch(forward, sender, bare.getsockname()))
                discard_datagrams(sink)
        host.packets.close()
        host.server.listener.close()
        host.follower_server.server.listener.close()
    return statistics.median(host_times), statistics.median(bare_times)


def run() -> list[Result]:
    """Measure one figure after another, so that none distorts the others."""
    [costs] = run_jobs(call, [measure_costs])
    [packets] = run_jobs(call, [measure_packets])
    openings = run_jobs(measure_openings, SERVICE_SIZES)
    [(host_times, bare)] = run_jobs(call, [measure_forwarding])
    [size] = run_jobs(call, [measure_bytes])
    rows = [
        Result("tokens.packet", packets, "us", costs["established"], command=COMMAND),
        Result.at_most(
            "tokens.packet_over_hash",
            packets / costs["hash"],
            "ratio",
            PACKET_BOUND,
            command=COMMAND,
        ),
        Result("tokens.opening", openings[0], "us", costs["new"], command=COMMAND),
        Result("tokens.opening_hash", costs["hash_new"], "us", command=COMMAND),
        Result("tokens.forwarded_packet", host_times, "us", bare, command=COMMAND),
        Result.at_least(
            "tokens.forwarded_over_bare",
            bare / host_times,
            "ratio",
            FORWARD_BOUND,
            command=COMMAND,
        ),
        Result.at_most(
            "tokens.bytes_per_flow", size, "B", BYTES_BOUND, command=COMMAND
        ),
    ]
    for targets, cost in zip(SERVICE_SIZES, openings, strict=True):
        rows.append(
            Result(f"tokens.opening_among_{targets}", cost, "us", command=COMMAND)
        )
    return rows


def call(function: Callable[[], object]) -> object:
    """Call a function; the job for a worker process of `run_jobs`."""
    return function()
