"""Links between zones: delay, loss, and cuts that let nothing through."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from citronspring.emulator.clock import Clock

#: Zone of callers: they reach every zone, and every zone reaches them.
CALLERS = "callers"

#: Seconds one way: within a zone, between zones, to callers.
IN_ZONE_DELAY = 0.0001
CROSS_ZONE_DELAY = 0.0014
CALLER_DELAY = 0.001

#: Share of a delay by which packets of one burst differ, so that they overtake
#: each other as on real links.
JITTER = 1.0

#: Share of datagrams lost on calm links.
BASELINE_LOSS = 0.0002


@dataclass(slots=True)
class Network:
    """Carries packets between zones."""

    clock: Clock
    #: Zones that are cut off from all other zones, and when that began or ended.
    partitioned: set[str] = field(default_factory=set)
    disturbed_at: dict[str, float] = field(default_factory=dict)
    loss: float = BASELINE_LOSS

    def send(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        """Deliver a packet after its delay, unless it is lost."""
        if self.is_partitioned(source, target) or self.clock.rng.random() < self.loss:
            return
        delay = self.delay(source, target)
        self.clock.after(delay * (1 + JITTER * self.clock.rng.random()), deliver)

    def carry(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        """Deliver a message over a connection, which makes up for lost packets."""
        if not self.is_partitioned(source, target):
            self.clock.after(self.delay(source, target), deliver)

    def delay(self, source: str, target: str) -> float:
        """Return the seconds that a packet takes at least."""
        if CALLERS in (source, target):
            return CALLER_DELAY
        return IN_ZONE_DELAY if source == target else CROSS_ZONE_DELAY

    def is_partitioned(self, source: str, target: str) -> bool:
        """Whether nothing gets from one zone to another."""
        if source == target or CALLERS in (source, target):
            return False
        return source in self.partitioned or target in self.partitioned

    def partition(self, zone: str) -> None:
        """Cut a zone off from the others."""
        self.partitioned.add(zone)
        self.disturbed_at[zone] = self.clock.now

    def heal(self, zone: str) -> None:
        """Connect a zone again."""
        self.partitioned.discard(zone)
        self.disturbed_at[zone] = self.clock.now
