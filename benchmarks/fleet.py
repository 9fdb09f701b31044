"""Owners of one group, driven directly in virtual time, without a network.

Each opening reaches its owner without delay. Targets answer without delay, shed load
or freeze. Only load messages take time: one step. This simulates hundreds of targets
and tens of thousands of flows within seconds, and measures only the placement policy.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from benchmarks.world import make_host
from citronspring.balancer import Balancer
from citronspring.control.envelope import DatagramEncoder
from citronspring.messages import (
    ControlReceived,
    Packet,
    PacketReceived,
    ProbeResult,
    ProbeTarget,
    Refuse,
    Relay,
    RelayKind,
    SendControl,
    SendToTarget,
    SnapshotRead,
)
from citronspring.rendezvous import flow_key
from citronspring.systems.expiry import expire_flows
from citronspring.systems.health import request_probes
from citronspring.systems.idle import deactivate_idle_accounts
from citronspring.systems.loads import send_loads
from citronspring.systems.openings import expire_openings
from citronspring.tcp_flags import ACK, FIN, RST, SYN

if TYPE_CHECKING:
    from citronspring.entities import FlowKey, Snapshot
    from citronspring.messages import Action

#: Virtual seconds between two steps.
STEP = 0.05

#: Virtual seconds between two runs of flow expiry.
EXPIRY_INTERVAL = 4.0

#: Bytes of the IP and UDP headers of a control datagram.
HEADER_BYTES = 28

#: Initial TCP sequence numbers of callers and targets.
CALLER_SEQ, TARGET_SEQ = 1000, 5000


@dataclass(slots=True)
class Fleet:
    """Cores of hosts that know each other, and simulated targets."""

    rng: random.Random
    cores: dict[str, Balancer]
    #: Whether owners send their loads to each other.
    load_signal: bool = True
    now: float = 0.0
    #: Heap of scheduled flow ends: time, serial number, flow, owner, target.
    scheduled_ends: list[tuple[float, int, FlowKey, str, str]] = field(
        default_factory=list
    )
    serial_numbers: itertools.count[int] = field(default_factory=itertools.count)
    #: Number of open flows by target.
    target_flows: Counter[str] = field(default_factory=Counter)
    #: Number of flows opened by service address.
    address_flows: Counter[str] = field(default_factory=Counter)
    #: Number of SYNs sent by target.
    syn_counts: Counter[str] = field(default_factory=Counter)
    #: Openings requested, admitted and refused, by service address.
    requested: Counter[str] = field(default_factory=Counter)
    admitted: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    #: Targets that reset every opening, and targets that do not answer.
    shedding: set[str] = field(default_factory=set)
    frozen: set[str] = field(default_factory=set)
    #: Targets whose health endpoint reports the opposite of their state.
    misreporting: set[str] = field(default_factory=set)
    #: Virtual time of the last SYN to each target.
    last_syn_at: dict[str, float] = field(default_factory=dict)
    #: Control messages to deliver in the next step, with the receiving host.
    pending_messages: list[tuple[str, ControlReceived]] = field(default_factory=list)
    #: Bytes of control datagrams sent, headers included.
    control_bytes: int = 0
    encoder: DatagramEncoder = field(
        default_factory=lambda: DatagramEncoder("host-00", bytes(16), 1)
    )
    #: Mean duration of a flow, virtual seconds.
    lifetime: float = 60.0
    #: Service address of each flow that is being opened.
    addresses: dict[FlowKey, str] = field(default_factory=dict)

    @classmethod
    def from_snapshot(
        cls, hosts: int, snapshot: Snapshot, seed: str, **settings: object
    ) -> Fleet:
        """Return a fleet whose hosts have the configuration and know each other."""
        members = [make_host(index) for index in range(hosts)]
        cores = {}
        for member in members:
            core = Balancer.from_config(member, members)
            core.receive(SnapshotRead(snapshot), 0.0)
            cores[member.host_id] = core
        return cls(random.Random(seed), cores, **settings)  # type: ignore[arg-type]

    def run(self, seconds: float, rates: dict[str, float]) -> None:
        """Advance virtual time; open flows at a rate per second and service address."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            self.end_flows()
            for address, rate in rates.items():
                for _ in range(self.arrivals(rate * STEP)):
                    self.open_flow(address)
            self.tick()

    def arrivals(self, mean: float) -> int:
        """Return a Poisson-distributed random number of arrivals."""
        if mean <= 0:
            return 0
        count, passed = 0, self.rng.expovariate(1.0)
        while passed < mean:
            count += 1
            passed += self.rng.expovariate(1.0)
        return count

    def tick(self) -> None:
        """Deliver pending messages and run those timed systems that are measured."""
        messages, self.pending_messages = self.pending_messages, []
        for host_id, event in messages:
            self.cores[host_id].receive(event, self.now)
        expiry_due = int(self.now / EXPIRY_INTERVAL) != int(
            (self.now - STEP) / EXPIRY_INTERVAL
        )
        for host_id, core in self.cores.items():
            actions: list[Action] = []
            expire_openings(core.tables, self.now, actions)
            request_probes(core.tables, self.now, actions)
            if self.load_signal:
                send_loads(core.tables, self.now, actions)
            if expiry_due:
                expire_flows(core.tables, self.now)
                deactivate_idle_accounts(core.tables, self.now)
            self.perform(host_id, actions)

    def open_flow(self, address: str) -> None:
        """Send the SYN of a new caller to a service address."""
        number = next(self.serial_numbers)
        caller = f"10.{number >> 14 & 255}.{number >> 6 & 255}.{number & 63}"
        flow = flow_key(6, address, 443, caller, 1024 + (number >> 22))
        self.requested[address] += 1
        self.addresses[flow] = address
        owner = next(iter(self.cores.values())).tables.owners.owner_and_backup(flow)[0]
        assert owner is not None
        self.deliver(owner, Packet(flow, True, SYN, CALLER_SEQ, 0, 0, b""))

    def deliver(self, host_id: str, packet: Packet, source: str | None = None) -> None:
        """Deliver a packet to a host and perform the resulting actions."""
        event = PacketReceived(packet, source)
        self.perform(host_id, self.cores[host_id].receive(event, self.now))

    def perform(self, host_id: str, actions: list[Action]) -> None:
        """Perform the actions of a core."""
        for action in actions:
            match action:
                case SendToTarget(target_id, packet):
                    self.simulate_target(host_id, target_id, packet)
                case Relay(kind=RelayKind.PROPOSE, packet=Packet() as packet):
                    self.simulate_target(host_id, action.target_id or "", packet)
                case Refuse(packet):
                    self.refused[self.addresses.pop(packet.flow)] += 1
                case SendControl(receiver, message):
                    datagram = self.encoder.encode_datagram(message, receiver, 1)  # type: ignore[arg-type]
                    self.control_bytes += len(datagram) + HEADER_BYTES
                    self.pending_messages.append(
                        (receiver, ControlReceived(host_id, message))
                    )
                case ProbeTarget(target_id):
                    healthy = not {target_id} & (self.shedding | self.frozen)
                    result = ProbeResult(
                        target_id, healthy ^ (target_id in self.misreporting)
                    )
                    self.cores[host_id].receive(result, self.now)

    def simulate_target(self, host_id: str, target_id: str, packet: Packet) -> None:
        """Simulate the answer of a target to a SYN: accept, reset or none."""
        if not packet.flags & SYN:
            return
        self.syn_counts[target_id] += 1
        self.last_syn_at[target_id] = self.now
        flow = packet.flow
        if target_id in self.frozen:
            return
        if target_id in self.shedding:
            reset = Packet(flow, False, RST | ACK, 0, CALLER_SEQ + 1, 0, b"")
            self.deliver(host_id, reset, target_id)
            return
        address = self.addresses.pop(flow)
        self.admitted[address] += 1
        self.address_flows[address] += 1
        self.target_flows[target_id] += 1
        answer = Packet(flow, False, SYN | ACK, TARGET_SEQ, CALLER_SEQ + 1, 0, b"")
        self.deliver(host_id, answer, target_id)
        self.deliver(
            host_id, Packet(flow, True, ACK, CALLER_SEQ + 1, TARGET_SEQ + 1, 0, b"")
        )
        end = self.now + self.rng.expovariate(1.0 / self.lifetime)
        heapq.heappush(
            self.scheduled_ends,
            (end, next(self.serial_numbers), flow, host_id, target_id),
        )

    def end_flows(self) -> None:
        """Close the flows that have reached their scheduled end."""
        while self.scheduled_ends and self.scheduled_ends[0][0] <= self.now:
            _, _, flow, host_id, target_id = heapq.heappop(self.scheduled_ends)
            self.target_flows[target_id] -= 1
            closing = FIN | ACK
            sequences = CALLER_SEQ + 1, TARGET_SEQ + 1
            self.deliver(host_id, Packet(flow, True, closing, *sequences, 0, b""))
            answer = Packet(flow, False, closing, *reversed(sequences), 0, b"")
            self.deliver(host_id, answer, target_id)

    def imbalance(self, targets: int) -> float:
        """Return the largest number of open flows on a target, divided by the mean."""
        total = sum(self.target_flows.values())
        return max(self.target_flows.values()) * targets / total
