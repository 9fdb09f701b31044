"""Judges a history: one function for each promise, each returns its violations."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from citronspring.experiments.history import (
    ChangeAccepted,
    Disturbed,
    ForeignPacket,
    HostEnded,
    HostStarted,
    RequestEnded,
    RequestOpened,
    RequestRan,
    RevisionSeen,
    WorkAccepted,
)
from citronspring.standins.service import Outcome, RequestKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from citronspring.experiments.history import History

#: Seconds from acceptance until a change is in force on every connected host.
MAX_APPLY_SECONDS = 4.0

#: Seconds after a drain was accepted from which the target gets no new work.
MAX_DRAIN_SECONDS = 4.0

#: Seconds until all hosts have noticed that one was killed.
MAX_DETECTION_SECONDS = 6.0

#: Seconds within which a caller has its answer to an opening that is refused.
MAX_REFUSAL_SECONDS = 6.0


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that a run broke."""

    guarantee: str
    at: float
    detail: str

    def __str__(self) -> str:
        return f"{self.guarantee} at {self.at:.2f}: {self.detail}"


def whole_own_answers(history: History) -> list[Violation]:
    """Each answer is whole and the caller's own."""
    return [
        Violation("whole own answers", entry.at, entry.request_id)
        for entry in history.of(RequestEnded)
        if entry.outcome is Outcome.WRONG
    ]


def unbroken_flows(history: History) -> list[Violation]:
    """No flow breaks, whatever happens to hosts, targets and configuration."""
    return [
        Violation("unbroken flows", entry.at, f"{entry.request_id} {entry.detail}")
        for entry in history.of(RequestEnded)
        if entry.outcome is Outcome.BROKEN
    ]


def not_run_means_not_run(history: History) -> list[Violation]:
    """What a caller was told was not run did not run."""
    ran = {entry.request_id for entry in history.of(RequestRan)}
    return [
        Violation("not run means not run", entry.at, entry.request_id)
        for entry in history.of(RequestEnded)
        if entry.outcome is Outcome.REFUSED and entry.request_id in ran
    ]


def refused_at_once(history: History) -> list[Violation]:
    """A refusal is not held back, and says when to come back.

    While a zone is cut, or a host is frozen or was killed a moment ago, openings are
    lost on the way; a host that sees one for the first time takes its own time.
    """
    opened = {entry.request_id: entry.at for entry in history.of(RequestOpened)}
    ended = [entry.at for entry in history.of(HostEnded)]
    found = []
    for entry in history.of(RequestEnded):
        if entry.outcome is not Outcome.REFUSED:
            continue
        start = opened[entry.request_id]
        late = entry.at - start > MAX_REFUSAL_SECONDS
        lost = changes_were_delayed(
            history, start, entry.at, ("zone-cut", "host-freeze")
        )
        lost = lost or any(
            start - MAX_DETECTION_SECONDS < at < entry.at for at in ended
        )
        if (late and not lost) or not entry.detail:
            detail = f"{entry.request_id} {entry.detail!r}"
            found.append(Violation("refused at once", entry.at, detail))
    return found


def at_most_once(history: History) -> list[Violation]:
    """A non-idempotent request runs at most once."""
    corrections = {
        entry.request_id
        for entry in history.of(RequestOpened)
        if entry.kind is RequestKind.CORRECTION
    }
    runs = Counter(entry.request_id for entry in history.of(RequestRan))
    return [
        Violation("at most once", 0.0, f"{request_id} ran {runs[request_id]} times")
        for request_id in sorted(corrections)
        if runs[request_id] > 1
    ]


def isolated_accounts(history: History) -> list[Violation]:
    """No packet of a client account reaches another's target."""
    return [
        Violation(
            "isolated accounts", entry.at, f"{entry.account_id} at {entry.target_id}"
        )
        for entry in history.of(ForeignPacket)
    ]


def leaving_targets_get_no_work(history: History) -> list[Violation]:
    """A leaving target gets no new work after a few seconds."""
    drained: dict[str, float] = {}
    for entry in history.of(ChangeAccepted):
        if entry.drained is not None:
            drained.setdefault(entry.drained, entry.at)
    found = []
    for entry in history.of(WorkAccepted):
        since = drained.get(entry.target_id)
        if since is None or entry.at <= since + MAX_DRAIN_SECONDS:
            continue
        if changes_were_delayed(
            history, since, entry.at, ("zone-cut", "platform-outage")
        ):
            continue
        found.append(Violation("leaving targets", entry.at, entry.target_id))
    return found


def changes_were_delayed(
    history: History, start: float, end: float, kinds: tuple[str, ...]
) -> bool:
    """Whether changes could not spread at some time in an interval.

    A disturbance still counts until `MAX_APPLY_SECONDS` after its end: what it held
    up needs that long to spread.
    """
    return any(
        entry.kind in kinds
        and entry.at < end
        and entry.until + MAX_APPLY_SECONDS > start
        for entry in history.of(Disturbed)
    )


def revisions_never_fall(history: History) -> list[Violation]:
    """No host goes back to an older configuration."""
    highest: dict[str, int] = defaultdict(int)
    found = []
    for entry in history.of(RevisionSeen, HostStarted):
        if isinstance(entry, HostStarted):
            highest[entry.host_id] = 0
        elif entry.revision < highest[entry.host_id]:
            detail = f"{entry.host_id} fell to {entry.revision}"
            found.append(Violation("revisions never fall", entry.at, detail))
        else:
            highest[entry.host_id] = entry.revision
    return found


def changes_in_force(history: History) -> list[Violation]:
    """An accepted change is in force on every connected host within seconds."""
    found = []
    for change in history.of(ChangeAccepted):
        due = change.at + MAX_APPLY_SECONDS
        for host_id in hosts_running_throughout(history, change.at, due):
            if revision_at(history, host_id, due) >= change.revision:
                continue
            if host_was_disturbed(history, host_id, change.at, due):
                continue
            detail = f"{host_id} lacks {change.revision}"
            found.append(Violation("changes in force", due, detail))
    return found


def hosts_running_throughout(history: History, start: float, end: float) -> set[str]:
    """Return the hosts that ran throughout an interval."""
    running: set[str] = set()
    for entry in history.of(HostStarted, HostEnded):
        if isinstance(entry, HostStarted) and entry.at <= start:
            running.add(entry.host_id)
        elif isinstance(entry, HostEnded) and entry.at <= end:
            running.discard(entry.host_id)
    return running


def revision_at(history: History, host_id: str, at: float) -> int:
    """Return the revision a host had at a time."""
    seen = 0
    for entry in history.of(RevisionSeen):
        if entry.host_id == host_id and entry.at <= at:
            seen = entry.revision
    return seen


def host_was_disturbed(
    history: History, host_id: str, start: float, end: float
) -> bool:
    """Whether a host was cut off or frozen at some time in an interval."""
    places = (host_id, history.zones[host_id], "")
    return any(
        entry.place in places
        and entry.at < end
        and entry.until + MAX_APPLY_SECONDS > start
        for entry in history.of(Disturbed)
    )


#: Every promise by name.
GUARANTEES: dict[str, Callable[[History], list[Violation]]] = {
    "whole own answers": whole_own_answers,
    "unbroken flows": unbroken_flows,
    "not run means not run": not_run_means_not_run,
    "refused at once": refused_at_once,
    "at most once": at_most_once,
    "isolated accounts": isolated_accounts,
    "leaving targets": leaving_targets_get_no_work,
    "revisions never fall": revisions_never_fall,
    "changes in force": changes_in_force,
}


def check(history: History) -> list[Violation]:
    """Return every violation of every promise."""
    return [found for promise in GUARANTEES.values() for found in promise(history)]
