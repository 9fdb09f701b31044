"""Emulated targets, which accept flows, and queue, run and answer requests."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from citronspring.emulator.network import CALLERS
from citronspring.endpoints import Endpoint
from citronspring.tcp_flags import ACK, FIN, RST, SYN
from citronspring.tokens.entries import Target

if TYPE_CHECKING:
    from citronspring.emulator.callers import EmulatedCaller
    from citronspring.emulator.checker import Checker
    from citronspring.emulator.clock import Clock
    from citronspring.emulator.network import Network
    from citronspring.tokens.entities import Packet

#: Maximum number of queued requests; a target with a full queue accepts no new flow.
MAX_QUEUED_REQUESTS = 8

#: Seconds after which a target that sheds load answers that a request was not run.
SHED_DELAY = 0.1

#: Payload bytes of such an answer.
SHED_BYTES = 100

#: Payload bytes of every other answer.
ANSWER_BYTES = 900

MILLISECOND = 0.001

#: Factor by which a request takes longer at a target in warm-up.
WARMUP_SLOWNESS = 1.6

#: Seconds until an unacknowledged answer is retransmitted, doubled each time up to
#: eightfold, and the maximum number of retransmissions.
RETRANSMIT_SECONDS = 0.2
MAX_RETRANSMISSIONS = 8

SEQ_MASK = 0xFFFFFFFF


@dataclass(slots=True)
class Reply:
    """A packet to a caller: from a target, or a reset from a host."""

    flow: bytes
    flags: int
    seq: int
    ack: int
    token: int
    length: int = 0
    #: Incarnation of the target that sent it; None for a host.
    sender: int | None = None
    #: Whether the target shed the request and did not run it.
    shed: bool = False


@dataclass(slots=True)
class TargetFlow:
    """A flow at a target."""

    caller: EmulatedCaller
    first_seq: int
    next_seq: int
    #: Sequence number of the target's next byte.
    own_seq: int
    token: int
    open: bool = False
    acked: int = 0


@dataclass(slots=True)
class EmulatedTarget:
    """One incarnation of a target."""

    clock: Clock
    network: Network
    checker: Checker
    incarnation: int
    service: str
    zone: str
    slots: int = 2
    mean_work_seconds: float = 0.03
    slowness: float = 1.0
    alive: bool = True
    leaving_at: float | None = None
    flows: dict[bytes, TargetFlow] = field(default_factory=dict)
    running: int = 0
    queue: list[tuple[bytes, TargetFlow]] = field(default_factory=list)
    disturbed_at: float = -100.0
    served: int = 0
    #: Whether it accepts flows while its queue is full, and sheds their requests.
    sheds: bool = False
    #: Time at which its warm-up ends.
    warmup_until: float = -math.inf
    #: Time at which it started.
    started_at: float = 0.0
    #: Sequence number of the last entry that it wrote.
    entry_sequence: int = 0

    @property
    def target_id(self) -> str:
        """Return the id under which the target registers."""
        return f"i-{self.incarnation:x}"

    def entry(self) -> Target:
        """Return the next entry that the target writes."""
        self.entry_sequence += 1
        return Target(
            self.target_id,
            self.incarnation,
            Endpoint(
                f"10.0.{self.incarnation >> 8 & 255}.{self.incarnation & 255}", 80
            ),
            self.service,
            self.zone,
            self.slots,
            self.leaving_at is not None,
            max(self.warmup_until - self.clock.now, 0.0),
            0,
            started=round(self.started_at / MILLISECOND),
            sequence=self.entry_sequence,
        )

    def crash(self) -> None:
        """Crash without leaving; the flows are lost."""
        self.alive = False
        self.disturbed_at = self.clock.now
        self.flows.clear()
        self.queue.clear()

    def receive(self, packet: Packet, incarnation: int, caller: EmulatedCaller) -> None:
        """Handle a packet that a host sent to this target's address."""
        if not self.alive or incarnation != self.incarnation:
            return
        flow = self.flows.get(packet.flow)
        if packet.flags & SYN:
            self.handle_opening(packet, flow, caller)
        elif flow is None:
            self.reply(caller, Reply(packet.flow, RST, packet.ack, 0, 0))
        else:
            self.handle_flow_packet(packet, flow)

    def handle_opening(
        self, packet: Packet, flow: TargetFlow | None, caller: EmulatedCaller
    ) -> None:
        """Answer an opening, unless the queue is full and the target does not shed."""
        self.checker.zone_checker.opening_received(self)
        if flow is None or flow.first_seq != packet.seq:
            if len(self.queue) >= MAX_QUEUED_REQUESTS and not self.sheds:
                return
            own_seq = self.clock.rng.getrandbits(32)
            next_seq = packet.seq + 1 & SEQ_MASK
            flow = TargetFlow(caller, packet.seq, next_seq, own_seq, packet.token)
            self.flows[packet.flow] = flow
        flow.token = packet.token
        reply = Reply(packet.flow, SYN | ACK, flow.own_seq, flow.next_seq, flow.token)
        self.reply(caller, reply)

    def handle_flow_packet(self, packet: Packet, flow: TargetFlow) -> None:
        """Handle a packet of a known flow."""
        # Both ends return the last token that they received.
        flow.token = packet.token
        if not flow.open:
            if packet.ack != (flow.own_seq + 1 & SEQ_MASK):
                self.reply(flow.caller, Reply(packet.flow, RST, packet.ack, 0, 0))
                return
            flow.open = True
            flow.own_seq = packet.ack
            self.checker.flow_opened(self, packet.flow)
        flow.acked = packet.ack
        if packet.flags & (FIN | RST):
            del self.flows[packet.flow]
            self.checker.flow_closed(self, packet.flow)
            return
        if packet.length and packet.seq == flow.next_seq:
            flow.next_seq = packet.seq + packet.length & SEQ_MASK
            self.enqueue(packet.flow, flow)
        if packet.length:
            reply = Reply(packet.flow, ACK, flow.own_seq, flow.next_seq, flow.token)
            self.reply(flow.caller, reply)

    def enqueue(self, key: bytes, flow: TargetFlow) -> None:
        """Queue a request until a slot is free, or shed it if the queue is full."""
        if self.sheds and len(self.queue) >= MAX_QUEUED_REQUESTS:
            self.clock.after(SHED_DELAY, lambda: self.shed(key, flow))
            return
        self.queue.append((key, flow))
        self.start_work()

    def shed(self, key: bytes, flow: TargetFlow) -> None:
        """Answer that a request was shed."""
        if not self.alive or self.flows.get(key) is not flow:
            return
        start = flow.own_seq
        flow.own_seq = start + SHED_BYTES & SEQ_MASK
        reply = Reply(key, ACK, start, flow.next_seq, flow.token, SHED_BYTES)
        reply.shed = True
        self.reply(flow.caller, reply)

    def start_work(self) -> None:
        """Start queued requests while slots are free."""
        while self.queue and self.running < self.slots:
            key, flow = self.queue.pop(0)
            if self.flows.get(key) is not flow:
                continue
            self.running += 1
            self.served += 1
            self.checker.request_ran(self, flow.caller)
            seconds = (
                self.clock.rng.expovariate(1 / self.mean_work_seconds) * self.slowness
            )
            if self.clock.now < self.warmup_until:
                seconds *= WARMUP_SLOWNESS
            self.clock.after(seconds, lambda k=key, f=flow: self.finish_request(k, f))

    def finish_request(self, key: bytes, flow: TargetFlow) -> None:
        """Answer a request and start queued ones."""
        self.running -= 1
        if self.alive and self.flows.get(key) is flow:
            start = flow.own_seq
            flow.own_seq = start + ANSWER_BYTES & SEQ_MASK
            self.send_answer(key, flow, start, 0)
        self.start_work()

    def send_answer(self, key: bytes, flow: TargetFlow, start: int, tries: int) -> None:
        """Send an answer, and schedule retransmissions until it is acknowledged."""
        if (
            not self.alive
            or self.flows.get(key) is not flow
            or tries > MAX_RETRANSMISSIONS
        ):
            return
        if tries and 0 < (flow.acked - start) & SEQ_MASK < 1 << 31:
            return
        reply = Reply(key, ACK, start, flow.next_seq, flow.token, ANSWER_BYTES)
        self.reply(flow.caller, reply)
        self.clock.after(
            RETRANSMIT_SECONDS * 2 ** min(tries, 3),
            lambda: self.send_answer(key, flow, start, tries + 1),
        )

    def reply(self, caller: EmulatedCaller, reply: Reply) -> None:
        """Send a packet to a caller directly, not through a host."""
        reply.sender = self.incarnation
        self.network.send(self.zone, CALLERS, lambda: caller.receive(reply))
