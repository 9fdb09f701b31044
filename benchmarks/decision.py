"""Time to decide on a packet, and memory of a flow, in the first mode."""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from typing import TYPE_CHECKING

from benchmarks.baselines import HashOnly
from benchmarks.direct import (
    chosen_target,
    configure,
    from_caller,
    from_target,
    numbered_flow,
    open_flow,
)
from benchmarks.pool import run_jobs
from benchmarks.result import Result
from benchmarks.world import make_host
from citronspring.balancer import Balancer
from citronspring.systems.binding import remove_flow
from citronspring.tcp_flags import ACK, SYN

if TYPE_CHECKING:
    from collections.abc import Callable

    from citronspring.entities import FlowKey
    from citronspring.messages import PacketReceived

COMMAND = "python -m benchmarks --only decision"

HOSTS = 6
TARGETS = 7

#: Packets timed in one repeat, and number of repeats. The figure is their median.
PACKETS = 1000
REPEATS = 25

#: Largest ratios to the hash-only baseline, for established and for new flows.
ESTABLISHED_BOUND = 2.0
NEW_BOUND = 6.0

#: Numbers of flows at which memory is measured. The last one has the bound, in bytes
#: per flow.
MEMORY_SIZES = (100_000, 200_000, 300_000)
BYTES_BOUND = 220.0

#: Seconds between two openings: keeps within an owner's share of the account's rate
#: limit.
OPENING_GAP = 0.001


def owned_flows(core: Balancer, start: int, count: int) -> list[FlowKey]:
    """Return the first flows that a core owns, counting up from a flow number."""
    flows: list[FlowKey] = []
    number = start
    while len(flows) < count:
        flow = numbered_flow(number)
        if core.tables.owners.owner_and_backup(flow)[0] == core.tables.host_id:
            flows.append(flow)
        number += 1
    return flows


def time_packets(
    receive: Callable[[PacketReceived, float], object],
    events: list[PacketReceived],
    start: float,
) -> float:
    """Return the mean time per packet in microseconds."""
    gc.disable()
    now = start
    began = time.perf_counter()
    for event in events:
        now += OPENING_GAP
        receive(event, now)
    taken = time.perf_counter() - began
    gc.enable()
    return taken / len(events) * 1e6


def measure_costs() -> dict[str, float]:
    """Return the median time per packet in microseconds, by kind of packet.

    The repeats of all kinds are interleaved.
    """
    hosts = [make_host(index) for index in range(HOSTS)]
    core = Balancer.from_config(hosts[0], hosts[1:])
    hashed = HashOnly.from_config(hosts[0], hosts[1:])
    configure(core, TARGETS)
    configure(hashed, TARGETS)
    flows = owned_flows(core, 0, PACKETS)
    for index, flow in enumerate(flows):
        open_flow(core, flow, index * OPENING_GAP)
    data = [from_caller(flow, ACK, 100) for flow in flows]
    now = PACKETS * OPENING_GAP
    times: dict[str, list[float]] = {}
    for repeat in range(REPEATS):
        fresh = owned_flows(core, (repeat + 1) * HOSTS * PACKETS * 2, PACKETS)
        openings = [from_caller(flow, SYN) for flow in fresh]
        chosen_target(core.receive(openings.pop(), now))
        for name, receive, events in (
            ("established", core.receive, data),
            ("hash", hashed.receive, data),
            ("new", core.receive, openings),
            ("hash_new", hashed.receive, openings),
        ):
            times.setdefault(name, []).append(time_packets(receive, events, now))
        assert len(core.tables.openings) == PACKETS
        for flow in fresh:
            remove_flow(core.tables, flow)
        now += 2 * PACKETS * OPENING_GAP
    return {name: statistics.median(values) for name, values in times.items()}


def measure_bytes(count: int) -> float:
    """Return the mean memory of an established flow in bytes, at a number of flows."""
    core = Balancer.from_config(make_host(0))
    configure(core, TARGETS)
    gc.collect()
    tracemalloc.start()
    for number in range(count):
        target_id = f"target-{number % TARGETS}"
        event = from_target(numbered_flow(number), target_id, ACK, length=1)
        core.receive(event, number * OPENING_GAP / 10)
    del event
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(core.tables.flows.rows) == count
    return taken / count


def run() -> list[Result]:
    """Measure times with nothing else running, then memory in parallel."""
    [costs] = run_jobs(call, [measure_costs])
    sizes = run_jobs(measure_bytes, MEMORY_SIZES)
    return [*cost_rows(costs), *memory_rows(sizes)]


def call(function: Callable[[], dict[str, float]]) -> dict[str, float]:
    """Call a function; the job for a worker process of `run_jobs`."""
    return function()


def cost_rows(costs: dict[str, float]) -> list[Result]:
    """Return the times with those of the baseline, and their ratios."""
    rows = []
    for name, baseline, bound in (
        ("established", "hash", ESTABLISHED_BOUND),
        ("new", "hash_new", NEW_BOUND),
    ):
        cost, baseline_cost = round(costs[name], 3), round(costs[baseline], 3)
        title = f"decision.{name}_flow"
        rows.append(Result(title, cost, "us", baseline_cost, command=COMMAND))
        ratio = round(cost / baseline_cost, 3)
        rows.append(
            Result.at_most(f"{title}_ratio", ratio, "ratio", bound, command=COMMAND)
        )
    return rows


def memory_rows(sizes: list[float]) -> list[Result]:
    """Return bytes per flow, and the slope from the smallest to the largest size."""
    rows = [
        Result(f"decision.bytes_per_flow_{count}", round(size, 1), "B", command=COMMAND)
        for count, size in zip(MEMORY_SIZES[:-1], sizes[:-1], strict=True)
    ]
    most, least = MEMORY_SIZES[-1], MEMORY_SIZES[0]
    slope = (sizes[-1] * most - sizes[0] * least) / (most - least)
    rows.append(
        Result.at_most(
            f"decision.bytes_per_flow_{most}",
            round(sizes[-1], 1),
            "B",
            BYTES_BOUND,
            command=COMMAND,
        )
    )
    rows.append(
        Result("decision.bytes_slope", round(slope, 1), "B/flow", command=COMMAND)
    )
    return rows
