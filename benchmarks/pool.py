"""Independent runs in a few processes."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

MOST_WORKERS = 6

Job = TypeVar("Job")
Answer = TypeVar("Answer")


def run_jobs(function: Callable[[Job], Answer], jobs: Iterable[Job]) -> list[Answer]:
    """Return the function's answer for each job, in order."""
    with ProcessPoolExecutor(MOST_WORKERS) as pool:
        return list(pool.map(function, jobs))
