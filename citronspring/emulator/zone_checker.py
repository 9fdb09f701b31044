"""Checks openings sent to drained zones and to targets in warm-up."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from citronspring.events import ZONE_DRAIN_CHANGED
from citronspring.tcp_flags import SYN

if TYPE_CHECKING:
    from citronspring.emulator.checker import Checker
    from citronspring.emulator.hosts import EmulatedHost
    from citronspring.emulator.targets import EmulatedTarget
    from citronspring.tokens.entities import Packet
    from citronspring.tokens.messages import Log

#: Maximum openings from all hosts together that a target in warm-up may get in any
#: window, and the length of the window in seconds.
MAX_WARMUP_OPENINGS = 5
OPENINGS_WINDOW = 1.0


@dataclass(slots=True)
class ZoneChecker:
    """State of the checks of drained zones and of targets in warm-up."""

    checker: Checker
    #: Time at which each drained zone's drain began.
    drained_at: dict[str, float] = field(default_factory=dict)
    #: Drains that hosts have logged, as host id, start number of its process, and zone.
    reported_drains: set[tuple[str, int, str]] = field(default_factory=set)
    #: Times of recent openings at each target in warm-up, by incarnation.
    arrivals: dict[int, deque[float]] = field(default_factory=dict)
    #: Maximum openings within one window at a target in warm-up.
    max_warmup_openings: int = 0

    def logged(self, host: EmulatedHost, log: Log) -> None:
        """Record the drains that a host logs."""
        if log.number != ZONE_DRAIN_CHANGED.number:
            return
        key = (host.host_id, host.boot, str(log.fields["zone"]))
        if log.fields["drained"]:
            self.reported_drains.add(key)
        else:
            self.reported_drains.discard(key)

    def forwarded(
        self, host: EmulatedHost, target: EmulatedTarget, packet: Packet
    ) -> None:
        """Check that an opening is not forwarded to a drained zone."""
        if not packet.flags & SYN:
            return
        checker = self.checker
        detail = f"{host.host_id} sent an opening to {target.target_id}"
        if (host.host_id, host.boot, target.zone) in self.reported_drains:
            checker.report_violation("drains are not taken back", detail)
        drained_at = self.drained_at.get(target.zone)
        if drained_at is None:
            return
        late = checker.clock.now - drained_at > checker.change_bound
        if late and checker.host_undisturbed(host):
            checker.report_violation("drained zones rest", detail)

    def opening_received(self, target: EmulatedTarget) -> None:
        """Check the rate of openings at a target in warm-up."""
        now = self.checker.clock.now
        if now >= target.warmup_until or self.may_have_lost_writes():
            return
        times = self.arrivals.setdefault(target.incarnation, deque())
        times.append(now)
        while times[0] <= now - OPENINGS_WINDOW:
            times.popleft()
        if not self.warm_target_available(target):
            return
        self.max_warmup_openings = max(self.max_warmup_openings, len(times))
        if len(times) > MAX_WARMUP_OPENINGS:
            detail = f"{target.target_id} got {len(times)} openings in a second"
            self.checker.report_violation("cold targets rest", detail)

    def may_have_lost_writes(self) -> bool:
        """Return whether a restored store may have lost recent entries of targets.

        A host that has no entry of a target's start, or only one without a warm-up,
        cannot know that the target is in warm-up.
        """
        store = self.checker.store
        return store.epoch > 0 and not self.checker.settled(store.disturbed_at)

    def warm_target_available(self, target: EmulatedTarget) -> bool:
        """Return whether every host could place the flow on a warmed-up target."""
        checker = self.checker
        if not all(checker.links_undisturbed(zone) for zone in checker.zones):
            return False
        return any(
            other.service == target.service
            and other.alive
            and other.leaving_at is None
            and other.warmup_until <= checker.clock.now
            and checker.settled(other.disturbed_at)
            and other.zone not in self.drained_at
            for other in checker.targets.values()
        )
