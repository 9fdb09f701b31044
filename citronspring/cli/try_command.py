"""The command ``try``: the demonstration on loopback."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from citronspring.demonstration import Report, demonstrate
from citronspring.logs import configure_logs
from citronspring.settings import LogsSection

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Seed of the traffic, which is the same in each run; sockets and clock are real.
SEED = 1


def try_system(arguments: Sequence[str]) -> int:
    """Run a small system on loopback under failures and check its guarantees."""
    # The HTTP libraries log each call, and each watch that is cancelled at the end.
    logging.getLogger().setLevel(logging.CRITICAL)
    configure_logs(LogsSection(level="error"))
    report = anyio.run(demonstrate, SEED, print)
    print_report(report)
    return 0 if report.passed else 1


def print_report(report: Report) -> None:
    """Print a report as a table, and whether all guarantees held."""
    rows = report.rows()
    width = max(len(name) for name, _ in rows)
    print()
    for name, value in rows:
        print(f"{name:{width}}  {value:>8}")
    print()
    print("no guarantee was violated" if report.passed else "a guarantee was violated")
