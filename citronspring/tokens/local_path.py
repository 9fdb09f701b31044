"""Whether this host's own way to targets and back works.

Packets that wait or are lost at the host's own link, in its socket or while it has no
processor are late for all targets at once, and look like silence of each of them. So
what counts as certain of a target needs a control: in the same span, packets of this
host to other targets were answered, and few were lost.
"""

from __future__ import annotations

from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.tokens.rows import AnsweredRequest, RetransmittedRequest

if TYPE_CHECKING:
    from citronspring.tokens.rows import LocalPath, TargetRow
    from citronspring.tokens.tables import Tables

#: Seconds for which answers and repetitions are kept. A queue of half a second on the
#: host's link shows in it; a caller's first three copies come within 1.4 s.
WINDOW = 2.0

#: Answers of other targets to packets sent after the one that stayed unanswered. One
#: may be chance: at a link that drops half of what it should carry, half gets through.
MIN_CONTROL_ANSWERS = 2

#: Share of the other requests that may have been sent again meanwhile, relative to what
#: was answered. A seventh of the targets may have crashed at once; a link that drops a
#: fifth of what it should carry loses two copies in a row by the dozen.
MAX_LOSS_RATIO = 0.25

#: Requests lost on ways that work, within the window, from which on the host's own path
#: is lossy, and their share of what was answered. Calm links lose one datagram of
#: 5,000, so that two in a window are rare; while links between zones lose 3 of 100
#: nothing is certain.
MIN_LOSSES = 2
LOSSY_RATIO = 0.01


def note_answered_request(
    path: LocalPath, row: TargetRow, sent_at: float, now: float
) -> None:
    """Take that a target has answered what was sent to it at a time."""
    path.answers.append(AnsweredRequest(row, sent_at, now))
    while path.answers[0].answered_at < now - WINDOW:
        path.answers.popleft()


def note_retransmitted_request(
    path: LocalPath, row: TargetRow, sent_at: float, now: float
) -> None:
    """Take that a request that was sent to a target at a time was sent again."""
    path.retransmissions.append(RetransmittedRequest(row, sent_at, now))
    while path.retransmissions[0].retransmitted_at < now - WINDOW:
        path.retransmissions.popleft()


def note_disturbance(path: LocalPath, now: float) -> None:
    """Take that the host stood still, or could not send.

    What it sent or received before may have been lost here.
    """
    path.disturbed_at = now


def local_path_works(
    tables: Tables,
    row: TargetRow,
    since: float,
    now: float,
    *,
    whole_zone: bool = False,
) -> bool:
    """Whether a target's silence cannot be the host's own doing.

    Parameters
    ----------
    tables : Tables
        All state.
    row : TargetRow
        The silent target.
    since : float
        When the packet went out that stayed unanswered.
    now : float
        Seconds.
    whole_zone : bool
        Whether the other targets of its zone are silent too, and tell nothing.
    """
    path = tables.local_path
    if since <= path.disturbed_at or is_lossy(path, now):
        return False

    def is_control(other: TargetRow) -> bool:
        same_zone = other.target.zone == row.target.zone
        return other is not row and not (whole_zone and same_zone)

    answers = 0
    for answer in reversed(path.answers):
        if answer.answered_at < since:
            break
        answers += answer.sent_at > since and is_control(answer.target)
    if answers < MIN_CONTROL_ANSWERS:
        return False
    losses = sum(
        one.retransmitted_at >= since
        and is_control(one.target)
        and zone_answers(tables, one, since)
        for one in path.retransmissions
    )
    return losses <= MAX_LOSS_RATIO * answers


def zone_answers(tables: Tables, repeated: RetransmittedRequest, since: float) -> bool:
    """Whether the zone of a request's target has answered what was sent since.

    A host whose own zone is cut off loses all that it sends to the others, which says
    nothing of its link.
    """
    zone = tables.zones.get(repeated.target.target.zone)
    return zone is not None and zone.answered_sent_at > since


def is_lossy(path: LocalPath, now: float) -> bool:
    """Whether packets were lost, in the last seconds, on ways that work.

    A target that has answered since a request to it was sent again is there: the
    request was lost on its way. Of a target that has died, or whose zone is cut off,
    nothing is heard again.
    """
    losses = sum(
        one.target.answered_at > one.retransmitted_at >= now - WINDOW
        for one in path.retransmissions
    )
    return losses >= MIN_LOSSES and losses > LOSSY_RATIO * len(path.answers)
