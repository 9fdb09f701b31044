"""Runs seeds of the emulator and summarizes the results."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from citronspring.emulator.checker import Resets
from citronspring.emulator.faults import KINDS, Fault, FaultAction, schedule_faults
from citronspring.emulator.world import TRAFFIC_START, Sizes, World

if TYPE_CHECKING:
    from citronspring.emulator.callers import Request
    from citronspring.emulator.loads import Load

#: Seconds at the end of traffic in which recovery is checked: the last fault began at
#: least six seconds before the end.
RECOVERY_WINDOW = 2.0

#: Minimum share of requests that must be served in that window.
MIN_SERVED_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class Outcome:
    """Results of a run."""

    seed: int
    faults: list[Fault]
    requests: int
    served: int
    in_time: int
    #: Maximum over mean requests of the larger service's targets that ran throughout.
    imbalance: float
    store_calls: int
    violations: list[str]
    #: For each second of traffic, the requests started and those of them in time.
    seconds: list[tuple[int, int]] = field(default_factory=list)
    #: Resets that hosts sent on open flows, by whether the flow was open at its target.
    resets: Resets = field(default_factory=Resets)
    #: Maximum openings within a second at a target in warm-up while warmed-up targets
    #: were available.
    max_warmup_openings: int = 0

    @property
    def faults_text(self) -> str:
        """Return the faults with their times."""
        return ", ".join(f"{fault.kind}@{fault.at:.1f}" for fault in self.faults)


def run_seed(
    seed: int,
    sizes: Sizes | None = None,
    *,
    calm: bool = False,
    kinds: dict[str, FaultAction] = KINDS,
    load: Load | None = None,
) -> Outcome:
    """Run one seed.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    sizes : Sizes, optional
        How large the run is.
    calm : bool
        Whether to inject no faults.
    kinds : dict
        Kinds of faults to choose from, see `citronspring.emulator.faults`.
    load : callable, optional
        Schedules a load, see `citronspring.emulator.loads`.
    """
    world = World.from_seed(seed, sizes or Sizes())
    if load is not None:
        load(world)
    faults = [] if calm else schedule_faults(world, kinds)
    world.run()
    requests = world.checker.requests
    served = [one for one in requests if one.answered_at is not None]
    violations = list(world.checker.violations)
    violations += check_recovery(world, requests)
    return Outcome(
        seed,
        faults,
        len(requests),
        len(served),
        sum(world.in_time(one) for one in served),
        measure_imbalance(world),
        world.store.calls,
        violations,
        by_second(world, requests),
        world.checker.resets,
        world.checker.zone_checker.max_warmup_openings,
    )


def check_recovery(world: World, requests: list[Request]) -> list[str]:
    """Return a violation if too few of the last requests were served."""
    end = TRAFFIC_START + world.sizes.seconds
    last = [one for one in requests if end - RECOVERY_WINDOW <= one.started_at < end]
    served = sum(one.answered_at is not None for one in last)
    if served >= MIN_SERVED_SHARE * len(last):
        return []
    return [f"recovery: {served} of the last {len(last)} requests were served"]


def by_second(world: World, requests: list[Request]) -> list[tuple[int, int]]:
    """Return the requests started, and in time, for each second of traffic."""
    seconds = [[0, 0] for _ in range(int(world.sizes.seconds) + 4)]
    for request in requests:
        row = seconds[int(request.started_at - TRAFFIC_START)]
        row[0] += 1
        row[1] += world.in_time(request)
    return [(started, in_time) for started, in_time in seconds]


def measure_imbalance(world: World) -> float:
    """Return the maximum over mean load of the larger service's initial targets."""
    counts = [
        target.served
        for target in world.targets.values()
        if target.service == "desk" and target.alive and target.incarnation <= 0xF00F
    ]
    mean = sum(counts) / len(counts) if counts else 0.0
    return max(counts) / mean if mean else 1.0
