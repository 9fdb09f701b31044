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
MAX_QUEUED = 128

#: Seconds after which a datagram that waits is stale and dropped.
MAX_QUEUE_SECONDS = 2.0


class Priority(IntEnum):
    """Classes of messages, the most urgent first."""

    #: Pings, with leaving, suspicion and the revision on them: small, and a host
    #: that can't answer them is held dead.
    HEARTBEAT = 0
    #: Change records, and questions for what is missing.
    CONFIGURATION = 1
    #: News of hosts beside that on pings. When many hosts come and go at once
    #: it must not keep pings back, or it would make ever more news.
    MEMBERSHIP = 2
    LOAD = 3
    #: Copies of the configuration and of the list of members; metered apart.
    BULK = 4


#: Seconds of the budget that each class may be ahead.
BURST_SECONDS = {
    Priority.HEARTBEAT: 2.0,
    Priority.CONFIGURATION: 1.5,
    Priority.MEMBERSHIP: 1.25,
    Priority.LOAD: 0.5,
    Priority.BULK: 0.5,
}


def priority_of(message: ControlMessage) -> Priority:
    """Return the class of a message."""
    match message:
        case Ping() | Ack() | PingRequest():
            return Priority.HEARTBEAT
        case Gossip():
            return Priority.MEMBERSHIP
        case Loads():
            return Priority.LOAD
        case SnapshotPart() | Members():
            return Priority.BULK
        case _:
            return Priority.CONFIGURATION


@dataclass(slots=True)
class QueuedDatagram(Generic[Item]):
    """A datagram that waits for the budget."""

    item: Item
    size: int
    #: Stale from this time on.
    deadline: float


@dataclass(slots=True)
class ControlBudget(Generic[Item]):
    """Decides when datagrams go out."""

    #: Times at which what went out so far is paid off.
    budget_used_until: float = 0.0
    bulk_budget_used_until: float = 0.0
    queues: dict[Priority, deque[QueuedDatagram[Item]]] = field(
        default_factory=lambda: {priority: deque() for priority in Priority}
    )
    #: Datagrams that were given up.
    dropped: int = 0

    def count(self) -> int:
        """Return how many datagrams wait."""
        return sum(map(len, self.queues.values()))

    def enqueue(self, item: Item, priority: Priority, size: int, now: float) -> None:
        """Queue a datagram; above the bound the least urgent one is dropped."""
        self.queues[priority].append(
            QueuedDatagram(item, size, now + MAX_QUEUE_SECONDS)
        )
        if self.count() > MAX_QUEUED:
            last = max(priority for priority, queue in self.queues.items() if queue)
            self.queues[last].pop()
            self.dropped += 1

    def dequeue(self, now: float) -> list[Item]:
        """Return what may go now, the most urgent first."""
        released: list[Item] = []
        for priority, queue in self.queues.items():
            while queue and queue[0].deadline <= now:
                queue.popleft()
                self.dropped += 1
            while queue and self.try_charge(priority, queue[0].size, now):
                released.append(queue.popleft().item)
        return released

    def try_charge(self, priority: Priority, size: int, now: float) -> bool:
        """Charge a datagram if its class may go; return whether it may."""
        ahead = BURST_SECONDS[priority]
        if priority is Priority.BULK:
            start = max(self.bulk_budget_used_until, now)
            if start - now > ahead:
                return False
            seconds = (size + IP_UDP_HEADERS) / BULK_BYTES_PER_SECOND
            self.bulk_budget_used_until = start + seconds
            return True
        start = max(self.budget_used_until, now)
        if start - now > ahead:
            return False
        self.budget_used_until = start + (size + IP_UDP_HEADERS) / BYTES_PER_SECOND
        return True
