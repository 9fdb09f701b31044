"""Hosts, targets, callers, routers and a store, wired for one run."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from citronspring.emulator.callers import EmulatedCaller
from citronspring.emulator.checker import CHANGE_BOUND, SETTLING, Checker
from citronspring.emulator.clock import Clock
from citronspring.emulator.hosts import EmulatedHost
from citronspring.emulator.links import Link
from citronspring.emulator.network import Network
from citronspring.emulator.routers import Routers
from citronspring.emulator.store import EmulatedStore
from citronspring.emulator.targets import EmulatedTarget
from citronspring.tokens.entities import Route, Share, route_key
from citronspring.tokens.entries import Configuration
from citronspring.tokens.times import ReaderTimes

if TYPE_CHECKING:
    from citronspring.emulator.callers import Request

ZONES = ("north", "south", "west")
SERVICE_ADDRESS = 0xC6120001
STREAMS = route_key(SERVICE_ADDRESS, 443)
ORDERS = route_key(SERVICE_ADDRESS, 8443)
UPLOADS = route_key(SERVICE_ADDRESS, 9443)
SERVICES = {STREAMS: "desk", ORDERS: "desk", UPLOADS: "archive"}

#: Seconds before traffic in which hosts and targets come up.
TRAFFIC_START = 2.0

#: Seconds until each kind of request is given up by its caller.
DEADLINES = {STREAMS: 1.5, ORDERS: 2.0, UPLOADS: 3.0}

#: Seconds within which an answer counts as in time.
LATENCY_OBJECTIVE = 0.2

#: Hosts that all others know from their settings.
SEED_HOSTS = 3

#: Requests that one stream sends over its flow.
STREAM_REQUESTS = 8

#: Seconds that a leaving target serves on.
LEAVE_SECONDS = 6.0


@dataclass(slots=True)
class Sizes:
    """How large a run is."""

    hosts_per_zone: int = 2
    desk_per_zone: int = 3
    archive_per_zone: int = 1
    #: Callers that start a second.
    callers_per_second: float = 25.0
    #: Seconds of traffic.
    seconds: float = 25.0
    #: Bytes a second that each host's link carries, either way.
    link_rate: float = math.inf
    #: Seconds within which operators want answers, by the configuration; targets
    #: turn requests away when they are full.
    objective: float = math.inf
    targets_shed: bool = False
    #: Bytes a second at which answers of the store come in to each host.
    download_rate: float = math.inf
    #: Seconds within which changes are in force, and after a trouble again.
    change_bound: float = CHANGE_BOUND
    settling: float = SETTLING
    #: Seconds for which a target that starts during traffic works slower.
    warmup_seconds: float = 0.0


@dataclass(slots=True)
class World:
    """One run."""

    clock: Clock
    network: Network
    store: EmulatedStore
    checker: Checker
    routers: Routers
    sizes: Sizes
    hosts: list[EmulatedHost] = field(default_factory=list)
    targets: dict[int, EmulatedTarget] = field(default_factory=dict)
    revision: int = 0
    extra_routes: int = 0
    #: Routes that see no traffic.
    idle_routes: int = 0
    callers: int = 0
    #: How many times the usual callers there are now.
    load_factor: float = 1.0

    @classmethod
    def from_seed(cls, seed: int, sizes: Sizes) -> World:
        """Make a world whose hosts and targets start up."""
        clock = Clock(seed)
        network = Network(clock)
        store = EmulatedStore(clock)
        checker = Checker(clock, network, store, sizes.change_bound, sizes.settling)
        world = cls(clock, network, store, checker, Routers(clock, network), sizes)
        checker.targets, checker.zones = world.targets, ZONES
        world.change_configuration()
        for zone in ZONES:
            for _ in range(sizes.desk_per_zone):
                world.add_target("desk", zone)
            for _ in range(sizes.archive_per_zone):
                world.add_target("archive", zone)
            for number in range(sizes.hosts_per_zone):
                world.add_host(f"{zone}-{number}", zone)
        world.routers.hosts = world.hosts
        for host in world.hosts:
            host.peers = [
                other for other in world.hosts[:SEED_HOSTS] if other is not host
            ]
            host.fleet = {other.host_id: other for other in world.hosts}
        clock.after(0.1, world.routers.probe)
        clock.at(TRAFFIC_START, world.start_callers)
        return world

    # Parts -----------------------------------------------------------------------

    def add_host(self, host_id: str, zone: str) -> None:
        """Start a host."""
        times = ReaderTimes.from_bounds(
            self.sizes.change_bound, self.sizes.settling, self.sizes.download_rate
        )
        host = EmulatedHost(
            self.clock,
            self.network,
            self.store,
            self.checker,
            host_id,
            zone,
            times,
            self.targets,
        )
        host.inbound_link = Link(self.sizes.link_rate)
        host.outbound_link = Link(self.sizes.link_rate)
        host.download_rate = self.sizes.download_rate
        self.hosts.append(host)
        host.start()

    def add_target(self, service: str, zone: str) -> EmulatedTarget:
        """Start a target, which registers."""
        incarnation = (len(self.targets) + 1) * 0x1001
        target = EmulatedTarget(
            self.clock, self.network, self.checker, incarnation, service, zone
        )
        target.sheds = self.sizes.targets_shed
        if self.clock.now > TRAFFIC_START:
            self.begin_warmup(target)
        self.targets[incarnation] = target
        self.store.put_target(target.entry())
        return target

    def begin_warmup(self, target: EmulatedTarget) -> None:
        """Have a target work slower for a while, as after a start."""
        target.warmup_until = self.clock.now + self.sizes.warmup_seconds

    def drain_zone(self, zone: str) -> None:
        """Have operators drain a zone."""
        self.checker.zone_checker.drained_at.setdefault(zone, self.clock.now)
        self.store.put_drain(zone)

    def end_drain(self, zone: str) -> None:
        """Have operators use a zone again; its targets have gone cold meanwhile."""
        self.checker.zone_checker.drained_at.pop(zone, None)
        for target in self.targets.values():
            if target.zone == zone and target.alive and self.sizes.warmup_seconds:
                self.begin_warmup(target)
                self.store.put_target(target.entry())
        self.store.end_drain(zone)

    def replace_target(self, target: EmulatedTarget) -> None:
        """Have a target leave, with another in its place."""
        self.add_target(target.service, target.zone)
        target.leaving_at = self.clock.now
        self.store.put_target(target.entry())
        self.clock.after(LEAVE_SECONDS, lambda: self.end_target(target))

    def end_target(self, target: EmulatedTarget) -> None:
        """End a target whose entry goes with it."""
        target.crash()
        self.store.remove_target(target)

    def change_configuration(self) -> None:
        """Have the operators add a route, or remove what they added."""
        self.revision += 3
        self.extra_routes = (self.extra_routes + 1) % 3
        keys = [*SERVICES, *(STREAMS + 1000 + n for n in range(self.extra_routes))]
        routes = []
        for key in keys:
            service = SERVICES.get(key, "desk")
            idempotent = key != ORDERS and key != UPLOADS
            shares = (Share(service, 1.0),)
            name = f"route-{key & 0xFFFF}"
            priority = 1 if key == ORDERS else 2
            objective = self.sizes.objective
            route = Route(name, key, shares, idempotent, objective, priority)
            routes.append(route)
            self.checker.services.setdefault(key, set()).add(service)
        routes += map(idle_route, range(self.idle_routes))
        configuration = Configuration(self.revision, tuple(routes), 15.0)
        self.store.put_configuration(configuration)
        self.checker.accepted.append((self.clock.now, configuration))

    # Traffic ---------------------------------------------------------------------

    def start_callers(self) -> None:
        """Have callers start at random times until traffic ends."""
        if self.clock.now >= TRAFFIC_START + self.sizes.seconds:
            return
        self.start_caller()
        rate = self.load_factor * self.sizes.callers_per_second
        pause = self.clock.rng.expovariate(rate)
        self.clock.after(pause, self.start_callers)

    def start_caller(self) -> None:
        """Start one caller with a flow of its own."""
        rng = self.clock.rng
        route = rng.choices((STREAMS, ORDERS, UPLOADS), (3, 5, 2))[0]
        if rng.random() < 0.02:
            route = STREAMS + 1000
        self.callers += 1
        caller = EmulatedCaller(
            self.clock,
            self.routers,
            self.checker,
            rng.choice(ZONES),
            route,
            route not in (ORDERS, UPLOADS),
            DEADLINES.get(route, 1.5),
            STREAM_REQUESTS if route == STREAMS else 1,
            self.callers << 20,
        )
        caller.start()

    def run(self) -> None:
        """Play the run to its end, and the last answers."""
        self.clock.run_until(TRAFFIC_START + self.sizes.seconds + 3.0)

    def in_time(self, request: Request) -> bool:
        """Whether a request was answered within the objective."""
        answered_at = request.answered_at
        return answered_at is not None and (
            answered_at - request.started_at <= LATENCY_OBJECTIVE
        )


def idle_route(number: int) -> Route:
    """Return a route that sees no traffic."""
    address, port = SERVICE_ADDRESS + 1 + number // 1000, 1 + number % 1000
    shares = (Share("desk", 1.0),)
    return Route(f"idle-{number}", route_key(address, port), shares, True)
