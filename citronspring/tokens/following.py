"""Following the zone reader: applying its change feed while it is current.

One host of a zone reads the store and the others poll that host, so that calls to the
store grow with the number of zones and not of hosts. Correctness does not depend on the
zone reader: each of its answers carries its age, and a host that gets no current one in
time reads the store itself.
"""

from __future__ import annotations

from citronspring.events import FOLLOWING, READER_LOST
from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.tokens.change_feed import log_changes, log_gap
from citronspring.tokens.entries import ConfigurationChange
from citronspring.tokens.entry_updates import apply_and_log
from citronspring.tokens.messages import (
    AnswerTooLarge,
    FeedAnswer,
    FollowReader,
    HistoryLost,
    Log,
    Refused,
    Unanswered,
)
from citronspring.tokens.routes import is_applicable

if TYPE_CHECKING:
    from citronspring.tokens.entries import ZoneReader
    from citronspring.tokens.messages import Action
    from citronspring.tokens.tables import Tables
    from citronspring.tokens.times import ReaderTimes

#: Pause in seconds before a failed zone reader is polled again; doubled up to the
#: maximum. The store is read meanwhile, so this only limits calls to a host that may be
#: down.
INITIAL_RETRY_PAUSE = 1.0
MAX_RETRY_PAUSE = 8.0

#: Number of doublings that reaches the maximum.
MAX_DOUBLINGS = 3


def reader_to_follow(tables: Tables, now: float) -> ZoneReader | None:
    """Return the zone reader to follow, None if this host reads the store itself."""
    reader = tables.zone_readers.get(tables.zone)
    if reader is None or reader.host_id == tables.host_id:
        return None
    if now < tables.follow.retry_at:
        return None
    return reader


def follow_call(
    tables: Tables, times: ReaderTimes, reader: ZoneReader, now: float
) -> FollowReader:
    """Return the call to make to the zone reader.

    A zone reader that has failed before is polled without a wait, since this host gets
    no other updates while the call is open. A wait ends at the latest when this host's
    state has become too old to be followed. Otherwise a zone reader that fails after an
    already old answer would delay its followers beyond the bound.
    """
    age = now - tables.reader.current_at
    wait = max(min(times.follow_wait, times.follow_age - age), 0.0)
    if tables.follow.failures:
        wait = 0.0
    return FollowReader(reader.endpoint, tables.reader.revision, wait)


def apply_feed(
    tables: Tables,
    times: ReaderTimes,
    answer: FeedAnswer,
    sent_at: float,
    now: float,
    actions: list[Action],
) -> None:
    """Apply an answer of the zone reader, unless it is behind.

    The answer was valid when it was given, ``held`` seconds after the call arrived, so
    no earlier than ``sent_at + held``.

    A zone reader may hold a configuration from before the store was restored from a
    backup. When the same revision is rewritten, the reader logs no change for it, and
    its followers have to read it from the store.
    """
    reader = tables.reader
    if not apply_feed_changes(tables, answer, now, actions):
        # The store's history repeats what has been applied.
        tables.change_log.pending.clear()
        reader.consistent = False
        reader.consistent_from = max(reader.revision, answer.revision)
        stop_following(tables, "a configuration is missing", now, actions)
        return
    advance_by_feed(tables, answer, now)
    confirmed_at = sent_at + answer.held - answer.age
    reader.current_at = max(reader.current_at, confirmed_at)
    if now - confirmed_at > times.follow_age:
        stop_following(tables, "behind", now, actions)
        return
    reader.call_at = now
    reader.failures = 0
    reader.wants_immediate_answer = False
    tables.follow.failures = 0
    if not tables.follow.following:
        tables.follow.following = True
        actions.append(Log(FOLLOWING.number, reader_log_fields(tables, now)))


def apply_feed_changes(
    tables: Tables, answer: FeedAnswer, now: float, actions: list[Action]
) -> bool:
    """Apply the changes of an answer; return whether they lead to its configuration."""
    for change in answer.changes:
        if isinstance(change, ConfigurationChange) and not is_applicable(
            tables, change
        ):
            return False
        apply_and_log(tables, change, now, actions)
    return answer.configuration <= tables.configuration


def advance_by_feed(tables: Tables, answer: FeedAnswer, now: float) -> None:
    """Advance to the revision of an answer whose changes have been applied.

    The zone reader may have read a list, which names no removal of a target that it has
    never known. A host that is consistent does not have such a target either. Another
    one keeps its revision until it has read the store's history from there.
    """
    reader = tables.reader
    if not reader.consistent:
        tables.change_log.pending.clear()
        return
    known_revision = reader.revision
    reader.revision = max(reader.revision, answer.revision)
    log_gap(tables, known_revision)
    log_changes(tables, now)


def handle_reader_failure(
    tables: Tables,
    answer: AnswerTooLarge | HistoryLost | Refused | Unanswered,
    now: float,
    actions: list[Action],
) -> None:
    """Handle a failed call to the zone reader."""
    match answer:
        case AnswerTooLarge():
            cause = "its answer is too large"
        case HistoryLost():
            cause = "too far behind it"
        case Refused():
            cause = f"status {answer.status}"
        case Unanswered():
            cause = answer.cause
    stop_following(tables, cause, now, actions)


def stop_following(
    tables: Tables, cause: str, now: float, actions: list[Action]
) -> None:
    """Fall back to reading the store, and poll the zone reader again later."""
    follow = tables.follow
    doublings = min(follow.failures, MAX_DOUBLINGS)
    follow.failures += 1
    follow.retry_at = now + min(INITIAL_RETRY_PAUSE * 2.0**doublings, MAX_RETRY_PAUSE)
    tables.reader.call_at = now
    tables.reader.wants_immediate_answer = True
    tables.counters["reader-failures"] += 1
    if follow.following:
        follow.following = False
        fields = reader_log_fields(tables, now)
        fields["cause"] = cause
        actions.append(Log(READER_LOST.number, fields))


def reader_log_fields(tables: Tables, now: float) -> dict[str, object]:
    """Return the log fields that describe the zone reader and this host's state."""
    reader = tables.zone_readers.get(tables.zone)
    return {
        "reader": "" if reader is None else reader.host_id,
        "age": round(now - tables.reader.current_at, 3),
        "revision": tables.reader.revision,
    }
