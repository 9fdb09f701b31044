"""Zone-wide detection of targets that have crashed.

In a large fleet a host sees a request to a given target about once in half a minute, so
the two retransmissions that confirm a failure almost never occur at one host. Hosts
therefore report each unacknowledged retransmission to their zone reader. Once several
hosts have reported a target, the zone reader asks all hosts of the zone whether it has
answered any of them since. If most of them reply, and none has seen an answer, all
hosts treat the target as unreachable.

A host with wrong observations cannot cause a reset. Its link may be saturated, or its
process may have stalled: then other hosts have seen an answer of the target, or do not
reply in time. A host that acts on a verdict also checks that it has seen no answer
since, and that its own path works.
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

#: Number of retransmitted requests of different flows that starts an inquiry, and the
#: number of hosts that must have seen them. As many in a row, without an answer in
#: between, are no chance even on links that lose one datagram of twenty.
MIN_WITNESSES = 4
MIN_WITNESS_HOSTS = 2

#: Seconds for which a report is valid.
REPORT_LIFETIME = 1.0

#: Seconds that the zone reader waits for replies: fifty times the latency within a
#: zone, and as long as an event-loop iteration of a busy host.
REPLY_TIMEOUT = 0.1

#: Seconds until the zone reader asks about the same target again.
INQUIRY_PAUSE = 0.3

#: Share of the queried hosts that must reply. A zone reader that is partly partitioned,
#: or whose link is saturated, gets fewer replies and issues no verdict.
QUORUM = 2 / 3

#: Seconds after a host's last poll of the change feed for which it counts as a member
#: of the zone.
MEMBER_TIMEOUT = 6.0

#: Number of targets whose suspicion was refuted within the window at which reports are
#: attributed to lossy links and no longer trusted, and the share of unrefuted
#: suspicions up to which they still are. If many targets crash at once, some have
#: answered just before; the others are down nevertheless.
MAX_REFUTATIONS = 2
REFUTED_RATIO = 0.25
REFUTATION_WINDOW = 3.0

#: Margin in seconds that is added to the age in a message, for its transfer and an
#: event-loop iteration of either process.
AGE_MARGIN = 0.02

#: Seconds for which a target counts as unreachable after a verdict.
VERDICT_LIFETIME = 2.0


# At every host ----------------------------------------------------------------------


def report_suspicions(tables: Tables, now: float, actions: list[Action]) -> None:
    """Report the unacknowledged retransmissions since the last event-loop iteration."""
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
    """Handle a message from another host of the zone.

    Parameters
    ----------
    tables : Tables
        All state.
    message : HostMessage
        The message.
    source : str
        Address of the sender.
    now : float
        Current time in seconds.
    actions : list of Action
        Receives the resulting actions.
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
            # While the zone reader changes, hosts may disagree on which one it is.
            tables.counters["host-messages-unused"] += 1


def reply_to_inquiry(
    tables: Tables, inquiry: Inquiry, reader: str, now: float, actions: list[Action]
) -> None:
    """Reply to the zone reader with the targets that have answered here.

    A host whose process has stalled may not have read their answers yet, so it does not
    reply.
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
    """Return the row of a target by its incarnation, None if it is unknown."""
    row = tables.by_token.get(token_of(incarnation))
    return row if row is not None and row.target.incarnation == incarnation else None


def has_answered(tables: Tables, incarnation: int, since: float) -> bool:
    """Whether a packet has shown an answer of the target since then."""
    row = find_row(tables, incarnation)
    return row is not None and row.answered_at >= since


def apply_verdict(
    tables: Tables, suspicion: Suspicion, now: float, actions: list[Action]
) -> None:
    """Mark a target as unreachable unless this host has seen an answer since.

    A verdict on another incarnation of the target is ignored.
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


# At the zone reader -----------------------------------------------------------------


def note_member(tables: Tables, host: str, now: float) -> None:
    """Record that a host of the zone has polled the change feed."""
    if host:
        tables.inquiry.members[host] = now


def record_report(tables: Tables, report: Report, host: str, now: float) -> None:
    """Store the suspicions that a host reports."""
    for suspicion in report.suspicions:
        witness = Witness(host, now - suspicion.age, now)
        witnesses = tables.inquiry.witnesses
        witnesses.setdefault(suspicion.incarnation, []).append(witness)


def record_reply(tables: Tables, reply: Reply, host: str) -> None:
    """Record a host's reply to the open inquiry."""
    inquiry = tables.inquiry.open
    if inquiry is None or inquiry.number != reply.number:
        return
    if host in inquiry.members:
        inquiry.replied.add(host)
        inquiry.refuted.update(reply.answered)


def advance_inquiry(tables: Tables, now: float, actions: list[Action]) -> None:
    """Finish the open inquiry if it is complete, and start the next one if needed."""
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
    """Return the deadline of the open inquiry, infinite if there is none."""
    return state.open.deadline if state.open is not None else INFINITY


def begin_inquiry(tables: Tables, now: float, actions: list[Action]) -> None:
    """Ask all hosts of the zone about targets that several hosts have reported."""
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
    """Remove reports that have expired."""
    for incarnation, witnesses in list(state.witnesses.items()):
        fresh = [one for one in witnesses if now - one.heard_at <= REPORT_LIFETIME]
        if fresh:
            state.witnesses[incarnation] = fresh
        else:
            del state.witnesses[incarnation]
            state.retry_at.pop(incarnation, None)


def has_enough_witnesses(witnesses: list[Witness]) -> bool:
    """Whether there are enough reports from enough hosts."""
    hosts = {one.host for one in witnesses}
    return len(witnesses) >= MIN_WITNESSES and len(hosts) >= MIN_WITNESS_HOSTS


def unresponsive_since(witnesses: list[Witness]) -> float:
    """Return the time since which a target must have been unresponsive.

    That is when the oldest of the required number of newest requests was sent. An
    answer after older ones shows that those were lost on the network.
    """
    return sorted(one.sent_at for one in witnesses)[-MIN_WITNESSES]


def suspicions_of(since: dict[int, float], now: float) -> tuple[Suspicion, ...]:
    """Return suspicions with the seconds since the targets became unresponsive."""
    return tuple(Suspicion(number, now - at) for number, at in since.items())


def has_quorum(inquiry: OpenInquiry) -> bool:
    """Whether enough hosts have replied to show that the inquiry reached the zone."""
    return len(inquiry.replied) >= max(QUORUM * len(inquiry.members), 1)


def conclude(
    tables: Tables, inquiry: OpenInquiry, now: float, actions: list[Action]
) -> None:
    """Send a verdict on the targets that the replies show to be unreachable."""
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
    """Record refuted suspicions, and discard the reports behind them."""
    for incarnation in refuted:
        state.witnesses.pop(incarnation, None)
        state.refuted_at.append(now)
    while state.refuted_at and now - state.refuted_at[0] > REFUTATION_WINDOW:
        state.refuted_at.popleft()


def is_conclusive(tables: Tables, inquiry: OpenInquiry, now: float) -> bool:
    """Whether missing answers at the other hosts are evidence."""
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
    """Send the verdict to the queried hosts, and apply it here."""
    for incarnation in unreachable:
        # Extending the verdict takes new reports.
        tables.inquiry.witnesses.pop(incarnation, None)
    suspicions = suspicions_of(unreachable, now)
    actions += [Tell(host, Verdict(suspicions)) for host in inquiry.members]
    for suspicion in suspicions:
        apply_verdict(tables, suspicion, now, actions)
