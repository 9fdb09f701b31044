"""What callers' packets tell about targets, whose answers pass this host by.

A caller's first packet after its opening shows that a target answered the opening,
and its acknowledgement moves only when the target sends bytes. Silence counts
against a target until the next answer; silence of several targets of another zone
counts against the way to that zone.
"""

from __future__ import annotations

from citronspring.light_stdlib import INFINITY, TYPE_CHECKING
from citronspring.tokens.own_path import (
    note_answered,
    note_repeated,
    works,
)

if TYPE_CHECKING:
    from citronspring.tokens.rows import FlowRow, TargetRow
    from citronspring.tokens.tables import Tables

#: Seconds for which a target is avoided after its first unanswered packet; doubled
#: with each further one. Half a second costs a healthy target, taken for silent
#: after one lost datagram, a few openings.
FIRST_AVOIDANCE = 0.5

#: Longest avoidance in seconds: a target that is back is found again within this
#: time, by one opening that is sent elsewhere too when it stays unanswered.
LONGEST_AVOIDANCE = 4.0

#: Doublings after which the longest is reached. Counted without end, a target that
#: stays silent for minutes would overflow the power and end the process.
MOST_DOUBLINGS = 3

#: Silent targets of one zone, none of which answered since, that make its whole
#: way suspect. One crashed target alone must not: its zone's others are well.
SILENT_TARGETS = 2

#: Seconds for which a zone stays suspect without further evidence.
ZONE_SUSPICION = 1.0

#: Seconds without an answer from a suspect zone after which its targets are taken to be
#: out of reach, though they may be the only warm ones.
ZONE_OUT_OF_REACH = 1.0

#: Openings and requests in a row that a target leaves unanswered when it is out of
#: reach and not just full.
DEAD_SILENCES = 8

#: Flows whose requests were sent again to a target, without an answer between, that
#: show it to be out of reach. A target acknowledges bytes at once, however slow its
#: work is, so that callers do not send again. So one means lost datagrams or a lost
#: target, and a second one is no accident. Copies of one
#: request count once: datagrams are lost in bursts, and a target that was well has
#: answered the third copy after two were lost. Openings are no evidence of this: a
#: full target leaves them unanswered too, and a caller that is gone answers nothing,
#: while open flows go on.
CERTAIN_REPEATS = 2

#: Seconds within which a target in reach has answered the copy of a request, several
#: round trips of 8 ms. Requests of two flows that went out together may be lost
#: together while the host's link is full for a moment; the copy follows 200 ms later.
COPY_ANSWER = 0.05

#: Silent targets of another zone, with no answer from that zone since, that make a
#: flow to one of them hopeless once its request was sent again.
CERTAIN_TARGETS = 3

#: Copies of a request to another zone, with no answer from that zone since it was
#: sent, that do the same. A host with few flows to a zone that is cut off has no other
#: witness. Two losses in a row come once in 25 million requests on links that lose one
#: datagram of 5,000.
CERTAIN_COPIES = 2

#: Seconds for which evidence lasts. Two lost datagrams further apart are a coincidence
#: that a busy host meets. While a target counts as out of reach, requests on its flows
#: are reset at once, and tried elsewhere within their objective, where waiting for
#: each one's repetition would cost 200 ms. A cut that has healed is noticed after this
#: time at the latest.
CERTAINTY_LASTS = 1.0

#: Seconds after its entry left the store from which a target counts as gone for
#: good. Entries that lapsed with the store away are back two seconds after it.
GONE_CERTAIN = 2.5


def note_answer(tables: Tables, row: TargetRow, sent_at: float, now: float) -> None:
    """Take that a target has answered what was sent to it at a time."""
    note_answered(tables.own_path, row, sent_at, now)
    row.answered_at = now
    row.silent_since = INFINITY
    row.silences = 0
    row.repeats = 0
    row.avoid_until = 0.0
    row.lost_until = -INFINITY
    zone = tables.zone_row(row.target.zone)
    zone.answered_at = now
    zone.answered_sent_at = max(zone.answered_sent_at, sent_at)
    zone.suspect_until = 0.0
    zone.silent_targets = 0


def note_silence(tables: Tables, row: TargetRow, sent_at: float, now: float) -> None:
    """Take that an opening or request sent at a time has stayed without an answer."""
    if sent_at < row.answered_at:
        return
    row.silent_since = min(row.silent_since, sent_at)
    row.silences += 1
    doublings = min(row.silences - 1, MOST_DOUBLINGS)
    avoidance = min(FIRST_AVOIDANCE * 2.0**doublings, LONGEST_AVOIDANCE)
    row.avoid_until = max(row.avoid_until, now + avoidance)
    if row.target.zone != tables.zone:
        judge_zone(tables, row, now)


def note_repeat(tables: Tables, flow: FlowRow, now: float) -> None:
    """Take that a request was sent again, as nothing acknowledged it."""
    row = flow.target
    flow.repeats += 1
    note_silence(tables, row, flow.asked_at, now)
    zone = tables.zone_row(row.target.zone)
    if zone.first_repeated_at <= zone.answered_at:
        zone.first_repeated_at = now
    if flow.repeats == 1:
        note_repeated(tables.own_path, row, flow.asked_at, now)
    if flow.repeats == 1 and flow.asked_at >= row.answered_at:
        if now - row.repeated_at > CERTAINTY_LASTS:
            row.repeats = 0
        if row.repeats == 0:
            row.first_repeated_at = now
        row.repeats += 1
        row.repeated_at = now
        tables.suspected.append((row, flow.asked_at))
        row.repeated_sent_at = flow.asked_at


def judge_zone(tables: Tables, row: TargetRow, now: float) -> None:
    """Suspect the way to a target's zone when several of its targets are silent."""
    zone = tables.zone_row(row.target.zone)
    zone.silent_targets = sum(
        other.silences > 0 and other.silent_since > zone.answered_at
        for other in tables.targets.values()
        if other.target.zone == row.target.zone
    )
    if zone.silent_targets >= SILENT_TARGETS:
        zone.suspect_until = now + ZONE_SUSPICION


def avoided(tables: Tables, row: TargetRow, now: float) -> bool:
    """Whether new flows rather go elsewhere."""
    if row.avoid_until > now:
        return True
    zone = tables.zones.get(row.target.zone)
    return zone is not None and zone.suspect_until > now


def out_of_reach(tables: Tables, row: TargetRow, now: float) -> bool:
    """Whether a target has been silent for so long that it is not just full.

    A full target leaves openings unanswered too, and a rush makes a whole zone suspect
    for a moment.
    """
    if row.lost_until > now or row.silences >= DEAD_SILENCES:
        return True
    zone = tables.zones.get(row.target.zone)
    if zone is None or zone.suspect_until <= now:
        return False
    return now - max(zone.answered_at, row.known_at) >= ZONE_OUT_OF_REACH


def certainly_gone(tables: Tables, row: TargetRow, now: float) -> bool:
    """Whether the store has been without the target's entry for long enough.

    A store that has just come back from an older copy may have lost the entry that the
    target had written again.
    """
    if tables.rewrites.awaits_targets:
        return False
    return now - row.gone_at >= GONE_CERTAIN and (
        tables.reader.current_at - row.gone_at >= GONE_CERTAIN
    )


def certainly_unreachable(tables: Tables, flow: FlowRow, now: float) -> bool:
    """Whether a flow's target is out of reach beyond what loss or load explains.

    A false reset breaks a flow that would have gone on, while silence only costs
    time. A request that was sent again may have been lost with its copies while the
    target is well; so the requests of two flows, or all that went to another zone, must
    have stayed without an answer. Where only other flows were repeated, the belief soon
    needs new evidence: a target that is in reach again would answer the next request.
    What a host has not seen itself, the hosts of its zone may have seen together; see
    `citronspring.tokens.inquiry`.

    All of that is seen on every target at once when the host's own link is full. So
    answers of other targets must show that packets get out and back. Without that,
    bursts of callers on small links end the flows of targets that are well.
    """
    row = flow.target
    if row.lost_until > now and works(tables, row, row.lost_since, now):
        return True
    if flow.repeats and lost_with_its_zone(tables, flow, now):
        return works(tables, row, flow.asked_at, now, whole_zone=True)
    recent = now - row.repeated_at <= CERTAINTY_LASTS
    overdue = now - row.first_repeated_at >= COPY_ANSWER
    if row.repeats < CERTAIN_REPEATS or not (recent and overdue):
        return False
    since = flow.asked_at if flow.repeats else row.repeated_sent_at
    return works(tables, row, since, now)


def lost_with_its_zone(tables: Tables, flow: FlowRow, now: float) -> bool:
    """Whether a target is silent with its whole zone, which must be cut off."""
    row = flow.target
    zone = tables.zones.get(row.target.zone)
    if zone is None or row.target.zone == tables.zone:
        return False
    if not row.silences or row.silent_since <= zone.answered_at:
        return False
    if flow.repeats >= CERTAIN_COPIES:
        return True
    # What went out at one moment may have been lost at one moment, see `COPY_ANSWER`.
    overdue = now - zone.first_repeated_at >= COPY_ANSWER
    several = zone.silent_targets >= CERTAIN_TARGETS
    return overdue and several and zone.suspect_until > now
