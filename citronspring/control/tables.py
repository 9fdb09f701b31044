"""State that a host keeps for membership and for replicating the configuration."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol, TypeVar

from xxhash import xxh64_intdigest

from citronspring.rendezvous import seed_of

if TYPE_CHECKING:
    from collections.abc import Sequence

    from citronspring.control.messages import HostUpdate, Records
    from citronspring.entities import Account, ChangeRecord

Item = TypeVar("Item")


class RandomSource(Protocol):
    """A source of random numbers, such as `random.Random`."""

    def random(self) -> float:
        """Return a number of at least 0.0 and below 1.0."""


@dataclass(slots=True)
class HashedRandomSource:
    """Deterministic random numbers, seeded with a host's id and incarnation."""

    seed: int
    count: int = 0

    @classmethod
    def from_host(cls, host_id: str, incarnation: int) -> HashedRandomSource:
        """Return the source for one incarnation of a host."""
        return cls(seed_of(f"{host_id}:{incarnation}"))

    def random(self) -> float:
        """Return a number of at least 0.0 and below 1.0."""
        self.count += 1
        digest = xxh64_intdigest(self.count.to_bytes(8, "big"), self.seed)
        return (digest >> 11) / float(1 << 53)


def sample(rng: RandomSource, items: Sequence[Item], count: int) -> list[Item]:
    """Return up to ``count`` different items in random order."""
    pool = list(items)
    chosen: list[Item] = []
    while pool and len(chosen) < count:
        index = int(rng.random() * len(pool))
        pool[index], pool[-1] = pool[-1], pool[index]
        chosen.append(pool.pop())
    return chosen


@dataclass(slots=True)
class ProbeRow:
    """A host that was pinged and has not answered yet."""

    host_id: str
    #: Time of the next ping.
    next_at: float
    #: Time at which the host becomes suspected.
    deadline: float
    #: Number of pings sent so far.
    attempts: int = 1


@dataclass(slots=True)
class IndirectPingRow:
    """A ping that was sent on behalf of another host."""

    requester: str
    #: Sequence number in the requester's `PingRequest`.
    sequence: int
    deadline: float


@dataclass(slots=True)
class UpdateRow:
    """A host update that is still being disseminated."""

    update: HostUpdate
    #: Number of messages that have carried it.
    sent: int = 0


@dataclass(slots=True)
class JoinRow:
    """The list of members, which is being copied from a peer part by part."""

    #: Number of copies, including this one.
    copies: int = 1
    part: int = 0
    #: Whether this is the last copy, even if it brings new members.
    last: bool = False
    #: Whether this copy has brought new members; another one follows then.
    found: bool = False
    #: Time at which another peer is asked.
    retry_at: float = 0.0


@dataclass(slots=True)
class MembershipTable:
    """State of the failure detector and of the dissemination of host updates."""

    rng: RandomSource
    #: Sequence number of the last ping.
    sequence: int = 0
    #: Hosts still to be pinged in this round, in random order.
    order: list[str] = field(default_factory=list)
    next_period_at: float = 0.0
    next_gossip_at: float = 0.0
    #: Unanswered pings by sequence number.
    probes: dict[int, ProbeRow] = field(default_factory=dict)
    indirect_pings: dict[int, IndirectPingRow] = field(default_factory=dict)
    #: Newest update of each host, by host id.
    updates: dict[str, UpdateRow] = field(default_factory=dict)
    #: Hosts that answered a ping, and so know this host's sockets.
    acknowledged: set[str] = field(default_factory=set)
    #: Hosts listed in the settings; never removed.
    seeds: frozenset[str] = frozenset()
    join: JoinRow | None = None
    #: Time of the first tick.
    started_at: float | None = None
    #: Time of the last message from any peer; None before the first.
    heard_at: float | None = None

    def next_sequence(self) -> int:
        """Return the next sequence number."""
        self.sequence += 1
        return self.sequence


@dataclass(slots=True)
class PushRow:
    """A new change record that is still being pushed to peers."""

    record: ChangeRecord
    #: Number of messages that have carried it.
    sent: int = 0


@dataclass(slots=True)
class BulkRow:
    """A snapshot that is being copied from a peer part by part."""

    peer: str
    #: Time at which another peer is asked, unless this one has sent enough by then.
    retry_at: float
    #: Number of parts received when the peer's progress was last checked.
    parts_at_last_check: int = 0
    revision: int = 0
    #: Number of parts; None before the first part has arrived.
    parts: int | None = None
    #: Client accounts, or pieces of them, by part.
    received: dict[int, tuple[Account, ...]] = field(default_factory=dict)
    #: Time at which a missing part is requested again, by part.
    part_retry_at: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True)
class OfferRow:
    """A snapshot at one revision, split into parts for peers to copy."""

    revision: int
    parts: list[tuple[Account, ...]]
    #: Time at which the row is removed, unless a peer requests a part first.
    deadline: float


@dataclass(slots=True)
class SpreadTable:
    """State of the replication of change records and snapshots."""

    #: Applied records by revision: the newest ones, without a gap.
    recent: dict[int, ChangeRecord] = field(default_factory=dict)
    #: Received records that wait for an earlier one, by revision.
    out_of_order: dict[int, ChangeRecord] = field(default_factory=dict)
    #: Pieces of large records, by revision and part.
    pieces: dict[int, dict[int, Records]] = field(default_factory=dict)
    pushes: dict[int, PushRow] = field(default_factory=dict)
    #: Time from which missing records are requested again.
    request_at: float = 0.0
    next_push_at: float = 0.0
    bulk: BulkRow | None = None
    offers: dict[int, OfferRow] = field(default_factory=dict)
    #: Time until which the rate limit is used up by the snapshot parts sent so far.
    bulk_budget_used_until: float = 0.0
    is_reader: bool = False
    #: Time of the next read from the platform.
    read_at: float = 0.0
    #: Time at which the readers are chosen again.
    choose_readers_at: float = 0.0


@dataclass(slots=True)
class FenceRow:
    """Whether this host is fenced, that is, does not forward after a clock jump."""

    #: Time of the last tick; None before the first.
    last_tick_at: float | None = None
    #: Time at which it forwards again, even without an answer; None if not fenced.
    until: float | None = None
    #: Time at which peers are asked again.
    next_query_at: float = 0.0
    #: Sequence numbers of the pings sent since the jump. Only answers to these are
    #: certain to be fresh.
    sequences: set[int] = field(default_factory=set)
    #: Whether the platform has been read since the jump.
    platform_answered: bool = False
    #: Revision that a peer has reported; the host forwards once it has reached it.
    required: int | None = None
