"""A fleet of cores whose control messages are sealed, metered and budgeted."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from benchmarks.world import make_host, make_target
from citronspring.balancer import Balancer
from citronspring.control.budget import (
    IP_UDP_HEADERS,
    ControlBudget,
    Priority,
    priority_of,
)
from citronspring.control.envelope import DatagramEncoder
from citronspring.entities import (
    Account,
    ChangeRecord,
    HostState,
    Protocol,
    ServiceAddress,
    Snapshot,
)
from citronspring.messages import (
    ControlReceived,
    ReadPlatform,
    RecordsRead,
    SendControl,
    SnapshotRead,
)
from citronspring.standins.network import LinkQuality, Network

if TYPE_CHECKING:
    from citronspring.messages import Action

KEY = bytes(32)

#: Milliseconds since the epoch; only the length of its encoding matters.
UNIX_TIME_MS = 1_800_000_000_000

#: Client accounts of the fleet, and targets of each.
ACCOUNTS = 100
TARGETS = 7

#: Seconds until a watch of the platform answers.
WATCH_DELAY = 0.01

#: Hosts that settings name.
SEED_HOSTS = 3


def make_account(index: int, revision: int) -> Account:
    """Return a client account as it is at a revision."""
    ip = f"192.0.{index // 250}.{index % 250 + 1}"
    address = ServiceAddress(ip, 443, Protocol.TCP)
    targets = tuple(
        make_target(index * TARGETS + number, revision) for number in range(TARGETS)
    )
    return Account(f"account-{index}", (address,), targets, ("drukkerij", "zetterij"))


@dataclass(slots=True)
class ControlLink:
    """One host's way to the control network."""

    encoder: DatagramEncoder
    budget: ControlBudget[tuple[str, object, int]] = field(
        default_factory=ControlBudget
    )
    #: Bytes sent, headers included; bulk copies apart.
    bytes_sent: int = 0
    bulk_bytes_sent: int = 0


class GossipNetwork(Network):
    """The in-memory network, with control messages as datagrams of a budget."""

    links: dict[str, ControlLink]

    def perform_action(self, host_id: str, action: Action) -> None:
        """Put a control message on the wire; leave the rest as it is."""
        if not isinstance(action, SendControl):
            super().perform_action(host_id, action)
            return
        wire = self.links[host_id]
        now = UNIX_TIME_MS + int(self.now * 1000)
        size = len(wire.encoder.encode_datagram(action.message, action.host_id, now))
        item = (action.host_id, action.message, size)
        wire.budget.enqueue(item, priority_of(action.message), size, self.now)
        self.flush(host_id)

    def flush(self, host_id: str) -> None:
        """Send what the budget allows."""
        wire = self.links[host_id]
        for peer, message, size in wire.budget.dequeue(self.now):
            if priority_of(message) is Priority.BULK:
                wire.bulk_bytes_sent += size + IP_UDP_HEADERS
            else:
                wire.bytes_sent += size + IP_UDP_HEADERS
            self.deliver(host_id, peer, message)

    def deliver(self, host_id: str, peer: str, message: object) -> None:
        """Carry one message."""
        event = ControlReceived(host_id, message)
        self.transmit(host_id, peer, lambda: self.deliver_event(peer, event))

    def tick(self) -> None:
        """Tick every core and send what waited."""
        super().tick()
        for host_id, wire in self.links.items():
            if wire.budget.count() and host_id in self.hosts:
                self.flush(host_id)


@dataclass
class Fleet:
    """Hosts that know each other, and the platform's records."""

    network: GossipNetwork
    size: int
    revision: int = 1
    accounts: dict[str, Account] = field(default_factory=dict)
    records: dict[int, ChangeRecord] = field(default_factory=dict)
    #: Calls of the platform: reads, watches, confirmations.
    calls: Counter[str] = field(default_factory=Counter)

    @classmethod
    def from_size(cls, size: int, loss: float, seed: int) -> Fleet:
        """Make a fleet in its steady state: all hosts know all, at revision 1."""
        network = GossipNetwork(random.Random(seed), LinkQuality(loss=loss))
        network.links = {}
        fleet = cls(network, size)
        network.other_action_handler = fleet.perform
        for index in range(ACCOUNTS):
            account = make_account(index, 1)
            fleet.accounts[account.account_id] = account
        for index in range(size):
            core = fleet.start_host(index, known=size, incarnation=UNIX_TIME_MS)
            core.tables.membership.join = None
            core.receive(SnapshotRead(fleet.snapshot()), 0.0)
            for row in core.tables.hosts.values():
                row.incarnation = UNIX_TIME_MS
        return fleet

    def start_host(self, index: int, known: int, incarnation: int) -> Balancer:
        """Start a host that knows the first few others."""
        host = make_host(index)
        peers = [make_host(other) for other in range(known) if other != index]
        core = Balancer.from_config(host, peers, incarnation=incarnation)
        encoder = DatagramEncoder(host.host_id, KEY, incarnation)
        self.network.links[host.host_id] = ControlLink(encoder)
        self.network.add_host(core)
        return core

    def snapshot(self) -> Snapshot:
        """Return the configuration."""
        return Snapshot(self.revision, tuple(self.accounts.values()))

    def commit(self) -> int:
        """Accept a change of one account; readers' watches answer soon."""
        self.revision += 1
        index = self.revision % ACCOUNTS
        account = make_account(index, self.revision)
        self.accounts[account.account_id] = account
        change_id = f"{self.revision}-operator-{self.revision}"
        record = ChangeRecord(self.revision, change_id, account.account_id, account)
        self.records[self.revision] = record
        for host_id, core in self.network.hosts.items():
            if core.tables.replication.is_reader:
                # The watch answers, the head is read, the next watch waits, and
                # the zone's confirmation is read and written.
                self.calls[host_id] += 4
                self.answer_read(host_id)
        return self.revision

    def perform(self, host_id: str, action: Action) -> None:
        """Answer a core's read of the platform."""
        if isinstance(action, ReadPlatform):
            self.calls[host_id] += 1
            self.answer_read(host_id)

    def answer_read(self, host_id: str) -> None:
        """Give a host what the platform has beyond its revision."""
        core = self.network.hosts[host_id]
        known = core.tables.revision
        event: SnapshotRead | RecordsRead = SnapshotRead(self.snapshot())
        if known > 0:
            newer = range(known + 1, self.revision + 1)
            event = RecordsRead(tuple(self.records[revision] for revision in newer))
        self.network.after(
            WATCH_DELAY, lambda: self.network.deliver_event(host_id, event)
        )

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.network.run_until(self.network.now + seconds)

    def replication_time(self, step: float = 0.05, limit: float = 10.0) -> float:
        """Commit a change; return seconds until it is in force on all hosts."""
        accepted_at = self.network.now
        revision = self.commit()
        while self.network.now - accepted_at < limit:
            self.run(step)
            cores = self.network.hosts.values()
            if all(core.tables.revision >= revision for core in cores):
                break
        return self.network.now - accepted_at

    def detection_time(self, host_id: str, limit: float = 12.0) -> float:
        """Kill a host; return seconds until all others hold it dead."""
        self.network.kill_host(host_id)
        killed_at = self.network.now
        while self.network.now - killed_at < limit:
            self.run(0.05)
            if self.is_declared_dead(host_id):
                break
        return self.network.now - killed_at

    def is_declared_dead(self, host_id: str) -> bool:
        """Whether every host that knows a host holds it dead."""
        rows = (core.tables.hosts.get(host_id) for core in self.network.hosts.values())
        return all(row is None or row.state is HostState.DEAD for row in rows)

    def control_traffic_during(self, seconds: float) -> ControlTraffic:
        """Let time pass; return what hosts sent meanwhile."""
        before = {
            host_id: (wire, wire.bytes_sent, wire.bulk_bytes_sent)
            for host_id, wire in self.network.links.items()
        }
        self.run(seconds)
        control, bulk = [], []
        for host_id, wire in self.network.links.items():
            old, sent, bulk_sent = before.get(host_id, (wire, 0, 0))
            if old is not wire:
                sent = bulk_sent = 0
            control.append((wire.bytes_sent - sent) / seconds)
            bulk.append((wire.bulk_bytes_sent - bulk_sent) / seconds)
        return ControlTraffic(max(control), sum(control) / len(control), max(bulk))

    def counter_total(self, name: str) -> int:
        """Return a counter's sum over all hosts."""
        cores = self.network.hosts.values()
        return sum(core.tables.counters[name] for core in cores)


@dataclass(frozen=True, slots=True)
class ControlTraffic:
    """Control bytes a second."""

    #: Of the host that sent most, bulk copies apart.
    busiest: float
    mean: float
    #: Bulk copies, of the host that sent most.
    bulk: float
