"""Imbalance of open connections over targets under steady load, without changes."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from benchmarks.direct import close_flow, configure, numbered_flow, open_flow
from benchmarks.pool import run_jobs
from benchmarks.result import Result
from benchmarks.world import make_host
from citronspring.balancer import Balancer
from citronspring.systems.expiry import expire_flows
from citronspring.systems.placement import rank_targets

if TYPE_CHECKING:
    from citronspring.entities import FlowKey

COMMAND = "python -m benchmarks --only balance"

#: Seeds of the random numbers, one run each.
SEEDS = range(3)

#: Mean number of open connections of a target.
FLOWS_PER_TARGET = 100

#: Number of flows replaced, as a multiple of the open ones.
TURNOVER = 3

#: Number of imbalance samples taken while flows are replaced.
SAMPLES = 50

#: New flows per second of virtual time.
NEW_PER_SECOND = 1000.0

#: Upper bound of the mean imbalance at `CURRENT_SIZES`.
BOUND = 1.05


@dataclass(frozen=True, slots=True)
class Sizes:
    """Numbers of hosts and targets that share the load."""

    hosts: int
    targets: int

    def __str__(self) -> str:
        return f"{self.hosts}x{self.targets}"


#: Present size of the system, and a size after growth.
CURRENT_SIZES = Sizes(6, 7)
LARGE_SIZES = Sizes(30, 200)


@dataclass(slots=True)
class SteadyLoad:
    """Cores with a constant number of open flows."""

    sizes: Sizes
    rng: random.Random
    cores: dict[str, Balancer] = field(default_factory=dict)
    #: Open flows: flow, target it is placed on, target that the hash ranks first.
    live_flows: list[tuple[FlowKey, str, str]] = field(default_factory=list)
    #: Number of the last opened flow; starts at a random number.
    opened: int = 0

    @classmethod
    def from_seed(cls, sizes: Sizes, seed: int) -> SteadyLoad:
        """Return a load with configured cores and no flows."""
        load = cls(sizes, random.Random(f"balance {seed}"))
        hosts = [make_host(index) for index in range(sizes.hosts)]
        for host in hosts:
            peers = [peer for peer in hosts if peer is not host]
            core = Balancer.from_config(host, peers)
            configure(core, sizes.targets)
            load.cores[host.host_id] = core
        load.opened = load.rng.randrange(1_000_000)
        return load

    @property
    def now(self) -> float:
        """Virtual time in seconds, from the number of opened flows."""
        return self.opened / NEW_PER_SECOND

    def owner_of(self, flow: FlowKey) -> Balancer:
        """Return the core of the host that owns a flow."""
        any_core = next(iter(self.cores.values()))
        return self.cores[str(any_core.tables.owners.owner_and_backup(flow)[0])]

    def open_one(self) -> None:
        """Open the next flow on its owner."""
        self.opened += 1
        flow = numbered_flow(self.opened)
        core = self.owner_of(flow)
        account = next(iter(core.tables.accounts.values()))
        hashed = rank_targets(flow, account.targets)[0].target.target_id
        self.live_flows.append((flow, open_flow(core, flow, self.now), hashed))

    def close_one(self) -> None:
        """Close a random open flow."""
        index = self.rng.randrange(len(self.live_flows))
        self.live_flows[index], self.live_flows[-1] = (
            self.live_flows[-1],
            self.live_flows[index],
        )
        flow, target_id, _ = self.live_flows.pop()
        close_flow(self.owner_of(flow), flow, target_id, self.now)

    def run(self) -> tuple[float, float]:
        """Return the mean imbalance of the balancer, and of placement by hash alone."""
        count = FLOWS_PER_TARGET * self.sizes.targets
        for _ in range(count):
            self.open_one()
        placed: list[float] = []
        hashed: list[float] = []
        for step in range(TURNOVER * count):
            self.open_one()
            self.close_one()
            if step % (TURNOVER * count // SAMPLES) == 0:
                self.sample(placed, hashed)
        return sum(placed) / len(placed), sum(hashed) / len(hashed)

    def sample(self, placed: list[float], hashed: list[float]) -> None:
        """Record the current imbalance, and expire closed flows on all cores.

        A whole tick of a core would also run membership, which gets no response from
        peers here.
        """
        mean = len(self.live_flows) / self.sizes.targets
        placed.append(max(Counter(item[1] for item in self.live_flows).values()) / mean)
        hashed.append(max(Counter(item[2] for item in self.live_flows).values()) / mean)
        for core in self.cores.values():
            expire_flows(core.tables, self.now)


def measure(job: tuple[Sizes, int]) -> tuple[float, float]:
    """Return the imbalance at one size with one seed, see `SteadyLoad.run`."""
    return SteadyLoad.from_seed(*job).run()


def run() -> list[Result]:
    """Measure at both sizes; return the means over all seeds."""
    jobs = [(sizes, seed) for sizes in (CURRENT_SIZES, LARGE_SIZES) for seed in SEEDS]
    figures = dict(zip(jobs, run_jobs(measure, jobs), strict=True))
    rows = []
    for sizes in (CURRENT_SIZES, LARGE_SIZES):
        placed = sum(figures[sizes, seed][0] for seed in SEEDS) / len(SEEDS)
        hashed = sum(figures[sizes, seed][1] for seed in SEEDS) / len(SEEDS)
        rows.append(make_row(sizes, round(placed, 4), round(hashed, 4)))
    return rows


def make_row(sizes: Sizes, placed: float, hashed: float) -> Result:
    """Return the result row of one size; only `CURRENT_SIZES` has a bound."""
    name = f"balance.imbalance_{sizes}"
    if sizes is not CURRENT_SIZES:
        return Result(name, placed, "max/mean", hashed, command=COMMAND)
    return Result.at_most(
        name, placed, "max/mean", BOUND, baseline=hashed, command=COMMAND
    )
