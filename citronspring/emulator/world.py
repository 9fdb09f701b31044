"""The parts of one run: hosts, targets, callers, routers and a store."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from citronspring.emulator.callers import REUSE_PAUSES, EmulatedCaller
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

#: Seconds before traffic starts, in which hosts and targets start up.
TRAFFIC_START = 2.0

#: Seconds until a caller gives up a request, by route.
DEADLINES = {STREAMS: 1.5, ORDERS: 2.0, UPLOADS: 3.0}

#: Latency objective: seconds within which an answer counts as in time.
LATENCY_OBJECTIVE = 0.2

#: Number of seed hosts, which all others know from their settings.
SEED_HOSTS = 3

#: Requests that a stream sends over one flow.
STREAM_REQUESTS = 8

#: Seconds that a leaving target continues to serve.
LEAVE_SECONDS = 6.0


@dataclass(slots=True)
class Sizes:
    """Sizes and bounds of a run."""

    hosts_per_zone: int = 2
    desk_per_zone: int = 3
    archive_per_zone: int = 1
    #: New callers a second.
    callers_per_second: float = 25.0
    #: Length of the traffic in seconds.
    seconds: float = 25.0
    #: Capacity of each host's link in each direction, in bytes a second.
    link_rate: float = math.inf
    #: Latency objective of the routes in seconds, and whether targets with a full queue
    #: shed requests.
    objective: float = math.inf
    targets_shed: bool = False
    #: Bytes a second at which each host downloads answers of the store.
    download_rate: float = math.inf
    #: Seconds within which changes are applied, and the settling time.
    change_bound: float = CHANGE_BOUND
    settling: float = SETTLING
    #: Requests that a stream sends over one flow.
    stream_requests: int = STREAM_REQUESTS
    #: Flows that a caller opens from the port of its first one.
    port_reuses: int = 0
    #: Length in seconds of the warm-up of a target that starts during traffic.
    warmup_seconds: float = 0.0


@dataclass(slots=True)
class World:
    """The state of one run."""

    clock: Clock
    network: Network
    store: EmulatedStore
    checker: Checker
    routers: Routers
    sizes: Sizes
    hosts: list[EmulatedHost] = field(default_factory=list)
    targets: dict[int, EmulatedTarget] = field(default_factory=dict)
    revision: int = 0
    #: Services of each route with traffic.
    services: dict[int, tuple[str, ...]] = field(
        default_factory=lambda: {key: (name,) for key, name in SERVICES.items()}
    )
    extra_routes: int = 0
    #: Number of routes without traffic.
    idle_routes: int = 0
    callers: int = 0
    #: Current rate of new callers, relative to the usual one.
    load_factor: float = 1.0

    @classmethod
    def from_seed(cls, seed: int, sizes: Sizes) -> World:
        """Build a run whose hosts and targets start up."""
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
        """Start and register a target."""
        incarnation = (len(self.targets) + 1) * 0x1001
        target = EmulatedTarget(
            self.clock, self.network, self.checker, incarnation, service, zone
        )
        target.started_at = self.clock.now
        target.sheds = self.sizes.targets_shed
        if self.clock.now > TRAFFIC_START:
            self.begin_warmup(target)
        self.targets[incarnation] = target
        self.store.put_target(target.entry())
        return target

    def begin_warmup(self, target: EmulatedTarget) -> None:
        """Begin the warm-up of a target, as after a start."""
        target.warmup_until = self.clock.now + self.sizes.warmup_seconds

    def drain_zone(self, zone: str) -> None:
        """Drain a zone."""
        self.checker.zone_checker.drained_at.setdefault(zone, self.clock.now)
        self.store.put_drain(zone)

    def end_drain(self, zone: str) -> None:
        """End the drain of a zone; its targets need a new warm-up."""
        self.checker.zone_checker.drained_at.pop(zone, None)
        for target in self.targets.values():
            if target.zone == zone and target.alive and self.sizes.warmup_seconds:
                self.begin_warmup(target)
                self.store.put_target(target.entry())
        self.store.end_drain(zone)

    def replace_target(self, target: EmulatedTarget) -> None:
        """Start a replacement for a target, which leaves gracefully."""
        self.add_target(target.service, target.zone)
        target.leaving_at = self.clock.now
        self.store.put_target(target.entry())
        self.clock.after(LEAVE_SECONDS, lambda: self.end_target(target))

    def end_target(self, target: EmulatedTarget) -> None:
        """End a target and remove its entry."""
        target.crash()
        self.store.remove_target(target)

    def change_configuration(self) -> None:
        """Commit a configuration that adds a route, or removes the added ones."""
        self.revision += 3
        self.extra_routes = (self.extra_routes + 1) % 3
        keys = [*SERVICES, *(STREAMS + 1000 + n for n in range(self.extra_routes))]
        routes = []
        for key in keys:
            services = self.services.get(key, ("desk",))
            idempotent = key != ORDERS and key != UPLOADS
            shares = tuple(Share(service, 1.0) for service in services)
            name = f"route-{key & 0xFFFF}"
            priority = 1 if key == ORDERS else 2
            objective = self.sizes.objective
            route = Route(name, key, shares, idempotent, objective, priority)
            routes.append(route)
            self.checker.services.setdefault(key, set()).update(services)
        routes += map(idle_route, range(self.idle_routes))
        configuration = Configuration(self.revision, tuple(routes), 15.0)
        self.store.put_configuration(configuration)
        self.checker.accepted.append((self.clock.now, configuration))

    def change_services(self, key: int, *services: str) -> None:
        """Commit a configuration in which a route has other services."""
        self.services[key] = services
        self.checker.shares_changed_at = self.clock.now
        self.change_configuration()

    # Traffic ---------------------------------------------------------------------

    def start_callers(self) -> None:
        """Start callers at random times until traffic ends."""
        if self.clock.now >= TRAFFIC_START + self.sizes.seconds:
            return
        self.start_caller()
        rate = self.load_factor * self.sizes.callers_per_second
        delay = self.clock.rng.expovariate(rate)
        self.clock.after(delay, self.start_callers)

    def start_caller(self) -> None:
        """Start one caller of a random kind in a random zone."""
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
            self.sizes.stream_requests if route == STREAMS else 1,
            self.callers << 20,
            rng.choices(REUSE_PAUSES, k=self.sizes.port_reuses),
        )
        caller.start()

    def run(self) -> None:
        """Run until traffic ends, and three seconds more for the last answers."""
        self.clock.run_until(TRAFFIC_START + self.sizes.seconds + 3.0)

    def in_time(self, request: Request) -> bool:
        """Return whether a request was answered within the latency objective."""
        answered_at = request.answered_at
        return answered_at is not None and (
            answered_at - request.started_at <= LATENCY_OBJECTIVE
        )


def idle_route(number: int) -> Route:
    """Return a route without traffic."""
    address, port = SERVICE_ADDRESS + 1 + number // 1000, 1 + number % 1000
    shares = (Share("desk", 1.0),)
    return Route(f"idle-{number}", route_key(address, port), shares, True)
