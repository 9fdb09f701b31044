"""Tables of runtime state that the systems operate on."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING

from citronspring.account_rows import AccountRows
from citronspring.control.tables import (
    FenceRow,
    HashedRandomSource,
    MembershipTable,
    SpreadTable,
)
from citronspring.entities import Account, FlowKey, Host, HostState, ServiceKey, Target
from citronspring.load_rows import (
    UNKNOWN_HEALTH,
    GcraLimiter,
    HealthState,
    LoadTable,
    QuotaLending,
)
from citronspring.rendezvous import OwnerTable, seed_of

if TYPE_CHECKING:
    from citronspring.messages import Packet

#: Seconds during which all flows that receive packets share one deadline object. It
#: saves a float per flow; a flow may expire up to this much earlier than configured.
DEADLINE_RESOLUTION = 1.0

#: Seconds between two packets of a datagram flow that are sent via the backup host, so
#: that the backup binding does not expire before the flow does.
BACKUP_REFRESH_INTERVAL = 30.0

#: Width in seconds of one bucket of the expiry wheel.
WHEEL_BUCKET_WIDTH = 4.0

#: Seconds after which the deadline of a flow is checked again, even if it is later.
RECHECK_INTERVAL = 64.0


class FlowState(IntEnum):
    """State of a flow; stored as plain integers in the rows."""

    #: A target was chosen and has not answered.
    OPENING = 1
    #: The target answered the SYN; the caller has not yet confirmed it.
    ANSWERED = 2
    ESTABLISHED = 3
    #: Closed; the tuple stays bound so that a late answer does not reach a new flow.
    CLOSING = 4
    #: Backup binding, kept for the owner.
    BACKUP = 5
    #: Bound to a target that another host or an answer named; the target has not yet
    #: sent data of the flow.
    UNVERIFIED = 6
    #: An unverified binding that a reset contradicted; the next packet starts a search.
    CONTRADICTED = 7


@dataclass(slots=True, eq=False)
class AccountRow:
    """A client account and its counts on this host."""

    account: Account
    #: Every target that may hold flows: active, starting or leaving.
    targets: list[TargetRow] = field(default_factory=list)
    #: Open flows that this host owns.
    open_flows: int = 0
    #: None while the quota of the account is not contended.
    lending: QuotaLending | None = None
    opening_limiter: GcraLimiter = field(default_factory=GcraLimiter)
    #: Opening retries that may still be made.
    retry_balance: float = 10.0
    #: Shared deadline objects, renewed once per ``DEADLINE_RESOLUTION``.
    tcp_deadline: float = 0.0
    udp_deadline: float = 0.0
    refresh_deadline: float = 0.0
    deadlines_renewed_until: float = -1.0
    #: Time from which the account counts as idle: no timers, probes or load reports.
    idle_from: float = 0.0

    def renew_deadlines(self, now: float) -> None:
        """Renew the deadlines given to flows that receive packets from now on."""
        limits = self.account.limits
        self.tcp_deadline = now + limits.tcp_idle_timeout
        self.udp_deadline = now + limits.udp_idle_timeout
        self.refresh_deadline = now + BACKUP_REFRESH_INTERVAL
        self.deadlines_renewed_until = now + DEADLINE_RESOLUTION


@dataclass(slots=True, eq=False)
class TargetRow:
    """A target with this host's counts and its view of the target's health."""

    target: Target
    account: AccountRow
    seed: int
    #: Open flows of this host on the target, placed or learned.
    flows: int = 0
    #: Open flows at other hosts, as they report them.
    remote_flows: float = 0.0
    #: New flows are placed only from this time on. All hosts must know the target by
    #: then: a host that does not could not find the flows on it.
    placeable_from: float = 0.0
    #: End of the target's slow start; until then its share of new flows grows.
    warm_at: float = 0.0
    #: Time of this host's next health probe, if it is one of the target's probers.
    probe_at: float = 0.0
    #: Health state; one object is shared by all targets without any health data.
    health: HealthState = field(default_factory=lambda: UNKNOWN_HEALTH)

    def writable_health(self) -> HealthState:
        """Return this row's own health state, to be modified (copy on write)."""
        if self.health is UNKNOWN_HEALTH:
            self.health = HealthState()
        return self.health

    @classmethod
    def from_target(cls, target: Target, account: AccountRow) -> TargetRow:
        """Create the row of a newly configured target."""
        return cls(target, account, seed_of(target.target_id))


@dataclass(slots=True, eq=False)
class FlowRow:
    """Binding of a flow. Kept small, as a host holds hundreds of thousands."""

    target: TargetRow
    state: int
    #: Expiry time if no packet arrives before; the objects are shared.
    deadline: float
    #: From this time on the next datagram is sent via the backup host.
    refresh_at: float
    #: Bits: 1 caller sent FIN, 2 target sent FIN.
    fin_flags: int = 0
    #: Packets of the flow that other hosts relayed here, counted for hints.
    relays: int = 0
    #: Wheel bucket in which the flow is checked; its keys in other buckets are stale.
    bucket: list[FlowKey] | None = None

    @property
    def account(self) -> AccountRow:
        """The client account of the flow."""
        return self.target.account


@dataclass(slots=True, eq=False)
class OpeningRow:
    """An opening that the caller has not confirmed yet."""

    #: The SYN or first datagram, kept for retries on another target.
    packet: Packet
    #: Targets tried so far, the current one last.
    tried: list[TargetRow]
    #: Time by which the current target has to answer.
    attempt_deadline: float
    #: The caller is refused at this time.
    deadline: float
    #: Initial sequence number of the target's answer; None before it.
    answer_seq: int | None = None
    #: Packets of the flow sent to the current target.
    sent: int = 1

    @property
    def account(self) -> AccountRow:
        """The client account of the opening."""
        return self.tried[-1].account


@dataclass(slots=True, eq=False)
class SearchRow:
    """A search for the target that holds a flow unknown to this host."""

    account: AccountRow
    candidates: list[TargetRow]
    #: Held packets; the first one is used to probe the candidates.
    packets: list[Packet]
    #: The search ends at this time without an answer to the caller.
    deadline: float
    #: Time by which the current candidate, or the backup host, has to answer.
    attempt_deadline: float
    #: Index of the current candidate; -1 while the backup host is queried.
    position: int = -1
    #: Ids of the targets that answered with a reset.
    resets: set[str] = field(default_factory=set)


@dataclass(slots=True)
class HintRow:
    """Permission to forward packets of a flow that another host owns."""

    target: TargetRow
    deadline: float
    #: Version of the owner table under which the hint was given.
    owners_version: int


@dataclass(slots=True, eq=False)
class HostRow:
    """A host as this host sees it."""

    host: Host
    state: HostState = HostState.ALIVE
    incarnation: int = 0
    #: Highest configuration revision that the host has reported.
    revision: int = 0
    #: A suspect host is declared dead at this time.
    suspect_until: float = 0.0
    #: A dead host is removed at this time.
    forget_at: float = 0.0


@dataclass(slots=True)
class FlowTable:
    """Flows by key, with a timer wheel of keys by expiry time."""

    rows: AccountRows[FlowRow] = field(default_factory=AccountRows)
    wheel: dict[int, list[FlowKey]] = field(default_factory=dict)

    def add(self, flow: FlowKey, row: FlowRow, now: float) -> None:
        """Add a row and schedule the check of its deadline."""
        earlier = self.rows.get(flow)
        if earlier is not None:
            row.bucket = earlier.bucket
        self.rows[flow] = row
        self.schedule(flow, row, now)

    def schedule(self, flow: FlowKey, row: FlowRow, now: float) -> None:
        """Schedule a check of the flow at its deadline, or earlier.

        The check comes after ``RECHECK_INTERVAL`` at the latest. A key stays in its
        bucket after its flow is closed: with the idle timeout of an hour as the only
        limit, the keys of one hour of short flows would accumulate.
        """
        look_at = min(row.deadline, now + RECHECK_INTERVAL)
        position = int(look_at // WHEEL_BUCKET_WIDTH) + 1
        bucket = self.wheel.setdefault(position, [])
        if row.bucket is not bucket:
            row.bucket = bucket
            bucket.append(flow)


@dataclass(slots=True)
class Tables:
    """All state of one decision core."""

    #: Id of this host.
    host_id: str
    #: Availability zone of this host.
    zone: str
    #: Fabric group: hosts that may receive each other's packets.
    group: str
    #: Maximum number of flow rows; new flows beyond it are refused.
    max_flows: int
    #: Highest configuration revision applied.
    revision: int = 0
    hosts: dict[str, HostRow] = field(default_factory=dict)
    owners: OwnerTable = field(default_factory=OwnerTable)
    accounts: dict[str, AccountRow] = field(default_factory=dict)
    #: Client accounts with recent activity; periodic systems skip the others.
    active_accounts: dict[str, AccountRow] = field(default_factory=dict)
    services: dict[ServiceKey, AccountRow] = field(default_factory=dict)
    #: Service addresses that were withdrawn from an account and have no other; open
    #: flows continue.
    retired: dict[ServiceKey, AccountRow] = field(default_factory=dict)
    targets: dict[str, TargetRow] = field(default_factory=dict)
    #: Target ids by the source address of their tunnel packets.
    targets_by_ip: dict[str, str] = field(default_factory=dict)
    flows: FlowTable = field(default_factory=FlowTable)
    openings: AccountRows[OpeningRow] = field(default_factory=AccountRows)
    searches: AccountRows[SearchRow] = field(default_factory=AccountRows)
    hints: dict[FlowKey, HintRow] = field(default_factory=dict)
    loads: LoadTable = field(default_factory=LoadTable)
    #: Owners whose flow counts are missing or outdated.
    silent_peers: int = 0
    #: Packets, drops and decisions by name.
    counters: Counter[str] = field(default_factory=Counter)
    #: Time by which a leaving host exits; None while it stays.
    leave_deadline: float | None = None
    #: Time of the last packet or relay; tells whether a leaving host still has traffic.
    last_packet_at: float = 0.0
    #: Wheel buckets before this one have been processed.
    wheel_position: int = 0
    membership: MembershipTable = field(
        default_factory=lambda: MembershipTable(HashedRandomSource(0))
    )
    replication: SpreadTable = field(default_factory=SpreadTable)
    fence: FenceRow = field(default_factory=FenceRow)

    @property
    def me(self) -> HostRow:
        """The row of this host."""
        return self.hosts[self.host_id]
