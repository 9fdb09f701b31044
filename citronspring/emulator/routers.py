"""Emulated routers, which send each flow to one ready host of the caller's zone."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

from citronspring.emulator.network import CALLERS

if TYPE_CHECKING:
    from citronspring.emulator.callers import EmulatedCaller
    from citronspring.emulator.clock import Clock
    from citronspring.emulator.hosts import EmulatedHost
    from citronspring.emulator.network import Network
    from citronspring.tokens.entities import Packet

#: Seconds between two readiness probes, and the consecutive failures after which a host
#: is taken out of rotation.
PROBE_SECONDS = 0.5
UNHEALTHY_THRESHOLD = 2


@dataclass(slots=True)
class Routers:
    """All routers, which share one view of the ready hosts."""

    clock: Clock
    network: Network
    hosts: list[EmulatedHost] = field(default_factory=list)
    misses: dict[str, int] = field(default_factory=dict)

    def probe(self) -> None:
        """Probe the readiness of every host, and schedule the next probe."""
        for host in self.hosts:
            ready = host.passes_readiness_probe()
            missed = self.misses.get(host.host_id, 0) + 1
            self.misses[host.host_id] = 0 if ready else missed
        self.clock.after(PROBE_SECONDS, self.probe)

    def in_rotation(self, host: EmulatedHost) -> bool:
        """Return whether a host is in rotation."""
        return self.misses.get(host.host_id, 0) < UNHEALTHY_THRESHOLD

    def candidates(self, zone: str) -> list[EmulatedHost]:
        """Return the hosts that a zone's packets are spread over.

        If fewer than half of the zone's hosts are ready, all of them are used; if none
        is, the ready hosts of other zones are.
        """
        local = [host for host in self.hosts if host.zone == zone]
        ready = [host for host in local if self.in_rotation(host)]
        if ready:
            return local if 2 * len(ready) < len(local) else ready
        return [host for host in self.hosts if self.in_rotation(host)] or local

    def forward(self, zone: str, packet: Packet, caller: EmulatedCaller) -> None:
        """Send a packet to the host that its flow hashes to (rendezvous hashing)."""
        hosts = self.candidates(zone)
        if not hosts:
            return
        host = max(hosts, key=lambda one: xxh64_intdigest(packet.flow, one.seed))
        self.network.send(
            CALLERS, host.zone, lambda: host.receive_packet(packet, caller)
        )
