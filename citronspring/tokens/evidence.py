"""What callers' packets tell about targets, whose answers pass this host by.

A caller's first packet after its opening shows that a target answered the opening,
and its acknowledgement moves only when the target sends bytes. Silence counts
against a target until the next answer; silence of several targets of another zone
counts against the way to that zone.
"""

from __future__ import annotations

from citronspring.light_stdlib import INFINITY, TYPE_CHECKING
from citronspring.tokens.local_path import (
    local_path_works,
    note_answered_request,
    note_retransmitted_request,
)

if TYPE_CHECKING:
    from citronspring.tokens.rows import FlowRow, TargetRow
    from citronspring.tokens.tables import Tables

#: Seconds for which a target is avoided after its first unanswered packet; doubled
#: with each further one. Half a second costs a healthy target, taken for silent
#: after one lost datagram, a few openings.
INITIAL_AVOIDANCE = 0.5

#: Longest avoidance in seconds: a target that is back is found again within this
#: time, by one opening that is sent elsewhere too when it stays unanswered.
MAX_AVOIDANCE = 4.0

#: Doublings after which the longest is reached. Counted without end, a target that
#: stays silent for minutes would overflow the power and end the process.
MAX_DOUBLINGS = 3

#: Silent targets of one zone, none of which answered since, that make its whole
#: way suspect. One crashed target alone must not: its zone's others are well.
SUSPECT_ZONE_TARGETS = 2

#: Seconds for which a zone stays suspect without further evidence.
ZONE_SUSPECT_SECONDS = 1.0

#: Seconds without an answer from a suspect zone after which its targets are taken to be
#: out of reach, though they may be the only warm ones.
ZONE_UNREACHABLE_SECONDS = 1.0

#: Openings and requests in a row that a target leaves unanswered when it is out of
#: reach and not just full.
UNREACHABLE_TIMEOUTS = 8

#: Flows whose requests were sent again to a target, without an answer between, that
#: show it to be out of reach. A target acknowledges bytes at once, however slow its
#: work is, so that callers do not send again. So one means lost datagrams or a lost
#: target, and a second one is no accident. Copies of one
#: request count once: datagrams are lost in bursts, and a target that was well has
#: answered the third copy after two were lost. Openings are no evidence of this: a
#: full target leaves them unanswered too, and a caller that is gone answers nothing,
#: while open flows go on.
UNREACHABLE_FLOWS = 2

#: Seconds within which a target in reach has answered the copy of a request, several
#: round trips of 8 ms. Requests of two flows that went out together may be lost
#: together while the host's link is full for a moment; the copy follows 200 ms later.
RETRANSMISSION_ACK_TIMEOUT = 0.05

#: Silent targets of another zone, with no answer from that zone since, that make a
#: flow to one of them hopeless once its request was sent again.
UNREACHABLE_ZONE_TARGETS = 3

#: Copies of a request to another zone, with no answer from that zone since it was
#: sent, that do the same. A host with few flows to a zone that is cut off has no other
#: witness. Two losses in a row come once in 25 million requests on links that lose one
#: datagram of 5,000.
UNREACHABLE_ZONE_RETRANSMISSIONS = 2

#: Seconds for which evidence lasts. Two lost datagrams further apart are a coincidence
#: that a busy host meets. While a target counts as out of reach, requests on its flows
#: are reset at once, and tried elsewhere within their objective, where waiting for
#: each one's repetition would cost 200 ms. A cut that has healed is noticed after this
#: time at the latest.
EVIDENCE_LIFETIME = 1.0

#: Seconds after its entry left the store from which a target counts as gone for
#: good. Entries that lapsed with the store away are back two seconds after it.
REMOVAL_GRACE = 2.5


def note_answer(tables: Tables, row: TargetRow, sent_at: float, now: float) -> None:
    """Take that a target has answered what was sent to it at a time."""
    note_answered_request(tables.local_path, row, sent_at, now)
    row.answered_at = now
    row.unanswered_since = INFINITY
    row.timeouts = 0
    row.retransmissions = 0
    row.avoid_until = 0.0
    row.unreachable_until = -INFINITY
    zone = tables.zone_row(row.target.zone)
    zone.answered_at = now
    zone.answered_sent_at = max(zone.answered_sent_at, sent_at)
    zone.suspect_until = 0.0
    zone.unresponsive_targets = 0


def note_timeout(tables: Tables, row: TargetRow, sent_at: float, now: float) -> None:
    """Take that an opening or request sent at a time has stayed without an answer."""
    if sent_at < row.answered_at:
        return
    row.unanswered_since = min(row.unanswered_since, sent_at)
    row.timeouts += 1
    doublings = min(row.timeouts - 1, MAX_DOUBLINGS)
    avoidance = min(INITIAL_AVOIDANCE * 2.0**doublings, MAX_AVOIDANCE)
    row.avoid_until = max(row.avoid_until, now + avoidance)
    if row.target.zone != tables.zone:
        update_zone_suspicion(tables, row, now)


def note_retransmission(tables: Tables, flow: FlowRow, now: float) -> None:
    """Take that a request was sent again, as nothing acknowledged it."""
    row = flow.target
    flow.retransmissions += 1
    note_timeout(tables, row, flow.first_sent_at, now)
    zone = tables.zone_row(row.target.zone)
    if zone.first_retransmitted_at <= zone.answered_at:
        zone.first_retransmitted_at = now
    if flow.retransmissions == 1:
        note_retransmitted_request(tables.local_path, row, flow.first_sent_at, now)
    if flow.retransmissions == 1 and flow.first_sent_at >= row.answered_at:
        if now - row.retransmitted_at > EVIDENCE_LIFETIME:
            row.retransmissions = 0
        if row.retransmissions == 0:
            row.first_retransmitted_at = now
        row.retransmissions += 1
        row.retransmitted_at = now
        tables.suspected.append((row, flow.first_sent_at))
        row.retransmitted_sent_at = flow.first_sent_at


def update_zone_suspicion(tables: Tables, row: TargetRow, now: float) -> None:
    """Suspect the way to a target's zone when several of its targets are silent."""
    zone = tables.zone_row(row.target.zone)
    zone.unresponsive_targets = sum(
        other.timeouts > 0 and other.unanswered_since > zone.answered_at
        for other in tables.targets.values()
        if other.target.zone == row.target.zone
    )
    if zone.unresponsive_targets >= SUSPECT_ZONE_TARGETS:
        zone.suspect_until = now + ZONE_SUSPECT_SECONDS


def is_avoided(tables: Tables, row: TargetRow, now: float) -> bool:
    """Whether new flows rather go elsewhere."""
    if row.avoid_until > now:
        return True
    zone = tables.zones.get(row.target.zone)
    return zone is not None and zone.suspect_until > now


def seems_unreachable(tables: Tables, row: TargetRow, now: float) -> bool:
    """Whether a target has been silent for so long that it is not just full.

    A full target leaves openings unanswered too, and a rush makes a whole zone suspect
    for a moment.
    """
    if row.unreachable_until > now or row.timeouts >= UNREACHABLE_TIMEOUTS:
        return True
    zone = tables.zones.get(row.target.zone)
    if zone is None or zone.suspect_until <= now:
        return False
    return now - max(zone.answered_at, row.known_at) >= ZONE_UNREACHABLE_SECONDS


def is_removal_confirmed(tables: Tables, row: TargetRow, now: float) -> bool:
    """Whether the store has been without the target's entry for long enough.

    A store that has just come back from an older copy may have lost the entry that the
    target had written again.
    """
    if tables.restore_grace.awaits_targets:
        return False
    return now - row.gone_at >= REMOVAL_GRACE and (
        tables.reader.current_at - row.gone_at >= REMOVAL_GRACE
    )


def is_confirmed_unreachable(tables: Tables, flow: FlowRow, now: float) -> bool:
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
    if row.unreachable_until > now and local_path_works(
        tables, row, row.unreachable_since, now
    ):
        return True
    if flow.retransmissions and is_unreachable_with_zone(tables, flow, now):
        return local_path_works(tables, row, flow.first_sent_at, now, whole_zone=True)
    recent = now - row.retransmitted_at <= EVIDENCE_LIFETIME
    overdue = now - row.first_retransmitted_at >= RETRANSMISSION_ACK_TIMEOUT
    if row.retransmissions < UNREACHABLE_FLOWS or not (recent and overdue):
        return False
    since = flow.first_sent_at if flow.retransmissions else row.retransmitted_sent_at
    return local_path_works(tables, row, since, now)


def is_unreachable_with_zone(tables: Tables, flow: FlowRow, now: float) -> bool:
    """Whether a target is silent with its whole zone, which must be cut off."""
    row = flow.target
    zone = tables.zones.get(row.target.zone)
    if zone is None or row.target.zone == tables.zone:
        return False
    if not row.timeouts or row.unanswered_since <= zone.answered_at:
        return False
    if flow.retransmissions >= UNREACHABLE_ZONE_RETRANSMISSIONS:
        return True
    # What went out at one moment may have been lost at one moment, see `RETRANSMISSION_ACK_TIMEOUT`.
    overdue = now - zone.first_retransmitted_at >= RETRANSMISSION_ACK_TIMEOUT
    several = zone.unresponsive_targets >= UNREACHABLE_ZONE_TARGETS
    return overdue and several and zone.suspect_until > now
