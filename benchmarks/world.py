"""Hosts and targets that come and go, and the views of them that lag behind."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from citronspring.balancer import Balancer
from citronspring.entities import (
    Account,
    Endpoint,
    Host,
    HostState,
    Protocol,
    ServiceAddress,
    Snapshot,
    Target,
)
from citronspring.messages import LeaveRequested, SnapshotRead
from citronspring.standins.network import Network
from citronspring.tables import HostRow

if TYPE_CHECKING:
    from collections.abc import Callable

    from citronspring.standins.service import Request

ZONES = ("drukkerij", "zetterij", "pakhuis")
ACCOUNT_ID = "bundelpers"
SERVICE_IP = "192.0.2.1"
SERVICE_PORT = 443

#: Seconds after a change by which every host has learnt of it, at the latest.
VIEW_LAG = 2.0

#: Seconds after a change at which the fabric's list of hosts follows.
FABRIC_LAG = 1.5

#: Seconds a leaving host may still serve.
LEAVE_TIMEOUT = 15.0

#: A leaving target is removed only when empty, and not before this many seconds.
REMOVAL_DELAY = 10.0

#: Seconds for which a removed target still answers.
REMOVED_TARGET_GRACE = 5.0


def make_host(index: int) -> Host:
    """Return a host in one of three zones."""
    ip = f"127.1.{index // 250}.{index % 250 + 1}"
    sockets = [Endpoint(ip, port) for port in (6080, 6081, 6082)]
    return Host(f"host-{index}", ZONES[index % 3], "entry", *sockets)


def make_target(index: int, revision: int = 0) -> Target:
    """Return a target in one of three zones."""
    tunnel = Endpoint(f"127.2.{index // 250}.{index % 250 + 1}", 6080)
    return Target(
        f"target-{index}",
        ACCOUNT_ID,
        tunnel,
        ZONES[index % 3],
        added_revision=revision,
    )


def make_snapshot(revision: int, targets: tuple[Target, ...]) -> Snapshot:
    """Return a configuration with one client account."""
    address = ServiceAddress(SERVICE_IP, SERVICE_PORT, Protocol.TCP)
    account = Account(ACCOUNT_ID, (address,), targets, ZONES)
    return Snapshot(revision, (account,))


@dataclass(slots=True)
class World:
    """What is true, and how each host learns of it late."""

    #: Makes the core of a host: the balancer or a baseline.
    make_core: Callable[..., Balancer]
    #: Draws the changes; apart from the network's, so that variants see the same.
    rng: random.Random
    network: Network
    run_counts: Counter[str] = field(default_factory=Counter)
    snapshot: Snapshot = field(default_factory=lambda: make_snapshot(1, ()))
    #: Hosts that are neither dead nor leaving.
    live_hosts: dict[str, Host] = field(default_factory=dict)
    #: Every core that ever ran, for its counters.
    cores: list[Balancer] = field(default_factory=list)
    #: When each leaving target was told to leave.
    leave_requested_at: dict[str, float] = field(default_factory=dict)
    host_count: int = 0
    target_count: int = 0

    @classmethod
    def from_sizes(
        cls, make_core: Callable[..., Balancer], seed: int, hosts: int, targets: int
    ) -> World:
        """Make a world in which every host knows everything."""
        network = Network(random.Random(f"network {seed}"))
        world = cls(make_core, random.Random(f"world {seed}"), network)
        world.snapshot = make_snapshot(
            1, tuple(world.start_target() for _ in range(targets))
        )
        world.live_hosts = {f"host-{index}": make_host(index) for index in range(hosts)}
        world.host_count = hosts
        for host in world.live_hosts.values():
            world.network.add_host(world.start_core(host))
        return world

    @property
    def targets(self) -> tuple[Target, ...]:
        """Every configured target."""
        return self.snapshot.accounts[0].targets

    @property
    def active_targets(self) -> list[Target]:
        """Targets that take new flows."""
        return [target for target in self.targets if not target.leaving]

    def start_core(self, host: Host) -> Balancer:
        """Make the core of a host that has read what is true now."""
        peers = [peer for peer in self.live_hosts.values() if peer is not host]
        core = self.make_core(host, peers)
        core.receive(SnapshotRead(self.snapshot), self.network.now)
        self.cores.append(core)
        return core

    def start_target(self, revision: int = 0) -> Target:
        """Start one more target."""
        target = make_target(self.target_count, revision)
        self.target_count += 1
        self.network.add_target(target.target_id, target.zone, self.count_run)
        return target

    def count_run(self, request: Request) -> None:
        """Count a run of a request."""
        self.run_counts[request.request_id] += 1

    # Views --------------------------------------------------------------------

    def update_baseline_membership(self, learn: Callable[[Balancer], None]) -> None:
        """Let the hosts of a baseline learn of a host; the balancer's find out."""
        if self.make_core != Balancer.from_config:
            self.schedule_host_updates(learn)

    def schedule_host_updates(self, learn: Callable[[Balancer], None]) -> None:
        """Let every host of now learn something, each at a moment of its own."""
        for host_id in list(self.network.hosts):
            self.schedule_host_update(host_id, learn)

    def schedule_host_update(
        self, host_id: str, learn: Callable[[Balancer], None]
    ) -> None:
        """Let one host learn something later, if it still runs."""

        def arrive() -> None:
            core = self.network.hosts.get(host_id)
            if core is not None:
                learn(core)

        self.network.after(self.network.rng.uniform(0.0, VIEW_LAG), arrive)

    def publish(self, targets: tuple[Target, ...]) -> None:
        """Commit a configuration; hosts read it up to `VIEW_LAG` apart."""
        snapshot = make_snapshot(self.snapshot.revision + 1, targets)
        self.snapshot = snapshot

        def learn(core: Balancer) -> None:
            core.receive(SnapshotRead(snapshot), self.network.now)

        self.schedule_host_updates(learn)

    # Changes ------------------------------------------------------------------

    def kill_host(self) -> None:
        """Lose a host; others find out later."""
        host_id = self.rng.choice(list(self.live_hosts))
        del self.live_hosts[host_id]
        self.network.kill_host(host_id)
        self.update_baseline_membership(lambda core: remove_host_row(core, host_id))
        self.network.after(FABRIC_LAG, lambda: self.remove_from_fabric(host_id))

    def join_host(self) -> None:
        """Add a host; others find out later."""
        host = make_host(self.host_count)
        self.host_count += 1
        self.live_hosts[host.host_id] = host
        core = self.start_core(host)
        self.network.add_host(core)
        self.network.fabric_hosts.remove(host.host_id)

        def learn(peer: Balancer) -> None:
            peer.tables.hosts.setdefault(host.host_id, HostRow(host))

        self.update_baseline_membership(learn)
        spray = self.network.fabric_hosts
        self.network.after(FABRIC_LAG, lambda: spray.append(host.host_id))

    def leave_host(self) -> None:
        """Ask a host to stop; it serves until quiet, others find out later."""
        host_id = self.rng.choice(list(self.live_hosts))
        del self.live_hosts[host_id]
        now = self.network.now
        self.network.hosts[host_id].receive(LeaveRequested(now + LEAVE_TIMEOUT), now)
        self.update_baseline_membership(lambda core: mark_host_leaving(core, host_id))
        self.network.after(FABRIC_LAG, lambda: self.remove_from_fabric(host_id))
        self.network.after(1.0, lambda: self.await_stop(host_id))

    def await_stop(self, host_id: str) -> None:
        """End the process of a leaving host once it says that it may stop."""
        if host_id not in self.network.stopped:
            self.network.after(0.1, lambda: self.await_stop(host_id))
            return
        self.network.kill_host(host_id)
        self.update_baseline_membership(lambda core: remove_host_row(core, host_id))

    def remove_from_fabric(self, host_id: str) -> None:
        """Take a host from the fabric's list."""
        if host_id in self.network.fabric_hosts:
            self.network.fabric_hosts.remove(host_id)

    def add_target(self) -> None:
        """Configure one more target."""
        target = self.start_target(self.snapshot.revision + 1)
        self.publish((*self.targets, target))

    def leave_target(self) -> None:
        """Tell a target to leave; it is removed when empty."""
        gone = self.rng.choice(self.active_targets)
        leaving = replace(gone, leaving_revision=self.snapshot.revision + 1)
        others = [target for target in self.targets if target is not gone]
        self.leave_requested_at[gone.target_id] = self.network.now
        self.publish((*others, leaving))
        self.network.after(REMOVAL_DELAY, lambda: self.remove_target(gone.target_id))

    def remove_target(self, target_id: str) -> None:
        """Remove a leaving target for good, once nothing is open there."""
        if self.network.targets[target_id].open_count:
            self.network.after(1.0, lambda: self.remove_target(target_id))
            return
        self.publish(
            tuple(item for item in self.targets if item.target_id != target_id)
        )


def remove_host_row(core: Balancer, host_id: str) -> None:
    """Take a host from a core's membership view."""
    core.tables.hosts.pop(host_id, None)


def mark_host_leaving(core: Balancer, host_id: str) -> None:
    """Mark a host as leaving in a core's membership view."""
    row = core.tables.hosts.get(host_id)
    if row is not None:
        row.state = HostState.LEAVING
