"""The byte budget of control datagrams: what goes now, waits or is dropped.

All classes share one limit; each may borrow from the future up to its own bound.
What is more urgent may borrow more, so it still goes when the rest must wait.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING, Generic, TypeVar

from citronspring.control.messages import (
    Ack,
    Gossip,
    Loads,
    Ping,
    PingRequest,
    Records,
    RecordsRequest,
    SnapshotPart,
)

if TYPE_CHECKING:
    from citronspring.control.messages import ControlMessage

Item = TypeVar("Item")

#: Bytes a second of a host, headers included, bulk copies apart.
BYTES_PER_SECOND = 4096

#: Bytes a second that a host gives for bulk copies to others that start.
BULK_BYTES_PER_SECOND = 65_536

#: Bytes of the IP and UDP headers of a datagram.
IP_UDP_HEADERS = 28

#: Datagrams that may wait.
MAX_WAITING = 128

#: Seconds after which a datagram that waits is stale and dropped.
WAIT_TIME = 2.0


class Urgency(IntEnum):
    """Classes of messages, the most urgent first."""

    #: Pings, with leaving, suspicion and the revision on them: small, and a host
    #: that can't answer them is held dead.
    HEARTBEAT = 0
    #: Change records.
    REVISION = 1
    #: Member lists and requests for copies.
    REQUEST = 2
    LOAD = 3
    #: Metered apart.
    BULK = 4


#: Seconds of the budget that each class may be ahead.
BORROWED = {
    Urgency.HEARTBEAT: 2.0,
    Urgency.REVISION: 1.5,
    Urgency.REQUEST: 1.0,
    Urgency.LOAD: 0.5,
    Urgency.BULK: 0.5,
}


def urgency_of(message: ControlMessage) -> Urgency:
    """Return the class of a message."""
    match message:
        case Ping() | Ack() | PingRequest() | Gossip():
            return Urgency.HEARTBEAT
        case Records() | RecordsRequest():
            return Urgency.REVISION
        case SnapshotPart():
            return Urgency.BULK
        case Loads():
            return Urgency.LOAD
        case _:
            return Urgency.REQUEST


@dataclass(slots=True, order=True)
class Waiting(Generic[Item]):
    """A datagram that waits for the budget."""

    urgency: Urgency
    serial: int
    deadline: float = field(compare=False)
    size: int = field(compare=False)
    item: Item = field(compare=False)


@dataclass(slots=True)
class ControlBudget(Generic[Item]):
    """Decides when datagrams go out."""

    #: Times at which what went out so far is paid off.
    paid_at: float = 0.0
    bulk_paid_at: float = 0.0
    waiting: list[Waiting[Item]] = field(default_factory=list)
    serial: itertools.count[int] = field(default_factory=itertools.count)
    #: Datagrams that were given up.
    dropped: int = 0

    def offer(self, item: Item, urgency: Urgency, size: int, now: float) -> None:
        """Queue a datagram; above the bound the least urgent one is dropped."""
        entry = Waiting(urgency, next(self.serial), now + WAIT_TIME, size, item)
        heapq.heappush(self.waiting, entry)
        if len(self.waiting) > MAX_WAITING:
            self.waiting.remove(max(self.waiting))
            heapq.heapify(self.waiting)
            self.dropped += 1

    def release(self, now: float) -> list[Item]:
        """Return what may go now, the most urgent first."""
        released: list[Item] = []
        kept: list[Waiting[Item]] = []
        while self.waiting:
            entry = heapq.heappop(self.waiting)
            if entry.deadline <= now:
                self.dropped += 1
            elif self.pay(entry, now):
                released.append(entry.item)
            else:
                kept.append(entry)
        self.waiting = kept
        return released

    def pay(self, entry: Waiting[Item], now: float) -> bool:
        """Charge a datagram if its class may go; return whether it may."""
        bytes_sent = entry.size + IP_UDP_HEADERS
        if entry.urgency is Urgency.BULK:
            start = max(self.bulk_paid_at, now)
            if start - now > BORROWED[entry.urgency]:
                return False
            self.bulk_paid_at = start + bytes_sent / BULK_BYTES_PER_SECOND
            return True
        start = max(self.paid_at, now)
        if start - now > BORROWED[entry.urgency]:
            return False
        self.paid_at = start + bytes_sent / BYTES_PER_SECOND
        return True
