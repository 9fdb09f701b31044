"""The history of a run: what happened, in the order it happened."""

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
    """A caller got its whole answer, a refusal, or lost its connection."""

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
    """An operator was told that a change is accepted."""

    at: float
    change_id: str
    revision: int
    #: The target that the change told to leave, if it did.
    drained: str | None = None


@dataclass(frozen=True, slots=True)
class ChangeRefused:
    """An operator was told that a change was not made."""

    at: float
    change_id: str
    kind: str


@dataclass(frozen=True, slots=True)
class RevisionSeen:
    """A host's revision became another one."""

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
    """From ``at`` until ``until`` something kept hosts from hearing of changes."""

    at: float
    until: float
    #: What it was, such as ``zone-cut``.
    kind: str
    #: The zone or host it befell; empty for all.
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
    """Entries in the order they happened."""

    entries: list[Entry] = field(default_factory=list)
    #: Zone of each host that ever ran.
    zones: dict[str, str] = field(default_factory=dict)

    def add(self, entry: Entry) -> None:
        """Note that something happened."""
        self.entries.append(entry)

    def of(self, *kinds: type) -> list[Entry]:
        """Return the entries of some kinds."""
        return [entry for entry in self.entries if isinstance(entry, kinds)]

    def counts(self) -> Counter[str]:
        """Return how many entries there are of each kind, and each outcome."""
        counts = Counter(type(entry).__name__ for entry in self.entries)
        for entry in self.entries:
            if isinstance(entry, RequestEnded):
                counts[f"requests {entry.outcome.value}"] += 1
        return counts
