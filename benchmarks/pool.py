"""Process pool for independent benchmark runs."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

#: Worker processes of one pool. At most two pools run at a time.
MAX_WORKERS = 3

#: Start method ``spawn``: a fork of a process with threads may inherit a held lock
#: that is never released.
CONTEXT = get_context("spawn")

Job = TypeVar("Job")
Answer = TypeVar("Answer")


def run_jobs(function: Callable[[Job], Answer], jobs: Iterable[Job]) -> list[Answer]:
    """Return the result of the function for each job, in the order of the jobs."""
    with ProcessPoolExecutor(MAX_WORKERS, CONTEXT) as pool:
        return list(pool.map(function, jobs))
