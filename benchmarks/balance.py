"""Imbalance of live connections over targets in steady load, without changes."""

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

SEEDS = range(3)

#: Live connections a target, on the average.
FLOWS_PER_TARGET = 100

#: Flows replaced, as a multiple of the live ones.
TURNOVER = 3

#: Samples of the imbalance while flows are replaced.
SAMPLES = 50

NEW_PER_SECOND = 1000.0

#: Greatest mean imbalance at today's sizes.
BOUND = 1.05


@dataclass(frozen=True, slots=True)
class Sizes:
    """How many hosts and targets share the load."""

    hosts: int
    targets: int

    def __str__(self) -> str:
        return f"{self.hosts}x{self.targets}"


CURRENT_SIZES = Sizes(6, 7)
LARGE_SIZES = Sizes(30, 200)


@dataclass(slots=True)
class SteadyLoad:
    """Cores under a constant number of live flows."""

    sizes: Sizes
    rng: random.Random
    cores: dict[str, Balancer] = field(default_factory=dict)
    #: Live flows, with target and the first-ranked target.
    live_flows: list[tuple[FlowKey, str, str]] = field(default_factory=list)
    opened: int = 0

    @classmethod
    def from_seed(cls, sizes: Sizes, seed: int) -> SteadyLoad:
        """Make the cores of a run."""
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
        """The time at which the next flow opens."""
        return self.opened / NEW_PER_SECOND

    def owner_of(self, flow: FlowKey) -> Balancer:
        """Return the core that decides on a flow."""
        some = next(iter(self.cores.values()))
        return self.cores[str(some.tables.owners.owner_and_backup(flow)[0])]

    def open_one(self) -> None:
        """Open one more flow."""
        self.opened += 1
        flow = numbered_flow(self.opened)
        core = self.owner_of(flow)
        account = next(iter(core.tables.accounts.values()))
        hashed = rank_targets(flow, account.targets)[0].target.target_id
        self.live_flows.append((flow, open_flow(core, flow, self.now), hashed))

    def close_one(self) -> None:
        """Close one of the live flows."""
        index = self.rng.randrange(len(self.live_flows))
        self.live_flows[index], self.live_flows[-1] = (
            self.live_flows[-1],
            self.live_flows[index],
        )
        flow, target_id, _ = self.live_flows.pop()
        close_flow(self.owner_of(flow), flow, target_id, self.now)

    def run(self) -> tuple[float, float]:
        """Return the mean imbalance of placement, and of the hash alone."""
        count = FLOWS_PER_TARGET * self.sizes.targets
        for _ in range(count):
            self.open_one()
        ours: list[float] = []
        hashed: list[float] = []
        for step in range(TURNOVER * count):
            self.open_one()
            self.close_one()
            if step % (TURNOVER * count // SAMPLES) == 0:
                self.sample(ours, hashed)
        return sum(ours) / len(ours), sum(hashed) / len(hashed)

    def sample(self, ours: list[float], hashed: list[float]) -> None:
        """Note the imbalance of now, and let the cores forget closed flows.

        A tick would also run membership, which finds nobody here.
        """
        mean = len(self.live_flows) / self.sizes.targets
        ours.append(max(Counter(item[1] for item in self.live_flows).values()) / mean)
        hashed.append(max(Counter(item[2] for item in self.live_flows).values()) / mean)
        for core in self.cores.values():
            expire_flows(core.tables, self.now)


def measure(job: tuple[Sizes, int]) -> tuple[float, float]:
    """Return the imbalance of one size and seed."""
    return SteadyLoad.from_seed(*job).run()


def run() -> list[Result]:
    """Measure today's and grown sizes."""
    jobs = [(sizes, seed) for sizes in (CURRENT_SIZES, LARGE_SIZES) for seed in SEEDS]
    figures = dict(zip(jobs, run_jobs(measure, jobs), strict=True))
    rows = []
    for sizes in (CURRENT_SIZES, LARGE_SIZES):
        ours = sum(figures[sizes, seed][0] for seed in SEEDS) / len(SEEDS)
        hashed = sum(figures[sizes, seed][1] for seed in SEEDS) / len(SEEDS)
        rows.append(make_row(sizes, round(ours, 4), round(hashed, 4)))
    return rows


def make_row(sizes: Sizes, ours: float, hashed: float) -> Result:
    """Return the row of one size; only today's has a bound."""
    name = f"balance.imbalance_{sizes}"
    if sizes is not CURRENT_SIZES:
        return Result(name, ours, "max/mean", hashed, command=COMMAND)
    return Result.at_most(
        name, ours, "max/mean", BOUND, baseline=hashed, command=COMMAND
    )
