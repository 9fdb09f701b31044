"""The clock by which a host measures the age of its state."""

from __future__ import annotations

import time


def boot_clock() -> float:
    """Return seconds since the machine booted, including time spent suspended.

    A clock that stops while the machine is suspended would hide that the host's state
    has become outdated.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
