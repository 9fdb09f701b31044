"""The history of a run: its events in order."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citronspring.standins.service import Outcome, RequestKind


@dataclass(frozen=True, slots=True)
class RequestOpened:
    """A caller started a request."""

    at: float
    request_id: str
    account_id: str
    kind: RequestKind


@dataclass(frozen=True, slots=True)
class RequestRan:
    """A target ran a request."""

    at: float
    request_id: str
    target_id: str


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """A caller received its complete answer or a refusal, or lost its connection."""

    at: float
    request_id: str
    outcome: Outcome
    #: How a broken connection ended, or the text of a refusal.
    detail: str


@dataclass(frozen=True, slots=True)
class WorkAccepted:
    """A target accepted a new connection."""

    at: float
    target_id: str


@dataclass(frozen=True, slots=True)
class ForeignPacket:
    """A packet of one client account reached a target of another."""

    at: float
    account_id: str
    target_id: str
    host_id: str


@dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """An operator received the acceptance of a change."""

    at: float
    change_id: str
    revision: int
    #: The target that the change drained, if any.
    drained: str | None = None


@dataclass(frozen=True, slots=True)
class ChangeRefused:
    """An operator received the refusal of a change."""

    at: float
    change_id: str
    kind: str


@dataclass(frozen=True, slots=True)
class RevisionSeen:
    """A host's revision changed."""

    at: float
    host_id: str
    revision: int


@dataclass(frozen=True, slots=True)
class HostStarted:
    """A host process started."""

    at: float
    host_id: str


@dataclass(frozen=True, slots=True)
class HostEnded:
    """A host process was killed or stopped."""

    at: float
    host_id: str


@dataclass(frozen=True, slots=True)
class Disturbed:
    """From ``at`` until ``until`` a fault kept hosts from receiving changes."""

    at: float
    until: float
    #: Kind of the fault, such as ``zone-cut``.
    kind: str
    #: The affected zone or host; empty for all.
    place: str


Entry = (
    RequestOpened
    | RequestRan
    | RequestEnded
    | WorkAccepted
    | ForeignPacket
    | ChangeAccepted
    | ChangeRefused
    | RevisionSeen
    | HostStarted
    | HostEnded
    | Disturbed
)


@dataclass(slots=True)
class History:
    """Entries in the order of the events."""

    entries: list[Entry] = field(default_factory=list)
    #: Zone of each host that was defined, by host id.
    zones: dict[str, str] = field(default_factory=dict)

    def add(self, entry: Entry) -> None:
        """Append an entry."""
        self.entries.append(entry)

    def of(self, *kinds: type) -> list[Entry]:
        """Return the entries of the given kinds, in order."""
        return [entry for entry in self.entries if isinstance(entry, kinds)]

    def counts(self) -> Counter[str]:
        """Return the numbers of entries by kind and of requests by outcome."""
        counts = Counter(type(entry).__name__ for entry in self.entries)
        for entry in self.entries:
            if isinstance(entry, RequestEnded):
                counts[f"requests {entry.outcome.value}"] += 1
        return counts
