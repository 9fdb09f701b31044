"""Several cores on an in-memory network, with a platform that may be unavailable."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from citronspring.balancer import Balancer
from citronspring.entities import ChangeRecord, HostState, Snapshot
from citronspring.messages import ReadPlatform, RecordsRead, SnapshotRead
from citronspring.standins.network import LinkQuality, Network
from tests.conftest import ZONES, make_account, make_host

#: Seconds after which hosts that start together know each other.
SETTLE = 6.0


@dataclass
class Cluster:
    """Hosts, and the configuration held by the platform."""

    network: Network
    hosts: list
    records: list = field(default_factory=list)
    platform_up: bool = True
    #: Number of records by which the platform's reads lag behind.
    stale: int = 0
    revisions: dict = field(default_factory=dict)
    reads: list = field(default_factory=list)

    @classmethod
    def of(cls, count=9, seed=1, loss=0.0, duplication=0.0, max_delay=0.003):
        quality = LinkQuality(loss=loss, duplication=duplication, max_delay=max_delay)
        network = Network(random.Random(seed), quality)
        cluster = cls(network, [make_host(index) for index in range(count)])
        network.other_action_handler = cluster.perform
        network.observers.append(cluster.check_revision)
        cluster.commit()
        for host in cluster.hosts:
            cluster.start(host.host_id, 1)
        return cluster

    def start(self, host_id, incarnation):
        """Start a host that knows three seeds and nothing else."""
        host = next(item for item in self.hosts if item.host_id == host_id)
        seeds = [item for item in self.hosts[:4] if item is not host][:3]
        core = Balancer.from_config(host, seeds, incarnation=incarnation)
        self.revisions[host_id] = 0
        if host_id in self.network.fabric_hosts:
            self.network.fabric_hosts.remove(host_id)
        self.network.add_host(core)
        return core

    def commit(self, targets=7):
        """Commit a change of the single account, as the platform would hold it."""
        revision = len(self.records) + 1
        account = make_account(targets=targets)
        account = replace(account, zones=(*ZONES, f"at-{revision}"))
        record = ChangeRecord(
            revision, f"change-{revision}", account.account_id, account
        )
        self.records.append(record)
        return revision

    def perform(self, host_id, action):
        if not isinstance(action, ReadPlatform):
            return
        self.reads.append((self.network.now, host_id))
        if not self.platform_up:
            return
        known = self.records[: len(self.records) - self.stale]
        if action.revision == 0:
            event = SnapshotRead(Snapshot(len(known), (known[-1].account,)))
        else:
            event = RecordsRead(tuple(known[action.revision :]))
        self.network.after(0.01, lambda: self.network.deliver_event(host_id, event))

    def read_now(self, host_id):
        """Let one host read the platform, as its watch would."""
        revision = self.core(host_id).tables.revision
        self.perform(host_id, ReadPlatform(revision))

    def check_revision(self, host_id, action):
        core = self.network.hosts.get(host_id)
        if core is not None:
            revision = core.tables.revision
            assert revision >= self.revisions[host_id], f"{host_id} went back"
            self.revisions[host_id] = revision

    def core(self, host_id):
        return self.network.hosts[host_id]

    def run(self, seconds):
        self.network.run_until(self.network.now + seconds)

    def run_until(self, condition, limit):
        """Return the seconds until a condition holds; fail after the limit."""
        start = self.network.now
        while not condition():
            assert self.network.now - start < limit, "the condition never held"
            self.run(0.05)
        return self.network.now - start

    def states_of(self, host_id):
        """Return the states of a host in the views of the other hosts."""
        return {
            row.state if (row := core.tables.hosts.get(host_id)) else None
            for name, core in self.network.hosts.items()
            if name != host_id
        }

    def all_alive(self):
        count = len(self.network.hosts)
        return all(
            sum(row.state is HostState.ALIVE for row in core.tables.hosts.values())
            == count
            and len(core.tables.owners.members) == count
            for core in self.network.hosts.values()
        )

    def agreed(self):
        """Whether every host has the newest revision and the same account."""
        newest = self.records[-1]
        return all(
            core.tables.revision == newest.revision
            and core.tables.accounts[newest.account_id].account == newest.account
            for core in self.network.hosts.values()
        )

    def counted(self, name):
        return sum(core.tables.counters[name] for core in self.network.hosts.values())


def settled(**options):
    """Return a cluster whose hosts know each other and the configuration."""
    cluster = Cluster.of(**options)
    cluster.run(SETTLE)
    assert cluster.all_alive()
    assert cluster.agreed()
    return cluster
