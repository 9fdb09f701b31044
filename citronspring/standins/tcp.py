"""A small TCP for stand-ins: enough of RFC 9293 to show what a balancer breaks.

No congestion control and a fixed window; but sequence numbers, retransmission,
resets and challenge acknowledgements behave as a target's or caller's kernel does.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from citronspring.tcp_flags import ACK, FIN, RST, SYN

SEQUENCE_MASK = 0xFFFFFFFF
HALF_SEQUENCE_SPACE = 0x80000000

#: Payload bytes of one segment.
SEGMENT_SIZE = 1200

#: Bytes sent ahead of the other side's acknowledgement.
SEND_WINDOW = 32 * SEGMENT_SIZE

#: Bytes the other side may send ahead.
RECEIVE_WINDOW = 65535

#: First and longest time until a segment is sent again, seconds.
INITIAL_RTO = 0.3
MAX_RTO = 2.0

#: Retransmissions in a row after which a connection counts as broken.
MAX_RETRANSMISSIONS = 14

#: Out-of-order segments kept.
MAX_OUT_OF_ORDER = 64


class State(Enum):
    """States of a connection; closing is told by its flags."""

    SYN_SENT = "syn-sent"
    SYN_RECEIVED = "syn-received"
    ESTABLISHED = "established"
    CLOSED = "closed"


class Ending(Enum):
    """How a connection ended."""

    FINISHED = "finished"
    REFUSED = "refused"
    RESET = "reset"
    TIMED_OUT = "timed-out"


@dataclass(slots=True)
class Segment:
    """A TCP segment without its ports."""

    flags: int
    seq: int
    ack: int
    payload: bytes = b""


def sequence_difference(a: int, b: int) -> int:
    """Return how far sequence number a lies after b; negative if before."""
    return ((a - b + HALF_SEQUENCE_SPACE) & SEQUENCE_MASK) - HALF_SEQUENCE_SPACE


@dataclass(slots=True, eq=False)
class Connection:
    """One side of a TCP connection."""

    state: State
    #: Next number to send, and first one not acknowledged.
    next_seq: int
    unacknowledged: int
    #: Next number expected from the other side.
    expected: int = 0
    #: Bytes from ``unacknowledged`` on, sent or not.
    buffer: bytearray = field(default_factory=bytearray)
    received: bytearray = field(default_factory=bytearray)
    outbox: list[Segment] = field(default_factory=list)
    out_of_order: dict[int, Segment] = field(default_factory=dict)
    #: The application asked to close after what is buffered.
    closing: bool = False
    fin_sent: bool = False
    fin_received: bool = False
    ending: Ending | None = None
    #: Text that came with a refusal.
    refusal: bytes = b""
    #: Time of the next retransmission; None while nothing is outstanding.
    retransmit_at: float | None = None
    rto: float = INITIAL_RTO
    retransmissions: int = 0

    @classmethod
    def connect(cls, initial_seq: int, now: float) -> Connection:
        """Start a connection as a caller."""
        connection = cls(State.SYN_SENT, (initial_seq + 1) & SEQUENCE_MASK, initial_seq)
        connection.emit(SYN, initial_seq)
        connection.set_timer(now)
        return connection

    @classmethod
    def accept(cls, syn: Segment, initial_seq: int, now: float) -> Connection:
        """Answer a SYN as a target."""
        connection = cls(
            State.SYN_RECEIVED, (initial_seq + 1) & SEQUENCE_MASK, initial_seq
        )
        connection.expected = (syn.seq + 1) & SEQUENCE_MASK
        connection.emit(SYN | ACK, initial_seq)
        connection.set_timer(now)
        return connection

    def emit(self, flags: int, seq: int, payload: bytes = b"") -> None:
        """Queue a segment."""
        ack = self.expected if flags & ACK else 0
        self.outbox.append(Segment(flags, seq, ack, payload))

    def set_timer(self, now: float) -> None:
        """Set the retransmission deadline."""
        self.retransmit_at = now + self.rto

    def take_outbox(self) -> list[Segment]:
        """Return and clear the queued segments."""
        outbox, self.outbox = self.outbox, []
        return outbox

    def send(self, data: bytes, now: float) -> None:
        """Queue application data."""
        self.buffer += data
        self.push(now)

    def close(self, now: float) -> None:
        """Send FIN after what is buffered."""
        self.closing = True
        self.push(now)

    def push(self, now: float) -> None:
        """Send what the window allows."""
        if self.state is not State.ESTABLISHED or self.fin_sent:
            return
        sent = sequence_difference(self.next_seq, self.unacknowledged)
        while sent < len(self.buffer) and sent < SEND_WINDOW:
            chunk = bytes(self.buffer[sent : sent + SEGMENT_SIZE])
            self.emit(ACK, self.next_seq, chunk)
            sent += len(chunk)
            self.next_seq = (self.next_seq + len(chunk)) & SEQUENCE_MASK
        if self.closing and sent >= len(self.buffer):
            self.emit(FIN | ACK, self.next_seq)
            self.next_seq = (self.next_seq + 1) & SEQUENCE_MASK
            self.fin_sent = True
        if self.next_seq != self.unacknowledged and self.retransmit_at is None:
            self.set_timer(now)

    def receive(self, segment: Segment, now: float) -> None:
        """Handle a segment from the other side."""
        match self.state:
            case State.SYN_SENT:
                self.receive_in_syn_sent(segment, now)
            case State.SYN_RECEIVED:
                self.receive_in_syn_received(segment, now)
            case State.ESTABLISHED:
                self.receive_established(segment, now)
            case State.CLOSED:
                self.receive_closed(segment)

    def receive_closed(self, segment: Segment) -> None:
        """Reset the late answer to a refused opening; acknowledge a FIN again."""
        if segment.flags & RST:
            return
        if self.ending is Ending.REFUSED and segment.flags & ACK:
            self.emit(RST, segment.ack)
        elif segment.flags & FIN:
            self.emit(ACK, self.next_seq)

    def receive_in_syn_sent(self, segment: Segment, now: float) -> None:
        """Wait for the SYN-ACK, or the refusal, of our SYN."""
        if not segment.flags & ACK or segment.ack != self.next_seq:
            if segment.flags & ACK and not segment.flags & RST:
                self.emit(RST, segment.ack)
            return
        if segment.flags & RST:
            self.refusal = segment.payload
            self.end(Ending.REFUSED)
        elif segment.flags & SYN:
            self.expected = (segment.seq + 1) & SEQUENCE_MASK
            self.establish(segment, now)
            self.emit(ACK, self.next_seq)
            self.push(now)

    def establish(self, segment: Segment, now: float) -> None:
        """Enter ESTABLISHED on an acknowledged SYN."""
        self.unacknowledged = segment.ack
        self.state = State.ESTABLISHED
        self.restart_timer(now)

    def receive_in_syn_received(self, segment: Segment, now: float) -> None:
        """Wait for the caller's acknowledgement of our SYN-ACK."""
        if segment.flags & RST:
            # As Linux does: a half-open connection drops on any number in its window.
            if 0 <= sequence_difference(segment.seq, self.expected) < RECEIVE_WINDOW:
                self.end(Ending.RESET)
        elif segment.flags & SYN:
            self.emit(SYN | ACK, self.unacknowledged)
        elif segment.flags & ACK and segment.ack == self.next_seq:
            self.establish(segment, now)
            self.receive_established(segment, now)
        elif segment.flags & ACK:
            self.emit(RST, segment.ack)

    def receive_established(self, segment: Segment, now: float) -> None:
        """Handle data, acknowledgements, FIN and RST."""
        if segment.flags & RST:
            if segment.seq == self.expected:
                self.end(Ending.RESET)
            return
        if segment.flags & SYN or not segment.flags & ACK:
            self.emit(ACK, self.next_seq)
            return
        if sequence_difference(segment.ack, self.next_seq) > 0:
            self.emit(ACK, self.next_seq)
            return
        self.process_acknowledgement(segment, now)
        if segment.payload or segment.flags & FIN:
            self.receive_data(segment)
            self.emit(ACK, self.next_seq)
        elif sequence_difference(segment.seq, self.expected) == -1:
            # A keep-alive. Older bare acknowledgements were only reordered: to
            # answer them too would bounce acknowledgements for ever.
            self.emit(ACK, self.next_seq)
        self.close_if_finished()
        self.push(now)

    def process_acknowledgement(self, segment: Segment, now: float) -> None:
        """Drop acknowledged bytes from the buffer."""
        advance = sequence_difference(segment.ack, self.unacknowledged)
        if advance <= 0:
            return
        self.unacknowledged = segment.ack
        del self.buffer[:advance]
        self.restart_timer(now)

    def restart_timer(self, now: float) -> None:
        """Restart the retransmission timer after progress."""
        self.rto = INITIAL_RTO
        self.retransmissions = 0
        self.retransmit_at = None
        if self.unacknowledged != self.next_seq:
            self.set_timer(now)

    def receive_data(self, segment: Segment) -> None:
        """Take data in order; keep some that came early."""
        if sequence_difference(segment.seq, self.expected) > 0:
            if len(self.out_of_order) < MAX_OUT_OF_ORDER:
                self.out_of_order[segment.seq] = segment
            return
        self.append_in_order(segment)
        while (early := self.out_of_order.pop(self.expected, None)) is not None:
            self.append_in_order(early)

    def append_in_order(self, segment: Segment) -> None:
        """Take the new part of a segment that starts at or before `expected`."""
        skip = sequence_difference(self.expected, segment.seq)
        fresh = segment.payload[skip:]
        end = (segment.seq + len(segment.payload)) & SEQUENCE_MASK
        self.received += fresh
        self.expected = (self.expected + len(fresh)) & SEQUENCE_MASK
        if segment.flags & FIN and end == self.expected and not self.fin_received:
            self.fin_received = True
            self.expected = (self.expected + 1) & SEQUENCE_MASK

    def close_if_finished(self) -> None:
        """Close once both sides have sent their FIN and ours is acknowledged."""
        done = self.fin_sent and self.unacknowledged == self.next_seq
        if done and self.fin_received:
            self.end(Ending.FINISHED)

    def end(self, ending: Ending) -> None:
        """Close, for a reason."""
        self.state = State.CLOSED
        self.ending = ending
        self.retransmit_at = None

    def tick(self, now: float) -> None:
        """Retransmit what is overdue."""
        if self.retransmit_at is None or now < self.retransmit_at:
            return
        self.retransmissions += 1
        if self.retransmissions > MAX_RETRANSMISSIONS:
            self.end(Ending.TIMED_OUT)
            return
        self.rto = min(self.rto * 2, MAX_RTO)
        self.set_timer(now)
        self.retransmit()

    def retransmit(self) -> None:
        """Send the first outstanding segment again."""
        match self.state:
            case State.SYN_SENT:
                self.emit(SYN, self.unacknowledged)
            case State.SYN_RECEIVED:
                self.emit(SYN | ACK, self.unacknowledged)
            case State.ESTABLISHED if self.buffer:
                chunk = bytes(self.buffer[:SEGMENT_SIZE])
                self.emit(ACK, self.unacknowledged, chunk)
            case State.ESTABLISHED:
                self.emit(FIN | ACK, self.unacknowledged)


def reset_for(segment: Segment) -> Segment:
    """Return the reset that answers a segment of no known connection."""
    if segment.flags & ACK:
        return Segment(RST, segment.ack, 0)
    length = len(segment.payload) + bool(segment.flags & (SYN | FIN))
    return Segment(RST | ACK, 0, (segment.seq + length) & SEQUENCE_MASK)
