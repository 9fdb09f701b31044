"""Independent runs in a few processes."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

#: Processes of one pool; at most two pools run at a time.
MAX_WORKERS = 3

#: A fork of a process with threads may inherit a lock that is never released.
CONTEXT = get_context("spawn")

Job = TypeVar("Job")
Answer = TypeVar("Answer")


def run_jobs(function: Callable[[Job], Answer], jobs: Iterable[Job]) -> list[Answer]:
    """Return the function's answer for each job, in order."""
    with ProcessPoolExecutor(MAX_WORKERS, CONTEXT) as pool:
        return list(pool.map(function, jobs))
