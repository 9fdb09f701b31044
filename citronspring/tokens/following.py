"""Taking what the zone's reader has read, for as long as it is known to be current.

One host of a zone reads the store and the others ask that host, so that calls to the
store grow with zones and not with hosts. Nothing correct rests on the reader: each
answer carries its age, and a host that is not told in time reads the store itself.
"""

from __future__ import annotations

from citronspring.events import FOLLOWING, READER_LOST
from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.tokens.change_feed import log_changes
from citronspring.tokens.entries import ConfigurationChange
from citronspring.tokens.entry_updates import apply_change
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

#: Seconds after a failure of the reader until it is asked again; doubled up to the
#: longest. Meanwhile the store is read, so this only bounds calls to a dead host.
INITIAL_RETRY_PAUSE = 1.0
MAX_RETRY_PAUSE = 8.0

#: Doublings after which the longest is reached.
MAX_DOUBLINGS = 3


def reader_to_follow(tables: Tables, now: float) -> ZoneReader | None:
    """Return the reader of this host's zone, None if it reads the store itself."""
    reader = tables.zone_readers.get(tables.zone)
    if reader is None or reader.host_id == tables.host_id:
        return None
    if now < tables.follow.retry_at:
        return None
    return reader


def follow_call(
    tables: Tables, times: ReaderTimes, reader: ZoneReader, now: float
) -> FollowReader:
    """Return the call to make to the reader.

    One that has failed is asked for an answer at once: while it is waited for, this
    host hears of nothing else. And none is waited for until what is known here is too
    old: a reader that falls silent after news that were old already would hold its zone
    back beyond the bound.
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
    """Put in force what the reader has read, unless it is behind.

    Its answer was true when it gave it, which was ``held`` after the call arrived,
    so no earlier than ``sent_at + held``.

    A reader may have a configuration from before the store came back from an older
    copy. Written again, that is no news to it, and its followers must read it.
    """
    for change in answer.changes:
        if isinstance(change, ConfigurationChange) and not is_applicable(
            tables, change
        ):
            stop_following(tables, "a configuration is missing", now, actions)
            return
        apply_change(tables, change, now, actions)
    if answer.configuration > tables.configuration:
        stop_following(tables, "a configuration is missing", now, actions)
        return
    reader = tables.reader
    reader.revision = max(reader.revision, answer.revision)
    log_changes(tables, now)
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


def handle_reader_failure(
    tables: Tables,
    answer: AnswerTooLarge | HistoryLost | Refused | Unanswered,
    now: float,
    actions: list[Action],
) -> None:
    """Take that the reader is of no use now."""
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
    """Read the store at once, and ask the reader again later."""
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
    """Return what a log line tells of the reader and of what is known."""
    reader = tables.zone_readers.get(tables.zone)
    return {
        "reader": "" if reader is None else reader.host_id,
        "age": round(now - tables.reader.current_at, 3),
        "revision": tables.reader.revision,
    }
