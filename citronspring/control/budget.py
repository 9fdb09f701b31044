"""The byte budget of control datagrams: what goes now, waits or is dropped.

All classes share one limit; each may borrow from the future up to its own bound.
What is more urgent may borrow more, so it still goes when the rest must wait.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING, Generic, TypeVar

from citronspring.control.messages import (
    Ack,
    Gossip,
    Loads,
    Members,
    Ping,
    PingRequest,
    SnapshotPart,
)

if TYPE_CHECKING:
    from citronspring.control.messages import ControlMessage

Item = TypeVar("Item")

#: Bytes a second of a host, headers included, bulk copies apart. With what may be
#: borrowed it stays below 4,096 over any twelve seconds.
BYTES_PER_SECOND = 3500

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
    #: Change records, and questions for what is missing.
    REVISION = 1
    #: News of hosts beside that on pings. When many hosts come and go at once
    #: it must not keep pings back, or it would make ever more news.
    NEWS = 2
    LOAD = 3
    #: Copies of the configuration and of the list of members; metered apart.
    BULK = 4


#: Seconds of the budget that each class may be ahead.
BORROWED = {
    Urgency.HEARTBEAT: 2.0,
    Urgency.REVISION: 1.5,
    Urgency.NEWS: 1.25,
    Urgency.LOAD: 0.5,
    Urgency.BULK: 0.5,
}


def urgency_of(message: ControlMessage) -> Urgency:
    """Return the class of a message."""
    match message:
        case Ping() | Ack() | PingRequest():
            return Urgency.HEARTBEAT
        case Gossip():
            return Urgency.NEWS
        case Loads():
            return Urgency.LOAD
        case SnapshotPart() | Members():
            return Urgency.BULK
        case _:
            return Urgency.REVISION


@dataclass(slots=True)
class Waiting(Generic[Item]):
    """A datagram that waits for the budget."""

    item: Item
    size: int
    #: Stale from this time on.
    deadline: float


@dataclass(slots=True)
class ControlBudget(Generic[Item]):
    """Decides when datagrams go out."""

    #: Times at which what went out so far is paid off.
    paid_at: float = 0.0
    bulk_paid_at: float = 0.0
    waiting: dict[Urgency, deque[Waiting[Item]]] = field(
        default_factory=lambda: {urgency: deque() for urgency in Urgency}
    )
    #: Datagrams that were given up.
    dropped: int = 0

    def count(self) -> int:
        """Return how many datagrams wait."""
        return sum(map(len, self.waiting.values()))

    def offer(self, item: Item, urgency: Urgency, size: int, now: float) -> None:
        """Queue a datagram; above the bound the least urgent one is dropped."""
        self.waiting[urgency].append(Waiting(item, size, now + WAIT_TIME))
        if self.count() > MAX_WAITING:
            last = max(urgency for urgency, queue in self.waiting.items() if queue)
            self.waiting[last].pop()
            self.dropped += 1

    def release(self, now: float) -> list[Item]:
        """Return what may go now, the most urgent first."""
        released: list[Item] = []
        for urgency, queue in self.waiting.items():
            while queue and queue[0].deadline <= now:
                queue.popleft()
                self.dropped += 1
            while queue and self.pay(urgency, queue[0].size, now):
                released.append(queue.popleft().item)
        return released

    def pay(self, urgency: Urgency, size: int, now: float) -> bool:
        """Charge a datagram if its class may go; return whether it may."""
        ahead = BORROWED[urgency]
        if urgency is Urgency.BULK:
            start = max(self.bulk_paid_at, now)
            if start - now > ahead:
                return False
            seconds = (size + IP_UDP_HEADERS) / BULK_BYTES_PER_SECOND
            self.bulk_paid_at = start + seconds
            return True
        start = max(self.paid_at, now)
        if start - now > ahead:
            return False
        self.paid_at = start + (size + IP_UDP_HEADERS) / BYTES_PER_SECOND
        return True
