"""The command ``try``: a small system under failures, checked by its callers.

A caller is a client that opens flows to a service address.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from citronspring.configuration.store import ConfigurationStore
from citronspring.daemons.host import HostDaemon
from citronspring.entities import Endpoint
from citronspring.key_value.http import PlatformClient
from citronspring.standins.loopback import Loopback
from citronspring.standins.memory import MemoryPlatform
from citronspring.standins.platform import serve_platform
from citronspring.standins.sample_configuration import SYSTEM_ZONES, Operator
from citronspring.standins.service import Outcome, Request, RequestKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from citronspring.entities import Account, ServiceAddress, Snapshot
    from citronspring.standins.service import CallerSession

#: Duration of the traffic: time for which new requests arrive, seconds.
TRAFFIC_SECONDS = 14.0

#: Time-out for the requests that are open at the end of the traffic, seconds.
FINISH_TIMEOUT_SECONDS = 8.0

#: Mean rate of new short requests, requests a second.
REQUESTS_PER_SECOND = 120.0

#: Size of a long flow, bytes, and its rate, bytes a second.
LONG_FLOW_BYTES = 120_000
LONG_FLOW_RATE = 10_000.0

#: Time after which the fabric has detected that a host stopped, seconds.
FABRIC_LAG = 1.0

#: Time for which a leaving target may still get new flows, seconds.
DRAIN_GRACE = 4.0

#: Interval between two samples of the imbalance, seconds.
SAMPLE_INTERVAL = 0.5

#: Minimum of live connections for a sample: with fewer, the imbalance means little.
MIN_SAMPLED_CONNECTIONS = 20

HOSTS = 3

#: Endpoint of the in-memory platform; port 0 stands for any free port.
PLATFORM_ENDPOINT = Endpoint("127.0.3.4", 0)


@dataclass(slots=True)
class Report:
    """The results of a run."""

    outcomes: Counter[str] = field(default_factory=Counter)
    #: Requests that ran more than once; none may.
    run_twice: int = 0
    #: Packets that reached a target of another client account.
    foreign: int = 0
    #: New flows on the leaving target after `DRAIN_GRACE`.
    late_flows: int = 0
    #: Maximum over mean of live connections, averaged over the samples.
    imbalance: float = 0.0
    #: Control traffic of the host that sent most, bytes a second.
    control_bytes: float = 0.0

    @property
    def passed(self) -> bool:
        """Whether no guarantee was violated."""
        broken = self.outcomes["broken"] + self.outcomes["wrong"]
        return not (broken or self.run_twice or self.foreign or self.late_flows)

    def rows(self) -> list[tuple[str, str]]:
        """Return the report as lines of a table."""
        opened = sum(self.outcomes.values())
        return [
            ("flows opened", str(opened)),
            ("flows finished whole", str(self.outcomes["whole"])),
            ("flows refused (not run)", str(self.outcomes["refused"])),
            ("flows broken", str(self.outcomes["broken"])),
            ("wrong answers", str(self.outcomes["wrong"])),
            ("run more than once", str(self.run_twice)),
            ("packets at a foreign target", str(self.foreign)),
            ("new work on the leaving target", str(self.late_flows)),
            ("imbalance (max / mean)", f"{self.imbalance:.3f}"),
            ("control bytes/s, busiest host", f"{self.control_bytes:.0f}"),
        ]


@dataclass(slots=True)
class Demonstration:
    """One run: the system, its traffic and the injected failures."""

    system: Loopback
    operator: Operator
    accounts: tuple[Account, ...]
    #: Called with a line of progress.
    report_progress: Callable[[str], None]
    started_at: float = 0.0
    sessions: list[CallerSession] = field(default_factory=list)
    imbalance_samples: list[float] = field(default_factory=list)
    drained: str = ""
    drained_at: float = 0.0

    async def run(self) -> Report:
        """Run traffic and failures; return the results."""
        self.started_at = anyio.current_time()
        for account in self.accounts:
            self.open_long_flows(account)
        async with anyio.create_task_group() as group:
            group.start_soon(self.generate_requests)
            group.start_soon(self.sample_imbalance)
            group.start_soon(self.inject_failures)
        await self.wait_for_sessions()
        return self.build_report()

    def elapsed(self) -> float:
        """Return the seconds since the start."""
        return anyio.current_time() - self.started_at

    def open_long_flows(self, account: Account) -> None:
        """Open an upload and a preview that outlast every failure."""
        address = account.addresses[0]
        for kind in (RequestKind.UPLOAD, RequestKind.PREVIEW):
            name = f"{account.account_id}-long-{kind.value.lower()}"
            self.open(address, Request(name, kind, LONG_FLOW_BYTES, LONG_FLOW_RATE))
        self.report_progress(
            f"started a long upload and a long preview of {account.account_id}"
        )

    def open(self, address: ServiceAddress, request: Request) -> None:
        """Start a request."""
        self.sessions.append(self.system.caller.open(address, request))

    async def generate_requests(self) -> None:
        """Open short requests of all kinds at random times."""
        rng = self.system.rng
        while self.elapsed() < TRAFFIC_SECONDS:
            account = rng.choice(self.accounts)
            kind = rng.choice(list(RequestKind))
            name = f"request-{len(self.sessions)}"
            size = rng.randint(2_000, 12_000)
            self.open(account.addresses[0], Request(name, kind, size, 8_000.0))
            await anyio.sleep(rng.expovariate(REQUESTS_PER_SECOND))

    async def sample_imbalance(self) -> None:
        """Sample the imbalance of each client account at fixed intervals."""
        while self.elapsed() < TRAFFIC_SECONDS:
            await anyio.sleep(SAMPLE_INTERVAL)
            for account in self.accounts:
                self.sample_account(account)

    def sample_account(self, account: Account) -> None:
        """Sample the imbalance over the active targets of a client account."""
        counts = [
            self.system.targets[target.target_id].stack.open_count
            for target in account.targets
            if target.target_id != self.drained
        ]
        if sum(counts) >= MIN_SAMPLED_CONNECTIONS:
            self.imbalance_samples.append(max(counts) * len(counts) / sum(counts))

    async def inject_failures(self) -> None:
        """Drain a target, then stop a host gracefully, then kill another."""
        await anyio.sleep(3.0)
        await self.drain_target()
        await anyio.sleep(4.0)
        await self.leave_host("host-1")
        await anyio.sleep(3.0)
        await self.kill_host("host-2")

    async def drain_target(self) -> None:
        """Drain the target of the first account that has the most open flows."""
        account = self.accounts[0]
        busiest = max(
            account.targets,
            key=lambda item: self.system.targets[item.target_id].stack.open_count,
        )
        await self.operator.drain(account.account_id, busiest.target_id)
        self.drained, self.drained_at = busiest.target_id, anyio.current_time()
        self.report_progress(
            f"draining target {busiest.target_id}, which has open flows"
        )

    async def leave_host(self, host_id: str) -> None:
        """Stop a host gracefully."""
        daemon = self.system.hosts[host_id]
        self.report_progress(f"stopping {host_id} gracefully")
        daemon.leave()
        await anyio.sleep(FABRIC_LAG)
        self.system.fabric.hosts.remove(daemon.settings.host.tunnel)

    async def kill_host(self, host_id: str) -> None:
        """Stop a host abruptly, as a crash does."""
        daemon = self.system.hosts[host_id]
        self.report_progress(f"killing {host_id}")
        self.system.scopes[host_id].cancel()
        await anyio.sleep(FABRIC_LAG)
        self.system.fabric.hosts.remove(daemon.settings.host.tunnel)

    async def wait_for_sessions(self) -> None:
        """Wait for the open requests, up to `FINISH_TIMEOUT_SECONDS`."""
        self.report_progress("no new requests; waiting for the open ones")
        with anyio.move_on_after(FINISH_TIMEOUT_SECONDS):
            while any(session.outcome is None for session in self.sessions):
                await anyio.sleep(0.1)

    def build_report(self) -> Report:
        """Return the report, which checks the results against the guarantees."""
        report = Report()
        for session in self.sessions:
            outcome = session.outcome or Outcome.BROKEN
            report.outcomes[outcome.value] += 1
        runs = Counter(request_id for request_id, _ in self.system.executed)
        report.run_twice = sum(count > 1 for count in runs.values())
        report.foreign = sum(item.foreign for item in self.system.targets.values())
        grace_end = self.drained_at + DRAIN_GRACE
        if self.drained:
            accepted = self.system.targets[self.drained].stack.accepted_at
            report.late_flows = sum(at > grace_end for at in accepted)
        if self.imbalance_samples:
            report.imbalance = sum(self.imbalance_samples) / len(self.imbalance_samples)
        report.control_bytes = self.max_control_rate()
        return report

    def max_control_rate(self) -> float:
        """Return the control traffic of the host that sent most, bytes a second."""
        sent = [
            daemon.core.tables.counters["control.bytes_sent"]
            for daemon in self.system.hosts.values()
        ]
        return max(sent) / self.elapsed()


async def demonstrate(seed: int, report_progress: Callable[[str], None]) -> Report:
    """Run the whole system once on loopback and return the report.

    Parameters
    ----------
    seed : int
        Seed of arrivals, of the fabric's choice of hosts and of sequence numbers.
    report_progress : callable
        Called with each line of progress.
    """
    async with anyio.create_task_group() as group:
        platform = await group.start(
            serve_platform, MemoryPlatform(), PLATFORM_ENDPOINT
        )
        url = f"http://{platform}"
        system = Loopback(group, random.Random(seed), SYSTEM_ZONES)
        async with PlatformClient.from_url(url) as client:
            store = ConfigurationStore.from_platform(client, SYSTEM_ZONES)
            operator = Operator(store, time.time)
            await operator.set_up(system.tunnel_port)
            snapshot = await store.read_snapshot()
            await start_system(system, snapshot, store, url)
            report_progress(f"started {HOSTS} hosts and {len(system.targets)} targets")
            run = Demonstration(system, operator, snapshot.accounts, report_progress)
            report = await run.run()
        group.cancel_scope.cancel()
    return report


async def start_system(
    system: Loopback, snapshot: Snapshot, store: ConfigurationStore, url: str
) -> None:
    """Start fabric, callers, targets and hosts."""
    await system.start()
    await system.add_targets(snapshot)
    sections = system.make_host_sections(HOSTS)
    for section in sections:
        settings = system.make_settings(section, sections, url)
        daemon = HostDaemon.from_settings(settings, store)
        await system.add_host(daemon)
