"""What the store holds that hosts know, and what they hand on of it.

Each kind of entry has a class here and one for its end. What else a kind needs is a
place in `citronspring.tokens.tables`, a case in `citronspring.tokens.entry_updates`, one in
`citronspring.tokens.codec`, and one in the adapter, which reads it.

A store that comes back from an older copy gives its revisions out again. Compared by
themselves, what was written since would count as old, or as read already. So hosts know
a revision together with the epoch in which the store gave it: how often it had come
back until then. Both stand in one number, the epoch before fifteen digits of the
store's own count, so that what was written later has the larger one. Only a
configuration's revision is the operators' own.
"""

from __future__ import annotations

from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.records import record

if TYPE_CHECKING:
    from typing import TypeVar

    from citronspring.endpoints import Endpoint
    from citronspring.tokens.entities import Route

    Kind = TypeVar("Kind", "Target", "ZoneReader", "ZoneDrain")


#: Revisions that an epoch has room for: a million a second for thirty years.
REVISIONS_PER_EPOCH = 10**15


def ordered_revision(epoch: int, count: int) -> int:
    """Return the revision that a store gave as its ``count`` in an epoch.

    Raises
    ------
    ValueError
        If either is negative, or the count is too large for an epoch.
    """
    if epoch < 0 or not 0 <= count < REVISIONS_PER_EPOCH:
        raise ValueError(f"no revision: {count} in epoch {epoch}")
    return epoch * REVISIONS_PER_EPOCH + count


def epoch_of(revision: int) -> int:
    """Return how often the store had come back from an older copy."""
    return revision // REVISIONS_PER_EPOCH


def count_of(revision: int) -> int:
    """Return the number by which the store itself knows a revision."""
    return revision % REVISIONS_PER_EPOCH


def is_of_earlier_epoch(revision: int, other: int) -> bool:
    """Whether the store has come back from an older copy between two revisions."""
    return epoch_of(revision) < epoch_of(other)


def with_revision(entry: Kind, revision: int) -> Kind:
    """Return an entry as it stands at another revision."""
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
    """What differs between two configurations, as hosts hand it on."""

    #: Revisions of both.
    base: int
    revision: int
    idle_timeout: float
    #: Routes that are new or have changed, and keys of those that are gone.
    routes: tuple[Route, ...]
    removed: tuple[int, ...]


@record
class Target:
    """One incarnation of a target, as it registered itself."""

    target_id: str
    #: Number of this start of the target; a packet for another one is not taken.
    incarnation: int
    endpoint: Endpoint
    service: str
    zone: str
    #: Requests it works on at once.
    slots: int
    #: Whether it is about to stop and takes no new flows.
    leaving: bool
    #: Seconds that it stays slow after its start, counted from when the entry was read.
    warmup: float
    #: Revision of the store at which the entry last changed.
    revision: int
    #: Millisecond of the wall clock at which this start of the target began; tells
    #: two starts under one id apart. None where the entry does not say.
    started: int | None = None
    #: Rises with what this start of the target says of itself, by its own count.
    sequence: int = 0


@record
class TargetRemoved:
    """A target's entry is gone from the store."""

    target_id: str
    revision: int


@record
class ZoneReader:
    """The host that reads the store for its availability zone, as it registered."""

    zone: str
    host_id: str
    #: Where it hands on what it has read.
    endpoint: Endpoint
    #: Revision of the store at which the entry last changed.
    revision: int


@record
class ReaderRemoved:
    """The entry of a zone's reader is gone from the store."""

    zone: str
    revision: int


@record(eq=True)
class ZoneDrain:
    """Whether operators want nothing new sent to the targets of a zone."""

    zone: str
    #: Revision of the store at which that last changed.
    revision: int
    #: Whether the zone may be used again.
    ended: bool = False


@record
class Unreadable:
    """An entry that names nothing to use, as another program may have written it."""

    #: Id of the target, or the key of another entry.
    name: str
    reason: str
    revision: int
    #: See `Target.started`; None if that cannot be read either.
    started: int | None = None


if TYPE_CHECKING:
    #: What an entry of the store holds, and what a change of one brings.
    Entry = Configuration | Target | ZoneReader | ZoneDrain | Unreadable
    Change = Entry | TargetRemoved | ReaderRemoved
    #: The same as hosts hand it on.
    FeedChange = (
        ConfigurationChange
        | Target
        | ZoneReader
        | ZoneDrain
        | Unreadable
        | TargetRemoved
        | ReaderRemoved
    )
