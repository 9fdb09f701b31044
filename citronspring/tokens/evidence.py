"""Passive failure detection: what callers' packets show about targets.

Answers of targets bypass this host, so only the callers' side of a flow is visible. A
caller's first packet after its opening shows that a target answered the opening, and
its acknowledgement number advances only when the target sends bytes. Missing answers
count against a target until its next answer; missing answers of several targets of
another zone count against the network path to that zone.
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

#: Seconds for which a target is avoided after its first time-out; doubled with each
#: further one. A healthy target that is avoided for half a second, because of one lost
#: datagram, misses only a few new flows.
INITIAL_AVOIDANCE = 0.5

#: Upper bound of the avoidance in seconds. A recovered target is found within this time
#: by one opening, which is sent to another target as well if it stays unanswered.
MAX_AVOIDANCE = 4.0

#: Number of doublings that reaches the upper bound. Without this limit, a target that
#: stays unresponsive for minutes would overflow the power and crash the process.
MAX_DOUBLINGS = 3

#: Number of unresponsive targets of one zone, none of which has answered since, that
#: makes its whole network path suspect. One target is not enough: it may have crashed
#: while the rest of its zone is healthy.
SUSPECT_ZONE_TARGETS = 2

#: Seconds for which a zone stays suspect without further evidence.
ZONE_SUSPECT_SECONDS = 1.0

#: Seconds without an answer from a suspect zone after which its targets count as
#: unreachable, even if they are the only ones that have warmed up.
ZONE_UNREACHABLE_SECONDS = 1.0

#: Number of consecutive time-outs of openings and requests at which a target counts as
#: unreachable rather than overloaded.
UNREACHABLE_TIMEOUTS = 8

#: Number of flows that retransmitted a request to a target, without an answer in
#: between, that shows that it is unreachable. A target acknowledges bytes immediately,
#: however slowly it works, so callers need not retransmit. One retransmission means a
#: lost datagram or an unreachable target; a second one is unlikely to be chance.
#: Retransmissions of one request count once: datagrams are lost in bursts, and a
#: healthy target has answered the second retransmission of a request after two losses.
#: Openings are not counted: an overloaded target leaves them unanswered while its open
#: flows go on, and so does a caller that has disappeared.
UNREACHABLE_FLOWS = 2

#: Seconds within which a reachable target answers a retransmission; several round trips
#: of 8 ms. Requests of two flows that were sent at the same time may be lost together
#: while the host's link is saturated; they are retransmitted 200 ms later.
RETRANSMISSION_ACK_TIMEOUT = 0.05

#: Number of unresponsive targets of another zone, without an answer from that zone
#: since, that makes a flow to one of them unrecoverable after one retransmission.
UNREACHABLE_ZONE_TARGETS = 3

#: Number of retransmissions of one request to another zone, without an answer from that
#: zone since it was sent, that has the same effect. A host with few flows to a
#: partitioned zone has no other evidence. Two consecutive losses occur once in 25
#: million requests on links that lose one datagram of 5,000.
UNREACHABLE_ZONE_RETRANSMISSIONS = 2

#: Seconds for which evidence is valid. Two lost datagrams further apart are a
#: coincidence that a busy host encounters. While a target counts as unreachable,
#: requests of its flows are reset immediately and can be retried elsewhere within their
#: objective; waiting for a retransmission of each would cost 200 ms. The end of a
#: partition is noticed after this time at the latest.
EVIDENCE_LIFETIME = 1.0

#: Seconds after the removal of a target's entry until the removal counts as final.
#: Entries whose leases expired during an outage of the store are rewritten within two
#: seconds after it.
REMOVAL_GRACE = 2.5


def note_answer(tables: Tables, row: TargetRow, sent_at: float, now: float) -> None:
    """Record that a target has answered what was sent to it at ``sent_at``."""
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
    """Record that an opening or request sent at ``sent_at`` has timed out."""
    link = tables.link_usage
    if (
        sent_at < row.answered_at
        or link.nearly_full
        or sent_at <= link.last_nearly_full_at
    ):
        # What was sent while the host's own link was nearly full may have been lost or
        # delayed there.
        return
    row.unanswered_since = min(row.unanswered_since, sent_at)
    row.timeouts += 1
    doublings = min(row.timeouts - 1, MAX_DOUBLINGS)
    avoidance = min(INITIAL_AVOIDANCE * 2.0**doublings, MAX_AVOIDANCE)
    row.avoid_until = max(row.avoid_until, now + avoidance)
    if row.target.zone != tables.zone:
        update_zone_suspicion(tables, row, now)


def note_retransmission(tables: Tables, flow: FlowRow, now: float) -> None:
    """Record that a caller retransmitted a request that was not acknowledged."""
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
    """Mark a zone as suspect if several of its targets are unresponsive."""
    zone = tables.zone_row(row.target.zone)
    zone.unresponsive_targets = sum(
        other.timeouts > 0 and other.unanswered_since > zone.answered_at
        for other in tables.targets.values()
        if other.target.zone == row.target.zone
    )
    if zone.unresponsive_targets >= SUSPECT_ZONE_TARGETS:
        zone.suspect_until = now + ZONE_SUSPECT_SECONDS


def is_avoided(tables: Tables, row: TargetRow, now: float) -> bool:
    """Whether new flows should go to other targets."""
    if row.avoid_until > now:
        return True
    zone = tables.zones.get(row.target.zone)
    return zone is not None and zone.suspect_until > now


def seems_unreachable(tables: Tables, row: TargetRow, now: float) -> bool:
    """Whether a target has been unresponsive for longer than overload explains.

    An overloaded target leaves openings unanswered too, and a burst makes a whole zone
    suspect for a moment.
    """
    if row.unreachable_until > now or row.timeouts >= UNREACHABLE_TIMEOUTS:
        return True
    zone = tables.zones.get(row.target.zone)
    if zone is None or zone.suspect_until <= now:
        return False
    return now - max(zone.answered_at, row.known_at) >= ZONE_UNREACHABLE_SECONDS


def is_removal_confirmed(tables: Tables, row: TargetRow, now: float) -> bool:
    """Whether the target's entry has been missing for long enough to be final.

    A store that was just restored from a backup may lack the entry until the target has
    rewritten it.
    """
    if tables.restore_grace.awaits_targets:
        return False
    return now - row.gone_at >= REMOVAL_GRACE and (
        tables.reader.current_at - row.gone_at >= REMOVAL_GRACE
    )


def is_confirmed_unreachable(tables: Tables, flow: FlowRow, now: float) -> bool:
    """Whether a flow's target is unreachable beyond what loss or overload explains.

    A wrong reset breaks a flow that would have continued, while waiting only costs
    time. A request and its retransmissions may be lost while the target is healthy.
    Therefore the requests of two flows, or all requests to another zone, must have gone
    unanswered. Where only other flows retransmitted, the evidence expires soon, since a
    target that is reachable again would answer the next request. Evidence that no host
    has by itself can be combined by the hosts of a zone, see
    `citronspring.tokens.inquiry`.

    When the host's own link is saturated, all of this is seen for every target at once.
    Answers of other targets must therefore show that packets leave and reach this host.
    Without that check, bursts of callers on small links reset flows of healthy targets.
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
    """Whether a target is unresponsive because its whole zone is partitioned."""
    row = flow.target
    zone = tables.zones.get(row.target.zone)
    if zone is None or row.target.zone == tables.zone:
        return False
    if not row.timeouts or row.unanswered_since <= zone.answered_at:
        return False
    if flow.retransmissions >= UNREACHABLE_ZONE_RETRANSMISSIONS:
        return True
    # Requests sent at the same moment may be lost together, see
    # `RETRANSMISSION_ACK_TIMEOUT`.
    overdue = now - zone.first_retransmitted_at >= RETRANSMISSION_ACK_TIMEOUT
    several = zone.unresponsive_targets >= UNREACHABLE_ZONE_TARGETS
    return overdue and several and zone.suspect_until > now
