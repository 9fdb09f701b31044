"""Effect of the load signal, avoidance of failing targets, and refusals.

Also measures the cost of idle client accounts.
"""

from __future__ import annotations

import gc
import random
import tracemalloc
from dataclasses import dataclass, replace

from benchmarks.fleet import Fleet
from benchmarks.pool import run_jobs
from benchmarks.result import Result
from benchmarks.world import SERVICE_IP, make_host, make_snapshot, make_target
from citronspring.balancer import Balancer
from citronspring.entities import (
    Account,
    AccountLimits,
    Endpoint,
    Protocol,
    ServiceAddress,
    Snapshot,
    Target,
)
from citronspring.messages import SnapshotRead
from citronspring.rendezvous import flow_key
from citronspring.systems.placement import rank_targets

COMMAND = "python -m benchmarks --only health"

SEED = 1

#: Mean number of open flows of a target, and mean duration of a flow in seconds.
FLOWS_PER_TARGET = 100
LIFETIME = 60.0

#: Virtual seconds to open the flows and to settle; number of samples, one per second.
FILL_TIME, SETTLING_TIME, SAMPLES = 2.0, 40.0, 20

#: Number of hosts, number of targets, number of seeds that are averaged.
SIZES = ((6, 7, 4), (9, 30, 2), (30, 200, 1))

#: Largest imbalance at the first of `SIZES`, the current size.
IMBALANCE_BOUND = 1.05
#: Largest control traffic of a host for loads, bytes per second.
LOAD_BYTES_BOUND = 1024
#: Largest memory of the rows of an idle account with one address and three targets,
#: bytes.
IDLE_BYTES_BOUND = 1024
IDLE_ACCOUNTS = 10_000

#: New flows per second while a target fails, and seconds of the measurement.
FAILURE_RATE = 200.0
FAILURE_TIME = 20.0
#: Longest time until a failing target only gets single trials, seconds.
AVOIDANCE_BOUND = 2.0

#: Smallest share of new flows, relative to the mean, of a healthy target whose health
#: endpoint alone reports it as unhealthy.
FALSE_REPORT_BOUND = 0.4

#: New flows per second of the account that stays below its limit, and seconds of the
#: measurement while another account exceeds its limit.
CALM_RATE = 20.0
FLOOD_TIME = 20.0

SECOND_IP = "192.0.2.2"


@dataclass(frozen=True, slots=True)
class BalanceJob:
    """Parameters of one run with steady load."""

    hosts: int
    targets: int
    seed: int
    load_signal: bool


def run() -> list[Result]:
    """Measure all figures."""
    rows = balance_rows()
    rows += failure_rows()
    rows += overload_rows()
    rows.append(flood_row())
    rows += idle_rows()
    return rows


# Balance -----------------------------------------------------------------------


def balance_rows() -> list[Result]:
    """Return the imbalance with and without the load signal, and its traffic."""
    jobs = [
        BalanceJob(hosts, targets, seed, load_signal)
        for hosts, targets, seeds in reversed(SIZES)
        for load_signal in (False, True)
        for seed in range(1, seeds + 1)
    ]
    answers = dict(zip(jobs, run_jobs(measure_balance, jobs), strict=True))
    rows = []
    for hosts, targets, _ in SIZES:
        size = f"{hosts} hosts x {targets} targets"
        without_signal = mean_over_seeds(answers, hosts, targets, load_signal=False)
        with_signal = mean_over_seeds(answers, hosts, targets, load_signal=True)
        bound = IMBALANCE_BOUND if targets == SIZES[0][1] else None
        hashed = hash_imbalance(targets)
        rows += [
            make_result(
                f"imbalance, {size}, own counts", without_signal[0], "max/mean", hashed
            ),
            make_result(
                f"imbalance, {size}, load signal",
                with_signal[0],
                "max/mean",
                without_signal[0],
                bound,
            ),
            make_result(
                f"load signal, {size}",
                with_signal[1],
                "B/s a host",
                0.0,
                LOAD_BYTES_BOUND,
            ),
        ]
    return rows


def mean_over_seeds(
    answers: dict[BalanceJob, tuple[float, float]],
    hosts: int,
    targets: int,
    *,
    load_signal: bool,
) -> tuple[float, float]:
    """Return the mean imbalance and traffic over the seeds of a size."""
    found = [
        answer
        for job, answer in answers.items()
        if (job.hosts, job.targets, job.load_signal) == (hosts, targets, load_signal)
    ]
    sums = [sum(column) / len(found) for column in zip(*found, strict=True)]
    return sums[0], sums[1]


def measure_balance(job: BalanceJob) -> tuple[float, float]:
    """Return the mean imbalance, and the control bytes per second of a host."""
    targets = tuple(make_target(index) for index in range(job.targets))
    snapshot = make_snapshot(1, targets)
    fleet = Fleet.from_snapshot(
        job.hosts, snapshot, str(job.seed), load_signal=job.load_signal
    )
    fleet.lifetime = LIFETIME
    flows = job.targets * FLOWS_PER_TARGET
    fleet.run(FILL_TIME, {SERVICE_IP: flows / FILL_TIME})
    rate = {SERVICE_IP: flows / LIFETIME}
    fleet.run(SETTLING_TIME, rate)
    fleet.control_bytes = 0
    samples = []
    for _ in range(SAMPLES):
        fleet.run(1.0, rate)
        samples.append(fleet.imbalance(job.targets))
    return sum(samples) / SAMPLES, fleet.control_bytes / SAMPLES / job.hosts


def hash_imbalance(targets: int) -> float:
    """Return the imbalance of the same number of open flows placed by hash alone."""
    core = Balancer.from_config(make_host(0))
    rows = tuple(make_target(index) for index in range(targets))
    core.receive(SnapshotRead(make_snapshot(1, rows)), 0.0)
    counts = dict.fromkeys(core.tables.targets, 0)
    rng = random.Random(SEED)
    # Placement by hash depends only on the set of open flows, so a random set serves.
    for number in range(targets * FLOWS_PER_TARGET):
        flow = flow_key(6, SERVICE_IP, 443, f"10.0.{rng.randrange(256)}.1", number)
        first = rank_targets(flow, list(core.tables.targets.values()))[0]
        counts[first.target.target_id] += 1
    return max(counts.values()) / FLOWS_PER_TARGET


# Failures ----------------------------------------------------------------------


def failure_rows() -> list[Result]:
    """Return how soon new flows avoid a failing target, and how many are refused."""
    rows = []
    for kind in ("sheds", "freezes"):
        fleet, avoided, syns, refusals = measure_failure(kind)
        share = 1.0 / 7
        rows += [
            make_result(
                f"target {kind}, its endpoint says healthy: last of its first SYNs",
                avoided,
                "s",
                None,
                AVOIDANCE_BOUND,
            ),
            make_result(
                f"target {kind}: SYNs to it in {FAILURE_TIME:.0f} s",
                syns,
                "SYNs",
                FAILURE_TIME * FAILURE_RATE * share,
            ),
            make_result(f"target {kind}: openings refused", refusals, "flows", None, 0),
        ]
    rows.append(false_report_row())
    return rows


def measure_failure(kind: str) -> tuple[Fleet, float, int, int]:
    """Let one of seven targets fail under load while its endpoint reports it healthy.

    Returns the fleet, the seconds until the target only gets single trials, the SYNs
    that it got, and the number of refused openings.
    """
    fleet = Fleet.from_snapshot(6, probed_snapshot(), f"failure {SEED}")
    fleet.lifetime = 10.0
    rate = {SERVICE_IP: FAILURE_RATE}
    fleet.run(40.0, rate)
    failing = fleet.shedding if kind == "sheds" else fleet.frozen
    failing.add("target-0")
    fleet.misreporting.add("target-0")
    began, syns_before = fleet.now, fleet.syn_counts["target-0"]
    refused = fleet.refused[SERVICE_IP]
    last_excess_at, previous = 0.0, syns_before
    while fleet.now < began + FAILURE_TIME:
        fleet.run(0.25, rate)
        # More than one SYN per owner in 0.25 s is more than single trials.
        if fleet.syn_counts["target-0"] - previous > len(fleet.cores):
            last_excess_at = fleet.now - began
        previous = fleet.syn_counts["target-0"]
    refusals = fleet.refused[SERVICE_IP] - refused
    return fleet, last_excess_at, fleet.syn_counts["target-0"] - syns_before, refusals


def false_report_row() -> Result:
    """Return the share of new flows of a healthy target reported as unhealthy.

    Both probers get the false report from its health endpoint.
    """
    fleet = Fleet.from_snapshot(6, probed_snapshot(), f"lying {SEED}")
    fleet.lifetime = 10.0
    fleet.run(40.0, {SERVICE_IP: FAILURE_RATE})
    fleet.misreporting.add("target-0")
    # The share is lower until the flows opened before the false report have ended.
    fleet.run(3 * fleet.lifetime, {SERVICE_IP: FAILURE_RATE})
    syns_before = fleet.syn_counts["target-0"]
    fleet.run(FAILURE_TIME, {SERVICE_IP: FAILURE_RATE})
    mean = FAILURE_RATE * FAILURE_TIME / 7
    share = (fleet.syn_counts["target-0"] - syns_before) / mean
    name = "sound target, its endpoint says unhealthy: its share of new flows"
    return Result.at_least(
        name, share, "of a fair share", FALSE_REPORT_BOUND, seed=SEED, command=COMMAND
    )


def probed_snapshot() -> Snapshot:
    """Return seven targets with health endpoints."""
    targets = [make_target(index) for index in range(7)]
    probed = tuple(
        replace(target, health=Endpoint(target.tunnel.ip, 8080)) for target in targets
    )
    return make_snapshot(1, probed)


# Refusals ----------------------------------------------------------------------


def overload_rows() -> list[Result]:
    """Return the share of refused openings at loads around the targets' capacity."""
    rows = []
    for factor in (0.9, 1.0, 1.5, 2.0):
        targets = tuple(
            replace(make_target(index), max_connections=100) for index in range(7)
        )
        fleet = Fleet.from_snapshot(6, make_snapshot(1, targets), f"overload {SEED}")
        fleet.lifetime = 10.0
        rate = {SERVICE_IP: 70.0 * factor}
        fleet.run(40.0, rate)
        requested, refused = fleet.requested[SERVICE_IP], fleet.refused[SERVICE_IP]
        max_flows = 0
        for _ in range(30):
            fleet.run(1.0, rate)
            max_flows = max(max_flows, *fleet.target_flows.values())
        share = (fleet.refused[SERVICE_IP] - refused) / (
            fleet.requested[SERVICE_IP] - requested
        )
        blocking = erlang_loss(70.0 * factor * fleet.lifetime, 700)
        rows.append(
            make_result(f"refused at load {factor}", share, "of openings", blocking)
        )
        rows.append(
            make_result(
                f"most flows on a target at load {factor}",
                max_flows,
                "flows",
                None,
                100,
            )
        )
    return rows


def erlang_loss(load: float, servers: int) -> float:
    """Return the blocking probability of the Erlang B formula.

    It is the share of refusals if one place knew the free capacity of all targets.
    """
    loss = 1.0
    for count in range(1, servers + 1):
        loss = load * loss / (count + load * loss)
    return loss


def flood_row() -> Result:
    """Return an account's admitted share while another is at ten times its limit."""
    limits = AccountLimits(new_per_second=100.0)
    accounts = [
        replace(make_snapshot(1, targets).accounts[0], limits=limits)
        for targets in [tuple(make_target(index) for index in range(7))]
    ]
    calm_targets = tuple(
        replace(make_target(index), account_id="calm") for index in range(7, 10)
    )
    address = ServiceAddress(SECOND_IP, 443, Protocol.TCP)
    accounts.append(Account("calm", (address,), calm_targets, limits=limits))
    fleet = Fleet.from_snapshot(6, Snapshot(1, tuple(accounts)), f"flood {SEED}")
    rates = {SERVICE_IP: 10 * limits.new_per_second, SECOND_IP: CALM_RATE}
    fleet.run(FLOOD_TIME, rates)
    share = fleet.admitted[SECOND_IP] / fleet.requested[SECOND_IP]
    flooding = fleet.admitted[SERVICE_IP] / fleet.requested[SERVICE_IP]
    return Result.at_least(
        "calm account's openings admitted while another floods tenfold",
        share,
        "of openings",
        1.0,
        baseline=flooding,
        seed=SEED,
        command=COMMAND,
    )


# Idle accounts -----------------------------------------------------------------


def idle_rows() -> list[Result]:
    """Return the cost of idle accounts: memory, control traffic, rows visited."""
    accounts = tuple(idle_account(index) for index in range(IDLE_ACCOUNTS))
    core = Balancer.from_config(make_host(0), [make_host(1)])
    gc.collect()
    tracemalloc.start()
    core.receive(SnapshotRead(Snapshot(1, accounts)), 0.0)
    gc.collect()
    taken = tracemalloc.get_traced_memory()[0] / IDLE_ACCOUNTS
    tracemalloc.stop()
    fleet = Fleet(random.Random(SEED), {core.tables.host_id: core})
    for _ in range(200):
        fleet.now += 0.5
        fleet.tick()
    visited = len(core.tables.active_accounts)
    return [
        make_result(
            "memory of an idle account's rows, 1 address, 3 targets",
            taken,
            "B",
            None,
            IDLE_BYTES_BOUND,
        ),
        make_result(
            f"control bytes for {IDLE_ACCOUNTS} idle accounts",
            fleet.control_bytes / fleet.now,
            "B/s",
            None,
            0,
        ),
        make_result(f"rows a tick visits of {IDLE_ACCOUNTS}", visited, "rows", None, 0),
    ]


def idle_account(index: int) -> Account:
    """Return an account with one address and three targets, without flows."""
    account_id = f"account-{index}"
    address = ServiceAddress(f"10.9.{index >> 8}.{index & 255}", 443, Protocol.TCP)
    targets = tuple(
        Target(
            f"{account_id}-{number}",
            account_id,
            Endpoint(f"10.{10 + number}.{index >> 8}.{index & 255}", 6080),
            "drukkerij",
        )
        for number in range(3)
    )
    return Account(account_id, (address,), targets)


def make_result(
    name: str,
    value: float,
    unit: str,
    baseline: float | None = None,
    bound: float | None = None,
) -> Result:
    """Return a result row; the bound, if any, is an upper one."""
    held = bound is None or value <= bound
    return Result(name, value, unit, baseline, bound, held, SEED, COMMAND)
