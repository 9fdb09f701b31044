"""Simulation of hosts and targets that start and stop, with delayed host state.

A caller is the client that opens flows.
"""

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

#: Longest delay until a host receives a change of configuration or membership, seconds.
VIEW_LAG = 2.0

#: Delay until the host list of the fabric is updated after a change, seconds.
FABRIC_LAG = 1.5

#: Longest time that a leaving host may still serve its flows, seconds.
LEAVE_TIMEOUT = 15.0

#: Shortest time from leaving to removal of a target, seconds. A target is only removed
#: when it has no open connections.
REMOVAL_DELAY = 10.0

#: Time for which a removed target still answers, seconds.
REMOVED_TARGET_GRACE = 5.0


def make_host(index: int) -> Host:
    """Return the host `index`, in one of three zones."""
    ip = f"127.1.{index // 250}.{index % 250 + 1}"
    sockets = [Endpoint(ip, port) for port in (6080, 6081, 6082)]
    return Host(f"host-{index}", ZONES[index % 3], "entry", *sockets)


def make_target(index: int, revision: int = 0) -> Target:
    """Return the target `index`, in one of three zones."""
    tunnel = Endpoint(f"127.2.{index // 250}.{index % 250 + 1}", 6080)
    return Target(
        f"target-{index}",
        ACCOUNT_ID,
        tunnel,
        ZONES[index % 3],
        added_revision=revision,
    )


def make_snapshot(revision: int, targets: tuple[Target, ...]) -> Snapshot:
    """Return a configuration that has one client account."""
    address = ServiceAddress(SERVICE_IP, SERVICE_PORT, Protocol.TCP)
    account = Account(ACCOUNT_ID, (address,), targets, ZONES)
    return Snapshot(revision, (account,))


@dataclass(slots=True)
class World:
    """Actual state of hosts and targets, and its delayed delivery to each host."""

    #: Creates the core of a host: the balancer or a baseline.
    make_core: Callable[..., Balancer]
    #: Chooses the changes. Separate from the generator of the network, so that all
    #: variants get the same changes.
    rng: random.Random
    network: Network
    #: Number of times that each request ran, by request id.
    run_counts: Counter[str] = field(default_factory=Counter)
    snapshot: Snapshot = field(default_factory=lambda: make_snapshot(1, ()))
    #: Hosts that are neither dead nor leaving, by id.
    live_hosts: dict[str, Host] = field(default_factory=dict)
    #: All cores started so far, also those of stopped hosts, for their counters.
    cores: list[Balancer] = field(default_factory=list)
    #: Virtual time at which each leaving target started to leave.
    leave_requested_at: dict[str, float] = field(default_factory=dict)
    #: Hosts and targets started so far; the next ones get these indexes.
    host_count: int = 0
    target_count: int = 0

    @classmethod
    def from_sizes(
        cls, make_core: Callable[..., Balancer], seed: int, hosts: int, targets: int
    ) -> World:
        """Return a world in which every host knows all hosts and the configuration."""
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
        """All configured targets, including leaving ones."""
        return self.snapshot.accounts[0].targets

    @property
    def active_targets(self) -> list[Target]:
        """Configured targets that take new flows."""
        return [target for target in self.targets if not target.leaving]

    def start_core(self, host: Host) -> Balancer:
        """Create the core of a host, with the current membership and configuration."""
        peers = [peer for peer in self.live_hosts.values() if peer is not host]
        core = self.make_core(host, peers)
        core.receive(SnapshotRead(self.snapshot), self.network.now)
        self.cores.append(core)
        return core

    def start_target(self, revision: int = 0) -> Target:
        """Start a target and return it; it is not configured yet."""
        target = make_target(self.target_count, revision)
        self.target_count += 1
        self.network.add_target(target.target_id, target.zone, self.count_run)
        return target

    def count_run(self, request: Request) -> None:
        """Count one run of a request."""
        self.run_counts[request.request_id] += 1

    # Updates ------------------------------------------------------------------

    def update_baseline_membership(
        self, apply_update: Callable[[Balancer], None]
    ) -> None:
        """Schedule a membership update on the hosts of a baseline.

        The balancer detects membership changes itself.
        """
        if self.make_core != Balancer.from_config:
            self.schedule_host_updates(apply_update)

    def schedule_host_updates(self, apply_update: Callable[[Balancer], None]) -> None:
        """Schedule an update on every running host, each with its own random delay."""
        for host_id in list(self.network.hosts):
            self.schedule_host_update(host_id, apply_update)

    def schedule_host_update(
        self, host_id: str, apply_update: Callable[[Balancer], None]
    ) -> None:
        """Schedule an update on one host; skip it if the host has stopped by then."""

        def deliver() -> None:
            core = self.network.hosts.get(host_id)
            if core is not None:
                apply_update(core)

        self.network.after(self.network.rng.uniform(0.0, VIEW_LAG), deliver)

    def publish(self, targets: tuple[Target, ...]) -> None:
        """Commit a configuration; each host reads it within `VIEW_LAG` seconds."""
        snapshot = make_snapshot(self.snapshot.revision + 1, targets)
        self.snapshot = snapshot

        def apply_update(core: Balancer) -> None:
            core.receive(SnapshotRead(snapshot), self.network.now)

        self.schedule_host_updates(apply_update)

    # Changes ------------------------------------------------------------------

    def kill_host(self) -> None:
        """Kill a random host; other hosts and the fabric are updated later."""
        host_id = self.rng.choice(list(self.live_hosts))
        del self.live_hosts[host_id]
        self.network.kill_host(host_id)
        self.update_baseline_membership(lambda core: remove_host_row(core, host_id))
        self.network.after(FABRIC_LAG, lambda: self.remove_from_fabric(host_id))

    def join_host(self) -> None:
        """Start a host; other hosts and the fabric are updated later."""
        host = make_host(self.host_count)
        self.host_count += 1
        self.live_hosts[host.host_id] = host
        core = self.start_core(host)
        self.network.add_host(core)
        self.network.fabric_hosts.remove(host.host_id)

        def apply_update(peer: Balancer) -> None:
            peer.tables.hosts.setdefault(host.host_id, HostRow(host))

        self.update_baseline_membership(apply_update)
        spray = self.network.fabric_hosts
        self.network.after(FABRIC_LAG, lambda: spray.append(host.host_id))

    def leave_host(self) -> None:
        """Let a random host leave; other hosts and the fabric are updated later.

        The host serves until it is idle or `LEAVE_TIMEOUT` has passed.
        """
        host_id = self.rng.choice(list(self.live_hosts))
        del self.live_hosts[host_id]
        now = self.network.now
        self.network.hosts[host_id].receive(LeaveRequested(now + LEAVE_TIMEOUT), now)
        self.update_baseline_membership(lambda core: mark_host_leaving(core, host_id))
        self.network.after(FABRIC_LAG, lambda: self.remove_from_fabric(host_id))
        self.network.after(1.0, lambda: self.await_stop(host_id))

    def await_stop(self, host_id: str) -> None:
        """Stop a leaving host once it reports that it is done; check every 0.1 s."""
        if host_id not in self.network.stopped:
            self.network.after(0.1, lambda: self.await_stop(host_id))
            return
        self.network.kill_host(host_id)
        self.update_baseline_membership(lambda core: remove_host_row(core, host_id))

    def remove_from_fabric(self, host_id: str) -> None:
        """Remove a host from the host list of the fabric."""
        if host_id in self.network.fabric_hosts:
            self.network.fabric_hosts.remove(host_id)

    def add_target(self) -> None:
        """Start a target and add it to the configuration."""
        target = self.start_target(self.snapshot.revision + 1)
        self.publish((*self.targets, target))

    def leave_target(self) -> None:
        """Mark a random target as leaving; schedule its removal."""
        chosen = self.rng.choice(self.active_targets)
        leaving = replace(chosen, leaving_revision=self.snapshot.revision + 1)
        others = [target for target in self.targets if target is not chosen]
        self.leave_requested_at[chosen.target_id] = self.network.now
        self.publish((*others, leaving))
        self.network.after(REMOVAL_DELAY, lambda: self.remove_target(chosen.target_id))

    def remove_target(self, target_id: str) -> None:
        """Remove a leaving target once it has no open connections; check every 1 s."""
        if self.network.targets[target_id].open_count:
            self.network.after(1.0, lambda: self.remove_target(target_id))
            return
        self.publish(
            tuple(item for item in self.targets if item.target_id != target_id)
        )


def remove_host_row(core: Balancer, host_id: str) -> None:
    """Remove a host from the membership view of a core."""
    core.tables.hosts.pop(host_id, None)


def mark_host_leaving(core: Balancer, host_id: str) -> None:
    """Mark a host as leaving in the membership view of a core."""
    row = core.tables.hosts.get(host_id)
    if row is not None:
        row.state = HostState.LEAVING
