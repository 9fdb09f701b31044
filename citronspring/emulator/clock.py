"""Virtual time: runs events in order of time, deterministically for a seed."""

from __future__ import annotations

from heapq import heappop, heappush
from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Clock:
    """Runs scheduled functions at virtual times.

    Parameters
    ----------
    seed : int
        Seed of the random generator that the whole run shares.
    """

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.rng = Random(seed)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0

    def at(self, time: float, run: Callable[[], None]) -> None:
        """Schedule a function for a time, or for now if that has passed."""
        self.count += 1
        heappush(self.events, (max(time, self.now), self.count, run))

    def after(self, seconds: float, run: Callable[[], None]) -> None:
        """Schedule a function to run after some seconds."""
        self.at(self.now + seconds, run)

    def run_until(self, end: float) -> None:
        """Run all events up to a time."""
        while self.events and self.events[0][0] <= end:
            self.now, _, run = heappop(self.events)
            run()
        self.now = end
