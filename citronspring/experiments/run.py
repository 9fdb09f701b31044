"""One run: real decision cores on an in-memory network, with everything around them."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from citronspring.balancer import Balancer
from citronspring.configuration.runner import run_in_place
from citronspring.configuration.shards import HEAD_KEY
from citronspring.configuration.store import ConfigurationStore
from citronspring.daemons.reader import zone_revision
from citronspring.entities import Endpoint, Host
from citronspring.errors import CitronspringError
from citronspring.experiments.coroutines import DelayedPlatform, start_coroutine
from citronspring.experiments.faults import apply_fault
from citronspring.experiments.history import (
    ChangeAccepted,
    ChangeRefused,
    ForeignPacket,
    History,
    HostEnded,
    HostStarted,
    RequestRan,
    RevisionSeen,
    WorkAccepted,
)
from citronspring.experiments.workload import Workload, account_of
from citronspring.messages import (
    ReadPlatform,
    RecordsRead,
    SendToTarget,
    SnapshotRead,
)
from citronspring.standins.memory import MemoryPlatform
from citronspring.standins.network import LinkQuality, Network
from citronspring.standins.sample_configuration import (
    SERVICE_PORT,
    SYSTEM_ZONES,
    TARGETS_PER_ACCOUNT,
    Operator,
    target_parameters,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Mapping

    from citronspring.experiments.coroutines import CoroutineResult
    from citronspring.experiments.scenario import Scenario
    from citronspring.messages import Action
    from citronspring.standins.service import Request

#: Place and zone of the platform on the network, for partitions.
PLATFORM = "platform"

#: Minimum and maximum one-way delay to the platform, in seconds.
PLATFORM_DELAY = (0.001, 0.01)

#: Maximum seconds to wait for the last requests after traffic ends.
FINISH_TIMEOUT = 45.0

#: Seconds until the fabric detects that a host started or ended.
FABRIC_LAG = 1.5

#: Seconds between two observations of hosts, targets and requests.
WATCH_INTERVAL = 0.05

#: Incarnations of host processes per second of virtual time: a process that starts a
#: millisecond later has the next number.
BOOT_STEP = 1000


@dataclass(slots=True)
class Run:
    """The state of one run, and its history."""

    scenario: Scenario
    rng: random.Random
    network: Network
    platform: MemoryPlatform
    history: History = field(default_factory=History)
    workload: Workload = field(init=False)
    #: All hosts that were defined, by id.
    defined_hosts: dict[str, Host] = field(default_factory=dict)
    #: Last observed revision of each running host.
    revisions: dict[str, int] = field(default_factory=dict)
    #: Number of connections that each target had accepted at the last observation.
    accepted_counts: dict[str, int] = field(default_factory=dict)
    #: Version of the head in the last answer to each zone reader's watch.
    watched_versions: dict[str, int] = field(default_factory=dict)
    operators: int = 0
    #: Configuration store of each operator's process, newest last.
    stores: list[ConfigurationStore] = field(default_factory=list)
    #: Targets that an operator drained or is draining.
    drained: set[str] = field(default_factory=set)
    #: Parameters of the listed targets of each client account.
    listed: dict[str, list[dict[str, Any]]] = field(default_factory=dict)
    #: Client accounts whose packets each server may receive, by tunnel address.
    server_accounts: dict[str, frozenset[str]] = field(default_factory=dict)
    #: Number of the next target of each client account.
    next_number: Counter[str] = field(default_factory=Counter)
    #: Revision that each zone reader last confirmed for its zone.
    confirmed: dict[str, int] = field(default_factory=dict)

    @classmethod
    def from_scenario(cls, scenario: Scenario) -> Run:
        """Build the system of a scenario without starting it."""
        rng = random.Random(f"run {scenario.seed}")
        quality = LinkQuality(loss=scenario.loss, duplication=scenario.duplication)
        network = Network(rng, quality)
        network.zones[PLATFORM] = PLATFORM
        run = cls(scenario, rng, network, MemoryPlatform())
        addresses = {
            account_id: f"192.0.2.{index + 1}"
            for index, account_id in enumerate(TARGETS_PER_ACCOUNT)
        }
        run.workload = Workload(network, run.history, rng, addresses, SERVICE_PORT)
        network.observers.append(run.observe)
        network.other_action_handler = run.perform
        return run

    # Setting up ---------------------------------------------------------------

    def start(self) -> None:
        """Commit the configuration, then start targets and hosts."""
        operator = self.make_operator(lambda: True)
        done: list[CoroutineResult] = []
        start_coroutine(self.network, operator.set_up(), done.append)
        self.network.run_until(1.0)
        assert done and done[0].error is None, done
        for account_id, count in TARGETS_PER_ACCOUNT.items():
            self.listed[account_id] = []
            for _ in range(count):
                self.add_target(account_id)
        for index in range(self.scenario.hosts):
            self.define_host(index)
        for host_id in list(self.defined_hosts):
            self.start_host(host_id)
        self.watch()

    def define_host(self, index: int) -> Host:
        """Define a host without starting it."""
        ip = f"127.0.1.{index + 1}"
        sockets = [Endpoint(ip, port) for port in (6080, 6081, 6082)]
        zone = SYSTEM_ZONES[index % len(SYSTEM_ZONES)]
        host = Host(f"host-{index}", zone, "entry", *sockets)
        self.defined_hosts[host.host_id] = host
        self.history.zones[host.host_id] = zone
        return host

    def start_host(self, host_id: str) -> None:
        """Start a host process that has only its settings."""
        host = self.defined_hosts[host_id]
        peers = [peer for peer in self.defined_hosts.values() if peer is not host]
        boot = 1 + int(self.network.now * BOOT_STEP)
        core = Balancer.from_config(host, peers, incarnation=boot)
        self.network.stopped.discard(host_id)
        self.history.add(HostStarted(self.network.now, host_id))
        self.revisions[host_id] = 0
        self.watched_versions.pop(host_id, None)
        self.network.add_host(core)
        self.network.fabric_hosts.remove(host_id)
        self.network.after(FABRIC_LAG, lambda: self.add_to_fabric(host_id))
        self.read_platform(host_id, 0)

    def add_to_fabric(self, host_id: str) -> None:
        """Add a running host to the fabric."""
        if host_id in self.network.hosts and host_id not in self.network.fabric_hosts:
            self.network.fabric_hosts.append(host_id)

    def end_host(self, host_id: str) -> None:
        """End a host process; the fabric detects it later."""
        self.network.kill_host(host_id)
        self.history.add(HostEnded(self.network.now, host_id))
        self.network.after(FABRIC_LAG, lambda: self.remove_from_fabric(host_id))

    def remove_from_fabric(self, host_id: str) -> None:
        """Remove an ended host from the fabric."""
        if host_id in self.network.fabric_hosts and host_id not in self.network.hosts:
            self.network.fabric_hosts.remove(host_id)

    def add_target(self, account_id: str) -> None:
        """Start a server and list it as the client account's next target."""
        number = self.next_number[account_id]
        self.next_number[account_id] += 1
        parameters = target_parameters(account_id, number, SYSTEM_ZONES)
        target_id = parameters["target_id"]
        self.listed[account_id].append(parameters)
        self.server_accounts[tunnel_ip(parameters)] = frozenset((account_id,))

        def on_run(request: Request) -> None:
            entry = RequestRan(self.network.now, request.request_id, target_id)
            self.history.add(entry)

        self.network.add_target(target_id, parameters["zone"], on_run)
        self.accepted_counts[target_id] = 0

    # Operators and readers ----------------------------------------------------

    def make_operator(self, reachable: Callable[[], bool]) -> Operator:
        """Return an operator with a separate configuration store."""
        self.operators += 1
        store = self.make_store(reachable)
        self.stores.append(store)
        return Operator(
            store, lambda: self.network.now, name=f"operator-{self.operators}"
        )

    def platform_for(self, reachable: Callable[[], bool]) -> DelayedPlatform:
        """Return the platform as seen by one process."""
        return DelayedPlatform(
            self.platform, lambda: self.rng.uniform(*PLATFORM_DELAY), reachable
        )

    def submit(
        self, change_id: str, commit: Coroutine[None, None, object], drained: str | None
    ) -> None:
        """Run an operator's commit and record its outcome."""

        def done(finished: CoroutineResult) -> None:
            now = self.network.now
            if finished.error is None:
                revision = finished.value.revision
                self.history.add(ChangeAccepted(now, change_id, revision, drained))
            elif isinstance(finished.error, CitronspringError):
                kind = finished.error.kind
                self.history.add(ChangeRefused(now, change_id, kind))
            else:
                raise finished.error

        start_coroutine(self.network, commit, done)

    def read_platform(self, host_id: str, revision: int) -> None:
        """Read the changes after a revision for a host."""
        core = self.network.hosts[host_id]

        def reachable() -> bool:
            return self.network.is_connected(host_id, PLATFORM)

        store = self.make_store(reachable)

        def done(finished: CoroutineResult) -> None:
            if finished.error is None and self.network.hosts.get(host_id) is core:
                event = finished.value
                self.network.deliver_or_hold(
                    host_id, lambda: self.network.deliver_event(host_id, event)
                )

        asked_at = self.network.now
        start_coroutine(self.network, read_newer(store, revision, asked_at), done)

    # Watching -----------------------------------------------------------------

    def observe(self, host_id: str, action: Action) -> None:
        """Record a packet that is sent to a server of another client account."""
        if not isinstance(action, SendToTarget):
            return
        core = self.network.hosts[host_id]
        row = core.tables.targets.get(action.target_id)
        if row is None:
            return
        account_id = account_of(action.packet.flow)
        if account_id not in self.server_accounts[row.target.tunnel.ip]:
            entry = ForeignPacket(
                self.network.now, account_id, action.target_id, host_id
            )
            self.history.add(entry)

    def perform(self, host_id: str, action: Action) -> None:
        """Perform the actions of a core other than packets and messages."""
        match action:
            case ReadPlatform():
                self.read_platform(host_id, action.revision)

    def watch(self) -> None:
        """Record revisions, new work and ended requests, and schedule the next time."""
        for host_id, core in list(self.network.hosts.items()):
            revision = core.tables.revision
            if revision != self.revisions[host_id]:
                self.revisions[host_id] = revision
                entry = RevisionSeen(self.network.now, host_id, revision)
                self.history.add(entry)
            if host_id in self.network.stopped:
                self.end_host(host_id)
            self.watch_head(host_id, core)
            self.confirm_zone(host_id, core)
        for target_id, stack in self.network.targets.items():
            for at in stack.accepted_at[self.accepted_counts[target_id] :]:
                self.history.add(WorkAccepted(at, target_id))
            self.accepted_counts[target_id] = len(stack.accepted_at)
        self.workload.record_ends()
        self.network.after(WATCH_INTERVAL, self.watch)

    def watch_head(self, host_id: str, core: Balancer) -> None:
        """Answer a zone reader's watch if the head of the configuration changed."""
        version = self.platform.current_version(HEAD_KEY)
        if (
            not core.tables.replication.is_reader
            or version == self.watched_versions.get(host_id)
        ):
            return
        reachable = self.network.is_connected(host_id, PLATFORM)
        if host_id in self.network.frozen:
            return
        if reachable and not self.platform.switches.outage:
            self.watched_versions[host_id] = version
            self.read_platform(host_id, core.tables.revision)

    def confirm_zone(self, host_id: str, core: Balancer) -> None:
        """Confirm the zone's revision to the platform on behalf of its reader."""
        tables = core.tables
        revision = zone_revision(tables)
        reachable = self.network.is_connected(host_id, PLATFORM)
        if not tables.replication.is_reader or host_id in self.network.frozen:
            return
        if reachable and revision > self.confirmed.get(host_id, 0):
            self.confirmed[host_id] = revision
            store = self.make_store(
                lambda: self.network.is_connected(host_id, PLATFORM)
            )
            confirmation = store.confirm_zone(tables.zone, revision)

            def done(finished: CoroutineResult) -> None:
                if finished.error is not None:
                    self.confirmed.pop(host_id, None)

            start_coroutine(self.network, confirmation, done)

    def make_store(self, reachable: Callable[[], bool]) -> ConfigurationStore:
        """Return the configuration store of a new process, without cached state."""
        platform = self.platform_for(reachable)
        return ConfigurationStore.from_platform(platform, SYSTEM_ZONES, run_in_place)

    def run(self) -> History:
        """Run the scenario to its end and return the history."""
        self.start()
        begin = self.network.now
        end = begin + self.scenario.duration
        for fault in self.scenario.faults:
            delay = fault.at
            self.network.after(delay, lambda fault=fault: apply_fault(self, fault))
        self.network.run_until(begin + 2.0)
        self.workload.schedule_arrivals(end, self.scenario.arrivals)
        return self.finish(end)

    def finish(self, end: float) -> History:
        """Run until traffic ends, then wait for the last requests."""
        self.network.run_until(end)
        limit = end + FINISH_TIMEOUT
        while self.workload.unfinished and self.network.now < limit:
            self.network.run_until(self.network.now + 1.0)
        self.workload.end_unfinished()
        return self.history


def tunnel_ip(parameters: Mapping[str, Any]) -> str:
    """Return the tunnel address in a target's parameters."""
    return Endpoint.from_text(parameters["tunnel"]).ip


async def read_newer(
    store: ConfigurationStore, revision: int, asked_at: float
) -> SnapshotRead | RecordsRead:
    """Read the records after a revision, or a snapshot if they are no longer kept."""
    if revision:
        records = await store.read_records(revision)
        if records is not None:
            return RecordsRead(records, asked_at)
    return SnapshotRead(await store.read_snapshot(), asked_at)
