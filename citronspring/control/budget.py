"""Rate limit for control datagrams, with priorities.

All priorities share one byte rate, but each has its own burst allowance. A higher
priority has a larger allowance, so that its datagrams are still sent when those of
lower priorities have to wait.
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

#: Bytes per second that a host sends, including headers but not counting transfers of
#: snapshots and member lists. With the largest burst allowance the average stays below
#: 4,096 over any twelve seconds.
BYTES_PER_SECOND = 3500

#: Bytes per second that a host sends for snapshots and member lists to other hosts.
BULK_BYTES_PER_SECOND = 65_536

#: Size of the IP and UDP headers of a datagram in bytes.
IP_UDP_HEADERS = 28

#: Maximum number of queued datagrams.
MAX_QUEUED = 128

#: Seconds after which a queued datagram is stale and is dropped.
MAX_QUEUE_SECONDS = 2.0


class Priority(IntEnum):
    """Priorities of messages, the highest first."""

    #: Pings and their answers, which also carry the revision and updates such as that a
    #: host leaves or is suspected. They are small, and a host that cannot answer is
    #: declared dead.
    HEARTBEAT = 0
    #: Change records, and requests for missing data.
    CONFIGURATION = 1
    #: Host updates other than those on pings. When many hosts join and leave at once
    #: these must not delay pings, or late answers would cause ever more updates.
    MEMBERSHIP = 2
    LOAD = 3
    #: Parts of snapshots and of the list of members; limited separately.
    BULK = 4


#: Burst allowance of each priority: how far, in seconds at the full rate, the bytes
#: already sent may run ahead of the rate limit.
BURST_SECONDS = {
    Priority.HEARTBEAT: 2.0,
    Priority.CONFIGURATION: 1.5,
    Priority.MEMBERSHIP: 1.25,
    Priority.LOAD: 0.5,
    Priority.BULK: 0.5,
}


def priority_of(message: ControlMessage) -> Priority:
    """Return the priority of a message."""
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
    """A datagram that waits for the rate limit."""

    item: Item
    size: int
    #: Time from which it is stale.
    deadline: float


@dataclass(slots=True)
class ControlBudget(Generic[Item]):
    """Queues control datagrams and decides when they are sent."""

    #: Times until which the rate limits are used up by the datagrams sent so far.
    budget_used_until: float = 0.0
    bulk_budget_used_until: float = 0.0
    queues: dict[Priority, deque[QueuedDatagram[Item]]] = field(
        default_factory=lambda: {priority: deque() for priority in Priority}
    )
    #: Number of dropped datagrams.
    dropped: int = 0

    def count(self) -> int:
        """Return the number of queued datagrams."""
        return sum(map(len, self.queues.values()))

    def enqueue(self, item: Item, priority: Priority, size: int, now: float) -> None:
        """Queue a datagram; if the queue is full, drop one of the lowest priority."""
        self.queues[priority].append(
            QueuedDatagram(item, size, now + MAX_QUEUE_SECONDS)
        )
        if self.count() > MAX_QUEUED:
            lowest = max(priority for priority, queue in self.queues.items() if queue)
            self.queues[lowest].pop()
            self.dropped += 1

    def dequeue(self, now: float) -> list[Item]:
        """Return the datagrams that may be sent now, the highest priority first."""
        ready: list[Item] = []
        for priority, queue in self.queues.items():
            while queue and queue[0].deadline <= now:
                queue.popleft()
                self.dropped += 1
            while queue and self.try_charge(priority, queue[0].size, now):
                ready.append(queue.popleft().item)
        return ready

    def try_charge(self, priority: Priority, size: int, now: float) -> bool:
        """Charge a datagram to the rate limit; return False if it has to wait."""
        burst = BURST_SECONDS[priority]
        if priority is Priority.BULK:
            start = max(self.bulk_budget_used_until, now)
            if start - now > burst:
                return False
            seconds = (size + IP_UDP_HEADERS) / BULK_BYTES_PER_SECOND
            self.bulk_budget_used_until = start + seconds
            return True
        start = max(self.budget_used_until, now)
        if start - now > burst:
            return False
        self.budget_used_until = start + (size + IP_UDP_HEADERS) / BYTES_PER_SECOND
        return True
