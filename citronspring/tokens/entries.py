"""Entries of the store, and the changes that hosts send each other.

Each kind of entry has a class here, and one for its removal. A new kind also needs a
place in `citronspring.tokens.tables`, a case in `citronspring.tokens.entry_updates` and
in `citronspring.tokens.codec`, and decoding in the store adapter.

A store that was restored from a backup reuses revisions. Compared by themselves, new
writes would then count as old or as already read. Hosts therefore combine a revision
with the store's restore epoch, which counts how often the store has been restored. Both
are held in one number, with the epoch before fifteen digits of the store's own count,
so that a later write always has the larger number. The revision of a configuration is
excepted, since operators assign it.
"""

from __future__ import annotations

from citronspring.addresses import is_unicast
from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.records import record

if TYPE_CHECKING:
    from typing import TypeVar

    from citronspring.endpoints import Endpoint
    from citronspring.tokens.entities import Route

    Kind = TypeVar("Kind", "Target", "ZoneReader", "ZoneDrain", "RouteHistory")


#: Revisions that fit into an epoch: a million per second for thirty years.
REVISIONS_PER_EPOCH = 10**15

#: Bound of the epoch; hosts exchange revisions of at most 24 digits.
MAX_EPOCH = 10**9

#: Largest number of an incarnation; packets carry it in 8 bytes.
MAX_INCARNATION = (1 << 64) - 1

#: Most slots of a target, far above the flows that one holds. A target with more would
#: seem to have no load and attract all flows of its service.
MAX_SLOTS = 1_000_000

#: Longest remaining warm-up of a target in seconds: one day.
MAX_WARMUP = 86_400.0

#: Latest start time of a target in milliseconds of Unix time: the end of the year 9999.
MAX_START_TIME = 253_402_300_799_999


def ordered_revision(epoch: int, count: int) -> int:
    """Return the combined revision for a store's ``count`` in an epoch.

    Raises
    ------
    ValueError
        If either is negative or too large.
    """
    if not 0 <= epoch < MAX_EPOCH or not 0 <= count < REVISIONS_PER_EPOCH:
        raise ValueError(f"invalid revision: count {count} in epoch {epoch}")
    return epoch * REVISIONS_PER_EPOCH + count


def epoch_of(revision: int) -> int:
    """Return the restore epoch of a combined revision."""
    return revision // REVISIONS_PER_EPOCH


def count_of(revision: int) -> int:
    """Return the store's own revision number of a combined revision."""
    return revision % REVISIONS_PER_EPOCH


def is_of_earlier_epoch(revision: int, other: int) -> bool:
    """Whether the store was restored from a backup between two revisions."""
    return epoch_of(revision) < epoch_of(other)


def with_revision(entry: Kind, revision: int) -> Kind:
    """Return a copy of an entry with another revision."""
    names: tuple[str, ...] = type(entry).__match_args__
    fields = {name: getattr(entry, name) for name in names}
    return type(entry)(**{**fields, "revision": revision})


@record
class Configuration:
    """One revision of the operators' configuration, in full."""

    revision: int
    routes: tuple[Route, ...]
    #: Seconds without a packet after which a flow may be forgotten.
    idle_timeout: float


@record
class ConfigurationChange:
    """The difference between two configurations, as hosts pass it on."""

    #: Revisions of both configurations.
    base: int
    revision: int
    idle_timeout: float
    #: Routes that were added or changed, and keys of the removed ones.
    routes: tuple[Route, ...]
    removed: tuple[int, ...]


@record
class Target:
    """One incarnation of a target, as it registered itself."""

    target_id: str
    #: Number of this incarnation of the target; it refuses packets for another one.
    incarnation: int
    endpoint: Endpoint
    service: str
    zone: str
    #: Number of requests that it processes at once.
    slots: int
    #: Whether it is about to stop and takes no new flows.
    leaving: bool
    #: Seconds of warm-up after its start, counted from when the entry was read.
    warmup: float
    #: Revision of the store at which the entry last changed.
    revision: int
    #: Start time of this incarnation, in milliseconds of Unix time; distinguishes two
    #: incarnations under one id. None if the entry does not give it.
    started: int | None = None
    #: Counts the states that this incarnation has published; rises with each one.
    sequence: int = 0


def check_target(target: Target) -> Target:
    """Return a target if its fields are in range.

    The decision core divides by some of them, and packets carry others. Out of range,
    they would fail there and end the process.

    Raises
    ------
    ValueError
        Names the field that is out of range.
    """
    if not 0 < target.incarnation <= MAX_INCARNATION:
        raise ValueError(f"incarnation {target.incarnation} is 0 or exceeds 8 bytes")
    if not is_unicast(target.endpoint.ip):
        raise ValueError(f"no server has the address {target.endpoint.ip}")
    if not 0 < target.slots <= MAX_SLOTS:
        raise ValueError(f"slots out of range: {target.slots}")
    if not 0.0 <= target.warmup <= MAX_WARMUP:
        raise ValueError(f"warm-up out of range: {target.warmup} s")
    if target.started is not None and not is_start_time(target.started):
        raise ValueError(f"start time out of range: {target.started}")
    return target


def is_start_time(milliseconds: int) -> bool:
    """Whether a number can be the start time of a target."""
    return 0 <= milliseconds <= MAX_START_TIME


@record
class TargetRemoved:
    """The entry of a target was removed from the store."""

    target_id: str
    revision: int


@record
class ZoneReader:
    """The host that is registered as the reader of its availability zone."""

    zone: str
    host_id: str
    #: Address at which it serves its change feed.
    endpoint: Endpoint
    #: Revision of the store at which the entry last changed.
    revision: int


@record
class ReaderRemoved:
    """The entry of a zone reader was removed from the store."""

    zone: str
    revision: int


@record(eq=True)
class ZoneDrain:
    """Whether operators have drained a zone, so that its targets get no new flows."""

    zone: str
    #: Revision of the store at which this last changed.
    revision: int
    #: Whether the drain has ended and the zone may be used again.
    ended: bool = False


@record(eq=True)
class RouteHistory:
    """Current and earlier services of the routes of one shard."""

    shard: int
    #: Names of the services, sorted, by key of the route.
    routes: dict[int, tuple[str, ...]]
    #: Revision of the store at which the entry last changed; 0 for services that a host
    #: knows and the store does not record.
    revision: int
    #: Whether the entry was removed from the store.
    removed: bool = False


@record
class Unreadable:
    """An entry that cannot be decoded, as another program may have written it."""

    #: Id of the target, or key of another kind of entry.
    name: str
    reason: str
    revision: int
    #: See `Target.started`; None if that cannot be decoded either.
    started: int | None = None
    #: Shard of a route history; None for other entries.
    shard: int | None = None


if TYPE_CHECKING:
    #: An entry of the store, and a change to one.
    Entry = Configuration | Target | ZoneReader | ZoneDrain | RouteHistory | Unreadable
    Change = Entry | TargetRemoved | ReaderRemoved
    #: The same as hosts pass it on.
    FeedChange = (
        ConfigurationChange
        | Target
        | ZoneReader
        | ZoneDrain
        | RouteHistory
        | Unreadable
        | TargetRemoved
        | ReaderRemoved
    )
