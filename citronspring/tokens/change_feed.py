"""The change feed that a zone reader serves to the hosts that follow it."""

from __future__ import annotations

from citronspring.json_text import DECODE_ERRORS, dumps, integer, number
from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.records import record
from citronspring.tokens.codec import (
    FORMAT_VERSION,
    decode_body,
    decode_change,
    encode_body,
    encode_change,
)
from citronspring.tokens.entries import Target, epoch_of
from citronspring.tokens.messages import FeedAnswer, HistoryLost, Refused, Unanswered
from citronspring.tokens.peer_snapshot import OK
from citronspring.tokens.tables import LoggedChange

if TYPE_CHECKING:
    from citronspring.tokens.tables import ChangeLog, Tables
    from citronspring.tokens.times import ReaderTimes

#: Number of changes kept for followers. They poll again within three seconds, in which
#: even the replacement of a whole fleet brings a few hundred changes. A follower that
#: is further behind reads the store.
MAX_LOGGED_CHANGES = 1000

#: Share of a host's link that its followers may use. A saturated link drops packets,
#: and those of callers first: a full configuration sent to a whole zone saturates a
#: small link for a second, and flows break.
LINK_SHARE = 0.05

#: Seconds for which an unused share accumulates.
MAX_BURST_SECONDS = 1.0

#: Bytes of an answer beside its body.
HEADER_BYTES = 150

#: HTTP status for a follower whose changes are no longer in the log, and for one that
#: should read the store because this host is not current.
TOO_FAR_BEHIND = 410
NOT_CURRENT = 503


@record
class FeedPoll:
    """A follower's long poll, held until there are changes or its deadline passes."""

    after_revision: int
    asked_at: float
    #: Latest time of the answer.
    deadline: float
    #: Address of the follower, empty if it is unknown.
    host: str = ""


def log_changes(tables: Tables, now: float) -> None:
    """Log the changes of an answer for followers, at the revision that it reaches."""
    log = tables.change_log
    last_revision = log.changes[-1].revision if log.changes else 0
    revision = max(tables.reader.revision, last_revision)
    log.changes.extend(LoggedChange(revision, change, now) for change in log.pending)
    log.pending.clear()
    while len(log.changes) > MAX_LOGGED_CHANGES:
        log.compacted_revision = log.changes.popleft().revision
    while len(log.gaps) > MAX_LOGGED_CHANGES:
        log.compacted_revision = max(log.compacted_revision, log.gaps.popleft()[1])


def log_gap(tables: Tables, known_revision: int) -> None:
    """Log that the answer skipped what lies between a known revision and its own."""
    if known_revision < tables.reader.revision:
        tables.change_log.gaps.append((known_revision, tables.reader.revision))


def start_change_log(tables: Tables) -> None:
    """Start the change log anew; followers that know less read the store."""
    log = tables.change_log
    log.pending.clear()
    log.changes.clear()
    log.gaps.clear()
    log.compacted_revision = tables.reader.revision
    log.spans_lists = False


def answer_poll(
    tables: Tables, times: ReaderTimes, poll: FeedPoll, now: float
) -> tuple[int, bytes] | None:
    """Return status and body for a follower's poll, None while it has to wait.

    A host that cannot confirm its state says so immediately, so that its followers can
    read the store within the bound.
    """
    reader = tables.reader
    age = now - reader.current_at
    not_serving = tables.leave_deadline is not None or tables.configuration == 0
    if not_serving or reader.failures or age > times.follow_age:
        return NOT_CURRENT, b"not current\n"
    if not reader.consistent:
        # What a list has brought beyond its revision would stay at a follower that
        # then asks a host whose history has a gap there.
        return None if now < poll.deadline else (NOT_CURRENT, b"not consistent\n")
    if epoch_of(poll.after_revision) != epoch_of(reader.revision):
        # One of the two may hold state that the restored store never had.
        return TOO_FAR_BEHIND, b"of another epoch of the store\n"
    if poll.after_revision < tables.change_log.compacted_revision:
        return TOO_FAR_BEHIND, b"further behind than what is kept\n"
    log = tables.change_log
    # Nearly all polls are above the last gap and need no search.
    if log.gaps and poll.after_revision < log.gaps[-1][1] and is_within_gap(log, poll):
        return TOO_FAR_BEHIND, b"what is known there was skipped\n"
    changes = changes_above(tables.change_log, poll.after_revision)
    confirmed = reader.current_at > poll.asked_at
    if not changes and not confirmed and now < poll.deadline:
        return None
    held = now - poll.asked_at
    head = dumps(
        {
            "format": FORMAT_VERSION,
            "revision": reader.revision,
            "configuration": tables.configuration,
            "age": age,
            "held": held,
        }
    )
    encoded_changes = ", ".join(change_text(logged, now) for logged in changes)
    body = encode_body(f'{head[:-1]}, "changes": [{encoded_changes}]}}')
    if not take_from_bucket(tables.change_log, len(body) + HEADER_BYTES, now):
        reason = f"{len(body)} bytes exceed the bandwidth for followers\n"
        return TOO_FAR_BEHIND, reason.encode()
    return OK, body


def is_within_gap(log: ChangeLog, poll: FeedPoll) -> bool:
    """Whether the log lacks changes that a follower needs."""
    for first, last in reversed(log.gaps):
        if last <= poll.after_revision:
            break
        if first < poll.after_revision:
            return True
    return False


def changes_above(log: ChangeLog, revision: int) -> list[LoggedChange]:
    """Return the changes above a revision, oldest first.

    The search starts at the newest change: the polls of a zone are checked in each
    event-loop iteration, and a scan of the whole log each time would take too long.
    """
    found = []
    for logged in reversed(log.changes):
        if logged.revision <= revision:
            break
        found.append(logged)
    found.reverse()
    return found


def change_text(logged: LoggedChange, now: float) -> str:
    """Return a change as JSON text, which is encoded once for all followers.

    A target in warm-up is encoded each time, since its remaining warm-up shrinks.
    """
    change = logged.change
    if isinstance(change, Target) and change.warmup:
        return dumps(encode_change(change, now - logged.read_at))
    if not logged.text:
        logged.text = dumps(encode_change(change))
    return logged.text


def take_from_bucket(log: ChangeLog, size: int, now: float) -> bool:
    """Take ``size`` bytes from the followers' token bucket if it holds them.

    Return whether it did.
    """
    gained = min(now - log.bucket_updated_at, MAX_BURST_SECONDS) * log.rate
    log.bucket_level = min(log.bucket_level + gained, MAX_BURST_SECONDS * log.rate)
    log.bucket_updated_at = now
    if size > log.bucket_level:
        return False
    log.bucket_level -= size
    return True


def decode_feed(
    status: int, body: bytes
) -> FeedAnswer | HistoryLost | Refused | Unanswered:
    """Return the content of a zone reader's answer."""
    if status == TOO_FAR_BEHIND:
        return HistoryLost()
    if status != OK:
        return Refused(status)
    try:
        found = decode_body(body)
        if found.get("format") != FORMAT_VERSION:
            return Unanswered("the zone reader runs another release")
        return FeedAnswer(
            tuple(decode_change(change) for change in found["changes"]),
            integer(found["revision"]),
            number(found["age"]),
            number(found["held"]),
            integer(found["configuration"]),
        )
    except DECODE_ERRORS as error:
        return Unanswered(f"invalid change feed response: {error!r}")
