"""A host's own link: a rate, and a queue of limited delay."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from citronspring.emulator.clock import Clock

#: Bytes of a packet besides its payload: headers of the flow, UDP, IP and the frame.
HEADER_BYTES = 77

#: Maximum queueing delay in seconds; packets that would wait longer are dropped.
MAX_QUEUE_SECONDS = 0.6


@dataclass(slots=True)
class Link:
    """One direction of a link."""

    #: Capacity in bytes a second.
    rate: float = math.inf
    #: Time at which the queue will be empty.
    free_at: float = 0.0
    dropped: int = 0

    def transmit(self, clock: Clock, length: int, deliver: Callable[[], None]) -> None:
        """Deliver a packet once it is transmitted, or drop it."""
        delay = max(self.free_at - clock.now, 0.0)
        if delay > MAX_QUEUE_SECONDS:
            self.dropped += 1
            return
        self.free_at = clock.now + delay + (length + HEADER_BYTES) / self.rate
        if self.free_at > clock.now:
            clock.at(self.free_at, deliver)
        else:
            deliver()
