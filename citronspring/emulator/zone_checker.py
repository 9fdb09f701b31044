"""Judges what drained zones get, and targets that have just started."""

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

#: Openings that a cold target bears in any span of a second, from all hosts together.
MAX_WARMUP_OPENINGS = 5
OPENINGS_WINDOW = 1.0


@dataclass(slots=True)
class ZoneChecker:
    """What operators want of zones, and what was sent there all the same."""

    checker: Checker
    #: Since when each drained zone is to get nothing.
    drained_at: dict[str, float] = field(default_factory=dict)
    #: Host, its start, and a zone that it has taken to be drained.
    reported_drains: set[tuple[str, int, str]] = field(default_factory=set)
    #: Times of the newest openings at each cold target.
    arrivals: dict[int, deque[float]] = field(default_factory=dict)
    #: Most openings within a second at a cold target.
    max_warmup_openings: int = 0

    def logged(self, host: EmulatedHost, log: Log) -> None:
        """Take what a host says of drained zones."""
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
        """Take that a host sends a packet to a target."""
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
        """Take that an opening has reached a target."""
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
        """Whether the store may have lost what targets have just written.

        Who has heard nothing of a start, or only that of a target which is warm, cannot
        know that it is cold.
        """
        store = self.checker.store
        return store.epoch > 0 and not self.checker.settled(store.disturbed_at)

    def warm_target_available(self, target: EmulatedTarget) -> bool:
        """Whether every host could have given the flow to a warm target."""
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
