"""The command ``experiment``: checks many seeded runs under faults."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.cli.commands import Command, NumberFlag
from citronspring.cli.exit_codes import UsageError
from citronspring.experiments.report import KEPT_SEEDS, run_seeds

if TYPE_CHECKING:
    from citronspring.cli.commands import Invocation
    from citronspring.experiments.report import Campaign, SeedResult

#: Maximum number of violations that are printed for a seed.
MAX_PRINTED_VIOLATIONS = 5


def experiment(invocation: Invocation) -> int:
    """Run seeds and print the results; return 1 if a guarantee was violated."""
    first, count = invocation.flags["first"], invocation.flags["seeds"]
    if count < 1:
        raise UsageError("no seeds to run", "give --seeds=1 or more")
    seeds = sorted({*KEPT_SEEDS, *range(first, first + count)})
    campaign = run_seeds(seeds, print_violations)
    print_campaign(campaign)
    return 1 if campaign.failed else 0


def print_violations(result: SeedResult) -> None:
    """Print the faults and violations of a seed, nothing without violations."""
    if not result.violations:
        return
    faults = ", ".join(fault.kind.value for fault in result.scenario.faults)
    print(f"seed {result.seed} ({result.scenario.hosts} hosts; {faults})")
    for violation in result.violations[:MAX_PRINTED_VIOLATIONS]:
        print(f"  {violation}")


def print_campaign(campaign: Campaign) -> None:
    """Print the totals of all seeds."""
    for name, count in sorted(campaign.totals().items()):
        print(f"{name:24}  {count:>8}")
    print(f"{'pairs of faults met':24}  {len(campaign.pairs()):>8}")
    print(f"{'seeds run':24}  {len(campaign.results):>8}")
    print(f"{'seeds that broke a promise':24}  {len(campaign.failed):>6}")


COMMANDS = (
    Command(
        ("experiment",),
        (),
        experiment,
        "Run many balancer cores under faults in virtual time and check their "
        "guarantees.",
        (
            NumberFlag("first", "First seed.", 0),
            NumberFlag("seeds", "Number of seeds.", 100),
        ),
    ),
)
