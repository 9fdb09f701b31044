"""Relays per packet between hosts, with and without hints, for long flows."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

from benchmarks.direct import (
    configure,
    from_caller,
    from_target,
    numbered_flow,
)
from benchmarks.result import Result
from benchmarks.world import make_host
from citronspring.balancer import Balancer
from citronspring.messages import (
    Packet,
    PacketReceived,
    Relay,
    RelayKind,
    RelayReceived,
    SendToTarget,
)
from citronspring.tcp_flags import ACK, SYN

if TYPE_CHECKING:
    from citronspring.entities import FlowKey
    from citronspring.messages import Action

COMMAND = "python -m benchmarks --only relays"

SEED = 1
HOSTS = 6
TARGETS = 7
FLOWS = 100
#: Packets of each flow, half of them from the target, and their rate per second.
PACKETS = 1200
PACKET_RATE = 20.0

#: Kinds of relay that carry no packet.
PACKETLESS_KINDS = (RelayKind.BIND, RelayKind.HINT, RelayKind.UNKNOWN)


@dataclass(slots=True)
class Fleet:
    """Cores that deliver relays to each other without delay."""

    rng: random.Random
    #: Whether all packets of a flow reach the same host; if not, each a random one.
    stable: bool
    #: Whether hints are delivered.
    hints: bool
    cores: dict[str, Balancer] = field(default_factory=dict)
    #: Packets received from the fabric, and relays that carried a packet.
    received: int = 0
    relayed: int = 0
    #: Target of the last packet of each flow.
    last_targets: dict[FlowKey, str] = field(default_factory=dict)

    @classmethod
    def from_spray(cls, stable: bool, hints: bool) -> Fleet:
        """Return a fleet whose hosts know each other, for one kind of spray."""
        fleet = cls(random.Random(SEED), stable, hints)
        hosts = [make_host(index) for index in range(HOSTS)]
        for host in hosts:
            peers = [peer for peer in hosts if peer is not host]
            core = Balancer.from_config(host, peers)
            configure(core, TARGETS)
            fleet.cores[host.host_id] = core
        return fleet

    def run(self) -> float:
        """Send the packets of all flows; return the mean relays per packet."""
        flows = [numbered_flow(number) for number in range(FLOWS)]
        for flow in flows:
            self.open_flow(flow)
        for number in range(PACKETS):
            for index, flow in enumerate(flows):
                now = 1.0 + (number + index / FLOWS) / PACKET_RATE
                self.send(self.next_packet(flow, number), now)
        return self.relayed / self.received

    def open_flow(self, flow: FlowKey) -> None:
        """Complete the handshake of a flow."""
        self.send(from_caller(flow, SYN), 0.0)
        self.send(from_target(flow, self.last_targets[flow], SYN | ACK), 0.0)
        self.send(from_caller(flow, ACK), 0.0)

    def next_packet(self, flow: FlowKey, number: int) -> PacketReceived:
        """Return a data packet, alternately from the caller and the target."""
        if number % 2:
            return from_target(flow, self.last_targets[flow], ACK, length=100)
        return from_caller(flow, ACK, length=100)

    def send(self, event: PacketReceived, now: float) -> None:
        """Deliver a packet to the host that the fabric chooses."""
        names = list(self.cores)
        index = self.rng.randrange(HOSTS)
        if self.stable:
            index = xxh64_intdigest(event.packet.flow) % HOSTS
        self.received += 1
        host_id = names[index]
        self.perform(host_id, self.cores[host_id].receive(event, now), now)

    def perform(self, host_id: str, actions: list[Action], now: float) -> None:
        """Deliver relays; record the target of each packet."""
        for action in actions:
            if isinstance(action, SendToTarget):
                self.last_targets[action.packet.flow] = action.target_id
            elif isinstance(action, Relay):
                self.deliver(host_id, action, now)

    def deliver(self, host_id: str, relay: Relay, now: float) -> None:
        """Deliver a relay to its host and perform the resulting actions."""
        if relay.kind not in PACKETLESS_KINDS:
            self.relayed += 1
        if relay.kind is RelayKind.HINT and not self.hints:
            return
        packet: Packet | None = relay.packet
        event = RelayReceived(
            relay.kind, host_id, relay.flow, packet, relay.source, relay.target_id
        )
        actions = self.cores[relay.host_id].receive(event, now)
        self.perform(relay.host_id, actions, now)


def run() -> list[Result]:
    """Measure both kinds of spray; the baseline is the same run without hints."""
    rows = []
    for name, stable in (("random", False), ("flow_stable", True)):
        with_hints = Fleet.from_spray(stable, hints=True).run()
        without_hints = Fleet.from_spray(stable, hints=False).run()
        rows.append(
            Result(
                f"relays.per_packet_{name}_spray",
                round(with_hints, 4),
                "relays",
                round(without_hints, 4),
                seed=SEED,
                command=COMMAND,
            )
        )
    return rows
