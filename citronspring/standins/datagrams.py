"""Requests in single datagrams: non-idempotent, never retransmitted by the caller."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from citronspring.standins.service import (
    CallerSession,
    Outcome,
    Request,
    expected_answer,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from citronspring.entities import FlowKey

#: Longest time until a server answers, seconds; longer than a host watches a datagram.
MAX_SERVICE_SECONDS = 2.5


@dataclass(frozen=True, slots=True)
class Datagram:
    """A datagram of a flow, or the report that its destination was unreachable."""

    flow: FlowKey
    payload: bytes
    unreachable: bool = False


@dataclass(slots=True, eq=False)
class DatagramServer:
    """A target's server for datagram requests."""

    rng: random.Random
    on_run: Callable[[Request], None]
    #: Answers to be sent, each with its time.
    pending_answers: list[tuple[float, Datagram]] = field(default_factory=list)

    def receive(self, datagram: Datagram, shedding: bool, now: float) -> list[Datagram]:
        """Run a request at once and answer it later; refuse it while shedding load."""
        if shedding:
            return [Datagram(datagram.flow, b"", unreachable=True)]
        request = Request.from_header(datagram.payload)
        self.on_run(request)
        answer = Datagram(datagram.flow, expected_answer(request))
        self.pending_answers.append(
            (now + self.rng.uniform(0.0, MAX_SERVICE_SECONDS), answer)
        )
        return []

    def tick(self, now: float) -> list[Datagram]:
        """Return the answers that are due."""
        ready = [answer for at, answer in self.pending_answers if at <= now]
        self.pending_answers = [item for item in self.pending_answers if item[0] > now]
        return ready


@dataclass(slots=True, eq=False)
class DatagramCaller:
    """Callers that send one datagram per flow."""

    sessions: dict[FlowKey, CallerSession] = field(default_factory=dict)

    def open(self, flow: FlowKey, request: Request) -> Datagram:
        """Start a request, and return its datagram."""
        self.sessions[flow] = CallerSession(request)
        return Datagram(flow, request.header())

    def receive(self, datagram: Datagram) -> None:
        """Compare an answer with the expected one."""
        session = self.sessions.get(datagram.flow)
        if session is None or session.outcome is not None:
            return
        if datagram.unreachable:
            session.outcome = Outcome.REFUSED
            session.refusal = datagram.payload.decode() or "unreachable"
            return
        matches = datagram.payload == expected_answer(session.request)
        session.outcome = Outcome.COMPLETED if matches else Outcome.WRONG
