"""Actions of the token core, and calls to the store with their answers."""

from __future__ import annotations

from citronspring.light_stdlib import TYPE_CHECKING, LightEnum
from citronspring.records import record

if TYPE_CHECKING:
    from citronspring.endpoints import Endpoint
    from citronspring.tokens.entities import Packet
    from citronspring.tokens.entries import (
        Change,
        Configuration,
        Entry,
        FeedChange,
        RouteHistory,
    )
    from citronspring.tokens.rows import TargetRow
    from citronspring.tokens.suspicions import HostMessage


class DropReason(LightEnum):
    """Why a packet is dropped; each reason has a counter."""

    NO_ROUTE = "no-route"
    UNKNOWN_TOKEN = "unknown-token"
    FOREIGN_TOKEN = "foreign-token"
    OTHER_TOKEN = "other-token"
    NOT_CONFIGURED = "not-configured"
    NOT_CURRENT = "not-current"
    WAITED = "waited"
    ZONE_DRAINED = "zone-drained"


class ResetReason(LightEnum):
    """Why a caller's flow is reset; each reason has a counter."""

    NO_ROUTE = "no-route"
    NO_TARGET = "no-target"
    TARGET_GONE = "target-gone"
    TARGET_UNREACHABLE = "target-unreachable"
    OVERLOADED = "overloaded"
    HOST_BUSY = "host-busy"
    ZONE_DRAINED = "zone-drained"


@record
class Forward:
    """Send a packet to a target, with the token that its answers will carry."""

    packet: Packet
    target: TargetRow
    token: int


@record
class ResetCaller:
    """Reset a caller's flow immediately, so that the caller can retry."""

    packet: Packet
    reason: ResetReason


@record
class Drop:
    """Drop a packet and count it."""

    packet: Packet
    reason: DropReason
    #: Name of the route, and service of the target that the token names; empty if
    #: they do not matter.
    route: str = ""
    service: str = ""


@record
class Log:
    """A numbered log event; see `citronspring.events`."""

    number: int
    fields: dict[str, object]


@record
class Tell:
    """Send a message to another host of the zone, without guaranteed delivery."""

    #: Address of the host.
    to: str
    message: HostMessage


Action = Forward | ResetCaller | Drop | Log | Tell


# Calls to the store and their answers -----------------------------------------


@record(eq=True)
class ListEntries:
    """List all entries that the host needs, one page per call."""

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
    """Request a snapshot from another host while the store is unreachable."""

    #: Index of the peer; increases without limit and is taken modulo the number of
    #: peers.
    turn: int


@record(eq=True)
class FollowReader:
    """Wait for changes that the zone reader has read above a revision."""

    endpoint: Endpoint
    after_revision: int
    #: Seconds after which the zone reader answers that nothing has changed.
    wait: float


StoreCall = ListEntries | WatchEntries | ReadPeer | FollowReader


@record
class Page:
    """Entries of one page, ordered by key."""

    entries: tuple[Entry, ...]
    #: Revision of the store at the time of the answer.
    revision: int
    #: Key after which the next page starts; None after the last one.
    next_key: str | None


@record
class Changes:
    """Changes above the revision of a watch, oldest first."""

    changes: tuple[Change, ...]
    #: Revision of the last change; None if nothing has changed. An answer without
    #: changes never advances the watch: if its revision were wrong, changes would be
    #: missed permanently.
    revision: int | None
    #: Restore epoch of the store.
    epoch: int = 0


@record
class HistoryLost:
    """The store no longer has the history of a watch; a new list is needed."""

    #: Restore epoch of the store.
    epoch: int = 0


@record
class AnswerTooLarge:
    """The answer exceeds the size limit of the call; it was discarded."""


@record(eq=True)
class Refused:
    """The store refused the call without any effect."""

    #: HTTP status, for the log.
    status: int


@record
class Unanswered:
    """No usable answer came in time; a write may or may not have taken effect."""

    cause: str


@record
class PeerSnapshot:
    """State of another host."""

    configuration: Configuration
    #: Targets, zone drains and route histories.
    entries: tuple[Entry, ...]
    #: Revision of the store that the snapshot corresponds to.
    revision: int
    #: Seconds since the peer knew that it had all changes.
    age: float
    #: Whether it holds all kinds of entries; hosts of the first release omit zone
    #: drains.
    complete: bool


@record
class FeedAnswer:
    """Changes that the zone reader has read above a revision."""

    changes: tuple[FeedChange, ...]
    #: Revision of the store that the zone reader has read up to.
    revision: int
    #: Seconds between the zone reader's last confirmation that it had all changes and
    #: its answer.
    age: float
    #: Seconds for which it held the call.
    held: float
    #: Revision of the configuration that the zone reader has applied.
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


# Election calls and their answers ---------------------------------------------


@record(eq=True)
class GrantLease:
    """Request a lease from the store."""

    #: Seconds after which it ends unless it is renewed.
    ttl: float


@record(eq=True)
class ClaimZone:
    """Register as the reader of a zone, unless another host was first."""

    lease: int
    zone: str
    host_id: str
    endpoint: Endpoint
    #: Revision of the entry that this one replaces, 0 if there is none.
    replaces: int = 0


@record(eq=True)
class RenewLease:
    """Renew a lease."""

    lease: int


@record(eq=True)
class EndLease:
    """End a lease, which removes what is registered under it."""

    lease: int


@record(eq=True)
class WriteRouteHistory:
    """Write shards of the route history, if none has changed since it was read.

    The revision of each is the one that was read, 0 if there is no entry.
    """

    histories: tuple[RouteHistory, ...]


ElectionCall = GrantLease | ClaimZone | RenewLease | EndLease | WriteRouteHistory


@record(eq=True)
class LeaseGranted:
    """The store granted a lease."""

    lease: int
    #: Duration of the lease in seconds, as granted by the store.
    ttl: float


@record(eq=True)
class Done:
    """The store carried out the call."""


@record(eq=True)
class ConditionFailed:
    """Nothing was done, because another host was first."""


@record(eq=True)
class LeaseLost:
    """The lease has ended."""


ElectionAnswer = (
    LeaseGranted | Done | ConditionFailed | LeaseLost | Refused | Unanswered
)
