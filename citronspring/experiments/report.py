"""Runs many seeds and reports what they showed."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from citronspring.experiments.checker import Violation, check
from citronspring.experiments.run import Run
from citronspring.experiments.scenario import PAIRED_KINDS, FaultKind, Scenario

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

#: Seeds that once broke a promise; every campaign runs them. Their causes: openings
#: placed twice (6, 10, 67), a target reset at a retry (135) or before a refusal (2471,
#: 2552, 3138), an owner that woke with an overdue opening (471, 592), packets that
#: waited through a freeze (82, 96, 194).
KEPT_SEEDS = (6, 10, 67, 82, 96, 135, 194, 471, 592, 2471, 2552, 3138)


@dataclass(slots=True)
class SeedResult:
    """What one seed showed."""

    seed: int
    scenario: Scenario
    counts: Counter[str]
    violations: list[Violation]


@dataclass(slots=True)
class Campaign:
    """What many seeds showed."""

    results: list[SeedResult] = field(default_factory=list)

    @property
    def failed(self) -> list[SeedResult]:
        """Seeds that broke a promise."""
        return [result for result in self.results if result.violations]

    def totals(self) -> Counter[str]:
        """Return the counts of all histories together."""
        totals: Counter[str] = Counter()
        for result in self.results:
            totals += result.counts
        return totals

    def pairs(self) -> set[frozenset[FaultKind]]:
        """Return the pairs of faults that met in one run."""
        met: set[frozenset[FaultKind]] = set()
        for result in self.results:
            kinds = [fault.kind for fault in result.scenario.faults]
            met |= {
                frozenset((first, second))
                for index, first in enumerate(kinds)
                for second in kinds[index + 1 :]
                if first in PAIRED_KINDS and second in PAIRED_KINDS
            }
        return met


def run_seed(seed: int) -> SeedResult:
    """Run one seed and judge it."""
    return run_scenario(Scenario.from_seed(seed))


def run_scenario(scenario: Scenario) -> SeedResult:
    """Run one scenario and judge it."""
    history = Run.from_scenario(scenario).run()
    return SeedResult(scenario.seed, scenario, history.counts(), check(history))


def run_seeds(
    seeds: Iterable[int], tell: Callable[[SeedResult], None] = lambda result: None
) -> Campaign:
    """Run seeds one after the other; tell of each."""
    campaign = Campaign()
    for seed in seeds:
        result = run_seed(seed)
        campaign.results.append(result)
        tell(result)
    return campaign
