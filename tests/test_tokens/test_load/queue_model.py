"""A small model of a fleet: hosts place requests, targets are queues with slots.

Every request has a flow of its own. Work is exponential around the target's mean; a
share of the requests takes seven times as long. Targets reject what their queue does
not hold, after 115 ms. Crossing to another zone and back takes 4 ms.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from itertools import count

from citronspring.tcp_flags import ACK
from citronspring.tokens.balancer import TokenBalancer
from citronspring.tokens.entities import Packet
from citronspring.tokens.flows import close_flow, start_flow, start_request
from citronspring.tokens.forwarding import update_flow
from citronspring.tokens.messages import ListEntries, Page
from citronspring.tokens.placement import choose_target, note_placed
from citronspring.tokens.times import ReaderTimes
from tests.test_tokens.driver import PREVIEWS, make_configuration, make_target

#: Requests that a target queues beyond its slots.
QUEUE = 4

#: Seconds after which a target rejects a request that its queue does not hold.
REJECTION_DELAY = 0.115

#: Seconds that a request and its answer take within a zone, and between zones.
HOME_DELAY = 0.001
CROSSING_DELAY = 0.005

#: Mean seconds of work of a request at a target of speed 1, without the slow ones.
MEAN_WORK = 0.013

ANSWER_BYTES = 900
REJECTION_BYTES = 130


class ModelTarget:
    """A target: slots, a queue, a mean time per request."""

    def __init__(self, fleet, entry, mean):
        self.fleet = fleet
        self.entry = entry
        self.mean = mean
        self.failing = False
        self.working = 0
        self.queue = deque()
        self.served = 0
        self.arrivals = 0

    def receive(self, request):
        self.arrivals += 1
        if self.failing:
            self.fleet.after(0.0005, request.end, REJECTION_BYTES)
        elif self.working < self.entry.slots:
            self.start(request)
        elif len(self.queue) < QUEUE:
            self.queue.append(request)
        else:
            self.fleet.after(REJECTION_DELAY, request.end, REJECTION_BYTES)

    def start(self, request):
        self.working += 1
        work = self.fleet.rng.expovariate(1 / self.mean)
        if self.fleet.rng.random() < self.fleet.tail:
            work *= 7
        self.fleet.after(work, self.finish, request)

    def finish(self, request):
        self.working -= 1
        self.served += 1
        request.end(ANSWER_BYTES)
        if self.queue:
            self.start(self.queue.popleft())


class ModelRequest:
    """One request through a host, on a flow of its own."""

    def __init__(self, fleet, core, weight):
        self.fleet = fleet
        self.tables = core.tables
        self.began = fleet.now
        key = next(fleet.numbers)
        self.packet = Packet(key.to_bytes(12, "big"), PREVIEWS, ACK, 0, 1, 1, 0)
        row = choose_target(self.tables, "previews", [], fleet.now, weight)
        route = self.tables.routes[PREVIEWS]
        self.flow = start_flow(self.tables, self.packet, route, row, fleet.now)
        self.flow.open = True
        note_placed(row, fleet.now)
        start_request(self.flow, fleet.now)
        self.crossed = row.target.zone != self.tables.zone
        self.delay = CROSSING_DELAY if self.crossed else HOME_DELAY
        target = fleet.targets[row.target.target_id]
        fleet.after(self.delay / 2, target.receive, self)

    def end(self, size):
        self.fleet.after(self.delay / 2, self.answered, size)

    def answered(self, size):
        self.packet.ack += size
        now = self.fleet.now
        update_flow(self.tables, self.packet, self.flow, now)
        close_flow(self.tables, self.packet.flow, self.flow)
        result = (now, now - self.began, size == ANSWER_BYTES, self.crossed)
        self.fleet.results.append(result)


class Fleet:
    """Hosts and targets of several zones on a clock of their own."""

    def __init__(self, *, hosts, speeds, zones=("north",), tail=0.03, seed=1):
        self.rng = random.Random(seed)
        self.tail = tail
        self.now = 100.0
        self.events = []
        self.numbers = count()
        self.results = []
        entries = []
        self.targets = {}
        for number, speed in enumerate(speeds, 1):
            entry = make_target(number, zones[number % len(zones)])
            entries.append(entry)
            self.targets[entry.target_id] = ModelTarget(self, entry, MEAN_WORK / speed)
        self.cores = []
        for number in range(hosts):
            zone = zones[number % len(zones)]
            times = ReaderTimes.from_bounds(3.0, 4.0)
            core = TokenBalancer.from_config(f"host-{number}", zone, times)
            page = Page((make_configuration(), *entries), 1, None)
            core.handle_store_answer(ListEntries(), page, 100.0, 100.0)
            self.cores.append(core)

    def after(self, seconds, action, *words):
        heapq.heappush(
            self.events, (self.now + seconds, next(self.numbers), action, words)
        )

    def load(self, rate, weight=1.0, cores=None):
        """Let requests arrive at a rate per second, spread over hosts at random."""
        cores = cores or self.cores

        def arrive():
            self.after(self.rng.expovariate(rate), arrive)
            ModelRequest(self, self.rng.choice(cores), weight)

        arrive()

    def run(self, seconds):
        """Run for some seconds; return the requests that ended in that time."""
        until = self.now + seconds
        first = len(self.results)
        while self.events and self.events[0][0] <= until:
            self.now, _, action, words = heapq.heappop(self.events)
            action(*words)
        self.now = until
        return self.results[first:]


def mean_time(results):
    """Return the mean seconds of the requests that were served."""
    times = [seconds for _, seconds, served, _ in results if served]
    return sum(times) / len(times)
