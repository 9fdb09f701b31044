"""What the reader of a zone hands on to the hosts that follow it."""

from __future__ import annotations

from citronspring.json_text import dumps
from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.records import record
from citronspring.tokens.codec import (
    DECODE_ERRORS,
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

#: Changes kept for followers. They ask again within three seconds, in which even a
#: fleet that is replaced as a whole brings a few hundred; one that is further behind
#: reads the store.
MAX_LOGGED_CHANGES = 1000

#: Share of a host's link that its followers may take. What a link has no room for is
#: lost, callers' packets first: a configuration sent whole to a zone keeps a small link
#: full for a second, and flows break.
LINK_SHARE = 0.05

#: Seconds for which an unused share is saved up.
MAX_BURST_SECONDS = 1.0

#: Bytes that an answer takes beside its body.
HEADER_BYTES = 150

#: Status for a follower that is further behind than the log reaches, and for one
#: that had better read the store itself.
TOO_FAR_BEHIND = 410
NOT_CURRENT = 503


@record
class FeedPoll:
    """A follower's question, held until there is something to say."""

    after_revision: int
    asked_at: float
    #: When it is answered at the latest.
    deadline: float
    #: Address of the follower, empty where that is not known.
    host: str = ""


def log_changes(tables: Tables, now: float, newest: int = 0) -> None:
    """Keep what an answer of the store has changed for followers.

    Parameters
    ----------
    tables : Tables
        All state.
    now : float
        Seconds.
    newest : int
        Largest revision of an entry in the answer. One on a later page of a list may be
        newer than the first page. Kept under the revision of that, it would be nothing
        new to a follower that has read up to there; and to the reader itself it is
        none when its watch brings it again.
    """
    log = tables.change_log
    last_revision = log.changes[-1].revision if log.changes else 0
    revision = max(tables.reader.revision, newest, last_revision)
    log.changes.extend(LoggedChange(revision, change, now) for change in log.pending)
    log.pending.clear()
    while len(log.changes) > MAX_LOGGED_CHANGES:
        log.compacted_revision = log.changes.popleft().revision


def start_change_log(tables: Tables) -> None:
    """Begin the log at what the first list brought; followers have read that too."""
    tables.change_log.pending.clear()
    tables.change_log.changes.clear()
    tables.change_log.compacted_revision = tables.reader.revision


def answer_poll(
    tables: Tables, times: ReaderTimes, poll: FeedPoll, now: float
) -> tuple[int, bytes] | None:
    """Return status and body for a follower, None to let it wait on.

    A host that cannot vouch for what it knows says so at once: followers then read
    the store while there is time within the bound.
    """
    reader = tables.reader
    age = now - reader.current_at
    not_serving = tables.leave_deadline is not None or tables.configuration == 0
    if not_serving or reader.failures or age > times.follow_age:
        return NOT_CURRENT, b"not current\n"
    if epoch_of(poll.after_revision) != epoch_of(reader.revision):
        # What one of both knows may be nothing that the store has held since.
        return TOO_FAR_BEHIND, b"of another epoch of the store\n"
    if poll.after_revision < tables.change_log.compacted_revision:
        return TOO_FAR_BEHIND, b"further behind than what is kept\n"
    skipped_from, skipped_to = tables.change_log.skipped
    if skipped_from < poll.after_revision < skipped_to:
        return TOO_FAR_BEHIND, b"a list has skipped what is known there\n"
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
        reason = f"{len(body)} bytes are more than the link has room for\n"
        return TOO_FAR_BEHIND, reason.encode()
    return OK, body


def changes_above(log: ChangeLog, revision: int) -> list[LoggedChange]:
    """Return the changes above a revision, oldest first.

    Looked for from the newest on: the polls of a zone are asked about at each turn of
    the process, and a reader has no time to go through a whole log each time.
    """
    found = []
    for logged in reversed(log.changes):
        if logged.revision <= revision:
            break
        found.append(logged)
    found.reverse()
    return found


def change_text(logged: LoggedChange, now: float) -> str:
    """Return a change as it is handed on, written once for all followers.

    But for a target that was cold when it was read: it is so for less time by now.
    """
    change = logged.change
    if isinstance(change, Target) and change.warmup:
        return dumps(encode_change(change, now - logged.read_at))
    if not logged.text:
        logged.text = dumps(encode_change(change))
    return logged.text


def take_from_bucket(log: ChangeLog, size: int, now: float) -> bool:
    """Take some bytes of what followers may cost; return whether there were enough."""
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
    """Return what a reader's answer holds."""
    if status == TOO_FAR_BEHIND:
        return HistoryLost()
    if status != OK:
        return Refused(status)
    try:
        found = decode_body(body)
        if found.get("format") != FORMAT_VERSION:
            return Unanswered("the reader is of another release")
        return FeedAnswer(
            tuple(decode_change(change) for change in found["changes"]),
            int(found["revision"]),
            float(found["age"]),
            float(found["held"]),
            int(found["configuration"]),
        )
    except DECODE_ERRORS as error:
        return Unanswered(f"news that cannot be read: {error!r}")
