"""The service that stand-in targets provide to stand-in callers.

Each request has a connection of its own: a header line, a body for uploads, then the
answer. An answer names its request, so that callers detect the answer to another one.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from functools import lru_cache
from typing import TYPE_CHECKING

from xxhash import xxh64_digest, xxh64_hexdigest

from citronspring.standins.tcp import Ending, State

if TYPE_CHECKING:
    from collections.abc import Callable

    from citronspring.standins.tcp import Connection


#: Paced bodies are sent in chunks of this many bytes. Otherwise each acknowledgement
#: would release a few bytes, and a slow stream would cost thousands of packets.
PACED_CHUNK = 512


class RequestKind(Enum):
    """Kinds of requests."""

    #: The caller sends a long body, the target answers with its digest.
    UPLOAD = "UPLOAD"
    #: The target streams a long body.
    PREVIEW = "PREVIEW"
    #: Non-idempotent: must be run at most once.
    CORRECTION = "CORRECTION"


@dataclass(frozen=True, slots=True)
class Request:
    """One request of a caller."""

    request_id: str
    kind: RequestKind
    #: Size of the body that is uploaded or streamed, bytes.
    size: int
    #: Rate at which the body is sent, bytes per second.
    rate: float

    def header(self) -> bytes:
        """Return the request line."""
        fields = (self.kind.value, self.request_id, self.size, self.rate)
        return " ".join(map(str, fields)).encode() + b"\n"

    @classmethod
    def from_header(cls, line: bytes) -> Request:
        """Parse a request line."""
        kind, request_id, size, rate = line.decode().split()
        return cls(request_id, RequestKind(kind), int(size), float(rate))


def request_body(request: Request) -> bytes:
    """Return the body of a request, which is derived from its id."""
    block = xxh64_digest(request.request_id.encode())
    return (block * (request.size // len(block) + 1))[: request.size]


@lru_cache(maxsize=4096)
def expected_answer(request: Request) -> bytes:
    """Return the complete answer to a request."""
    done = f"DONE {request.request_id} {xxh64_hexdigest(request_body(request))}\n"
    if request.kind is RequestKind.PREVIEW:
        return request_body(request) + done.encode()
    return done.encode()


@dataclass(slots=True)
class PacedBody:
    """A body that is sent at a fixed rate."""

    data: bytes
    rate: float
    started_at: float
    sent: int = 0

    def take_due_bytes(self, now: float) -> bytes:
        """Return the bytes that are due and not yet sent."""
        due = int((now - self.started_at) * self.rate)
        if due < len(self.data):
            due -= due % PACED_CHUNK
        due = min(len(self.data), due)
        chunk = self.data[self.sent : due]
        self.sent = max(self.sent, due)
        return chunk

    @property
    def finished(self) -> bool:
        """Whether the whole body has been taken."""
        return self.sent == len(self.data)


@dataclass(slots=True, eq=False)
class ServerSession:
    """The target's side of one request."""

    #: Called once with the request when it runs.
    on_run: Callable[[Request], None]
    request: Request | None = None
    stream: PacedBody | None = None
    answered: bool = False

    def advance(self, connection: Connection, now: float) -> None:
        """Process the bytes received so far, and send what is due."""
        if self.request is None and not self.read_header(connection, now):
            return
        assert self.request is not None
        if self.stream is not None:
            chunk = self.stream.take_due_bytes(now)
            if chunk:
                connection.send(chunk, now)
        if not self.answered and self.is_ready_to_answer(connection):
            self.answer(connection, now)

    def read_header(self, connection: Connection, now: float) -> bool:
        """Read the request line once it is complete; return whether it is."""
        line, newline, rest = bytes(connection.received).partition(b"\n")
        if not newline:
            return False
        connection.received[:] = rest
        self.request = Request.from_header(line)
        if self.request.kind is RequestKind.PREVIEW:
            body = request_body(self.request)
            self.stream = PacedBody(body, self.request.rate, now)
        return True

    def is_ready_to_answer(self, connection: Connection) -> bool:
        """Whether the request can be answered."""
        assert self.request is not None
        if self.stream is not None:
            return self.stream.finished
        if self.request.kind is RequestKind.UPLOAD:
            return len(connection.received) >= self.request.size
        return True

    def answer(self, connection: Connection, now: float) -> None:
        """Run the request and send the answer's last line."""
        assert self.request is not None
        self.answered = True
        self.on_run(self.request)
        digest = xxh64_hexdigest(request_body(self.request))
        if self.request.kind is RequestKind.UPLOAD:
            digest = xxh64_hexdigest(bytes(connection.received))
        line = f"DONE {self.request.request_id} {digest}\n"
        connection.send(line.encode(), now)
        connection.close(now)


class Outcome(Enum):
    """Outcome of a request as its caller observes it."""

    COMPLETED = "whole"
    #: A refusal, which guarantees that the request was not run.
    REFUSED = "refused"
    #: The connection broke after it was established, or was never answered.
    BROKEN = "broken"
    #: An answer other than the expected one, such as that to another request.
    WRONG = "wrong"
    #: A datagram without an answer; the network may have lost it.
    UNANSWERED = "unanswered"


@dataclass(slots=True, eq=False)
class CallerSession:
    """The caller's side of one request."""

    request: Request
    body: PacedBody | None = None
    header_sent: bool = False
    outcome: Outcome | None = None
    #: Text of the refusal.
    refusal: str = ""
    endings: list[str] = field(default_factory=list)

    def advance(self, connection: Connection, now: float) -> None:
        """Send what is due, and check what was received."""
        if self.outcome is not None:
            return
        if connection.state is State.ESTABLISHED:
            self.send_due(connection, now)
        expected = len(expected_answer(self.request))
        if len(connection.received) >= expected:
            self.check_answer(connection, now)
        elif connection.ending is Ending.REFUSED:
            self.outcome = Outcome.REFUSED
            self.refusal = connection.refusal.decode()
        elif connection.ending is not None:
            self.outcome = Outcome.BROKEN
            self.endings.append(connection.ending.value)

    def send_due(self, connection: Connection, now: float) -> None:
        """Send the header, then the body at its rate."""
        if not self.header_sent:
            self.header_sent = True
            connection.send(self.request.header(), now)
            if self.request.kind is RequestKind.UPLOAD:
                self.body = PacedBody(
                    request_body(self.request), self.request.rate, now
                )
        if self.body is not None:
            chunk = self.body.take_due_bytes(now)
            if chunk:
                connection.send(chunk, now)

    def check_answer(self, connection: Connection, now: float) -> None:
        """Compare the answer with the expected one, and close the connection."""
        matches = bytes(connection.received) == expected_answer(self.request)
        self.outcome = Outcome.COMPLETED if matches else Outcome.WRONG
        connection.close(now)
