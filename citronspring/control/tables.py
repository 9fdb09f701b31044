"""Rows of what a host knows and does about the other hosts."""

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
    """Where random choices come from; `random.Random` is one."""

    def random(self) -> float:
        """Return a number from 0.0 up to, but not, 1.0."""


@dataclass(slots=True)
class HashedRandomSource:
    """Random numbers that depend on a host's identity alone."""

    seed: int
    count: int = 0

    @classmethod
    def from_host(cls, host_id: str, incarnation: int) -> HashedRandomSource:
        """Make the source of one run of a host."""
        return cls(seed_of(f"{host_id}:{incarnation}"))

    def random(self) -> float:
        """Return a number from 0.0 up to, but not, 1.0."""
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
    """A host that was pinged and has not answered."""

    host_id: str
    #: Pinged again at this time.
    next_at: float
    #: Suspected at this time.
    deadline: float
    #: Pings sent so far.
    attempts: int = 1


@dataclass(slots=True)
class IndirectPingRow:
    """A ping made for another host."""

    requester: str
    #: Sequence number of the requester's own ping.
    sequence: int
    deadline: float


@dataclass(slots=True)
class UpdateRow:
    """News of a host, still to be passed on."""

    update: HostUpdate
    #: Messages it went out with.
    sent: int = 0


@dataclass(slots=True)
class JoinRow:
    """The member list, being copied from a peer part by part."""

    #: Copies so far, this one included.
    copies: int = 1
    part: int = 0
    #: Whether this is the last copy, whatever it brings.
    last: bool = False
    #: Whether this copy brought members; another follows then.
    found: bool = False
    #: Another peer is asked at this time.
    retry_at: float = 0.0


@dataclass(slots=True)
class MembershipTable:
    """Probing of other hosts and news of them."""

    rng: RandomSource
    #: Last sequence number of a ping.
    sequence: int = 0
    #: Hosts still to be pinged in this round, in random order.
    order: list[str] = field(default_factory=list)
    next_period_at: float = 0.0
    next_gossip_at: float = 0.0
    #: Unanswered pings by sequence number.
    probes: dict[int, ProbeRow] = field(default_factory=dict)
    indirect_pings: dict[int, IndirectPingRow] = field(default_factory=dict)
    #: News by host id, the newest of each host.
    updates: dict[str, UpdateRow] = field(default_factory=dict)
    #: Hosts that answered a ping, and so know this host's sockets.
    acknowledged: set[str] = field(default_factory=set)
    #: Hosts named by the settings; never forgotten.
    seeds: frozenset[str] = frozenset()
    join: JoinRow | None = None
    #: Time of the first tick.
    started_at: float | None = None
    #: The last time any peer was heard; None before the first.
    heard_at: float | None = None

    def next_sequence(self) -> int:
        """Return a new sequence number."""
        self.sequence += 1
        return self.sequence


@dataclass(slots=True)
class PushRow:
    """A new change record, still to be passed on."""

    record: ChangeRecord
    #: Messages it went out with.
    sent: int = 0


@dataclass(slots=True)
class BulkRow:
    """A whole configuration, being copied from a peer part by part."""

    peer: str
    #: Another peer is asked at this time, unless this one sent enough by then.
    retry_at: float
    #: Parts that had arrived when the peer was last judged.
    parts_at_last_check: int = 0
    revision: int = 0
    #: Number of parts; unknown before the first.
    parts: int | None = None
    #: Accounts, or pieces of them, by part.
    received: dict[int, tuple[Account, ...]] = field(default_factory=dict)
    #: Times at which missing parts are asked for again.
    part_retry_at: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True)
class OfferRow:
    """A configuration at one revision, cut into parts for peers to copy."""

    revision: int
    parts: list[tuple[Account, ...]]
    #: Forgotten at this time unless a peer asks for a part first.
    deadline: float


@dataclass(slots=True)
class SpreadTable:
    """Change records on their way."""

    #: Applied records by revision, the newest ones without a gap.
    recent: dict[int, ChangeRecord] = field(default_factory=dict)
    #: Records that wait for an earlier one.
    out_of_order: dict[int, ChangeRecord] = field(default_factory=dict)
    #: Pieces of large records, by revision and part.
    pieces: dict[int, dict[int, Records]] = field(default_factory=dict)
    pushes: dict[int, PushRow] = field(default_factory=dict)
    #: Missing records are asked for again from this time on.
    request_at: float = 0.0
    next_push_at: float = 0.0
    bulk: BulkRow | None = None
    offers: dict[int, OfferRow] = field(default_factory=dict)
    #: Time at which bulk parts sent so far are paid off.
    bulk_budget_used_until: float = 0.0
    is_reader: bool = False
    #: The platform is read at this time.
    read_at: float = 0.0
    #: Readers are chosen again at this time.
    choose_readers_at: float = 0.0


@dataclass(slots=True)
class FenceRow:
    """Whether this host may forward, after its clock has jumped."""

    #: Time of the last tick; None before the first.
    last_tick_at: float | None = None
    #: Forwards again at this time, whatever it has heard; None when not fenced.
    until: float | None = None
    #: Peers are asked again at this time.
    next_query_at: float = 0.0
    #: Pings sent since the jump: only answers to these are known to be fresh.
    sequences: set[int] = field(default_factory=set)
    #: Whether the platform was read since the jump.
    platform_answered: bool = False
    #: Revision that a peer told of; forwards once it is reached.
    required: int | None = None
