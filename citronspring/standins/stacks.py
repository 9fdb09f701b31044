"""The TCP stacks of stand-in targets and callers: connections by flow."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from citronspring.standins.datagrams import DatagramServer
from citronspring.standins.service import CallerSession, ServerSession
from citronspring.standins.tcp import Connection, Segment, State, reset_for
from citronspring.tcp_flags import ACK, RST, SYN

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from citronspring.entities import FlowKey
    from citronspring.standins.service import Request

#: Seconds for which a closed connection still acknowledges the other side's FIN.
LINGER_SECONDS = 5.0

MAX_SEQUENCE = 0xFFFFFFFF

#: A flow and a segment to send on it.
Outgoing = tuple["FlowKey", Segment]


def reset_unknown(flow: FlowKey, segment: Segment) -> list[Outgoing]:
    """Return the reset for a segment of an unknown connection; resets get none."""
    if segment.flags & RST:
        return []
    return [(flow, reset_for(segment))]


def take_outgoing(flow: FlowKey, connection: Connection) -> list[Outgoing]:
    """Remove and return the segments that a connection has queued."""
    return [(flow, item) for item in connection.take_outbox()]


def pop_expired(remove_at: dict[FlowKey, float], now: float) -> list[FlowKey]:
    """Remove and return the flows whose closed connections have expired."""
    flows = [flow for flow, due in remove_at.items() if due <= now]
    for flow in flows:
        del remove_at[flow]
    return flows


@dataclass(slots=True, eq=False)
class TargetStack:
    """The TCP stack and server of a target."""

    rng: random.Random
    #: Called with each request that runs.
    on_run: Callable[[Request], None]
    connections: dict[FlowKey, Connection] = field(default_factory=dict)
    sessions: dict[FlowKey, ServerSession] = field(default_factory=dict)
    #: Times at which closed connections are removed, by flow.
    remove_at: dict[FlowKey, float] = field(default_factory=dict)
    #: Answer every SYN with a reset while set.
    shedding: bool = False
    #: Times of accepted connections, to detect new flows on a leaving target.
    accepted_at: list[float] = field(default_factory=list)
    datagrams: DatagramServer = field(init=False)

    def __post_init__(self) -> None:
        self.datagrams = DatagramServer(self.rng, self.on_run)

    def receive(self, flow: FlowKey, segment: Segment, now: float) -> list[Outgoing]:
        """Handle a segment; return what to send."""
        connection = self.connections.get(flow)
        opening = segment.flags & SYN and not segment.flags & ACK
        if opening and (connection is None or connection.state is State.CLOSED):
            return self.open(flow, segment, now)
        if connection is None:
            return reset_unknown(flow, segment)
        connection.receive(segment, now)
        return self.advance(flow, connection, now)

    def open(self, flow: FlowKey, segment: Segment, now: float) -> list[Outgoing]:
        """Accept a connection, or refuse it while shedding load."""
        if self.shedding:
            return [(flow, reset_for(segment))]
        initial_seq = self.rng.randint(0, MAX_SEQUENCE)
        connection = Connection.accept(segment, initial_seq, now)
        self.connections[flow] = connection
        self.sessions[flow] = ServerSession(self.on_run)
        self.remove_at.pop(flow, None)
        self.accepted_at.append(now)
        return take_outgoing(flow, connection)

    def advance(
        self, flow: FlowKey, connection: Connection, now: float
    ) -> list[Outgoing]:
        """Advance the server's session, and return what to send."""
        if connection.state is State.ESTABLISHED:
            self.sessions[flow].advance(connection, now)
        elif connection.state is State.CLOSED:
            self.remove_at.setdefault(flow, now + LINGER_SECONDS)
        return take_outgoing(flow, connection)

    def tick(self, now: float) -> list[Outgoing]:
        """Run timers, send what is due of streams, and remove expired connections."""
        outgoing: list[Outgoing] = []
        for flow, connection in list(self.connections.items()):
            connection.tick(now)
            outgoing += self.advance(flow, connection, now)
        for flow in pop_expired(self.remove_at, now):
            del self.connections[flow]
            del self.sessions[flow]
        return outgoing

    @property
    def open_count(self) -> int:
        """Number of connections that are not closed."""
        return sum(item.state is not State.CLOSED for item in self.connections.values())


@dataclass(slots=True, eq=False)
class CallerStack:
    """The TCP stack of callers, and their requests."""

    rng: random.Random
    connections: dict[FlowKey, Connection] = field(default_factory=dict)
    sessions: dict[FlowKey, CallerSession] = field(default_factory=dict)
    #: Times at which closed connections are removed, by flow.
    remove_at: dict[FlowKey, float] = field(default_factory=dict)

    def open(self, flow: FlowKey, request: Request, now: float) -> list[Outgoing]:
        """Start a request on a new connection."""
        initial_seq = self.rng.randint(0, MAX_SEQUENCE)
        connection = Connection.connect(initial_seq, now)
        self.connections[flow] = connection
        self.sessions[flow] = CallerSession(request)
        self.remove_at.pop(flow, None)
        return take_outgoing(flow, connection)

    def receive(self, flow: FlowKey, segment: Segment, now: float) -> list[Outgoing]:
        """Handle a segment; return what to send."""
        connection = self.connections.get(flow)
        if connection is None:
            return reset_unknown(flow, segment)
        connection.receive(segment, now)
        return self.advance(flow, connection, now)

    def advance(
        self, flow: FlowKey, connection: Connection, now: float
    ) -> list[Outgoing]:
        """Advance the request, and return what to send."""
        session = self.sessions.get(flow)
        if session is not None:
            session.advance(connection, now)
        if connection.state is State.CLOSED:
            self.remove_at.setdefault(flow, now + LINGER_SECONDS)
        return take_outgoing(flow, connection)

    def tick(self, now: float) -> list[Outgoing]:
        """Run timers, send what is due of uploads, and remove expired connections."""
        outgoing: list[Outgoing] = []
        for flow, connection in list(self.connections.items()):
            connection.tick(now)
            outgoing += self.advance(flow, connection, now)
        for flow in pop_expired(self.remove_at, now):
            del self.connections[flow]
        return outgoing
