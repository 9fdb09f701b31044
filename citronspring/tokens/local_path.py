"""Whether this host's own link, socket and processor work.

Packets that are delayed or lost at the host's own link, in its socket, or while it gets
no processor time are late for all targets at once, which looks like a time-out of each
target. A conclusion about one target therefore needs a control: in the same period,
packets of this host to other targets were answered, and few were lost.
"""

from __future__ import annotations

from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.tokens.rows import AnsweredRequest, RetransmittedRequest

if TYPE_CHECKING:
    from citronspring.tokens.rows import LocalPath, TargetRow
    from citronspring.tokens.tables import Tables

#: Seconds for which answers and retransmissions are kept. The window is long enough to
#: show a queue of half a second on the host's link; a caller's first three
#: retransmissions are sent within 1.4 s.
WINDOW = 2.0

#: Required number of answers of other targets to packets sent after the unanswered one.
#: One answer may be chance: if a link drops half of its packets, the other half gets
#: through.
MIN_CONTROL_ANSWERS = 2

#: Largest ratio of retransmitted requests to answers, for other targets in the same
#: period. It tolerates that a seventh of the targets have crashed at once. A link that
#: drops a fifth of its packets loses a request two times in a row dozens of times.
MAX_LOSS_RATIO = 0.25

#: Number of requests lost on working paths within the window at which the host's own
#: path counts as lossy, and their ratio to the answers. Healthy links lose one datagram
#: of 5,000, so that two losses within a window are rare. While links between zones lose
#: 3 of 100, no conclusion about a target is certain.
MIN_LOSSES = 2
LOSSY_RATIO = 0.01


def note_answered_request(
    path: LocalPath, row: TargetRow, sent_at: float, now: float
) -> None:
    """Record that a target has answered what was sent to it at ``sent_at``."""
    path.answers.append(AnsweredRequest(row, sent_at, now))
    while path.answers[0].answered_at < now - WINDOW:
        path.answers.popleft()


def note_retransmitted_request(
    path: LocalPath, row: TargetRow, sent_at: float, now: float
) -> None:
    """Record that a request sent to a target at ``sent_at`` was retransmitted."""
    path.retransmissions.append(RetransmittedRequest(row, sent_at, now))
    while path.retransmissions[0].retransmitted_at < now - WINDOW:
        path.retransmissions.popleft()


def note_disturbance(path: LocalPath, now: float) -> None:
    """Record that the host stalled or failed to send.

    What it sent or received before that may have been lost here.
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
    """Whether a target's time-out cannot be caused by this host.

    Parameters
    ----------
    tables : Tables
        All state.
    row : TargetRow
        The unresponsive target.
    since : float
        Time at which the unanswered packet was sent.
    now : float
        Current time in seconds.
    whole_zone : bool
        Whether the other targets of its zone are unresponsive too, so that they are
        no control.
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
    """Whether the zone of a request's target has answered anything sent since then.

    A host whose own zone is partitioned loses everything that it sends to other zones,
    which says nothing about its link.
    """
    zone = tables.zones.get(repeated.target.target.zone)
    return zone is not None and zone.answered_sent_at > since


def is_lossy(path: LocalPath, now: float) -> bool:
    """Whether packets were recently lost on paths that work.

    A target that has answered after a retransmission is reachable, so the request was
    lost on the network. A target that has crashed, or whose zone is partitioned,
    answers nothing any more.
    """
    losses = sum(
        one.target.answered_at > one.retransmitted_at >= now - WINDOW
        for one in path.retransmissions
    )
    return losses >= MIN_LOSSES and losses > LOSSY_RATIO * len(path.answers)
