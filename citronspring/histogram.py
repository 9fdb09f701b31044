"""Latency histogram with doubling buckets, cheap enough for every packet."""

from __future__ import annotations

from citronspring.light_stdlib import bisect_left

#: Upper bounds of the buckets in seconds: 50 microseconds to 26 seconds.
BUCKETS = tuple(0.00005 * 2**step for step in range(20))


class Histogram:
    """Counts of durations by bucket, with their sum."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS) + 1)
        #: Sum of all durations in seconds.
        self.total = 0.0

    def record(self, seconds: float, times: int = 1) -> None:
        """Record a duration, or several of the same length."""
        self.counts[bisect_left(BUCKETS, seconds)] += times
        self.total += seconds * times

    def lines(self, name: str) -> list[str]:
        """Return the histogram in the Prometheus text format."""
        lines = [f"# TYPE {name} histogram"]
        cumulative = 0
        for bound, count in zip(BUCKETS, self.counts, strict=False):
            cumulative += count
            lines.append(f'{name}_bucket{{le="{bound:g}"}} {cumulative}')
        cumulative += self.counts[-1]
        lines.append(f'{name}_bucket{{le="+Inf"}} {cumulative}')
        lines.append(f"{name}_sum {self.total:g}")
        lines.append(f"{name}_count {cumulative}")
        return lines
