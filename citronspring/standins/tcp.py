"""A small TCP for stand-ins: enough of RFC 9293 to show faults of a load balancer.

It has a fixed window and no congestion control. Sequence numbers, retransmission,
resets and challenge acknowledgements behave as in a target's or caller's kernel.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from citronspring.tcp_flags import ACK, FIN, RST, SYN

SEQUENCE_MASK = 0xFFFFFFFF
HALF_SEQUENCE_SPACE = 0x80000000

#: Payload bytes of one segment.
SEGMENT_SIZE = 1200

#: Most bytes that are sent before the other side acknowledges them.
SEND_WINDOW = 32 * SEGMENT_SIZE

#: Most bytes that the other side may send before they are acknowledged.
RECEIVE_WINDOW = 65535

#: Initial and longest retransmission time-out, seconds.
INITIAL_RTO = 0.3
MAX_RTO = 2.0

#: Consecutive retransmissions after which a connection times out.
MAX_RETRANSMISSIONS = 14

#: Most out-of-order segments that are kept.
MAX_OUT_OF_ORDER = 64


class State(Enum):
    """States of a connection; `Connection` has flags for the closing ones."""

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
    """Return a minus b for sequence numbers; negative if a lies before b."""
    return ((a - b + HALF_SEQUENCE_SPACE) & SEQUENCE_MASK) - HALF_SEQUENCE_SPACE


@dataclass(slots=True, eq=False)
class Connection:
    """One side of a TCP connection."""

    state: State
    #: Next sequence number to send, and first one not acknowledged.
    next_seq: int
    unacknowledged: int
    #: Next sequence number expected from the other side.
    expected: int = 0
    #: Bytes from ``unacknowledged`` on, sent or not.
    buffer: bytearray = field(default_factory=bytearray)
    received: bytearray = field(default_factory=bytearray)
    outbox: list[Segment] = field(default_factory=list)
    out_of_order: dict[int, Segment] = field(default_factory=dict)
    #: The application has asked to close after the buffered data.
    closing: bool = False
    fin_sent: bool = False
    fin_received: bool = False
    ending: Ending | None = None
    #: Payload of the refusal.
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
        """Send a FIN after the buffered data."""
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
        """Reset late answers to a refused opening; acknowledge a retransmitted FIN."""
        if segment.flags & RST:
            return
        if self.ending is Ending.REFUSED and segment.flags & ACK:
            self.emit(RST, segment.ack)
        elif segment.flags & FIN:
            self.emit(ACK, self.next_seq)

    def receive_in_syn_sent(self, segment: Segment, now: float) -> None:
        """Handle the answer to the SYN: a SYN-ACK or a refusal."""
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
        """Handle the caller's acknowledgement of the SYN-ACK."""
        if segment.flags & RST:
            # As in Linux, any number in the window resets a half-open connection.
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
            # A keep-alive. Older acknowledgements without data are merely reordered;
            # answering them as well would exchange acknowledgements endlessly.
            self.emit(ACK, self.next_seq)
        self.close_if_finished()
        self.push(now)

    def process_acknowledgement(self, segment: Segment, now: float) -> None:
        """Remove acknowledged bytes from the buffer."""
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
        """Append data in order; keep a limited number of out-of-order segments."""
        if sequence_difference(segment.seq, self.expected) > 0:
            if len(self.out_of_order) < MAX_OUT_OF_ORDER:
                self.out_of_order[segment.seq] = segment
            return
        self.append_in_order(segment)
        while (early := self.out_of_order.pop(self.expected, None)) is not None:
            self.append_in_order(early)

    def append_in_order(self, segment: Segment) -> None:
        """Append the new part of a segment that starts at or before `expected`."""
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
        """Close the connection and record how it ended."""
        self.state = State.CLOSED
        self.ending = ending
        self.retransmit_at = None

    def tick(self, now: float) -> None:
        """Retransmit if the timer has expired."""
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
        """Retransmit the first outstanding segment."""
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
    """Return the reset that answers a segment of an unknown connection."""
    if segment.flags & ACK:
        return Segment(RST, segment.ack, 0)
    length = len(segment.payload) + bool(segment.flags & (SYN | FIN))
    return Segment(RST | ACK, 0, (segment.seq + length) & SEQUENCE_MASK)
