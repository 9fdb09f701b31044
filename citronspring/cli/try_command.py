"""The command ``try``."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from citronspring.demonstration import Report, demonstrate
from citronspring.logs import configure_logs
from citronspring.settings import LogsSection

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Seed of the run; the same traffic each time, on real sockets and a real clock.
SEED = 1


def try_system(arguments: Sequence[str]) -> int:
    """Run a small system on loopback under failures, and judge it."""
    # The HTTP libraries log each call, and each watch that the end cuts short.
    logging.getLogger().setLevel(logging.CRITICAL)
    configure_logs(LogsSection(level="error"))
    report = anyio.run(demonstrate, SEED, print)
    print_report(report)
    return 0 if report.passed else 1


def print_report(report: Report) -> None:
    """Print a report as a table and the verdict."""
    rows = report.rows()
    width = max(len(name) for name, _ in rows)
    print()
    for name, value in rows:
        print(f"{name:{width}}  {value:>8}")
    print()
    print("every promise held" if report.passed else "a promise was broken")
