"""An in-memory network in virtual time that connects real cores and stand-ins.

A fixture for tests, benchmarks and experiments. All randomness is seeded, and nothing
reads a clock. Packets between two nodes take a random delay, and may be lost,
duplicated or blocked by a network partition.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from citronspring.entities import Protocol
from citronspring.messages import (
    ControlReceived,
    Drop,
    Packet,
    PacketReceived,
    Refuse,
    Relay,
    RelayReceived,
    SendControl,
    SendToCaller,
    SendToTarget,
    Stopped,
)
from citronspring.standins.datagrams import Datagram, DatagramCaller
from citronspring.standins.stacks import CallerStack, TargetStack
from citronspring.standins.tcp import Segment
from citronspring.tcp_flags import ACK, RST

if TYPE_CHECKING:
    from collections.abc import Callable

    from citronspring.balancer import Balancer
    from citronspring.entities import FlowKey
    from citronspring.messages import Action
    from citronspring.standins.service import Request

#: Node of the callers and the fabric.
FABRIC = "fabric"

#: Seconds between two ticks of cores and endpoints.
TICK = 0.05


@dataclass(frozen=True, slots=True)
class LinkQuality:
    """Delay of packets on a link, seconds, and chances of loss and duplication."""

    min_delay: float = 0.0005
    max_delay: float = 0.003
    loss: float = 0.0
    duplication: float = 0.0


@dataclass(slots=True)
class Network:
    """Hosts, targets and callers, and the virtual time of their events."""

    rng: random.Random
    quality: LinkQuality = field(default_factory=LinkQuality)
    now: float = 0.0
    queue: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    serial: itertools.count[int] = field(default_factory=itertools.count)
    hosts: dict[str, Balancer] = field(default_factory=dict)
    targets: dict[str, TargetStack] = field(default_factory=dict)
    callers: CallerStack = field(init=False)
    datagram_callers: DatagramCaller = field(default_factory=DatagramCaller)
    #: Hosts over which the fabric spreads packets; may lag behind `hosts`.
    fabric_hosts: list[str] = field(default_factory=list)
    #: Chooses the receiving host of a packet; random unless a run replaces it.
    choose_host: Callable[[FlowKey], str] = field(init=False)
    #: Zone of each node, for partitions; a node without a zone is never partitioned.
    zones: dict[str, str] = field(default_factory=dict)
    #: Pairs of zones between which no packet passes.
    partitions: set[frozenset[str]] = field(default_factory=set)
    #: Nodes that neither send nor receive until unfrozen; packets to them are held.
    frozen: set[str] = field(default_factory=set)
    held_deliveries: dict[str, list[Callable[[], None]]] = field(default_factory=dict)
    #: Called with each action of a host, for histories and counts.
    observers: list[Callable[[str, Action], None]] = field(default_factory=list)
    #: Handles actions that are neither packets nor control messages.
    other_action_handler: Callable[[str, Action], None] | None = None
    stopped: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.callers = CallerStack(self.rng)
        self.choose_host = lambda flow: self.rng.choice(self.fabric_hosts)
        self.after(TICK, self.tick)

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in virtual time, seconds."""
        heapq.heappush(self.queue, (self.now + delay, next(self.serial), action))

    def run_until(self, end: float) -> None:
        """Run all actions that are due up to a virtual time."""
        while self.queue and self.queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = end

    def tick(self) -> None:
        """Tick every core and endpoint that is not frozen."""
        for host_id, core in list(self.hosts.items()):
            if host_id not in self.frozen:
                self.perform_actions(host_id, core.tick(self.now))
        for target_id, stack in list(self.targets.items()):
            if target_id not in self.frozen:
                self.send_target_segments(target_id, stack.tick(self.now))
                self.send_target_datagrams(target_id, stack.datagrams.tick(self.now))
        self.send_caller_segments(self.callers.tick(self.now))
        self.after(TICK, self.tick)

    # Nodes --------------------------------------------------------------------

    def add_host(self, core: Balancer) -> None:
        """Add a host, to which the fabric sends packets from now on."""
        tables = core.tables
        self.hosts[tables.host_id] = core
        self.zones[tables.host_id] = tables.zone
        self.fabric_hosts.append(tables.host_id)

    def kill_host(self, host_id: str) -> None:
        """Remove a host and its state at once, as a crash does."""
        self.hosts.pop(host_id, None)
        self.frozen.discard(host_id)
        self.held_deliveries.pop(host_id, None)

    def add_target(
        self, target_id: str, zone: str, on_run: Callable[[Request], None]
    ) -> TargetStack:
        """Add the TCP stack and server of a target."""
        stack = TargetStack(self.rng, on_run)
        self.targets[target_id] = stack
        self.zones[target_id] = zone
        return stack

    def freeze(self, node: str) -> None:
        """Suspend a host or target; packets to it are held until it is unfrozen."""
        self.frozen.add(node)

    def unfreeze(self, node: str) -> None:
        """Resume a frozen node and deliver the packets held for it."""
        self.frozen.discard(node)
        for action in self.held_deliveries.pop(node, []):
            action()

    def is_connected(self, source: str, destination: str) -> bool:
        """Whether packets pass between two nodes."""
        zones = self.zones.get(source), self.zones.get(destination)
        return None in zones or frozenset(map(str, zones)) not in self.partitions

    def transmit(
        self,
        source: str,
        destination: str,
        deliver: Callable[[], None],
        flow: FlowKey | None = None,
    ) -> None:
        """Deliver from one node to another with the link's delay, loss and duplication.

        Datagrams of a flow are never duplicated: a service that runs requests in
        single datagrams cannot tell a duplicate from a second request.
        """
        if not self.is_connected(source, destination):
            return
        if self.rng.random() < self.quality.loss:
            return
        duplicated = self.rng.random() < self.quality.duplication
        copies = 2 if duplicated and (flow is None or flow[0] != Protocol.UDP) else 1
        for _ in range(copies):
            delay = self.rng.uniform(self.quality.min_delay, self.quality.max_delay)
            self.after(delay, lambda: self.deliver_or_hold(destination, deliver))

    def deliver_or_hold(self, node: str, deliver: Callable[[], None]) -> None:
        """Deliver now, or hold the delivery while the node is frozen."""
        if node in self.frozen:
            self.held_deliveries.setdefault(node, []).append(deliver)
        else:
            deliver()

    # Packets ------------------------------------------------------------------

    def start_request(self, flow: FlowKey, request: Request) -> None:
        """Start a request from a caller."""
        self.send_caller_segments(self.callers.open(flow, request, self.now))

    def start_datagram_request(self, flow: FlowKey, request: Request) -> None:
        """Send a request in one datagram from a caller."""
        datagram = self.datagram_callers.open(flow, request)
        packet = datagram_packet(datagram, from_caller=True)
        self.send_through_fabric(FABRIC, PacketReceived(packet), flow)

    def send_target_datagrams(self, target_id: str, datagrams: list[Datagram]) -> None:
        """Spread a target's datagrams over the hosts."""
        for datagram in datagrams:
            packet = datagram_packet(datagram, from_caller=False)
            event = PacketReceived(packet, target_id)
            self.send_through_fabric(target_id, event, datagram.flow)

    def send_caller_segments(self, outgoing: list[tuple[FlowKey, Segment]]) -> None:
        """Spread callers' segments over the hosts."""
        for flow, segment in outgoing:
            packet = packet_of(flow, segment, from_caller=True)
            self.send_through_fabric(FABRIC, PacketReceived(packet), flow)

    def send_target_segments(
        self, target_id: str, outgoing: list[tuple[FlowKey, Segment]]
    ) -> None:
        """Spread a target's segments over the hosts."""
        for flow, segment in outgoing:
            packet = packet_of(flow, segment, from_caller=False)
            self.send_through_fabric(target_id, PacketReceived(packet, target_id), flow)

    def send_through_fabric(
        self, source: str, event: PacketReceived, flow: FlowKey
    ) -> None:
        """Transmit a packet to the host that the fabric chooses."""
        if self.fabric_hosts:
            host_id = self.choose_host(flow)
            self.transmit(
                source, host_id, lambda: self.deliver_event(host_id, event), flow
            )

    def deliver_event(self, host_id: str, event: object) -> None:
        """Deliver an event to a host, if it is running."""
        core = self.hosts.get(host_id)
        if core is not None:
            self.perform_actions(host_id, core.receive(event, self.now))  # type: ignore[arg-type]

    def perform_actions(self, host_id: str, actions: list[Action]) -> None:
        """Perform the actions that a core has returned."""
        for action in actions:
            for observer in self.observers:
                observer(host_id, action)
            self.perform_action(host_id, action)

    def perform_action(self, host_id: str, action: Action) -> None:
        """Perform one action of a core."""
        match action:
            case SendToTarget():
                self.send_to_target(host_id, action.target_id, action.packet)
            case SendToCaller():
                self.send_to_caller(host_id, action.packet)
            case Relay():
                self.relay(host_id, action)
            case Refuse():
                self.refuse(host_id, action)
            case SendControl():
                event = ControlReceived(host_id, action.message)
                peer = action.host_id
                self.transmit(host_id, peer, lambda: self.deliver_event(peer, event))
            case Stopped():
                self.stopped.add(host_id)
            case Drop():
                pass
            case _:
                if self.other_action_handler is not None:
                    self.other_action_handler(host_id, action)

    def send_to_target(self, host_id: str, target_id: str, packet: Packet) -> None:
        """Transmit a packet through a target's tunnel."""

        def deliver() -> None:
            stack = self.targets.get(target_id)
            if stack is None:
                return
            if packet.flow[0] == Protocol.UDP:
                datagram = Datagram(packet.flow, packet.data)
                answers = stack.datagrams.receive(datagram, stack.shedding, self.now)
                self.send_target_datagrams(target_id, answers)
            else:
                segment = segment_of(packet)
                answers = stack.receive(packet.flow, segment, self.now)
                self.send_target_segments(target_id, answers)

        self.transmit(host_id, target_id, deliver, packet.flow)

    def send_to_caller(self, host_id: str, packet: Packet) -> None:
        """Transmit an answer to its caller."""

        def deliver() -> None:
            if packet.flow[0] == Protocol.UDP:
                datagram = Datagram(packet.flow, packet.data, packet.unreachable)
                self.datagram_callers.receive(datagram)
                return
            segment = segment_of(packet)
            outgoing = self.callers.receive(packet.flow, segment, self.now)
            self.send_caller_segments(outgoing)

        self.transmit(host_id, FABRIC, deliver, packet.flow)

    def refuse(self, host_id: str, action: Refuse) -> None:
        """Transmit a refusal to its caller."""
        opening = action.packet
        text = f"{action.reason.value} {action.retry_at:.1f}".encode()
        if opening.flow[0] == Protocol.UDP:
            refused = Datagram(opening.flow, text, unreachable=True)
            self.send_to_caller(host_id, datagram_packet(refused, from_caller=False))
            return
        refusal = Segment(RST | ACK, 0, (opening.seq + 1) & 0xFFFFFFFF, text)
        packet = packet_of(opening.flow, refusal, from_caller=False)
        self.send_to_caller(host_id, packet)

    def relay(self, host_id: str, action: Relay) -> None:
        """Transmit a relayed packet or binding to another host."""
        event = RelayReceived(
            action.kind,
            host_id,
            action.flow,
            action.packet,
            action.source,
            action.target_id,
        )
        peer = action.host_id
        self.transmit(
            host_id, peer, lambda: self.deliver_event(peer, event), action.flow
        )


def packet_of(flow: FlowKey, segment: Segment, from_caller: bool) -> Packet:
    """Return the typed packet of a segment; its data is the payload alone."""
    return Packet(
        flow,
        from_caller,
        segment.flags,
        segment.seq,
        segment.ack,
        len(segment.payload),
        segment.payload,
    )


def segment_of(packet: Packet) -> Segment:
    """Return the segment of a packet made by `packet_of`."""
    return Segment(packet.flags, packet.seq, packet.ack, packet.data)


def datagram_packet(datagram: Datagram, from_caller: bool) -> Packet:
    """Return the typed packet of a datagram; its data is the payload alone."""
    length = len(datagram.payload)
    return Packet(
        datagram.flow,
        from_caller,
        0,
        0,
        0,
        length,
        datagram.payload,
        datagram.unreachable,
    )
