"""A small TCP for stand-ins: enough of RFC 9293 to show what a balancer breaks.

No congestion control and a fixed window; but sequence numbers, retransmission,
resets and challenge acknowledgements behave as a target's or caller's kernel does.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from citronspring.tcp_flags import ACK, FIN, RST, SYN

MASK = 0xFFFFFFFF
HALF = 0x80000000

#: Payload bytes of one segment.
SEGMENT_SIZE = 1200

#: Bytes sent ahead of the other side's acknowledgement.
SEND_WINDOW = 32 * SEGMENT_SIZE

#: Bytes the other side may send ahead.
RECEIVE_WINDOW = 65535

#: First and longest time until a segment is sent again, seconds.
FIRST_TIMEOUT = 0.3
LONGEST_TIMEOUT = 2.0

#: Retransmissions in a row after which a connection counts as broken.
MAX_RETRANSMISSIONS = 14

#: Out-of-order segments kept.
MAX_REORDERED = 64


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


def ahead(a: int, b: int) -> int:
    """Return how far sequence number a lies after b; negative if before."""
    return ((a - b + HALF) & MASK) - HALF


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
    reordered: dict[int, Segment] = field(default_factory=dict)
    #: The application asked to close after what is buffered.
    closing: bool = False
    fin_sent: bool = False
    fin_received: bool = False
    ending: Ending | None = None
    #: Text that came with a refusal.
    refusal: bytes = b""
    #: Time of the next retransmission; None while nothing is outstanding.
    retransmit_at: float | None = None
    timeout: float = FIRST_TIMEOUT
    retransmissions: int = 0

    @classmethod
    def connect(cls, first_seq: int, now: float) -> Connection:
        """Start a connection as a caller."""
        connection = cls(State.SYN_SENT, (first_seq + 1) & MASK, first_seq)
        connection.emit(SYN, first_seq)
        connection.arm(now)
        return connection

    @classmethod
    def accept(cls, syn: Segment, first_seq: int, now: float) -> Connection:
        """Answer a SYN as a target."""
        connection = cls(State.SYN_RECEIVED, (first_seq + 1) & MASK, first_seq)
        connection.expected = (syn.seq + 1) & MASK
        connection.emit(SYN | ACK, first_seq)
        connection.arm(now)
        return connection

    def emit(self, flags: int, seq: int, payload: bytes = b"") -> None:
        """Queue a segment."""
        ack = self.expected if flags & ACK else 0
        self.outbox.append(Segment(flags, seq, ack, payload))

    def arm(self, now: float) -> None:
        """Set the retransmission deadline."""
        self.retransmit_at = now + self.timeout

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
        sent = ahead(self.next_seq, self.unacknowledged)
        while sent < len(self.buffer) and sent < SEND_WINDOW:
            chunk = bytes(self.buffer[sent : sent + SEGMENT_SIZE])
            self.emit(ACK, self.next_seq, chunk)
            sent += len(chunk)
            self.next_seq = (self.next_seq + len(chunk)) & MASK
        if self.closing and sent >= len(self.buffer):
            self.emit(FIN | ACK, self.next_seq)
            self.next_seq = (self.next_seq + 1) & MASK
            self.fin_sent = True
        if self.next_seq != self.unacknowledged and self.retransmit_at is None:
            self.arm(now)

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
            self.expected = (segment.seq + 1) & MASK
            self.establish(segment, now)
            self.emit(ACK, self.next_seq)
            self.push(now)

    def establish(self, segment: Segment, now: float) -> None:
        """Enter ESTABLISHED on an acknowledged SYN."""
        self.unacknowledged = segment.ack
        self.state = State.ESTABLISHED
        self.settle_timer(now)

    def receive_in_syn_received(self, segment: Segment, now: float) -> None:
        """Wait for the caller's acknowledgement of our SYN-ACK."""
        if segment.flags & RST:
            # As Linux does: a half-open connection drops on any number in its window.
            if 0 <= ahead(segment.seq, self.expected) < RECEIVE_WINDOW:
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
        if ahead(segment.ack, self.next_seq) > 0:
            self.emit(ACK, self.next_seq)
            return
        self.take_acknowledgement(segment, now)
        if segment.payload or segment.flags & FIN:
            self.take_data(segment)
            self.emit(ACK, self.next_seq)
        elif ahead(segment.seq, self.expected) == -1:
            # A keep-alive. Older bare acknowledgements were only reordered: to
            # answer them too would bounce acknowledgements for ever.
            self.emit(ACK, self.next_seq)
        self.finish_if_done()
        self.push(now)

    def take_acknowledgement(self, segment: Segment, now: float) -> None:
        """Drop acknowledged bytes from the buffer."""
        advance = ahead(segment.ack, self.unacknowledged)
        if advance <= 0:
            return
        self.unacknowledged = segment.ack
        del self.buffer[:advance]
        self.settle_timer(now)

    def settle_timer(self, now: float) -> None:
        """Restart the retransmission timer after progress."""
        self.timeout = FIRST_TIMEOUT
        self.retransmissions = 0
        self.retransmit_at = None
        if self.unacknowledged != self.next_seq:
            self.arm(now)

    def take_data(self, segment: Segment) -> None:
        """Take data in order; keep some that came early."""
        if ahead(segment.seq, self.expected) > 0:
            if len(self.reordered) < MAX_REORDERED:
                self.reordered[segment.seq] = segment
            return
        self.take_in_order(segment)
        while (early := self.reordered.pop(self.expected, None)) is not None:
            self.take_in_order(early)

    def take_in_order(self, segment: Segment) -> None:
        """Take the new part of a segment that starts at or before `expected`."""
        skip = ahead(self.expected, segment.seq)
        fresh = segment.payload[skip:]
        end = (segment.seq + len(segment.payload)) & MASK
        self.received += fresh
        self.expected = (self.expected + len(fresh)) & MASK
        if segment.flags & FIN and end == self.expected and not self.fin_received:
            self.fin_received = True
            self.expected = (self.expected + 1) & MASK

    def finish_if_done(self) -> None:
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
        self.timeout = min(self.timeout * 2, LONGEST_TIMEOUT)
        self.arm(now)
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
    return Segment(RST | ACK, 0, (segment.seq + length) & MASK)
