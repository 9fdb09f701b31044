"""Drives a token core step by step: packets, time, and answers of the store."""

from __future__ import annotations

from citronspring.endpoints import Endpoint
from citronspring.tcp_flags import ACK, FIN, SYN
from citronspring.tokens.balancer import TokenBalancer
from citronspring.tokens.entities import Packet, Route, Share, route_key
from citronspring.tokens.entries import Configuration, Target, TargetRemoved, Unreadable
from citronspring.tokens.messages import (
    Changes,
    Drop,
    Forward,
    ListEntries,
    Log,
    Page,
    ResetCaller,
    Unanswered,
)
from citronspring.tokens.times import ReaderTimes

ADDRESS = 0xC6120001
PREVIEWS = route_key(ADDRESS, 443)
ORDERS = route_key(ADDRESS, 8443)
CONTROL_ROUTE = route_key(ADDRESS, 80)

#: Incarnation of a target of another service that always answers.
CONTROL_TARGET = 0x99

#: Seconds within which a change must be applied, and those after a fault from which
#: that holds again.
BOUND = 3.0
SETTLING = 4.0


def make_route(key=PREVIEWS, service="previews", *, idempotent=True):
    return Route(f"route-{key & 0xFFFF}", key, (Share(service, 1.0),), idempotent)


def make_configuration(revision=1, routes=None):
    if routes is None:
        routes = (make_route(), make_route(ORDERS, idempotent=False))
    return Configuration(revision, tuple(routes), idle_timeout=15.0)


def make_target(number, zone="north", *, service="previews", **fields):
    values = {
        "target_id": f"i-{number:x}",
        "incarnation": number,
        "endpoint": Endpoint(f"10.0.0.{number & 0xFF}", 8080),
        "service": service,
        "zone": zone,
        "slots": 2,
        "leaving": False,
        "warmup": 0.0,
        "revision": 1,
    }
    return Target(**{**values, **fields})


class Driver:
    """A host in zone north with a clock that the test controls."""

    def __init__(self, *targets, configuration=None, now=100.0):
        times = ReaderTimes.from_bounds(BOUND, SETTLING)
        self.core = TokenBalancer.from_config("host-1", "north", times)
        self.now = now
        self.logs = []
        self.revision = 1
        self.control_count = 0
        self.list_store(configuration or make_configuration(), *targets)

    @property
    def tables(self):
        return self.core.tables

    def list_store(self, *entries, revision=None, unreadable=()):
        """Let the host list the store."""
        self.now = max(self.now, self.tables.reader.call_at)
        self.call = self.core.next_call(self.now)
        assert self.call == ListEntries()
        revision = revision or self.revision
        entries += tuple(
            Unreadable(name, reason, revision)
            for name, reason in dict(unreadable).items()
        )
        self.answer(Page(entries, revision, None))

    def answer(self, answer, sent_at=None):
        """Pass the answer to the open call to the core."""
        sent_at = self.now if sent_at is None else sent_at
        actions = self.core.handle_store_answer(self.call, answer, sent_at, self.now)
        return self.collect_logs(actions)

    def change(self, *changes):
        """Let a watch bring changes."""
        self.revision += 1
        return self.answer(Changes(tuple(changes), self.revision))

    def remove(self, number):
        """Remove a target's entry from the store."""
        self.change(TargetRemoved(f"i-{number:x}", self.revision + 1))

    def fail_call(self):
        """Let the open call fail."""
        return self.answer(Unanswered("no answer in time"))

    def collect_logs(self, actions):
        """Collect log events and return the other actions."""
        self.logs += [action for action in actions if isinstance(action, Log)]
        return [action for action in actions if not isinstance(action, Log)]

    def wait(self, seconds):
        """Advance the clock and run timers that become due."""
        until = self.now + seconds
        actions = []
        while True:
            due = max(self.now, self.core.next_deadline(self.now))
            if due > until:
                break
            self.now = due
            actions += self.collect_logs(self.core.tick(due))
        self.now = until
        return actions

    def receive(self, packet):
        """Pass a packet to the core and return its only action."""
        (action,) = self.collect_logs(self.core.receive(packet, self.now))
        return action

    def answer_control_openings(self):
        """Let targets of another service answer two openings that are sent now.

        This is the only evidence that a time-out of a target is not caused by the host.
        """
        if CONTROL_ROUTE not in self.tables.routes:
            routes = (*self.tables.routes.values(), make_route(CONTROL_ROUTE, "others"))
            revision = self.tables.configuration + 1
            self.change(make_configuration(revision, routes))
            self.change(make_target(CONTROL_TARGET, service="others"))
        sent_at = self.now + 0.001
        self.now = sent_at
        for _ in range(2):
            self.control_count += 1
            self.caller(0x8000 + self.control_count, CONTROL_ROUTE).connect()

    def caller(self, port, route=PREVIEWS):
        """Return the caller's end of a flow."""
        return Caller(self, port, route)


class Caller:
    """The caller's end of one flow; sends what a caller of the platform would."""

    def __init__(self, driver, port, route):
        self.driver = driver
        self.flow = route.to_bytes(6, "big") + port.to_bytes(2, "big")
        self.route = route
        self.seq = 1000 * port
        self.ack = 0
        self.token = 0
        #: Token that the next packet of the flow's target carries.
        self.answer_token = 0

    def send(self, flags, length=0, seq=None):
        seq = self.seq if seq is None else seq
        packet = Packet(self.flow, self.route, flags, self.token, seq, self.ack, length)
        action = self.driver.receive(packet)
        if isinstance(action, Forward):
            self.answer_token = action.token
        return action

    def open(self):
        """Send the opening; return the action."""
        return self.send(SYN)

    def connect(self):
        """Open the flow at the target that the host chose; return its row."""
        action = self.open()
        assert isinstance(action, Forward), action
        self.finish_handshake(action)
        return action.target

    def finish_handshake(self, opening):
        """Receive a target's answer to a forwarded opening and acknowledge it."""
        self.token = opening.token
        self.seq += 1
        self.ack = 5001
        return self.send(ACK)

    def send_request(self, length=100):
        """Send a request."""
        action = self.send(ACK, length)
        self.seq += length
        return action

    def retransmit(self, length=100):
        """Retransmit the last request."""
        return self.send(ACK, length, seq=self.seq - length)

    def acknowledge_answer(self, length=900):
        """Acknowledge an answer of the target."""
        self.token = self.answer_token
        self.ack += length
        return self.send(ACK)

    def close(self):
        """Close the flow."""
        return self.send(FIN | ACK)


def target_of(action):
    """Return the id of the target that a packet was sent to."""
    assert isinstance(action, Forward), action
    return action.target.target.target_id


def reason_of(action):
    """Return why a packet was reset or dropped."""
    assert isinstance(action, ResetCaller | Drop), action
    return action.reason
