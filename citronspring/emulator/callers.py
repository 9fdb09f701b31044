"""Emulated callers, which open flows, send requests, retransmit and retry."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from citronspring.tcp_flags import ACK, FIN, RST, SYN
from citronspring.tokens.entities import Packet

if TYPE_CHECKING:
    from citronspring.emulator.checker import Checker
    from citronspring.emulator.clock import Clock
    from citronspring.emulator.routers import Routers
    from citronspring.emulator.targets import Reply

#: Seconds after an opening at which a caller retransmits it.
OPENING_RETRANSMIT_TIMES = (0.2, 0.6)
OPENING_TIMEOUT = 1.4

#: Seconds until unacknowledged bytes are retransmitted, doubled each time up to the
#: maximum.
RETRANSMIT_SECONDS = 0.2
MAX_RETRANSMIT_SECONDS = 1.6

#: Attempts of a request after the first one.
MAX_RETRIES = 2

#: Payload bytes of every request.
REQUEST_BYTES = 200

#: Requests over each further flow from the same port.
REQUESTS_AFTER_REUSE = 8

#: Pauses in seconds before a port is used again; a host may leave in the longest one.
REUSE_PAUSES = (0.01, 0.3, 1.5, 5.0)

#: Mean seconds between two requests of a stream, from an answer to the next request.
MEAN_REQUEST_GAP = 0.5

SEQ_MASK = 0xFFFFFFFF


@dataclass(slots=True)
class Request:
    """A request, across all its attempts."""

    number: int
    started_at: float
    idempotent: bool
    deadline: float
    attempts: int = 0
    runs: int = 0
    answered_at: float | None = None
    failed: bool = False


@dataclass(slots=True, eq=False)
class EmulatedCaller:
    """A caller with one flow at a time; a retry opens a new flow from a new port.

    After its last request it may use the port again, as callers with few ports do.
    """

    clock: Clock
    routers: Routers
    checker: Checker
    zone: str
    route: int
    idempotent: bool
    deadline_seconds: float
    #: Requests that this caller has yet to start.
    requests_left: int
    port: int
    #: Pauses in seconds from the end of each flow to the next one from its port.
    reuse_pauses: list[float] = field(default_factory=list)
    state: str = "closed"
    seq: int = 0
    ack: int = 0
    token: int = 0
    request: Request | None = None
    unacknowledged: int | None = None
    flow: bytes = b""
    bound_to: int | None = None

    def start(self, request: Request | None = None) -> None:
        """Open a flow for a request, by default for a new one."""
        self.request = request or self.create_request()
        self.request.attempts += 1
        self.state = "opening"
        self.seq = self.clock.rng.getrandbits(32)
        self.token = self.ack = 0
        self.port += 1
        key = self.route.to_bytes(6, "big") + self.port.to_bytes(8, "big")
        self.flow = key
        self.send(SYN)
        for seconds in OPENING_RETRANSMIT_TIMES:
            self.clock.after(seconds, lambda f=key: self.retransmit_opening(f))
        self.clock.after(OPENING_TIMEOUT, lambda f=key: self.time_out_opening(f))
        request_now = self.request
        self.clock.at(request_now.deadline, lambda: self.expire_request(request_now))

    def create_request(self) -> Request:
        """Create the next request of this caller."""
        self.requests_left -= 1
        now = self.clock.now
        return self.checker.new_request(
            now, self.idempotent, now + self.deadline_seconds
        )

    def send(self, flags: int, length: int = 0, seq: int | None = None) -> None:
        """Send a packet to the host that the routers choose."""
        seq = self.seq if seq is None else seq
        packet = Packet(self.flow, self.route, flags, self.token, seq, self.ack, length)
        self.routers.forward(self.zone, packet, self)

    def retransmit_opening(self, flow: bytes) -> None:
        """Retransmit the opening if it is unanswered."""
        if self.flow == flow and self.state == "opening":
            self.send(SYN)

    def time_out_opening(self, flow: bytes) -> None:
        """End an attempt whose opening is unanswered; the request has not run."""
        if self.flow == flow and self.state == "opening":
            self.end_attempt(may_have_run=False)

    def expire_request(self, request: Request) -> None:
        """Fail a request that is unanswered at its deadline."""
        if self.request is request and request.answered_at is None:
            request.failed = True
            self.close_flow()

    def receive(self, reply: Reply) -> None:
        """Handle a packet from a target, or a reset from a host."""
        if self.state == "closed" or reply.flow != self.flow:
            return
        if reply.flags & RST:
            self.handle_reset(reply)
        elif reply.flags & SYN:
            self.handle_opening_answer(reply)
        elif self.state == "open":
            self.handle_data(reply)

    def handle_reset(self, reply: Reply) -> None:
        """End the attempt that was reset."""
        opening = self.state == "opening"
        self.checker.caller_reset(self, reply)
        self.end_attempt(may_have_run=not opening)

    def handle_opening_answer(self, reply: Reply) -> None:
        """Acknowledge the first answer to the opening; any answer updates the token."""
        if reply.ack != (self.seq + 1 & SEQ_MASK) and self.state == "opening":
            return
        self.token = reply.token
        if self.state != "opening":
            return
        self.state = "open"
        self.bound_to = reply.sender
        self.seq = self.seq + 1 & SEQ_MASK
        self.ack = reply.seq + 1 & SEQ_MASK
        self.send(ACK)
        self.send_request()

    def send_request(self) -> None:
        """Send the request, and schedule retransmissions until it is acknowledged."""
        start = self.seq
        self.seq = start + REQUEST_BYTES & SEQ_MASK
        self.unacknowledged = start
        self.send(ACK, REQUEST_BYTES, start)
        flow = self.flow
        self.clock.after(
            RETRANSMIT_SECONDS, lambda: self.retransmit(flow, start, RETRANSMIT_SECONDS)
        )

    def retransmit(self, flow: bytes, start: int, waited: float) -> None:
        """Retransmit the request while it is unacknowledged."""
        if self.flow != flow or self.state != "open" or self.unacknowledged != start:
            return
        self.send(ACK, REQUEST_BYTES, start)
        wait = min(2 * waited, MAX_RETRANSMIT_SECONDS)
        self.clock.after(wait, lambda: self.retransmit(flow, start, wait))

    def handle_data(self, reply: Reply) -> None:
        """Handle an acknowledgement or an answer."""
        self.token = reply.token
        if reply.ack == self.seq:
            self.unacknowledged = None
        if reply.length and reply.seq == self.ack:
            self.ack = self.ack + reply.length & SEQ_MASK
            if reply.shed:
                self.send(FIN | ACK)
                self.end_attempt(may_have_run=False)
                return
            self.finish_request()
        elif reply.length:
            self.send(ACK)

    def finish_request(self) -> None:
        """Record the answer, then schedule the next request or close the flow."""
        request = self.request
        assert request is not None
        request.answered_at = self.clock.now
        self.checker.request_answered(self, request)
        if self.requests_left <= 0:
            self.send(FIN | ACK)
            self.close_flow()
            if self.reuse_pauses:
                self.clock.after(self.reuse_pauses.pop(), self.reuse_port)
            return
        self.send(ACK)
        flow = self.flow
        self.clock.after(
            MEAN_REQUEST_GAP * 2 * self.clock.rng.random(),
            lambda: self.send_next_request(flow),
        )

    def send_next_request(self, flow: bytes) -> None:
        """Send the next request over the open flow."""
        if self.flow != flow or self.state != "open":
            return
        request = self.request = self.create_request()
        request.attempts = 1
        self.clock.at(request.deadline, lambda: self.expire_request(request))
        self.send_request()

    def reuse_port(self) -> None:
        """Open the next flow from the port of the last one, if that has ended."""
        if self.state == "closed" and self.checker.live_owner(self.flow) is None:
            self.requests_left = REQUESTS_AFTER_REUSE
            self.port -= 1
            self.start()

    def end_attempt(self, *, may_have_run: bool) -> None:
        """Retry on a new flow if the request is safe to retry and attempts remain."""
        request = self.request
        self.close_flow()
        if request is None or request.answered_at is not None or request.failed:
            return
        allowed = request.idempotent or not may_have_run
        if allowed and request.attempts <= MAX_RETRIES:
            self.start(request)
        else:
            request.failed = True

    def close_flow(self) -> None:
        """Mark the flow as closed."""
        self.state = "closed"
        self.unacknowledged = None
