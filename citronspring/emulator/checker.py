"""Checks a run's guarantees by what callers, targets and operators observe."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from citronspring.emulator.callers import Request
from citronspring.emulator.network import BASELINE_LOSS
from citronspring.emulator.zone_checker import ZoneChecker
from citronspring.tcp_flags import SYN
from citronspring.tokens.entities import token_of
from citronspring.tokens.messages import DropReason, ResetReason

if TYPE_CHECKING:
    from citronspring.emulator.callers import EmulatedCaller
    from citronspring.emulator.clock import Clock
    from citronspring.emulator.hosts import EmulatedHost
    from citronspring.emulator.network import Network
    from citronspring.emulator.store import EmulatedStore
    from citronspring.emulator.targets import EmulatedTarget, Reply
    from citronspring.tokens.entities import Packet
    from citronspring.tokens.entries import Configuration
    from citronspring.tokens.messages import Drop, Log

#: Settling time: seconds after a disturbance until guarantees with a bound apply.
SETTLING = 4.0

#: Seconds within which hosts apply a new configuration, or the leaving of a target.
CHANGE_BOUND = 3.0


@dataclass(slots=True)
class Resets:
    """Counts of the resets that hosts sent on open flows."""

    #: Resets of flows that were still open at a target that the host could reach.
    unjustified: int = 0
    #: The other resets: the target had ended or was behind a network partition.
    justified: int = 0


@dataclass(slots=True)
class Checker:
    """Observations of a run, and the violations of its guarantees."""

    clock: Clock
    network: Network
    store: EmulatedStore
    #: Seconds within which a change is applied, and the settling time.
    change_bound: float = CHANGE_BOUND
    settling: float = SETTLING
    #: Callers by flow, in place of addresses.
    callers: dict[bytes, EmulatedCaller] = field(default_factory=dict)
    requests: list[Request] = field(default_factory=list)
    #: Target at which each flow is open.
    owners: dict[bytes, EmulatedTarget] = field(default_factory=dict)
    #: Services that each route has ever pointed to.
    services: dict[int, set[str]] = field(default_factory=dict)
    #: Time of the last change of the services of a route.
    shares_changed_at: float = -100.0
    #: Each accepted configuration with the time of its acceptance.
    accepted: list[tuple[float, Configuration]] = field(default_factory=list)
    #: Highest revision that each process of a host has applied.
    highest_revisions: dict[tuple[str, int], int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    events: Counter[int] = field(default_factory=Counter)
    resets: Resets = field(default_factory=Resets)
    #: All targets by incarnation, and all zones.
    targets: dict[int, EmulatedTarget] = field(default_factory=dict)
    zones: tuple[str, ...] = ()
    zone_checker: ZoneChecker = field(init=False)

    def __post_init__(self) -> None:
        self.zone_checker = ZoneChecker(self)

    def report_violation(self, guarantee: str, detail: str) -> None:
        """Record the violation of a guarantee."""
        self.violations.append(f"{self.clock.now:.3f} s {guarantee}: {detail}")

    # Requests --------------------------------------------------------------------

    def new_request(
        self, started_at: float, idempotent: bool, deadline: float
    ) -> Request:
        """Create and record a request of a caller."""
        request = Request(len(self.requests), started_at, idempotent, deadline)
        self.requests.append(request)
        return request

    def request_answered(self, caller: EmulatedCaller, request: Request) -> None:
        """Check that an answer came from the target that the flow is bound to."""
        owner = self.owners.get(caller.flow)
        if owner is not None and owner.incarnation != caller.bound_to:
            self.report_violation("whole answer", f"request {request.number}")

    def request_ran(self, target: EmulatedTarget, caller: EmulatedCaller) -> None:
        """Check a request that a target starts: isolation, and at most one run."""
        request = caller.request
        if request is None:
            return
        request.runs += 1
        if not request.idempotent and request.runs > 1:
            self.report_violation("at most once", f"order {request.number} ran again")
        if target.service not in self.services.get(caller.route, set()):
            self.report_violation(
                "isolation", f"{target.target_id} ran {request.number}"
            )

    # Flows -----------------------------------------------------------------------

    def flow_opened(self, target: EmulatedTarget, flow: bytes) -> None:
        """Record that a flow is open at a target."""
        self.owners[flow] = target

    def flow_closed(self, target: EmulatedTarget, flow: bytes) -> None:
        """Record that a flow has ended, unless its port is in use again."""
        if self.owners.get(flow) is target:
            del self.owners[flow]

    def live_owner(self, flow: bytes) -> EmulatedTarget | None:
        """Return the running target at which a flow is open, or None."""
        owner = self.owners.get(flow)
        if owner is None or not owner.alive or flow not in owner.flows:
            return None
        return owner

    def caller_reset(self, caller: EmulatedCaller, reply: Reply) -> None:
        """Check a reset that a caller got; a target may only reset its own flows."""
        owner = self.live_owner(caller.flow)
        if owner is None or reply.sender in (None, owner.incarnation):
            return
        if self.links_undisturbed(owner.zone) and self.settled(owner.disturbed_at):
            self.report_violation(
                "flows stay", f"a packet of {owner.target_id} strayed"
            )

    def host_reset(
        self,
        host: EmulatedHost,
        caller: EmulatedCaller,
        packet: Packet,
        reason: ResetReason,
    ) -> None:
        """Check a reset that a host sends."""
        owner = self.live_owner(packet.flow)
        self.count_reset(host, owner, packet)
        if owner is not None and not caller.idempotent:
            self.report_violation("orders are not reset", f"by {host.host_id}")
        undisturbed = (
            owner is not None
            and self.links_undisturbed(owner.zone)
            and self.links_undisturbed(host.zone)
        )
        if owner is not None and undisturbed and self.settled(owner.disturbed_at):
            detail = f"{host.host_id} reset one of {owner.target_id}, {reason.value}"
            self.report_violation("flows stay", detail)
        if reason is ResetReason.NO_ROUTE:
            self.check_missing_route(host, packet)

    def count_reset(
        self, host: EmulatedHost, owner: EmulatedTarget | None, packet: Packet
    ) -> None:
        """Count the reset of an open flow as justified or unjustified."""
        if packet.flags & SYN:
            return
        if owner is None or self.network.is_partitioned(host.zone, owner.zone):
            self.resets.justified += 1
        else:
            self.resets.unjustified += 1

    def dropped(self, host: EmulatedHost, drop: Drop) -> None:
        """Check a dropped packet: a flow stays when its route's services change."""
        packet, owner = drop.packet, self.live_owner(drop.packet.flow)
        if drop.reason is not DropReason.FOREIGN_TOKEN or owner is None:
            return
        issued = packet.token == token_of(owner.incarnation)
        named = owner.service in self.services.get(packet.route, set())
        # A host that has just started knows the former services from its first list.
        informed = self.surroundings_undisturbed(host) and (
            host.disturbed_at == host.started_at or self.settled(host.disturbed_at)
        )
        if issued and named and informed and self.settled(self.shares_changed_at):
            detail = f"{host.host_id} dropped a packet for {owner.target_id}"
            self.report_violation("flows stay", detail)

    def check_missing_route(self, host: EmulatedHost, packet: Packet) -> None:
        """Check that a route reported as missing is missing in a recent configuration.

        This applies to disturbed hosts too: a host that may be behind must not report
        a route as missing.
        """
        bound_start = self.clock.now - self.change_bound
        old = [found for time, found in self.accepted if time <= bound_start]
        new = [found for time, found in self.accepted if time > bound_start]
        allowed = [*old[-1:], *new]
        if all(has_route(one, packet.route) for one in allowed):
            self.report_violation(
                "refusals are true", f"{host.host_id} refused a route"
            )

    def forwarded(
        self, host: EmulatedHost, target: EmulatedTarget | None, packet: Packet
    ) -> None:
        """Check a packet that a host forwards: a leaving target gets no new flow."""
        if target is not None:
            self.zone_checker.forwarded(host, target, packet)
        if target is None or target.leaving_at is None or not packet.flags & SYN:
            return
        late = self.clock.now - target.leaving_at > self.change_bound
        if late and packet.flow not in target.flows and self.host_undisturbed(host):
            detail = f"{host.host_id} placed a flow on {target.target_id}"
            self.report_violation("leaving targets rest", detail)

    # Hosts -----------------------------------------------------------------------

    def check_host(self, host: EmulatedHost, now: float) -> None:
        """Check the configuration that a host has applied."""
        assert host.core is not None
        revision = host.core.tables.configuration
        key = (host.host_id, host.boot)
        highest = self.highest_revisions.get(key, 0)
        if revision < highest:
            self.report_violation("no way back", f"{host.host_id} fell to {revision}")
        self.highest_revisions[key] = max(revision, highest)
        due = [found for time, found in self.accepted if now - time > self.change_bound]
        if due and revision < due[-1].revision and self.host_undisturbed(host):
            self.report_violation(
                "changes in force", f"{host.host_id} is at {revision}"
            )

    def logged(self, host: EmulatedHost, log: Log) -> None:
        """Count a log event."""
        self.events[log.number] += 1
        self.zone_checker.logged(host, log)

    # Disturbances ----------------------------------------------------------------

    def settled(self, since: float) -> bool:
        """Return whether the settling time has passed since a disturbance."""
        return self.clock.now - since >= self.settling

    def links_undisturbed(self, zone: str) -> bool:
        """Return whether a zone's links are healthy and past their settling time."""
        disturbed_at = self.network.disturbed_at.get(zone, -100.0)
        healthy = (
            zone not in self.network.partitioned and self.network.loss <= BASELINE_LOSS
        )
        return healthy and self.settled(disturbed_at)

    def host_undisturbed(self, host: EmulatedHost) -> bool:
        """Return whether a host, its links and the store are healthy and settled."""
        return self.settled(host.disturbed_at) and self.surroundings_undisturbed(host)

    def surroundings_undisturbed(self, host: EmulatedHost) -> bool:
        """Return whether a host's links and the store are healthy and settled."""
        store = self.store
        store_healthy = (
            store.outage is None
            and not store.watches_suppressed
            and store.slowness == 1.0
        )
        return (
            store_healthy
            and self.settled(store.disturbed_at)
            and not host.frozen
            and host.host_id not in store.partitioned_hosts
            and self.links_undisturbed(host.zone)
        )


def has_route(configuration: Configuration, key: int) -> bool:
    """Return whether a configuration has a route."""
    return any(route.key == key for route in configuration.routes)
