"""Simulated fleet whose control messages are signed, counted and rate-limited."""

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

#: Key that signs control messages.
KEY = bytes(32)

#: Unix time in milliseconds. Only the length of its encoding matters.
UNIX_TIME_MS = 1_800_000_000_000

#: Number of client accounts of the fleet, and targets of each.
ACCOUNTS = 100
TARGETS = 7

#: Delay of the answer to a platform watch, virtual seconds.
WATCH_DELAY = 0.01

#: Number of seed hosts, which the settings of every host name.
SEED_HOSTS = 3


def make_account(index: int, revision: int) -> Account:
    """Return the client account `index` as of a revision."""
    ip = f"192.0.{index // 250}.{index % 250 + 1}"
    address = ServiceAddress(ip, 443, Protocol.TCP)
    targets = tuple(
        make_target(index * TARGETS + number, revision) for number in range(TARGETS)
    )
    return Account(f"account-{index}", (address,), targets, ("drukkerij", "zetterij"))


@dataclass(slots=True)
class ControlLink:
    """Encoder, send budget and byte counts of the control messages of one host."""

    encoder: DatagramEncoder
    budget: ControlBudget[tuple[str, object, int]] = field(
        default_factory=ControlBudget
    )
    #: Bytes sent, headers included: without and of snapshot transfers.
    bytes_sent: int = 0
    bulk_bytes_sent: int = 0


class GossipNetwork(Network):
    """In-memory network that sends control messages as datagrams within a budget."""

    #: Control link of each host, by id.
    links: dict[str, ControlLink]

    def perform_action(self, host_id: str, action: Action) -> None:
        """Encode and queue a control message; perform other actions as usual."""
        if not isinstance(action, SendControl):
            super().perform_action(host_id, action)
            return
        link = self.links[host_id]
        now = UNIX_TIME_MS + int(self.now * 1000)
        size = len(link.encoder.encode_datagram(action.message, action.host_id, now))
        item = (action.host_id, action.message, size)
        link.budget.enqueue(item, priority_of(action.message), size, self.now)
        self.flush(host_id)

    def flush(self, host_id: str) -> None:
        """Send the queued messages that the budget of a host allows."""
        link = self.links[host_id]
        for peer, message, size in link.budget.dequeue(self.now):
            if priority_of(message) is Priority.BULK:
                link.bulk_bytes_sent += size + IP_UDP_HEADERS
            else:
                link.bytes_sent += size + IP_UDP_HEADERS
            self.deliver(host_id, peer, message)

    def deliver(self, host_id: str, peer: str, message: object) -> None:
        """Send one control message to a peer over the simulated network."""
        event = ControlReceived(host_id, message)
        self.transmit(host_id, peer, lambda: self.deliver_event(peer, event))

    def tick(self) -> None:
        """Tick every core and send queued messages."""
        super().tick()
        for host_id, link in self.links.items():
            if link.budget.count() and host_id in self.hosts:
                self.flush(host_id)


@dataclass
class Fleet:
    """Simulated hosts that know each other, and change records of the platform."""

    network: GossipNetwork
    size: int
    revision: int = 1
    #: Current client accounts by id, and change records by revision.
    accounts: dict[str, Account] = field(default_factory=dict)
    records: dict[int, ChangeRecord] = field(default_factory=dict)
    #: Number of platform calls by host: reads, watches, confirmations.
    calls: Counter[str] = field(default_factory=Counter)

    @classmethod
    def from_size(cls, size: int, loss: float, seed: int) -> Fleet:
        """Return a fleet in steady state: all hosts know each other, at revision 1."""
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
        """Start a host that knows the hosts with an index below `known`."""
        host = make_host(index)
        peers = [make_host(other) for other in range(known) if other != index]
        core = Balancer.from_config(host, peers, incarnation=incarnation)
        encoder = DatagramEncoder(host.host_id, KEY, incarnation)
        self.network.links[host.host_id] = ControlLink(encoder)
        self.network.add_host(core)
        return core

    def snapshot(self) -> Snapshot:
        """Return the current configuration."""
        return Snapshot(self.revision, tuple(self.accounts.values()))

    def commit(self) -> int:
        """Commit a change of one account and answer the watches of the readers.

        Returns the new revision.
        """
        self.revision += 1
        index = self.revision % ACCOUNTS
        account = make_account(index, self.revision)
        self.accounts[account.account_id] = account
        change_id = f"{self.revision}-operator-{self.revision}"
        record = ChangeRecord(self.revision, change_id, account.account_id, account)
        self.records[self.revision] = record
        for host_id, core in self.network.hosts.items():
            if core.tables.replication.is_reader:
                # Four calls: read the head after the watch has answered, start the
                # next watch, read and write the confirmation of the zone.
                self.calls[host_id] += 4
                self.answer_read(host_id)
        return self.revision

    def perform(self, host_id: str, action: Action) -> None:
        """Count and answer the platform reads of a core."""
        if isinstance(action, ReadPlatform):
            self.calls[host_id] += 1
            self.answer_read(host_id)

    def answer_read(self, host_id: str) -> None:
        """Send a host the changes after its revision, or a snapshot if it has none."""
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
        """Advance virtual time."""
        self.network.run_until(self.network.now + seconds)

    def replication_time(self, step: float = 0.05, limit: float = 10.0) -> float:
        """Commit a change; return the seconds until it is in effect on all hosts."""
        accepted_at = self.network.now
        revision = self.commit()
        while self.network.now - accepted_at < limit:
            self.run(step)
            cores = self.network.hosts.values()
            if all(core.tables.revision >= revision for core in cores):
                break
        return self.network.now - accepted_at

    def detection_time(self, host_id: str, limit: float = 12.0) -> float:
        """Kill a host; return the seconds until all others declare it dead."""
        self.network.kill_host(host_id)
        killed_at = self.network.now
        while self.network.now - killed_at < limit:
            self.run(0.05)
            if self.is_declared_dead(host_id):
                break
        return self.network.now - killed_at

    def is_declared_dead(self, host_id: str) -> bool:
        """Return whether a host is dead or unknown to every other host."""
        rows = (core.tables.hosts.get(host_id) for core in self.network.hosts.values())
        return all(row is None or row.state is HostState.DEAD for row in rows)

    def control_traffic_during(self, seconds: float) -> ControlTraffic:
        """Advance virtual time; return the control traffic of that period."""
        before = {
            host_id: (link, link.bytes_sent, link.bulk_bytes_sent)
            for host_id, link in self.network.links.items()
        }
        self.run(seconds)
        control, bulk = [], []
        for host_id, link in self.network.links.items():
            old_link, sent, bulk_sent = before.get(host_id, (link, 0, 0))
            if old_link is not link:
                sent = bulk_sent = 0
            control.append((link.bytes_sent - sent) / seconds)
            bulk.append((link.bulk_bytes_sent - bulk_sent) / seconds)
        return ControlTraffic(max(control), sum(control) / len(control), max(bulk))

    def counter_total(self, name: str) -> int:
        """Return the sum of a counter over all hosts."""
        cores = self.network.hosts.values()
        return sum(core.tables.counters[name] for core in cores)


@dataclass(frozen=True, slots=True)
class ControlTraffic:
    """Control traffic of the hosts, bytes per second."""

    #: Rate of the host that sent most, without snapshot transfers.
    busiest: float
    #: Mean over all hosts, without snapshot transfers.
    mean: float
    #: Snapshot transfers of the host that sent most of them.
    bulk: float
