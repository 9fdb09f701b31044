"""What a zone knows together of targets that have died without a sign.

In a large fleet a host sees a request of a given target once in half a minute, so the
two witnesses that make a loss certain almost never meet at one host. Hosts therefore
report each request that was sent again in vain to the reader of their zone. Once
several have reported a target, the reader asks all hosts whether it has answered any of
them since; if most reply, and none of them knows of an answer, it is lost for all.

A host that is wrong cannot bring a reset about. Its link may be full, or it may have
stood still: then others have heard of the target, or do not reply in time. Who acts on
a verdict checks that it has heard nothing since either, and that its own path works.
"""

from __future__ import annotations

from citronspring.events import INQUIRY_ENDED, TARGET_LOST
from citronspring.light_stdlib import INFINITY, TYPE_CHECKING
from citronspring.tokens.election import is_zone_reader
from citronspring.tokens.entities import token_of
from citronspring.tokens.local_path import is_lossy
from citronspring.tokens.messages import Log, Tell
from citronspring.tokens.suspicions import (
    MAX_SUSPICIONS,
    Inquiry,
    Reply,
    Report,
    Suspicion,
    Verdict,
)
from citronspring.tokens.tables import OpenInquiry, Witness

if TYPE_CHECKING:
    from citronspring.tokens.messages import Action
    from citronspring.tokens.rows import TargetRow
    from citronspring.tokens.suspicions import HostMessage
    from citronspring.tokens.tables import InquiryState, Tables

#: Requests of different flows, sent again in vain, that make the reader ask, and the
#: hosts that must have seen them. So many in a row, with no answer between, are no
#: chance even where links lose one datagram of twenty.
MIN_WITNESSES = 4
MIN_WITNESS_HOSTS = 2

#: Seconds for which a report counts.
REPORT_LIFETIME = 1.0

#: Seconds that the reader waits for replies: fifty times the way within a zone, and
#: as long as a busy host takes for a turn.
REPLY_TIMEOUT = 0.1

#: Seconds until the reader asks about the same target again.
INQUIRY_PAUSE = 0.3

#: Share of the hosts asked that must reply. A reader that is half cut off, or whose
#: link is full, hears from fewer and believes nothing.
QUORUM = 2 / 3

#: Seconds within which a host that has asked for news counts as one of the zone.
MEMBER_TIMEOUT = 6.0

#: Targets that had answered after all, in the last seconds, from which on reports are
#: put down to lossy links and believed no more; and their share of those that nobody
#: had heard, up to which they are not. Where many targets die at once, some have
#: answered just before, and the others are no less dead.
MAX_REFUTATIONS = 2
REFUTED_RATIO = 0.25
REFUTATION_WINDOW = 3.0

#: Seconds by which what was sent is taken to be older than the message says: its way
#: and a turn of either process.
AGE_MARGIN = 0.02

#: Seconds for which a target counts as lost after a verdict.
VERDICT_LIFETIME = 2.0


# At every host ----------------------------------------------------------------------


def report_suspicions(tables: Tables, now: float, actions: list[Action]) -> None:
    """Hand on what was sent again in vain since the last turn."""
    fresh = tables.suspected
    if not fresh:
        return
    tables.suspected = []
    path = tables.local_path
    if is_lossy(path, now):
        return
    suspicions = [
        Suspicion(row.target.incarnation, now - sent_at)
        for row, sent_at in fresh
        if sent_at > path.disturbed_at
    ][:MAX_SUSPICIONS]
    reader = tables.zone_readers.get(tables.zone)
    if not suspicions or reader is None:
        return
    report = Report(tuple(suspicions))
    if is_zone_reader(tables):
        record_report(tables, report, tables.host_id, now)
    else:
        actions.append(Tell(reader.endpoint.ip, report))


def handle_host_message(
    tables: Tables, message: HostMessage, source: str, now: float, actions: list[Action]
) -> None:
    """Take what another host of the zone says.

    Parameters
    ----------
    tables : Tables
        All state.
    message : HostMessage
        What it says.
    source : str
        Address that it came from.
    now : float
        Seconds.
    actions : list of Action
        Takes what is to be done.
    """
    reader = tables.zone_readers.get(tables.zone)
    from_reader = reader is not None and source == reader.endpoint.ip
    match message:
        case Report() if is_zone_reader(tables):
            record_report(tables, message, source, now)
        case Reply() if is_zone_reader(tables):
            record_reply(tables, message, source)
        case Inquiry() if from_reader:
            reply_to_inquiry(tables, message, source, now, actions)
        case Verdict() if from_reader:
            for suspicion in message.suspicions:
                apply_verdict(tables, suspicion, now, actions)
        case _:
            # Who has just become the reader, or was it, is not agreed on yet.
            tables.counters["host-messages-unused"] += 1


def reply_to_inquiry(
    tables: Tables, inquiry: Inquiry, reader: str, now: float, actions: list[Action]
) -> None:
    """Tell the reader which targets have answered here.

    A host that stood still has perhaps not read their answers, and says nothing.
    """
    oldest = max((one.age for one in inquiry.suspicions), default=0.0)
    if now - oldest - AGE_MARGIN <= tables.local_path.disturbed_at:
        return
    answered = tuple(
        one.incarnation
        for one in inquiry.suspicions
        if has_answered(tables, one.incarnation, now - one.age - AGE_MARGIN)
    )
    actions.append(Tell(reader, Reply(inquiry.number, answered)))


def find_row(tables: Tables, incarnation: int) -> TargetRow | None:
    """Return the row of a start of a target."""
    row = tables.by_token.get(token_of(incarnation))
    return row if row is not None and row.target.incarnation == incarnation else None


def has_answered(tables: Tables, incarnation: int, since: float) -> bool:
    """Whether anything that a target sent since then has shown here."""
    row = find_row(tables, incarnation)
    return row is not None and row.answered_at >= since


def apply_verdict(
    tables: Tables, suspicion: Suspicion, now: float, actions: list[Action]
) -> None:
    """Take that no host of the zone has heard of a target, unless this one has.

    What was said of an earlier start of it counts for nothing.
    """
    row = find_row(tables, suspicion.incarnation)
    since = now - suspicion.age - AGE_MARGIN
    if row is None or max(row.answered_at, row.known_at) >= since:
        return
    row.unreachable_since = since
    row.unreachable_until = now + VERDICT_LIFETIME
    row.avoid_until = max(row.avoid_until, row.unreachable_until)
    fields: dict[str, object] = {
        "target": row.target.target_id,
        "silent": round(now - since, 3),
        "flows": row.flows,
    }
    actions.append(Log(TARGET_LOST.number, fields))


# At the zone's reader ---------------------------------------------------------------


def note_member(tables: Tables, host: str, now: float) -> None:
    """Take that a host of the zone has asked for news."""
    if host:
        tables.inquiry.members[host] = now


def record_report(tables: Tables, report: Report, host: str, now: float) -> None:
    """Keep what a host reports."""
    for suspicion in report.suspicions:
        witness = Witness(host, now - suspicion.age, now)
        witnesses = tables.inquiry.witnesses
        witnesses.setdefault(suspicion.incarnation, []).append(witness)


def record_reply(tables: Tables, reply: Reply, host: str) -> None:
    """Take a host's reply to the question that is being asked."""
    inquiry = tables.inquiry.open
    if inquiry is None or inquiry.number != reply.number:
        return
    if host in inquiry.members:
        inquiry.replied.add(host)
        inquiry.refuted.update(reply.answered)


def advance_inquiry(tables: Tables, now: float, actions: list[Action]) -> None:
    """End the question that is being asked, and ask the next one if there is one."""
    state = tables.inquiry
    inquiry = state.open
    if inquiry is not None:
        if inquiry.replied < inquiry.members and now < inquiry.deadline:
            return
        state.open = None
        conclude(tables, inquiry, now, actions)
    if state.witnesses:
        begin_inquiry(tables, now, actions)


def next_inquiry_deadline(state: InquiryState) -> float:
    """Return the time at which a question ends, infinite while none is asked."""
    return state.open.deadline if state.open is not None else INFINITY


def begin_inquiry(tables: Tables, now: float, actions: list[Action]) -> None:
    """Ask all hosts of the zone about the targets that several have reported."""
    state = tables.inquiry
    forget_witnesses(state, now)
    since = {
        incarnation: unresponsive_since(witnesses)
        for incarnation, witnesses in state.witnesses.items()
        if has_enough_witnesses(witnesses)
        and state.retry_at.get(incarnation, now) <= now
    }
    since = dict(list(since.items())[:MAX_SUSPICIONS])
    if not since or not is_zone_reader(tables):
        return
    state.members = {
        host: polled_at
        for host, polled_at in state.members.items()
        if now - polled_at <= MEMBER_TIMEOUT
    }
    members = set(state.members)
    state.number += 1
    state.open = OpenInquiry(
        state.number, now + REPLY_TIMEOUT, members, since, set(), set()
    )
    state.retry_at.update(dict.fromkeys(since, now + INQUIRY_PAUSE))
    message = Inquiry(state.number, suspicions_of(since, now))
    actions += [Tell(host, message) for host in members]


def forget_witnesses(state: InquiryState, now: float) -> None:
    """Let go of reports that count no more."""
    for incarnation, witnesses in list(state.witnesses.items()):
        fresh = [one for one in witnesses if now - one.heard_at <= REPORT_LIFETIME]
        if fresh:
            state.witnesses[incarnation] = fresh
        else:
            del state.witnesses[incarnation]
            state.retry_at.pop(incarnation, None)


def has_enough_witnesses(witnesses: list[Witness]) -> bool:
    """Whether enough requests were sent again, at enough hosts."""
    hosts = {one.host for one in witnesses}
    return len(witnesses) >= MIN_WITNESSES and len(hosts) >= MIN_WITNESS_HOSTS


def unresponsive_since(witnesses: list[Witness]) -> float:
    """Return since when a target must have been silent: so many requests are as new.

    An answer between them shows that the older ones were lost on their way.
    """
    return sorted(one.sent_at for one in witnesses)[-MIN_WITNESSES]


def suspicions_of(since: dict[int, float], now: float) -> tuple[Suspicion, ...]:
    """Return targets with the seconds since they fell silent."""
    return tuple(Suspicion(number, now - at) for number, at in since.items())


def has_quorum(inquiry: OpenInquiry) -> bool:
    """Whether so many hosts have replied that the question came through."""
    return len(inquiry.replied) >= max(QUORUM * len(inquiry.members), 1)


def conclude(
    tables: Tables, inquiry: OpenInquiry, now: float, actions: list[Action]
) -> None:
    """Tell all hosts which targets are lost, if the replies show it."""
    state = tables.inquiry
    refuted = {
        incarnation
        for incarnation, since in inquiry.since.items()
        if incarnation in inquiry.refuted or has_answered(tables, incarnation, since)
    }
    note_refutations(state, refuted, now)
    unreachable = {
        incarnation: since
        for incarnation, since in inquiry.since.items()
        if incarnation not in refuted
    }
    if has_quorum(inquiry):
        state.unrefuted_at.update(dict.fromkeys(unreachable, now))
    if not is_conclusive(tables, inquiry, now):
        unreachable = {}
    fields: dict[str, object] = {
        "asked": len(inquiry.members),
        "replied": len(inquiry.replied),
        "targets": len(inquiry.since),
        "answered": len(refuted),
        "lost": len(unreachable),
    }
    actions.append(Log(INQUIRY_ENDED.number, fields))
    if unreachable:
        send_verdict(tables, inquiry, unreachable, now, actions)


def note_refutations(state: InquiryState, refuted: set[int], now: float) -> None:
    """Take that targets had answered after all; their reports count no more."""
    for incarnation in refuted:
        state.witnesses.pop(incarnation, None)
        state.refuted_at.append(now)
    while state.refuted_at and now - state.refuted_at[0] > REFUTATION_WINDOW:
        state.refuted_at.popleft()


def is_conclusive(tables: Tables, inquiry: OpenInquiry, now: float) -> bool:
    """Whether silence of the hosts shows anything now."""
    state = tables.inquiry
    state.unrefuted_at = {
        incarnation: unrefuted_at
        for incarnation, unrefuted_at in state.unrefuted_at.items()
        if now - unrefuted_at <= REFUTATION_WINDOW
    }
    refutations = len(state.refuted_at)
    few_refutations = (
        refutations < MAX_REFUTATIONS
        or refutations <= REFUTED_RATIO * len(state.unrefuted_at)
    )
    return (
        has_quorum(inquiry) and few_refutations and not is_lossy(tables.local_path, now)
    )


def send_verdict(
    tables: Tables,
    inquiry: OpenInquiry,
    unreachable: dict[int, float],
    now: float,
    actions: list[Action],
) -> None:
    """Tell the hosts that were asked, and this one, which targets are lost."""
    for incarnation in unreachable:
        # To believe it for longer takes newer reports.
        tables.inquiry.witnesses.pop(incarnation, None)
    suspicions = suspicions_of(unreachable, now)
    actions += [Tell(host, Verdict(suspicions)) for host in inquiry.members]
    for suspicion in suspicions:
        apply_verdict(tables, suspicion, now, actions)
