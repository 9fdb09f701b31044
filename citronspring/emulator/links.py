"""A host's own link: a rate, and a queue that drops what would wait for too long."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from citronspring.emulator.clock import Clock

#: Bytes that a packet takes beside its payload: headers of the flow, UDP, IP and the
#: frame.
HEADER_BYTES = 77

#: Seconds that a packet waits at most; one that would wait longer is dropped.
MAX_QUEUE_SECONDS = 0.6


@dataclass(slots=True)
class Link:
    """One direction of a link."""

    #: Bytes a second.
    rate: float = math.inf
    #: When what waits will have been sent.
    free_at: float = 0.0
    dropped: int = 0

    def carry(self, clock: Clock, length: int, deliver: Callable[[], None]) -> None:
        """Deliver a packet once it is through, unless it is dropped."""
        waits = max(self.free_at - clock.now, 0.0)
        if waits > MAX_QUEUE_SECONDS:
            self.dropped += 1
            return
        self.free_at = clock.now + waits + (length + HEADER_BYTES) / self.rate
        if self.free_at > clock.now:
            clock.at(self.free_at, deliver)
        else:
            deliver()
