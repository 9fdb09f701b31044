"""Reading the store: which call to make, when, and how current the state is."""

from __future__ import annotations

from citronspring.events import (
    STORE_HISTORY_LOST,
    STORE_LISTED,
    STORE_LOST,
    STORE_REGAINED,
    STORE_RESTORED,
)
from citronspring.light_stdlib import INFINITY, TYPE_CHECKING
from citronspring.tokens.change_feed import log_changes, log_gap, start_change_log
from citronspring.tokens.election import drop_unknown_lease, is_zone_reader
from citronspring.tokens.entries import count_of, epoch_of, is_of_earlier_epoch
from citronspring.tokens.entry_updates import apply_and_log, apply_list
from citronspring.tokens.following import (
    apply_feed,
    follow_call,
    handle_reader_failure,
    reader_to_follow,
)
from citronspring.tokens.messages import (
    AnswerTooLarge,
    Changes,
    FeedAnswer,
    FollowReader,
    HistoryLost,
    ListEntries,
    Log,
    Page,
    PeerSnapshot,
    ReadPeer,
    Refused,
    Unanswered,
    WatchEntries,
)
from citronspring.tokens.times import FOLLOW_SLACK, ZONE_READER_PAUSE

if TYPE_CHECKING:
    from citronspring.tokens.messages import Action, StoreAnswer, StoreCall
    from citronspring.tokens.tables import Tables
    from citronspring.tokens.times import ReaderTimes

#: Timeout of an answer, in seconds, beyond the wait that was requested: a hundred times
#: the usual 4 ms, so that a store that answers sixty times slower is still read.
ANSWER_TIMEOUT = 0.5

#: Upper bound of that timeout in seconds, reached by doubling on failures. A slower
#: store cannot be distinguished from one that is down.
MAX_ANSWER_TIMEOUT = 2.0

#: Pause in seconds between a failure and the next call; doubled up to the maximum.
INITIAL_RETRY_PAUSE = 0.2
MAX_RETRY_PAUSE = 0.8

#: Number of doublings that reaches both upper bounds. Without this limit, an outage of
#: a quarter of an hour would overflow the power and crash the process.
MAX_DOUBLINGS = 2

#: Seconds by which the store's timer may run ahead of the host's: a tenth of the
#: shortest time that matters here, and more than clocks drift during a watch.
TIMER_MARGIN = 0.01

#: Pause in seconds between changes and the next watch. Targets come and go in groups,
#: and one answer then brings several. It is a fifth of the tightest bound; what
#: callers' packets show about a target does not wait for it.
WATCH_PAUSE = 0.6


#: Seconds before its state becomes too old at which a host that reads the store itself
#: wants a confirmation; forty times the usual response time.
CURRENT_MARGIN = 0.15


def next_call(tables: Tables, times: ReaderTimes, now: float) -> StoreCall | None:
    """Return the call that is due, None if none is."""
    reader = tables.reader
    if now < reader.call_at:
        return None
    if tables.configuration == 0 and tables.peers and reader.failures % 2:
        # A host that starts while the store is unreachable would serve nobody until it
        # is back. The host asks peers and the store alternately, since either may be
        # unreachable.
        return ReadPeer(reader.failures // 2)
    if not reader.listed:
        return ListEntries(reader.next_key)
    zone_reader = reader_to_follow(tables, now)
    needs_store = reader.wants_immediate_answer or not reader.consistent
    if needs_store and (zone_reader is None or not reader.failures):
        return WatchEntries(reader.revision, 0.0)
    if zone_reader is not None:
        # This also covers a store that serves other hosts but not this one.
        return follow_call(tables, times, zone_reader, now)
    return WatchEntries(reader.revision, watch_wait(tables, times, now))


def watch_wait(tables: Tables, times: ReaderTimes, now: float) -> float:
    """Return the seconds that a watch may wait for changes.

    An answer with changes confirms the state only as of the time at which the watch was
    sent. If the next watch then waited its full time, a zone reader's state became too
    old for its followers before the next answer, and a change every three seconds sent
    whole zones to the store each time.
    """
    age = now - tables.reader.current_at
    if is_zone_reader(tables):
        longest, remaining = times.zone_reader_wait, times.follow_wait - age
    else:
        longest, remaining = times.wait, times.current - CURRENT_MARGIN - age
    return min(longest, max(remaining, 0.0))


def answer_deadline(tables: Tables, call: StoreCall, now: float) -> float:
    """Return the deadline of a call that is sent now."""
    if isinstance(call, FollowReader):
        return now + call.wait + FOLLOW_SLACK
    doublings = min(tables.reader.failures, MAX_DOUBLINGS)
    timeout = min(ANSWER_TIMEOUT * 2.0**doublings, MAX_ANSWER_TIMEOUT)
    wait = call.wait if isinstance(call, WatchEntries) else 0.0
    return now + wait + timeout


def largest_answer(times: ReaderTimes, call: StoreCall) -> float:
    """Return the largest accepted size of a call's answer, in bytes."""
    return times.largest_watch if isinstance(call, WatchEntries) else INFINITY


def is_current(tables: Tables, times: ReaderTimes, now: float) -> bool:
    """Whether every change that is older than the bound has been applied.

    A store that was restored from a backup only confirms what it holds, which may be
    less than what it had accepted from operators.
    """
    fresh = now - tables.reader.current_at <= times.current
    return fresh and not tables.restore_grace.awaits_operators


def handle_store_answer(
    tables: Tables,
    times: ReaderTimes,
    call: StoreCall,
    answer: StoreAnswer,
    sent_at: float,
    now: float,
) -> list[Action]:
    """Apply the answer to a call and plan the next call.

    Parameters
    ----------
    tables : Tables
        All state.
    times : ReaderTimes
        Timeouts of calls to the store.
    call : StoreCall
        The call.
    answer : StoreAnswer
        The answer.
    sent_at : float
        Time at which the call was sent. The answer may have been delayed, so it
        only confirms the state as of then.
    now : float
        Current time in seconds.
    """
    actions: list[Action] = []
    tables.histograms["store_call"].record(max(now - sent_at, 0.0))
    match answer:
        case FeedAnswer():
            apply_feed(tables, times, answer, sent_at, now, actions)
        case AnswerTooLarge() | HistoryLost() | Refused() | Unanswered() if isinstance(
            call, FollowReader
        ):
            handle_reader_failure(tables, answer, now, actions)
        case PeerSnapshot():
            # Imported on first use: hosts that start while the store answers need none.
            from citronspring.tokens.snapshot_updates import apply_snapshot

            apply_snapshot(tables, answer, sent_at, now, actions)
        case Page():
            note_success(tables, now, actions)
            handle_page(tables, answer, sent_at, now, actions)
        case Changes():
            note_success(tables, now, actions)
            handle_changes(tables, call, answer, sent_at, now, actions)
        case AnswerTooLarge() if isinstance(call, WatchEntries):
            note_success(tables, now, actions)
            restart_list(tables)
            tables.reader.call_at = now
        case AnswerTooLarge():
            note_failure(tables, "the answer is too large", now, actions)
        case HistoryLost():
            note_success(tables, now, actions)
            handle_lost_history(tables, answer.epoch, now, actions)
        case Refused():
            note_failure(tables, f"status {answer.status}", now, actions)
        case Unanswered():
            note_failure(tables, answer.cause, now, actions)
    if tables.earlier_starts:
        from citronspring.tokens.restarts import adopt_earlier_starts

        adopt_earlier_starts(tables, now, actions)
    if tables.listed_warmups:
        from citronspring.tokens.warmups import shorten_warmups

        shorten_warmups(tables, now)
    return actions


def handle_lost_history(
    tables: Tables, epoch: int, now: float, actions: list[Action]
) -> None:
    """Handle a lost watch history by listing all entries.

    ``epoch`` is the store's restore epoch. The list starts immediately, unless the
    watch after the previous list has met the same: a fleet that lists without a pause
    would overload the store.
    """
    reader = tables.reader
    fields: dict[str, object] = {"revision": reader.revision, "epoch": epoch}
    actions.append(Log(STORE_HISTORY_LOST.number, fields))
    if reader.histories_lost:
        reader.call_at = now + retry_pause(reader.histories_lost - 1)
    reader.histories_lost += 1
    restart_list(tables)


def restart_list(tables: Tables) -> None:
    """Start a new list of all entries."""
    reader = tables.reader
    reader.listed = False
    reader.next_key = ""
    reader.list_entries = []


def handle_page(
    tables: Tables, page: Page, sent_at: float, now: float, actions: list[Action]
) -> None:
    """Collect a page; apply the list after the last one."""
    reader = tables.reader
    if reader.next_key == "":
        reader.list_revision = page.revision
        reader.list_sent_at = sent_at
    reader.call_at = now
    if epoch_of(page.revision) != epoch_of(reader.list_revision):
        # The pages before this one belong to a history that the restored store has
        # lost.
        restart_list(tables)
        return
    reader.list_entries += page.entries
    if page.next_key is not None:
        reader.next_key = page.next_key
        return
    log_list(tables, actions)
    restored = store_was_restored(tables)
    apply_list(tables, reader.list_entries, reader.list_revision, now, actions)
    if any(row.warm_at > now for row in tables.targets.values()):
        from citronspring.tokens.warmups import record_listed_warmups

        record_listed_warmups(tables, now)
    if restored:
        drop_unknown_lease(tables)
    known_revision = reader.revision
    # The pages are no consistent snapshot. The watch starts at the revision of the
    # first page, and so repeats what has changed since.
    reader.revision = max(reader.revision, reader.list_revision)
    reader.current_at = max(reader.current_at, reader.list_sent_at)
    if reader.consistent and tables.change_log.spans_lists and not restored:
        log_gap(tables, known_revision)
        log_changes(tables, now)
    else:
        # Followers may know entries that this host has never read.
        start_change_log(tables)
    tables.change_log.spans_lists = True
    reader.consistent_from = page.revision
    reader.consistent = reader.revision >= page.revision
    restart_list(tables)
    reader.listed = True


def log_list(tables: Tables, actions: list[Action]) -> None:
    """Log the store's revision, and whether it was restored from a backup."""
    reader = tables.reader
    fields: dict[str, object] = {
        "revision": count_of(reader.list_revision),
        "epoch": epoch_of(reader.list_revision),
        "known": count_of(reader.revision),
        "known_epoch": epoch_of(reader.revision),
    }
    actions.append(Log(STORE_LISTED.number, fields))
    if store_was_restored(tables):
        tables.counters["store-restores"] += 1
        actions.append(Log(STORE_RESTORED.number, dict(fields)))


def store_was_restored(tables: Tables) -> bool:
    """Whether the completed list has a later restore epoch than the known state."""
    reader = tables.reader
    known = reader.revision > 0
    return known and is_of_earlier_epoch(reader.revision, reader.list_revision)


def handle_changes(
    tables: Tables,
    call: StoreCall,
    answer: Changes,
    sent_at: float,
    now: float,
    actions: list[Action],
) -> None:
    """Apply the changes of a watch, oldest first.

    If the store was restored from a backup meanwhile, they are incomplete: the store
    reuses revisions, also below the one that the watch started at.
    """
    if answer.epoch != epoch_of(tables.reader.revision):
        handle_lost_history(tables, answer.epoch, now, actions)
        return
    tables.reader.histories_lost = 0
    for change in answer.changes:
        apply_and_log(tables, change, now, actions)
    reader = tables.reader
    if answer.revision is not None:
        reader.revision = max(reader.revision, answer.revision)
    if not answer.changes or reader.revision >= reader.consistent_from:
        reader.consistent = True
    log_changes(tables, now)
    confirmed_at = sent_at + unchanged_seconds(call, answer, sent_at, now)
    reader.current_at = max(reader.current_at, confirmed_at)
    pause = ZONE_READER_PAUSE if is_zone_reader(tables) else WATCH_PAUSE
    reader.call_at = now + pause if answer.changes and reader.consistent else now


def unchanged_seconds(
    call: StoreCall, answer: Changes, sent_at: float, now: float
) -> float:
    """Return the seconds after it was sent for which a watch saw no change.

    The store reports that there is no change only after the full wait. An answer that
    comes sooner only shows that there was none at first.
    """
    if answer.changes or not isinstance(call, WatchEntries):
        return 0.0
    waited = max(call.wait - TIMER_MARGIN, 0.0)
    return waited if now - sent_at >= waited else 0.0


def note_success(tables: Tables, now: float, actions: list[Action]) -> None:
    """Record that the store has answered."""
    reader = tables.reader
    if reader.failures:
        fields: dict[str, object] = {
            "failures": reader.failures,
            "age": round(now - reader.current_at, 3),
        }
        actions.append(Log(STORE_REGAINED.number, fields))
    reader.failures = 0
    reader.wants_immediate_answer = False


def note_failure(tables: Tables, cause: str, now: float, actions: list[Action]) -> None:
    """Record a failed call; the known state stays in effect."""
    reader = tables.reader
    if reader.failures == 0:
        fields: dict[str, object] = {
            "cause": cause,
            "age": round(now - reader.current_at, 3),
            "revision": reader.revision,
        }
        actions.append(Log(STORE_LOST.number, fields))
    reader.call_at = now + retry_pause(reader.failures)
    reader.failures += 1
    reader.wants_immediate_answer = True
    tables.counters["store-failures"] += 1


def retry_pause(failures: int) -> float:
    """Return the pause before the next call, after ``failures`` earlier failures."""
    return min(
        INITIAL_RETRY_PAUSE * 2.0 ** min(failures, MAX_DOUBLINGS), MAX_RETRY_PAUSE
    )
