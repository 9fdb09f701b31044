"""Broken flows while hosts and targets start and stop and host states differ."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from benchmarks.baselines import HashOnly, TableOnly
from benchmarks.pool import run_jobs
from benchmarks.result import Result
from benchmarks.world import SERVICE_IP, SERVICE_PORT, World
from citronspring.balancer import Balancer
from citronspring.rendezvous import flow_key
from citronspring.standins.service import Outcome, Request, RequestKind

if TYPE_CHECKING:
    from citronspring.entities import FlowKey

COMMAND = "python -m benchmarks --only churn"

#: Seeds of the random numbers, one run each.
SEEDS = range(10)
HOSTS = 6
TARGETS = 7

#: Virtual seconds in which requests start and changes happen.
DURATION = 120.0
#: Virtual seconds after that without new requests or changes; every request ends in it.
SETTLING_TIME = 120.0
#: Virtual seconds between two changes.
CHANGE_INTERVAL = 6.0
REQUESTS_PER_SECOND = 58.5
#: Transfer rate of a request body, bytes per second (two segments).
BODY_RATE = 1024.0

#: Mix of request durations: fraction of the requests, and their mean duration in
#: seconds. Durations are cut at `MAX_REQUEST_TIME` seconds.
DURATION_MIX = ((0.70, 1.5), (0.25, 10.0), (0.05, 45.0))
MAX_REQUEST_TIME = 90.0

#: Seconds after which a leaving target must not get new flows.
LEAVING_GRACE = 4.0

#: Limits within which the changes keep the numbers of hosts and targets.
MIN_HOSTS, MAX_HOSTS = 4, 9
MIN_TARGETS, MAX_TARGETS = 4, 10


class Variant(Enum):
    """Kind of core that is measured."""

    BALANCER = "balancer"
    HASH_ONLY = "hash-only"
    TABLE_ONLY = "table-only"


CORE_FACTORIES = {
    Variant.BALANCER: Balancer.from_config,
    Variant.HASH_ONLY: HashOnly.from_config,
    Variant.TABLE_ONLY: TableOnly.from_config,
}


@dataclass(frozen=True, slots=True)
class ChurnFigures:
    """Figures of one run."""

    requests: int
    #: Requests by outcome; None for requests that did not end.
    outcomes: Counter[Outcome | None]
    #: Corrections that ran more than once.
    run_twice: int
    #: Openings that leaving targets accepted later than `LEAVING_GRACE`.
    late_work: int
    #: Counters summed over all cores.
    counters: Counter[str]
    #: Changes made, by name of the method.
    changes: Counter[str] = field(default_factory=Counter)

    @property
    def broken(self) -> int:
        """Number of requests that broke or never ended."""
        return self.outcomes[Outcome.BROKEN] + self.outcomes[None]


@dataclass(slots=True)
class ChurnRun:
    """One run: a world with generators of requests and changes."""

    world: World
    rng: random.Random
    duration: float = DURATION
    requests: int = 0
    changes: Counter[str] = field(default_factory=Counter)

    @classmethod
    def from_seed(
        cls, variant: Variant, seed: int, duration: float = DURATION
    ) -> ChurnRun:
        """Return a run of a variant that has not started yet."""
        world = World.from_sizes(CORE_FACTORIES[variant], seed, HOSTS, TARGETS)
        return cls(world, random.Random(f"requests {seed}"), duration)

    def run(self) -> ChurnFigures:
        """Run to the end; return the figures."""
        network = self.world.network
        network.after(0.0, self.start_request)
        network.after(CHANGE_INTERVAL, self.make_change)
        network.run_until(self.duration + SETTLING_TIME)
        return self.collect()

    def start_request(self) -> None:
        """Start a request; schedule the next one after a random interval."""
        network = self.world.network
        flow = self.next_flow()
        network.start_request(flow, self.next_request())
        gap = self.rng.expovariate(REQUESTS_PER_SECOND)
        if network.now + gap < self.duration:
            network.after(gap, self.start_request)

    def next_flow(self) -> FlowKey:
        """Return a five-tuple that was not used before."""
        self.requests += 1
        caller = f"198.51.100.{self.requests // 50_000 + 1}"
        port = 1024 + self.requests % 50_000
        return flow_key(6, SERVICE_IP, SERVICE_PORT, caller, port)

    def next_request(self) -> Request:
        """Return a request of random kind and duration."""
        kind = self.rng.choice(list(RequestKind))
        shares = [share for share, _ in DURATION_MIX]
        [(_, mean)] = self.rng.choices(DURATION_MIX, shares)
        seconds = min(MAX_REQUEST_TIME, self.rng.expovariate(1.0 / mean))
        size = int(seconds * BODY_RATE)
        return Request(f"request-{self.requests}", kind, size, BODY_RATE)

    def make_change(self) -> None:
        """Make one random change within the size limits; schedule the next one."""
        world = self.world
        possible = []
        if len(world.live_hosts) > MIN_HOSTS:
            possible += [world.kill_host, world.leave_host]
        if len(world.live_hosts) < MAX_HOSTS:
            possible.append(world.join_host)
        if len(world.active_targets) > MIN_TARGETS:
            possible.append(world.leave_target)
        if len(world.active_targets) < MAX_TARGETS:
            possible.append(world.add_target)
        chosen = world.rng.choice(possible)
        self.changes[chosen.__name__] += 1
        chosen()
        if world.network.now + CHANGE_INTERVAL < self.duration:
            world.network.after(CHANGE_INTERVAL, self.make_change)

    def collect(self) -> ChurnFigures:
        """Return the figures of the finished run."""
        world = self.world
        sessions = world.network.callers.sessions.values()
        corrections = [
            session.request.request_id
            for session in sessions
            if session.request.kind is RequestKind.CORRECTION
        ]
        counters: Counter[str] = Counter()
        for core in world.cores:
            counters.update(core.tables.counters)
        return ChurnFigures(
            self.requests,
            Counter(session.outcome for session in sessions),
            sum(world.run_counts[request_id] > 1 for request_id in corrections),
            self.late_work(),
            counters,
            self.changes,
        )

    def late_work(self) -> int:
        """Return the number of openings that leaving targets accepted too late."""
        targets = self.world.network.targets
        return sum(
            accepted > left + LEAVING_GRACE
            for target_id, left in self.world.leave_requested_at.items()
            for accepted in targets[target_id].accepted_at
        )


def measure(job: tuple[Variant, int]) -> ChurnFigures:
    """Return the figures of one variant with one seed."""
    return ChurnRun.from_seed(*job).run()


def run() -> list[Result]:
    """Measure every variant with every seed."""
    jobs = [(variant, seed) for variant in Variant for seed in SEEDS]
    figures = dict(zip(jobs, run_jobs(measure, jobs), strict=True))
    return [
        *broken_rows(figures),
        *guarantee_rows(figures),
        *cost_rows(figures),
    ]


Figures = dict[tuple[Variant, int], ChurnFigures]


def broken_rows(figures: Figures) -> list[Result]:
    """Return the broken flows of the balancer and of the baselines, by seed."""
    rows = [
        Result.at_most(
            "churn.broken_flows",
            figures[Variant.BALANCER, seed].broken,
            "flows",
            0,
            baseline=figures[Variant.HASH_ONLY, seed].broken,
            seed=seed,
            command=COMMAND,
        )
        for seed in SEEDS
    ]
    for seed in SEEDS:
        broken = figures[Variant.TABLE_ONLY, seed].broken
        rows.append(
            Result(
                "churn.broken_flows_table_only",
                broken,
                "flows",
                seed=seed,
                command=COMMAND,
            )
        )
    return rows


def guarantee_rows(figures: Figures) -> list[Result]:
    """Return the counts of violated guarantees, summed over the seeds."""
    measures = {
        "churn.corrections_run_twice": lambda item: item.run_twice,
        "churn.wrong_answers": lambda item: item.outcomes[Outcome.WRONG],
        "churn.late_work_on_leaving_target": lambda item: item.late_work,
    }
    return [
        Result.at_most(
            name,
            sum(measure_of(figures[Variant.BALANCER, seed]) for seed in SEEDS),
            "count",
            0,
            baseline=sum(
                measure_of(figures[Variant.HASH_ONLY, seed]) for seed in SEEDS
            ),
            command=COMMAND,
        )
        for name, measure_of in measures.items()
    ]


def cost_rows(figures: Figures) -> list[Result]:
    """Return what it costs the balancer to keep flows, summed over the seeds."""
    runs = [figures[Variant.BALANCER, seed] for seed in SEEDS]
    requests = sum(item.requests for item in runs)
    totals: Counter[str] = Counter()
    for item in runs:
        totals.update(item.counters)
    refused = sum(item.outcomes[Outcome.REFUSED] for item in runs)
    walks = max(1, totals["walks"])
    return [
        Result("churn.requests", requests, "requests", command=COMMAND),
        Result("churn.refused", refused, "requests", command=COMMAND),
        Result("churn.walks", totals["walks"], "walks", command=COMMAND),
        Result(
            "churn.probes_per_walk",
            round(totals["probes"] / walks, 3),
            "probes",
            command=COMMAND,
        ),
        Result("churn.syn_retries", totals["retried"], "retries", command=COMMAND),
    ]
