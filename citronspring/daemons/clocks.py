"""The clock by which a host judges how old its knowledge is."""

from __future__ import annotations

import time


def boot_clock() -> float:
    """Return seconds since the machine started, time spent suspended included.

    A clock that stands still with the machine would hide that what the host knows
    has become old.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
