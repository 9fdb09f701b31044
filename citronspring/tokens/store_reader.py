"""What the host asks the store, when, and how current that makes it."""

from __future__ import annotations

from citronspring.events import (
    COPY_TAKEN,
    STORE_HISTORY_LOST,
    STORE_LISTED,
    STORE_LOST,
    STORE_REGAINED,
    STORE_RESTORED,
)
from citronspring.light_stdlib import INFINITY, TYPE_CHECKING
from citronspring.tokens.change_feed import log_changes, start_change_log
from citronspring.tokens.election import drop_unknown_lease, is_zone_reader
from citronspring.tokens.entries import (
    Configuration,
    count_of,
    epoch_of,
    is_of_earlier_epoch,
)
from citronspring.tokens.entry_updates import apply_change, apply_list
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
    from citronspring.tokens.entries import Entry
    from citronspring.tokens.messages import Action, StoreAnswer, StoreCall
    from citronspring.tokens.tables import Tables
    from citronspring.tokens.times import ReaderTimes

#: Seconds that an answer may take beyond what was asked for: a hundred times the
#: usual 4 ms, so that a store that answers sixty times slower is still read.
ANSWER_TIMEOUT = 0.5

#: Longest slack in seconds, reached by doubling when answers stay away. A store
#: slower than that cannot be told from one that is down.
MAX_ANSWER_TIMEOUT = 2.0

#: Seconds between a failure and the next call; doubled up to the longest.
INITIAL_RETRY_PAUSE = 0.2
MAX_RETRY_PAUSE = 0.8

#: Doublings after which both have reached their longest. Counted without end, an
#: outage of a quarter of an hour would overflow the power and end the process.
MAX_DOUBLINGS = 2

#: Seconds by which the store's timer may run ahead of the host's: a tenth of the
#: shortest time that matters here, and more than clocks differ in a watch.
TIMER_MARGIN = 0.01

#: Seconds between news and the next watch. Targets come and go in groups, and one
#: answer then brings several. A fifth of the tightest bound; what callers' packets
#: tell of a target does not wait for it.
WATCH_PAUSE = 0.6


#: Seconds by which a host that reads for itself wants to be confirmed before what it
#: knows is too old for that: forty times the usual answer.
CURRENT_MARGIN = 0.15


def next_call(tables: Tables, times: ReaderTimes, now: float) -> StoreCall | None:
    """Return the call to make now, None while it is not yet time."""
    reader = tables.reader
    if now < reader.call_at:
        return None
    if tables.configuration == 0 and tables.peers and reader.failures % 2:
        # A host that starts while the store is away would serve nobody until its
        # return. Peers and store are asked by turns, as either may be away.
        return ReadPeer(reader.failures // 2)
    if not reader.listed:
        return ListEntries(reader.next_key)
    zone_reader = reader_to_follow(tables, now)
    if reader.wants_immediate_answer and (zone_reader is None or not reader.failures):
        return WatchEntries(reader.revision, 0.0)
    if zone_reader is not None:
        # Also when the store serves others and not this host.
        return follow_call(tables, times, zone_reader, now)
    return WatchEntries(reader.revision, watch_wait(tables, times, now))


def watch_wait(tables: Tables, times: ReaderTimes, now: float) -> float:
    """Return the seconds that a watch may wait for news.

    One that brings news vouches only for the moment at which it went out. With a full
    wait after it, a reader's knowledge grew too old to be followed before the next
    answer, and a change every three seconds sent whole zones to the store each time.
    """
    age = now - tables.reader.current_at
    if is_zone_reader(tables):
        longest, remaining = times.zone_reader_wait, times.follow_wait - age
    else:
        longest, remaining = times.wait, times.current - CURRENT_MARGIN - age
    return min(longest, max(remaining, 0.0))


def answer_deadline(tables: Tables, call: StoreCall, now: float) -> float:
    """Return the time at which a call that goes out now is given up."""
    if isinstance(call, FollowReader):
        return now + call.wait + FOLLOW_SLACK
    doublings = min(tables.reader.failures, MAX_DOUBLINGS)
    timeout = min(ANSWER_TIMEOUT * 2.0**doublings, MAX_ANSWER_TIMEOUT)
    wait = call.wait if isinstance(call, WatchEntries) else 0.0
    return now + wait + timeout


def largest_answer(times: ReaderTimes, call: StoreCall) -> float:
    """Return the bytes beyond which an answer to a call is not taken."""
    return times.largest_watch if isinstance(call, WatchEntries) else INFINITY


def is_current(tables: Tables, times: ReaderTimes, now: float) -> bool:
    """Whether every change older than the bound is certainly in force here.

    A store that has come back from an older copy vouches for what it holds, which may
    be less than what operators were told is accepted.
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
    """Put in force what a call brought and plan the next one.

    Parameters
    ----------
    tables : Tables
        All state.
    times : ReaderTimes
        Time limits of calls to the store.
    call : StoreCall
        The call.
    answer : StoreAnswer
        What came back.
    sent_at : float
        When the call went out. The answer may have waited on its way, so it only
        shows what was true then.
    now : float
        Seconds.
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
    return actions


def handle_lost_history(
    tables: Tables, epoch: int, now: float, actions: list[Action]
) -> None:
    """Take that no watch can go on from what is known; ``epoch`` is the store's.

    Everything is listed at once, unless the watch after a list met the same: a fleet
    that lists without a pause would keep the store from everybody else.
    """
    reader = tables.reader
    fields: dict[str, object] = {"revision": reader.revision, "epoch": epoch}
    actions.append(Log(STORE_HISTORY_LOST.number, fields))
    if reader.histories_lost:
        reader.call_at = now + retry_pause(reader.histories_lost - 1)
    reader.histories_lost += 1
    restart_list(tables)


def restart_list(tables: Tables) -> None:
    """Have everything read anew."""
    reader = tables.reader
    reader.listed = False
    reader.next_key = ""
    reader.list_entries = []


def handle_page(
    tables: Tables, page: Page, sent_at: float, now: float, actions: list[Action]
) -> None:
    """Collect a page; put the list in force after the last one."""
    reader = tables.reader
    if reader.next_key == "":
        reader.list_revision = page.revision
        reader.list_sent_at = sent_at
    reader.call_at = now
    if epoch_of(page.revision) != epoch_of(reader.list_revision):
        # The pages before this one are of a history that the store has lost.
        restart_list(tables)
        return
    reader.list_entries += page.entries
    if page.next_key is not None:
        reader.next_key = page.next_key
        return
    log_list(tables, actions)
    restored = store_was_restored(tables)
    apply_list(tables, reader.list_entries, reader.list_revision, now, actions)
    if restored:
        drop_unknown_lease(tables)
    if reader.list_revision > reader.revision:
        tables.change_log.skipped = (reader.revision, reader.list_revision)
    # The pages are no snapshot: the watch begins where the first one stood, and
    # brings again what changed meanwhile.
    reader.revision = max(reader.revision, reader.list_revision)
    reader.current_at = max(reader.current_at, reader.list_sent_at)
    if tables.change_log.compacted_revision:
        log_changes(tables, now, newest_of(reader.list_entries))
    else:
        start_change_log(tables)
    restart_list(tables)
    reader.listed = True


def newest_of(entries: list[Entry]) -> int:
    """Return the largest revision of the store among entries."""
    return max(
        (entry.revision for entry in entries if not isinstance(entry, Configuration)),
        default=0,
    )


def log_list(tables: Tables, actions: list[Action]) -> None:
    """Log where the store stands, and whether it has come back from an older copy."""
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
    """Whether the list that was read is of a later epoch than what is known."""
    reader = tables.reader
    known = reader.revision > 0
    return known and is_of_earlier_epoch(reader.revision, reader.list_revision)


def apply_snapshot(
    tables: Tables,
    snapshot: PeerSnapshot,
    sent_at: float,
    now: float,
    actions: list[Action],
) -> None:
    """Put in force what a peer knows; the store is asked for what came after.

    Its age is the peer's, so a copy from a peer that is cut off too makes nothing
    current.
    """
    reader = tables.reader
    entries: list[Entry] = [snapshot.configuration, *snapshot.entries]
    if snapshot.complete:
        apply_list(tables, entries, snapshot.revision, now, actions)
    else:
        # What is missing may just have been left out.
        for entry in entries:
            apply_change(tables, entry, now, actions)
    restart_list(tables)
    # A watch tells of changes only: what a peer has left out is to be listed.
    reader.listed = snapshot.complete
    reader.revision = max(reader.revision, snapshot.revision)
    start_change_log(tables)
    reader.current_at = max(reader.current_at, sent_at - snapshot.age)
    reader.call_at = now
    fields: dict[str, object] = {
        "configuration": snapshot.configuration.revision,
        "entries": len(snapshot.entries),
        "age": round(snapshot.age, 3),
    }
    actions.append(Log(COPY_TAKEN.number, fields))


def handle_changes(
    tables: Tables,
    call: StoreCall,
    answer: Changes,
    sent_at: float,
    now: float,
    actions: list[Action],
) -> None:
    """Put the news of a watch in force, oldest first.

    Of a store that has come back from an older copy meanwhile, they are not all: it
    gives revisions out again, also below the one that the watch was asked for.
    """
    if answer.epoch != epoch_of(tables.reader.revision):
        handle_lost_history(tables, answer.epoch, now, actions)
        return
    tables.reader.histories_lost = 0
    for change in answer.changes:
        apply_change(tables, change, now, actions)
    reader = tables.reader
    if answer.revision is not None:
        reader.revision = max(reader.revision, answer.revision)
    log_changes(tables, now)
    confirmed_at = sent_at + unchanged_seconds(call, answer, sent_at, now)
    reader.current_at = max(reader.current_at, confirmed_at)
    pause = ZONE_READER_PAUSE if is_zone_reader(tables) else WATCH_PAUSE
    reader.call_at = now + pause if answer.changes else now


def unchanged_seconds(
    call: StoreCall, answer: Changes, sent_at: float, now: float
) -> float:
    """Return the seconds after its sending for which a watch heard of no change.

    The store says that there is no news only after it has waited for the whole time;
    an answer that comes sooner shows no more than that there was none at first.
    """
    if answer.changes or not isinstance(call, WatchEntries):
        return 0.0
    waited = max(call.wait - TIMER_MARGIN, 0.0)
    return waited if now - sent_at >= waited else 0.0


def note_success(tables: Tables, now: float, actions: list[Action]) -> None:
    """Take that the store answers."""
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
    """Take that a call brought nothing; what is known stays in force."""
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
    """Return the seconds until the next call after some failures before this one."""
    return min(
        INITIAL_RETRY_PAUSE * 2.0 ** min(failures, MAX_DOUBLINGS), MAX_RETRY_PAUSE
    )
