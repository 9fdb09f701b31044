"""Tables of runtime rows that the systems run over."""

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

#: Seconds over which flows touched by packets share one deadline object. A flow
#: lives up to this much shorter than configured and needs no float of its own.
DEADLINE_RESOLUTION = 1.0

#: Seconds between two packets of a datagram flow that go by the second host, so
#: that its copy of the binding does not run out before the flow does.
BACKUP_REFRESH_INTERVAL = 30.0

#: Width in seconds of one bucket of the expiry wheel.
WHEEL_BUCKET_WIDTH = 4.0

#: Seconds after which a flow is looked at again, however long it may yet live.
RECHECK_INTERVAL = 64.0


class FlowState(IntEnum):
    """How far a flow has come; plain integers in the rows."""

    #: A target was chosen and has not answered.
    OPENING = 1
    #: The target answered the SYN; the caller has not yet confirmed it.
    ANSWERED = 2
    ESTABLISHED = 3
    #: Closed; the tuple stays pinned so that a late answer finds no new flow.
    CLOSING = 4
    #: A copy of the binding, held for the owner.
    BACKUP = 5
    #: Bound on another host's word; the target has not yet sent data of the flow.
    UNVERIFIED = 6
    #: Bound on another's word that a reset belied; the next packet starts a walk.
    CONTRADICTED = 7


@dataclass(slots=True, eq=False)
class AccountRow:
    """A client account with its counts on this host."""

    account: Account
    #: Every target that may hold flows: active, starting or leaving.
    targets: list[TargetRow] = field(default_factory=list)
    #: Flows this host owns and that are not closed.
    open_flows: int = 0
    #: None while no owner is pressed.
    lending: QuotaLending | None = None
    openings: GcraLimiter = field(default_factory=GcraLimiter)
    #: Retries of openings that may still be made.
    retry_balance: float = 10.0
    #: Shared deadline objects, renewed once a ``DEADLINE_RESOLUTION``.
    tcp_deadline: float = 0.0
    udp_deadline: float = 0.0
    refresh_deadline: float = 0.0
    deadlines_renewed_until: float = -1.0
    #: Time from which the account counts as idle: no timer, probe or gossip.
    idle_from: float = 0.0

    def renew_deadlines(self, now: float) -> None:
        """Set the deadlines that flows touched from now on take over."""
        limits = self.account.limits
        self.tcp_deadline = now + limits.tcp_idle_timeout
        self.udp_deadline = now + limits.udp_idle_timeout
        self.refresh_deadline = now + BACKUP_REFRESH_INTERVAL
        self.deadlines_renewed_until = now + DEADLINE_RESOLUTION


@dataclass(slots=True, eq=False)
class TargetRow:
    """A target with what this host counts and believes of it."""

    target: Target
    account: AccountRow
    seed: int
    #: Open flows this host has placed or found on it.
    flows: int = 0
    #: Open flows at other hosts, as they report them.
    remote_flows: float = 0.0
    #: New flows are placed only from this time on: every host must know the
    #: target first, or a host that does not would take its flows for lost.
    placeable_from: float = 0.0
    #: Until this time the target is being warmed up and takes a growing share.
    warm_at: float = 0.0
    #: When this host asks its health endpoint next, if it is one of the probers.
    probe_at: float = 0.0
    #: What is held against it; shared by all rows of which nothing is known.
    health: HealthState = field(default_factory=lambda: UNKNOWN_HEALTH)

    def writable_health(self) -> HealthState:
        """Return the health state of this row alone, to be changed."""
        if self.health is UNKNOWN_HEALTH:
            self.health = HealthState()
        return self.health

    @classmethod
    def from_target(cls, target: Target, account: AccountRow) -> TargetRow:
        """Make the row of a newly configured target."""
        return cls(target, account, seed_of(target.target_id))


@dataclass(slots=True, eq=False)
class FlowRow:
    """Where a flow goes. Kept small: there are hundreds of thousands."""

    target: TargetRow
    state: int
    #: Forgotten at this time unless a packet comes first; shared objects.
    deadline: float
    #: From this time the next datagram goes by the second host.
    refresh_at: float
    #: Bits: 1 caller sent FIN, 2 target sent FIN.
    fin_flags: int = 0
    #: Packets of the flow that other hosts relayed here, for hints.
    relays: int = 0
    #: The wheel bucket that will look at the flow; entries elsewhere are stale.
    bucket: list[FlowKey] | None = None

    @property
    def account(self) -> AccountRow:
        """The client account of the flow."""
        return self.target.account


@dataclass(slots=True, eq=False)
class OpeningRow:
    """An opening that no caller has confirmed yet."""

    #: The opening packet, kept to try another target.
    packet: Packet
    #: Targets tried so far, the current one last.
    tried: list[TargetRow]
    #: The current target has until then to answer.
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
    """A search for the target that holds a flow this host does not know."""

    account: AccountRow
    candidates: list[TargetRow]
    #: Packets held; the first is the one the candidates are asked with.
    packets: list[Packet]
    #: The walk gives up, silently, at this time.
    deadline: float
    #: The current candidate, or the second-ranked host, has until then.
    attempt_deadline: float
    #: Index of the current candidate; -1 while the second-ranked host is asked.
    position: int = -1
    #: Target ids that answered with a reset.
    resets: set[str] = field(default_factory=set)


@dataclass(slots=True)
class HintRow:
    """Leave to forward packets of a flow that another host owns."""

    target: TargetRow
    deadline: float
    #: Version of the ring the hint was made under.
    owners_version: int


@dataclass(slots=True, eq=False)
class HostRow:
    """An entry host as this host sees it."""

    host: Host
    state: HostState = HostState.ALIVE
    incarnation: int = 0
    #: Highest configuration revision the host has told of.
    revision: int = 0
    #: A suspect is held dead from this time.
    suspect_until: float = 0.0
    #: A dead host is forgotten at this time.
    forget_at: float = 0.0


@dataclass(slots=True)
class FlowTable:
    """Flows by key, with a wheel of keys by the time they may expire."""

    rows: AccountRows[FlowRow] = field(default_factory=AccountRows)
    wheel: dict[int, list[FlowKey]] = field(default_factory=dict)

    def add(self, flow: FlowKey, row: FlowRow, now: float) -> None:
        """Add a row, and have it looked at when its deadline has passed."""
        earlier = self.rows.get(flow)
        if earlier is not None:
            row.bucket = earlier.bucket
        self.rows[flow] = row
        self.schedule(flow, row, now)

    def schedule(self, flow: FlowKey, row: FlowRow, now: float) -> None:
        """Have the flow looked at once its deadline has passed, or earlier.

        A key stays in its bucket after its flow is closed. Were it first looked at
        when the idle time of an hour has passed, the keys of an hour of short
        flows would pile up.
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

    #: This host's own id.
    host_id: str
    #: This host's availability zone.
    zone: str
    #: Fabric group: hosts that may receive each other's packets.
    group: str
    #: Highest number of flow rows; beyond it new flows are refused.
    max_flows: int
    #: Highest configuration revision applied.
    revision: int = 0
    hosts: dict[str, HostRow] = field(default_factory=dict)
    owners: OwnerTable = field(default_factory=OwnerTable)
    accounts: dict[str, AccountRow] = field(default_factory=dict)
    #: The client accounts with something to do; the others cost no time.
    active_accounts: dict[str, AccountRow] = field(default_factory=dict)
    services: dict[ServiceKey, AccountRow] = field(default_factory=dict)
    #: Addresses that an account gave up and nobody has: open flows live on.
    retired: dict[ServiceKey, AccountRow] = field(default_factory=dict)
    targets: dict[str, TargetRow] = field(default_factory=dict)
    #: Target ids by the address their tunnel packets come from.
    targets_by_ip: dict[str, str] = field(default_factory=dict)
    flows: FlowTable = field(default_factory=FlowTable)
    openings: AccountRows[OpeningRow] = field(default_factory=AccountRows)
    searches: AccountRows[SearchRow] = field(default_factory=AccountRows)
    hints: dict[FlowKey, HintRow] = field(default_factory=dict)
    loads: LoadTable = field(default_factory=LoadTable)
    #: Members of the ring of whose flows nothing fresh is known.
    silent_peers: int = 0
    #: Packets, drops and decisions by name.
    counters: Counter[str] = field(default_factory=Counter)
    #: Time by which a leaving host exits; None while it stays.
    leave_deadline: float | None = None
    #: The last time a packet or relay arrived, to tell when a leaver is quiet.
    last_packet_at: float = 0.0
    #: Wheel buckets before this one have been looked at.
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
