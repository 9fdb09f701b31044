"""What the token core decides about a packet, and what the store answers."""

from __future__ import annotations

from citronspring.light_stdlib import TYPE_CHECKING, LightEnum
from citronspring.records import record

if TYPE_CHECKING:
    from citronspring.endpoints import Endpoint
    from citronspring.tokens.entities import Packet
    from citronspring.tokens.entries import Change, Configuration, Entry, FeedChange
    from citronspring.tokens.rows import TargetRow
    from citronspring.tokens.suspicions import HostMessage


class DropReason(LightEnum):
    """Why a packet goes nowhere; each is counted."""

    NO_ROUTE = "no-route"
    UNKNOWN_TOKEN = "unknown-token"
    FOREIGN_TOKEN = "foreign-token"
    NOT_CONFIGURED = "not-configured"
    NOT_CURRENT = "not-current"
    WAITED = "waited"
    ZONE_DRAINED = "zone-drained"


class ResetReason(LightEnum):
    """Why a caller gets a reset; each is counted."""

    NO_ROUTE = "no-route"
    NO_TARGET = "no-target"
    TARGET_GONE = "target-gone"
    TARGET_UNREACHABLE = "target-unreachable"
    OVERLOADED = "overloaded"
    ZONE_DRAINED = "zone-drained"


@record
class Forward:
    """Send a packet to a target."""

    packet: Packet
    target: TargetRow


@record
class ResetCaller:
    """End the caller's attempt at once, so that it can try again."""

    packet: Packet
    reason: ResetReason


@record
class Drop:
    """Count a packet that goes nowhere."""

    packet: Packet
    reason: DropReason


@record
class Log:
    """A numbered log event; see `citronspring.events`."""

    number: int
    fields: dict[str, object]


@record
class Tell:
    """Send a message to another host of the zone; it may be lost."""

    #: Address of the host.
    to: str
    message: HostMessage


Action = Forward | ResetCaller | Drop | Log | Tell


# What the reader asks of the store, and what it is told -----------------------


@record(eq=True)
class ListEntries:
    """Read every entry that the host follows, a page at a time."""

    #: Key after which the page starts; empty for the first page.
    after_key: str = ""


@record(eq=True)
class WatchEntries:
    """Wait for changes above a revision."""

    after_revision: int
    #: Seconds after which the store answers that nothing has changed.
    wait: float


@record(eq=True)
class ReadPeer:
    """Ask another host for a copy of what it knows, while the store is away."""

    #: Which of the known peers, counted on without end.
    turn: int


@record(eq=True)
class FollowReader:
    """Wait for what the zone's reader has read above a revision."""

    endpoint: Endpoint
    after_revision: int
    #: Seconds after which the reader answers that nothing has changed.
    wait: float


StoreCall = ListEntries | WatchEntries | ReadPeer | FollowReader


@record
class Page:
    """Entries of one page, in the order of their keys."""

    entries: tuple[Entry, ...]
    #: Revision of the store when it answered.
    revision: int
    #: Key after which the next page starts; None after the last one.
    next_key: str | None


@record
class Changes:
    """Changes above the revision of a watch, oldest first."""

    changes: tuple[Change, ...]
    #: Revision of the last of them; None if nothing has changed. An answer without
    #: news never moves a watch on: were it wrong, changes would be missed for good.
    revision: int | None
    #: How often the store had come back from an older copy.
    epoch: int = 0


@record
class HistoryLost:
    """The store no longer knows what changed: list again."""

    #: How often the store had come back from an older copy.
    epoch: int = 0


@record
class AnswerTooLarge:
    """The answer is larger than the call allows; none of it was taken."""


@record(eq=True)
class Refused:
    """The store took the call and did nothing."""

    #: HTTP status, for the log.
    status: int


@record
class Unanswered:
    """No usable answer came in time; a write may or may not have happened."""

    cause: str


@record
class PeerSnapshot:
    """What another host knows."""

    configuration: Configuration
    #: Targets, and what operators want of zones.
    entries: tuple[Entry, ...]
    #: Revision of the store that all of it stands at.
    revision: int
    #: Seconds since the peer knew that nothing else had changed.
    age: float
    #: Whether it holds all kinds of entries; hosts of the first release leave drains
    #: out.
    complete: bool


@record
class FeedAnswer:
    """What the zone's reader has read above a revision."""

    changes: tuple[FeedChange, ...]
    #: Revision of the store that the reader stands at.
    revision: int
    #: Seconds, when it answered, since it knew that nothing else had changed.
    age: float
    #: Seconds for which it held the call.
    held: float
    #: Revision of the configuration that the reader has in force.
    configuration: int = 0


StoreAnswer = (
    PeerSnapshot
    | Page
    | Changes
    | FeedAnswer
    | HistoryLost
    | AnswerTooLarge
    | Refused
    | Unanswered
)


# How the hosts of a zone agree on its reader -----------------------------------


@record(eq=True)
class GrantLease:
    """Ask the store for a lease."""

    #: Seconds after which it ends unless it is renewed.
    ttl: float


@record(eq=True)
class ClaimZone:
    """Register as the reader of a zone, unless somebody else has come first."""

    lease: int
    zone: str
    host_id: str
    endpoint: Endpoint
    #: Revision of the entry that this one takes the place of, 0 where there is none.
    replaces: int = 0


@record(eq=True)
class RenewLease:
    """Keep a lease."""

    lease: int


@record(eq=True)
class EndLease:
    """Give a lease up, and what is registered under it."""

    lease: int


ElectionCall = GrantLease | ClaimZone | RenewLease | EndLease


@record(eq=True)
class LeaseGranted:
    """A lease runs."""

    lease: int
    #: Seconds that the store gave it.
    ttl: float


@record(eq=True)
class Done:
    """The store did what was asked."""


@record(eq=True)
class ConditionFailed:
    """Nothing was done, as somebody else was first."""


@record(eq=True)
class LeaseLost:
    """The lease has ended."""


ElectionAnswer = (
    LeaseGranted | Done | ConditionFailed | LeaseLost | Refused | Unanswered
)
