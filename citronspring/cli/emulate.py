"""The command ``emulate``: checks and plots the token mode under random faults."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from citronspring.cli.commands import Command, NumberFlag, TextFlag
from citronspring.cli.exit_codes import UsageError
from citronspring.emulator.report import render_report
from citronspring.emulator.run import run_seed
from citronspring.emulator.world import Sizes

if TYPE_CHECKING:
    from citronspring.cli.commands import Invocation
    from citronspring.emulator.run import Outcome


def emulate(invocation: Invocation) -> int:
    """Run seeds and print a line for each; return 1 if a guarantee was violated."""
    values = invocation.flags
    if values["seeds"] < 1 or values["hosts"] < 1:
        raise UsageError(
            "no seeds or no hosts to run", "give --seeds and --hosts of 1 or more"
        )
    sizes = Sizes(hosts_per_zone=values["hosts"])
    outcomes = []
    for seed in range(values["first"], values["first"] + values["seeds"]):
        outcomes.append(run_seed(seed, sizes))
        print(outcome_line(outcomes[-1]))
    if values["report"]:
        Path(values["report"]).write_text(render_report(outcomes), encoding="utf-8")
        print(f"report: {values['report']}")
    broken = sum(bool(outcome.violations) for outcome in outcomes)
    print(f"{len(outcomes)} seeds, {broken} with a broken promise")
    return 1 if broken else 0


def outcome_line(outcome: Outcome) -> str:
    """Return a line about a run, and one for each violated guarantee."""
    line = (
        f"seed {outcome.seed}: {outcome.served} of {outcome.requests} served, "
        f"{outcome.in_time} in time, {outcome.store_calls} calls to the store; "
        f"{outcome.faults_text or 'no fault'}"
    )
    return "\n".join((line, *(f"  broken: {text}" for text in outcome.violations)))


COMMANDS = (
    Command(
        ("emulate",),
        (),
        emulate,
        "Run the token mode under random faults in virtual time and check its "
        "guarantees.",
        (
            NumberFlag("first", "First seed.", 0),
            NumberFlag("seeds", "Number of seeds.", 10),
            NumberFlag("hosts", "Hosts in each of three zones.", 2),
            TextFlag("report", "HTML file to write a report with plots to."),
        ),
    ),
)
