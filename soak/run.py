"""One seeded run: three hosts, real sockets, faults in series and overlapping."""

from __future__ import annotations

import socket
import struct
import tempfile
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING
from zlib import crc32

from citronspring.emulator.callers import REUSE_PAUSES, EmulatedCaller
from citronspring.emulator.checker import Checker
from citronspring.emulator.network import Network
from citronspring.emulator.store import EmulatedStore
from citronspring.emulator.targets import EmulatedTarget, Reply
from citronspring.emulator.world import DEADLINES, ORDERS, STREAMS, ZONES
from citronspring.platform.packets import (
    HEADER,
    INCARNATION,
    WIRE_FLAGS,
    decode_packet,
)
from citronspring.tcp_flags import RST, SYN
from soak.clock import RealClock
from soak.faults import FAULTS, change_services, inject_random_fault
from soak.hosts import CHECK_INTERVAL, HostProcess, StatePoller, loopback_net
from soak.proxy import Proxy
from soak.store import StoreStandIn, serve
from soak.writers import write_strange_entries

if TYPE_CHECKING:
    from citronspring.tokens.entities import Packet

#: Port of callers' packets on every host and at the callers. The next two ports of a
#: host are those of its readiness and peer endpoints.
PORT = 7700

#: Seconds before traffic starts, and at its end without a new fault.
STARTUP_SECONDS = 2.0
FAULT_FREE_SECONDS = 7.0

#: Seconds after a fault during which guarantees with a time bound are not checked.
SETTLING_SECONDS = 4.5

#: Seconds after a change of services in which a host may not know a new one yet.
SHARES_SECONDS = 3.0

#: Callers that start per second, and further flows of each from the same port.
CALLERS_PER_SECOND = 6.0
PORT_REUSES = 2

#: Ratio of the last requests that must be served.
MIN_SERVED_RATIO = 0.9


@dataclass(slots=True)
class Soak:
    """The parts of a run; it also acts as the routers."""

    clock: RealClock
    checker: Checker
    store: StoreStandIn
    hosts: list[HostProcess]
    sock: socket.socket
    targets: dict[int, EmulatedTarget] = field(default_factory=dict)
    sockets: list[socket.socket] = field(default_factory=list)
    #: Ports of the targets by incarnation.
    ports: dict[int, int] = field(default_factory=dict)
    revision: int = 0
    callers: int = 0
    faults: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    disturbed_at: float = 0.0
    highest_revisions: dict[tuple[str, int], int] = field(default_factory=dict)
    ready: set[str] = field(default_factory=set)
    loss: float = 0.0
    changed_at: float = 0.0
    #: Requests that a stream sends over one flow.
    stream_requests: int = 6
    #: Services of the streams, and when they last changed.
    services: tuple[str, ...] = ("desk",)
    shares_changed_at: float = -SETTLING_SECONDS
    #: Packets that each process of a host has dropped for their token.
    foreign_drops: dict[tuple[str, int], int] = field(default_factory=dict)
    #: Kinds of faults from which the random faults are chosen.
    fault_kinds: tuple[str, ...] = FAULTS
    #: Time at which the drain of each drained zone began.
    drained_at: dict[str, float] = field(default_factory=dict)

    # Packets of callers and targets --------------------------------------------------

    def forward(self, zone: str, packet: Packet, caller: EmulatedCaller) -> None:
        """Send a caller's packet to a ready host, as the routers do."""
        self.checker.callers[packet.flow] = caller
        if self.clock.rng.random() < self.loss:
            return
        ready = [host for host in self.hosts if host.name in self.ready] or self.hosts
        host = ready[crc32(packet.flow) % len(ready)]
        flags = sum(bit for bit, flag in WIRE_FLAGS.items() if packet.flags & flag)
        service, port = packet.route >> 16, packet.route & 0xFFFF
        caller_ip = int.from_bytes(socket.inet_aton(f"{loopback_net()}.1"), "big")
        head = HEADER.pack(
            packet.seq,
            packet.ack,
            flags,
            packet.token,
            port,
            caller.port & 0xFFFF,
            caller_ip,
            service,
            7,
            packet.length,
        )
        self.sock.sendto(head + bytes(packet.length), (host.ip, host.port))

    def handle_reset(self, data: bytes, source: tuple[str, int]) -> None:
        """Handle a reset that a host sends to a caller."""
        seq, _, _, _, caller_port, service_port = HEADER.unpack(data)[:6]
        for caller in self.open_callers():
            if caller.port & 0xFFFF == caller_port and caller.route & 0xFFFF == (
                service_port
            ):
                self.check_reset(caller, source)
                caller.receive(Reply(caller.flow, RST, seq, 0, 0))
                return

    def open_callers(self) -> list[EmulatedCaller]:
        """Return the callers with an open flow, newest first."""
        callers = reversed(self.checker.callers.values())
        return [caller for caller in callers if caller.state != "closed"]

    def check_reset(self, caller: EmulatedCaller, source: tuple[str, int]) -> None:
        """Check a reset against the state of the target that has the flow."""
        owner = self.checker.live_owner(caller.flow)
        if owner is None:
            return
        if not caller.idempotent:
            self.record_violation(f"a non-idempotent flow was reset by {source[0]}")
        elif self.is_settled:
            self.record_violation(
                f"a flow of {owner.target_id} was reset by {source[0]}"
            )

    def handle_packet(self, target: EmulatedTarget, data: bytes) -> None:
        """Handle a datagram at a target's address."""
        packet = decode_packet(data[INCARNATION.size :])
        (incarnation,) = INCARNATION.unpack_from(data)
        if packet.flags & SYN:
            self.check_opening(target)
        for caller in reversed(self.checker.callers.values()):
            if same_flow(packet, caller):
                packet.flow = caller.flow
                target.receive(packet, incarnation, caller)
                return

    def check_opening(self, target: EmulatedTarget) -> None:
        """Check that an opening goes to no zone that has been drained for some time."""
        drained_at = self.drained_at.get(target.zone, self.clock.now)
        if self.is_settled and self.clock.now - drained_at > SETTLING_SECONDS:
            self.record_violation(
                f"{target.target_id} in a drained zone received an opening"
            )

    # Targets, configuration and callers ----------------------------------------------

    def add_target(self, service: str, zone: str) -> None:
        """Start a target with its own socket."""
        incarnation = (len(self.targets) + 1) * 0x1001
        network = self.checker.network
        target = EmulatedTarget(
            self.clock, network, self.checker, incarnation, service, zone
        )
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((f"{loopback_net()}.2", 0))
        self.sockets.append(sock)
        self.targets[incarnation] = target
        self.clock.add_reader(
            sock, lambda data, source: self.handle_packet(target, data)
        )
        self.ports[incarnation] = sock.getsockname()[1]
        self.register(target)

    def register(self, target: EmulatedTarget) -> None:
        """Write the entry of a target to the store."""
        key = f"servers/{target.target_id}"
        target.entry_sequence += 1
        entry = {
            "service": target.service,
            "addr": f"{loopback_net()}.2:{self.ports[target.incarnation]}",
            "zone": target.zone,
            "version": "v1",
            "concurrency": 2,
            "state": "ready" if target.leaving_at is None else "draining",
            "warmup_left_ms": 0,
            "seq": target.entry_sequence,
        }
        self.store.put(key, entry)

    def change_configuration(self) -> None:
        """Write the next configuration, as operators do."""
        self.revision += 2
        self.changed_at = self.clock.now
        self.write_configuration()

    def write_configuration(self) -> None:
        """Write the newest configuration, whether or not the store has it."""
        routes = [
            {
                "name": f"r-{key & 0xFFFF}",
                "host": socket.inet_ntoa((key >> 16).to_bytes(4, "big")),
                "prefix": f"/{key & 0xFFFF}/",
                "route_type": "idempotent" if key == STREAMS else "non_idempotent",
                "service": "desk",
            }
            for key in (STREAMS, ORDERS)
        ]
        if self.services != ("desk",):
            routes[0]["backends"] = [
                {"service": name, "weight": 1} for name in self.services
            ]
        for key, services in ((STREAMS, self.services), (ORDERS, ("desk",))):
            self.checker.services.setdefault(key, set()).update(services)
        limits = {"idle_timeout_ms": 15000}
        body = {"version": self.revision, "routes": routes, "limits": limits}
        self.store.put("op/config", body)

    def start_callers(self, end: float) -> None:
        """Start a caller, and schedule the next one until traffic ends."""
        if self.clock.now >= end:
            return
        route = self.clock.rng.choice((STREAMS, ORDERS))
        self.callers += 1
        caller = EmulatedCaller(
            self.clock,
            self,
            self.checker,
            ZONES[0],
            route,
            route == STREAMS,
            DEADLINES[route],
            self.stream_requests if route == STREAMS else 1,
            1024 + self.callers * 8,
            self.clock.rng.choices(REUSE_PAUSES, k=PORT_REUSES),
        )
        caller.start()
        pause = self.clock.rng.expovariate(CALLERS_PER_SECOND)
        self.clock.after(pause, lambda: self.start_callers(end))

    def mark_disturbed(self) -> None:
        """Do not check guarantees with a time bound for a while."""
        self.disturbed_at = self.clock.now

    # Checks --------------------------------------------------------------------------

    @property
    def is_settled(self) -> bool:
        """Whether the last start or end of a fault is long enough ago."""
        return self.clock.now - self.disturbed_at >= SETTLING_SECONDS

    def record_violation(self, text: str) -> None:
        """Record a violated guarantee."""
        self.violations.append(f"{self.clock.now:.2f} s {text}")

    def check_hosts(self) -> None:
        """Check the last known state of every host, and restart those that ended."""
        self.ready = set()
        for host in self.hosts:
            if not host.alive and not host.stopping:
                self.record_violation(f"{host.name} ended unexpectedly")
                host.start()
            start_count, state = host.last_state
            if state is not None and start_count == host.start_count:
                self.check_state(host, state)
        self.clock.after(CHECK_INTERVAL, self.check_hosts)

    def check_state(self, host: HostProcess, state: dict) -> None:
        """Check the configuration that is in effect on a host."""
        revision = state["configuration"]
        if revision and not state["leaving"]:
            self.ready.add(host.name)
        key = (host.name, host.start_count)
        if revision < self.highest_revisions.get(key, 0):
            self.record_violation(f"{host.name} went back to revision {revision}")
        self.highest_revisions[key] = max(revision, self.highest_revisions.get(key, 0))
        self.check_foreign_drops(key, state["counters"])
        late = self.clock.now - self.changed_at > SETTLING_SECONDS
        if self.is_settled and late and revision < self.revision and not host.stopping:
            self.record_violation(f"{host.name} is behind at revision {revision}")

    def check_foreign_drops(self, key: tuple[str, int], counters: dict) -> None:
        """Check that no host takes the token of a former service for a foreign one."""
        drops = counters.get("dropped foreign-token", 0)
        late = self.clock.now - self.shares_changed_at > SHARES_SECONDS
        if late and drops > self.foreign_drops.get(key, 0):
            self.record_violation(f"{key[0]} dropped {drops} packets as foreign")
        self.foreign_drops[key] = drops

    def check_last_requests(self, end: float) -> None:
        """Check that enough of the last requests were served."""
        last = [
            request
            for request in self.checker.requests
            if end - 2.0 <= request.started_at < end
        ]
        served = sum(request.answered_at is not None for request in last)
        if served < MIN_SERVED_RATIO * len(last):
            self.record_violation(
                f"{served} of the last {len(last)} requests were served"
            )


def same_flow(packet: Packet, caller: EmulatedCaller) -> bool:
    """Whether a packet belongs to a caller's current flow."""
    dport, sport = struct.unpack_from(">HH", packet.flow)
    return caller.port & 0xFFFF == sport and caller.route & 0xFFFF == dport


def run_seed(
    seed: int, seconds: float = 20.0, fault_kinds: tuple[str, ...] = FAULTS
) -> Soak:
    """Run one seed with three host processes, and return the finished run."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        store = StoreStandIn()
        store_port = stack.enter_context(serve(store))
        clock = RealClock(seed)
        checker = Checker(clock, Network(clock, loss=0.0), EmulatedStore(clock))
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((f"{loopback_net()}.1", PORT))
        stack.callback(sock.close)
        hosts = []
        for number, zone in enumerate(ZONES):
            proxy = Proxy(store_port)
            stack.callback(proxy.stop)
            ip = f"{loopback_net()}.{11 + number}"
            hosts.append(HostProcess(f"host-{number}", zone, ip, PORT, folder, proxy))
        soak = Soak(clock, checker, store, hosts, sock, fault_kinds=fault_kinds)
        clock.add_reader(sock, soak.handle_reset)
        run_scenario(soak, seconds, stack)
    return soak


def run_scenario(soak: Soak, seconds: float, stack: ExitStack) -> None:
    """Start everything, inject faults, and check the last requests."""
    soak.change_configuration()
    for zone in ZONES:
        soak.add_target("desk", zone)
        soak.add_target("desk", zone)
        if "shares" in soak.fault_kinds:
            # Flows last for longer than the restart of all hosts.
            soak.stream_requests = 60
            soak.add_target("archive", zone)
    for host in soak.hosts:
        host.seeds = [other.peer_endpoint for other in soak.hosts]
        host.start()
        stack.callback(host.kill)
        stack.callback(host.resume)
    for sock in soak.sockets:
        stack.callback(sock.close)
    watcher = StatePoller(soak.hosts)
    stack.callback(watcher.stop)
    clock, end = soak.clock, STARTUP_SECONDS + seconds
    clock.after(0.8, soak.check_hosts)
    clock.at(STARTUP_SECONDS, lambda: soak.start_callers(end))
    clock.at(
        STARTUP_SECONDS + 2.0,
        lambda: inject_random_fault(soak, end - FAULT_FREE_SECONDS - 6.0),
    )
    if "shares" in soak.fault_kinds:
        # At least one change, since the few faults of a run are random.
        clock.at(STARTUP_SECONDS + 1.0, lambda: change_services(soak))
    if "entries" in soak.fault_kinds:
        clock.at(STARTUP_SECONDS + 1.0, lambda: write_strange_entries(soak))
    clock.run_until(end + 2.0)
    soak.check_last_requests(end)
    soak.violations += soak.checker.violations
