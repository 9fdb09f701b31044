"""Checks a history: one function for each guarantee, which returns its violations."""

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

#: Maximum seconds from acceptance until every connected host has applied a change.
MAX_APPLY_SECONDS = 4.0

#: Maximum seconds after the acceptance of a drain in which the target gets new work.
MAX_DRAIN_SECONDS = 4.0

#: Maximum seconds until all hosts have detected that one was killed.
MAX_DETECTION_SECONDS = 6.0

#: Maximum seconds until a caller receives the refusal of an opening.
MAX_REFUSAL_SECONDS = 6.0


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a guarantee in a run."""

    guarantee: str
    at: float
    detail: str

    def __str__(self) -> str:
        return f"{self.guarantee} at {self.at:.2f}: {self.detail}"


def whole_own_answers(history: History) -> list[Violation]:
    """Each answer is complete and belongs to the caller's own request."""
    return [
        Violation("whole own answers", entry.at, entry.request_id)
        for entry in history.of(RequestEnded)
        if entry.outcome is Outcome.WRONG
    ]


def unbroken_flows(history: History) -> list[Violation]:
    """No flow breaks, whatever happens to hosts, targets and the configuration."""
    return [
        Violation("unbroken flows", entry.at, f"{entry.request_id} {entry.detail}")
        for entry in history.of(RequestEnded)
        if entry.outcome is Outcome.BROKEN
    ]


def not_run_means_not_run(history: History) -> list[Violation]:
    """A refused request has not run."""
    ran = {entry.request_id for entry in history.of(RequestRan)}
    return [
        Violation("not run means not run", entry.at, entry.request_id)
        for entry in history.of(RequestEnded)
        if entry.outcome is Outcome.REFUSED and entry.request_id in ran
    ]


def refused_at_once(history: History) -> list[Violation]:
    """A refusal is not delayed, and says when to retry.

    While a zone is partitioned, or a host is frozen or was killed recently, openings
    are lost in transit; a host counts its time from the first copy that it receives.
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
    """A leaving target gets no new work after `MAX_DRAIN_SECONDS`."""
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
    """Return whether changes could not propagate at some time in an interval.

    A disturbance counts until `MAX_APPLY_SECONDS` after its end: changes that it
    delayed need that long to propagate.
    """
    return any(
        entry.kind in kinds
        and entry.at < end
        and entry.until + MAX_APPLY_SECONDS > start
        for entry in history.of(Disturbed)
    )


def revisions_never_fall(history: History) -> list[Violation]:
    """No host process returns to an older configuration."""
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
    """Every connected host applies an accepted change within `MAX_APPLY_SECONDS`."""
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
    """Return the revision that a host had at a time."""
    seen = 0
    for entry in history.of(RevisionSeen):
        if entry.host_id == host_id and entry.at <= at:
            seen = entry.revision
    return seen


def host_was_disturbed(
    history: History, host_id: str, start: float, end: float
) -> bool:
    """Return whether a host was partitioned or frozen at some time in an interval."""
    places = (host_id, history.zones[host_id], "")
    return any(
        entry.place in places
        and entry.at < end
        and entry.until + MAX_APPLY_SECONDS > start
        for entry in history.of(Disturbed)
    )


#: The check of each guarantee, by name.
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
    """Return all violations of all guarantees."""
    return [found for check_one in GUARANTEES.values() for found in check_one(history)]
