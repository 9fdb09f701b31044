"""The callers of a run: requests of every kind, each on a connection of its own."""

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

#: Bytes of the shortest and the longest body, and bytes a second it goes at.
MIN_BODY_BYTES = 200
MAX_BODY_BYTES = 16_000
BODY_RATE = 2_000.0

#: Place in a flow key of the last byte of the service address, which tells accounts.
SERVICE_BYTE = 4

#: Share of requests that go in one datagram.
DATAGRAM_SHARE = 0.2

#: Share of requests that last through most of a run.
LONG_SHARE = 0.1
LONG_BODY_BYTES = 30_000


def account_of(flow: FlowKey) -> str:
    """Return the client account whose service address a flow has."""
    return list(TARGETS_PER_ACCOUNT)[flow[SERVICE_BYTE] - 1]


@dataclass(slots=True)
class Workload:
    """Opens requests and notes how they end."""

    network: Network
    history: History
    rng: random.Random
    #: Service address of each client account.
    addresses: dict[str, str]
    port: int
    opened: dict[FlowKey, Request] = field(default_factory=dict)
    #: Flows whose end is noted.
    ended: set[FlowKey] = field(default_factory=set)

    def arrive(self, until: float, per_second: float) -> None:
        """Open a request now, and go on until a time."""
        self.open()
        gap = self.rng.expovariate(per_second)
        if self.network.now + gap < until:
            self.network.after(gap, lambda: self.arrive(until, per_second))

    def open(self) -> None:
        """Open one request of some kind at some client account."""
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
        """Return a request of some kind and length."""
        kind = self.rng.choice(list(RequestKind))
        size = self.rng.randint(MIN_BODY_BYTES, MAX_BODY_BYTES)
        if self.rng.random() < LONG_SHARE:
            size = LONG_BODY_BYTES
        return Request(request_id, kind, size, BODY_RATE)

    def record_ends(self) -> None:
        """Note the requests that ended since the last call."""
        for sessions in self.all_sessions():
            for flow, session in list(sessions.items()):
                if session.outcome is not None and flow not in self.ended:
                    self.record_end(sessions, flow, session.outcome)

    def all_sessions(self) -> tuple[dict[FlowKey, CallerSession], ...]:
        """Return the sessions over TCP and those over datagrams."""
        network = self.network
        return network.callers.sessions, network.datagram_callers.sessions

    def record_end(
        self,
        sessions: dict[FlowKey, CallerSession],
        flow: FlowKey,
        outcome: Outcome,
    ) -> None:
        """Note how one request ended."""
        self.ended.add(flow)
        session = sessions.pop(flow)
        detail = session.refusal or " ".join(session.endings)
        entry = RequestEnded(
            self.network.now, session.request.request_id, outcome, detail
        )
        self.history.add(entry)

    @property
    def unfinished(self) -> int:
        """Requests over TCP that have not ended."""
        return len(self.network.callers.sessions)

    def end_unfinished(self) -> None:
        """Note connections that never ended as broken, and lost datagrams."""
        streams, datagrams = self.all_sessions()
        for flow in list(streams):
            self.record_end(streams, flow, Outcome.BROKEN)
        for flow in list(datagrams):
            self.record_end(datagrams, flow, Outcome.UNANSWERED)
