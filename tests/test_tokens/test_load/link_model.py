"""A host behind one link: packets of callers wait in a queue, without loss."""

from heapq import heappop, heappush
from itertools import count

from citronspring.tcp_flags import ACK, FIN, SYN
from citronspring.tokens.entities import Packet
from citronspring.tokens.messages import Forward

#: Bytes of a packet's headers and its largest payload; packets in flight.
HEADERS = 59
PAYLOAD = 1200
WINDOW = 16

#: Seconds of a round trip and of a request's work; time of one that has not ended.
ROUND_TRIP = 0.008
WORK = 0.013
NEVER = 1e9


class LinkModel:
    """The queue before a host, with a clock."""

    def __init__(self, driver, rate):
        self.driver, self.rate, self.free_at = driver, rate, 0.0
        self.events, self.ids = [], count()

    def after(self, seconds, act, *args):
        heappush(self.events, (self.driver.now + seconds, next(self.ids), act, args))

    def send(self, caller, flags, length, then):
        """Send a packet; ``then`` gets the host's action when it has arrived."""
        position = caller.token, caller.seq, caller.ack
        packet = Packet(caller.flow, caller.route, flags, *position, length)
        caller.seq += length
        self.free_at = (
            max(self.free_at, self.driver.now) + (length + HEADERS) / self.rate
        )
        self.after(self.free_at - self.driver.now, self.arrive, packet, then)

    def arrive(self, packet, then):
        self.driver.tables.link_usage.received += packet.length + HEADERS
        then(self.driver.receive(packet))

    def run(self):
        while self.events:
            self.driver.now, _, act, args = heappop(self.events)
            self.driver.core.begin_iteration(self.driver.now)
            act(*args)
            self.driver.core.tick(self.driver.now)


class Exchange:
    """A flow with one request, of which every second packet is acknowledged."""

    def __init__(self, model, caller, size):
        self.model, self.caller, self.left = model, caller, size
        self.in_flight, self.missing, self.seconds = 0, -(-size // PAYLOAD), NEVER
        self.started_at = model.driver.now
        model.send(caller, SYN, 0, self.connect)

    def connect(self, action):
        self.admitted = isinstance(action, Forward)
        if self.admitted:
            self.caller.token = action.token
            self.caller.seq += 1
            self.model.after(ROUND_TRIP, self.send_window)

    def send_window(self, acknowledged=0):
        self.in_flight -= acknowledged
        while self.left and self.in_flight < WINDOW:
            length = min(self.left, PAYLOAD)
            self.left, self.in_flight = self.left - length, self.in_flight + 1
            self.model.send(self.caller, ACK, length, self.arrive)

    def arrive(self, action):
        assert isinstance(action, Forward)
        self.missing -= 1
        if self.missing % 2 == 0:
            self.model.after(ROUND_TRIP, self.send_window, 2)
        if not self.missing:
            self.model.after(ROUND_TRIP + WORK, self.finish)

    def finish(self):
        self.seconds = self.model.driver.now - self.started_at
        self.caller.ack += 900
        self.model.send(self.caller, FIN | ACK, 0, bool)
