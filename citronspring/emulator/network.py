"""Links between zones: delay, loss, and network partitions."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from citronspring.emulator.clock import Clock

#: Pseudo-zone of callers, which is never partitioned from a zone.
CALLERS = "callers"

#: One-way delays in seconds: within a zone, between zones, to or from callers.
IN_ZONE_DELAY = 0.0001
CROSS_ZONE_DELAY = 0.0014
CALLER_DELAY = 0.001

#: Maximum extra delay of a packet as a share of its delay, so that packets of a burst
#: are reordered as on real links.
JITTER = 1.0

#: Share of datagrams that undisturbed links lose.
BASELINE_LOSS = 0.0002


@dataclass(slots=True)
class Network:
    """Delivers packets between zones."""

    clock: Clock
    #: Zones that are partitioned from all others, and when each zone's links were last
    #: disturbed.
    partitioned: set[str] = field(default_factory=set)
    disturbed_at: dict[str, float] = field(default_factory=dict)
    loss: float = BASELINE_LOSS

    def send(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        """Deliver a packet after its delay, unless it is lost."""
        if self.is_partitioned(source, target) or self.clock.rng.random() < self.loss:
            return
        delay = self.delay(source, target)
        self.clock.after(delay * (1 + JITTER * self.clock.rng.random()), deliver)

    def send_reliably(
        self, source: str, target: str, deliver: Callable[[], None]
    ) -> None:
        """Deliver a message over a connection, which retransmits lost packets."""
        if not self.is_partitioned(source, target):
            self.clock.after(self.delay(source, target), deliver)

    def delay(self, source: str, target: str) -> float:
        """Return the minimum one-way delay of a packet in seconds."""
        if CALLERS in (source, target):
            return CALLER_DELAY
        return IN_ZONE_DELAY if source == target else CROSS_ZONE_DELAY

    def is_partitioned(self, source: str, target: str) -> bool:
        """Return whether a partition separates two zones."""
        if source == target or CALLERS in (source, target):
            return False
        return source in self.partitioned or target in self.partitioned

    def partition(self, zone: str) -> None:
        """Partition a zone from the others."""
        self.partitioned.add(zone)
        self.disturbed_at[zone] = self.clock.now

    def heal(self, zone: str) -> None:
        """End the partition of a zone."""
        self.partitioned.discard(zone)
        self.disturbed_at[zone] = self.clock.now
