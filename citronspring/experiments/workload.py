"""Callers of a run: requests of every kind, each on a separate connection."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from citronspring.entities import Protocol
from citronspring.experiments.history import RequestEnded, RequestOpened
from citronspring.rendezvous import flow_key
from citronspring.standins.sample_configuration import TARGETS_PER_ACCOUNT
from citronspring.standins.service import Outcome, Request, RequestKind

if TYPE_CHECKING:
    from citronspring.entities import FlowKey
    from citronspring.experiments.history import History
    from citronspring.standins.network import Network
    from citronspring.standins.service import CallerSession

#: Address and first port of the callers (a documentation range).
CALLER_IP = "198.51.100.1"
FIRST_PORT = 1024

#: Minimum and maximum body size in bytes, and the rate in bytes a second at which a
#: body is sent.
MIN_BODY_BYTES = 200
MAX_BODY_BYTES = 16_000
BODY_RATE = 2_000.0

#: Index in a flow key of the last byte of the service address, which identifies the
#: client account.
SERVICE_BYTE = 4

#: Share of requests that are sent in one datagram.
DATAGRAM_SHARE = 0.2

#: Share of requests that last for most of a run, and their body size in bytes.
LONG_SHARE = 0.1
LONG_BODY_BYTES = 30_000


def account_of(flow: FlowKey) -> str:
    """Return the client account of a flow's service address."""
    return list(TARGETS_PER_ACCOUNT)[flow[SERVICE_BYTE] - 1]


@dataclass(slots=True)
class Workload:
    """Starts requests and records how they end."""

    network: Network
    history: History
    rng: random.Random
    #: Service address of each client account.
    addresses: dict[str, str]
    port: int
    opened: dict[FlowKey, Request] = field(default_factory=dict)
    #: Flows whose end is recorded.
    ended: set[FlowKey] = field(default_factory=set)

    def schedule_arrivals(self, until: float, per_second: float) -> None:
        """Start a request now, and schedule further ones until a time."""
        self.open()
        gap = self.rng.expovariate(per_second)
        if self.network.now + gap < until:
            self.network.after(gap, lambda: self.schedule_arrivals(until, per_second))

    def open(self) -> None:
        """Start one request of a random kind at a random client account."""
        account_id = self.rng.choice(sorted(self.addresses))
        number = len(self.opened)
        protocol = Protocol.TCP
        request = self.random_request(f"request-{number}")
        if self.rng.random() < DATAGRAM_SHARE:
            protocol = Protocol.UDP
            request = Request(request.request_id, RequestKind.CORRECTION, 1, BODY_RATE)
        flow = flow_key(
            protocol,
            self.addresses[account_id],
            self.port,
            CALLER_IP,
            FIRST_PORT + number,
        )
        self.opened[flow] = request
        now = self.network.now
        entry = RequestOpened(now, request.request_id, account_id, request.kind)
        self.history.add(entry)
        if protocol is Protocol.UDP:
            self.network.start_datagram_request(flow, request)
        else:
            self.network.start_request(flow, request)

    def random_request(self, request_id: str) -> Request:
        """Return a request of random kind and size."""
        kind = self.rng.choice(list(RequestKind))
        size = self.rng.randint(MIN_BODY_BYTES, MAX_BODY_BYTES)
        if self.rng.random() < LONG_SHARE:
            size = LONG_BODY_BYTES
        return Request(request_id, kind, size, BODY_RATE)

    def record_ends(self) -> None:
        """Record the requests that ended since the last call."""
        for sessions in self.all_sessions():
            for flow, session in list(sessions.items()):
                if session.outcome is not None and flow not in self.ended:
                    self.record_end(sessions, flow, session.outcome)

    def all_sessions(self) -> tuple[dict[FlowKey, CallerSession], ...]:
        """Return the TCP sessions and the datagram sessions by flow."""
        network = self.network
        return network.callers.sessions, network.datagram_callers.sessions

    def record_end(
        self,
        sessions: dict[FlowKey, CallerSession],
        flow: FlowKey,
        outcome: Outcome,
    ) -> None:
        """Record how one request ended."""
        self.ended.add(flow)
        session = sessions.pop(flow)
        detail = session.refusal or " ".join(session.endings)
        entry = RequestEnded(
            self.network.now, session.request.request_id, outcome, detail
        )
        self.history.add(entry)

    @property
    def unfinished(self) -> int:
        """Number of TCP requests that have not ended."""
        return len(self.network.callers.sessions)

    def end_unfinished(self) -> None:
        """Record open TCP requests as broken and open datagrams as unanswered."""
        streams, datagrams = self.all_sessions()
        for flow in list(streams):
            self.record_end(streams, flow, Outcome.BROKEN)
        for flow in list(datagrams):
            self.record_end(datagrams, flow, Outcome.UNANSWERED)
