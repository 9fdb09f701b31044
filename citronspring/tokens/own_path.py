"""Whether this host's own way to targets and back works.

Packets that wait or are lost at the host's own link, in its socket or while it has no
processor are late for all targets at once, and look like silence of each of them. So
what counts as certain of a target needs a control: in the same span, packets of this
host to other targets were answered, and few were lost.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.records import record

if TYPE_CHECKING:
    from citronspring.tokens.tables import OwnPath, TargetRow

#: Seconds for which answers and repetitions are kept. A queue of half a second on the
#: host's link shows in it; a caller's first three copies come within 1.4 s.
WINDOW = 2.0

#: Answers of other targets to packets sent after the one that stayed unanswered. One
#: may be chance: at a link that drops half of what it should carry, half gets through.
CONTROLS = 2

#: Repetitions in the window, at targets that answered what was sent later, from which
#: on the host's own path may be lossy, and their share among all that was answered or
#: repeated. Calm links lose one datagram of 5,000; bad links between zones 3 of 100,
#: of which each request has two.
FEW_LOSSES = 2
LOSSY_SHARE = 0.1


@record
class Answered:
    """An opening or request that a target has answered."""

    target: TargetRow
    sent_at: float
    answered_at: float


@record
class Repeated:
    """A request that its caller has sent again."""

    target: TargetRow
    sent_at: float
    repeated_at: float


def note_answered(path: OwnPath, row: TargetRow, sent_at: float, now: float) -> None:
    """Take that a target has answered what was sent to it at a time."""
    row.answered_sent_at = max(row.answered_sent_at, sent_at)
    path.answers.append(Answered(row, sent_at, now))
    while path.answers[0].answered_at < now - WINDOW:
        path.answers.popleft()


def note_repeated(path: OwnPath, row: TargetRow, sent_at: float, now: float) -> None:
    """Take that a request that was sent to a target at a time was sent again."""
    path.repeats.append(Repeated(row, sent_at, now))
    while path.repeats[0].repeated_at < now - WINDOW:
        path.repeats.popleft()


def note_disturbance(path: OwnPath, now: float) -> None:
    """Take that the host stood still, or could not send.

    What it sent or received before may have been lost here.
    """
    path.disturbed_at = now


def works(
    path: OwnPath, row: TargetRow, since: float, now: float, *, whole_zone: bool
) -> bool:
    """Whether a target's silence cannot be the host's own doing.

    Parameters
    ----------
    path : OwnPath
        What the host has seen of its own path.
    row : TargetRow
        The silent target.
    since : float
        When the packet went out that stayed unanswered.
    now : float
        Seconds.
    whole_zone : bool
        Whether the other targets of its zone are silent too, and tell nothing.
    """
    if since <= path.disturbed_at or is_lossy(path, now):
        return False
    controls = 0
    for answer in reversed(path.answers):
        other = answer.target
        if answer.sent_at <= since or other is row:
            continue
        if whole_zone and other.target.zone == row.target.zone:
            continue
        controls += 1
        if controls >= CONTROLS:
            return True
    return False


def is_lossy(path: OwnPath, now: float) -> bool:
    """Whether too many packets are lost on ways that work.

    A target that has answered what was sent later was there all the while: the
    request that had to be sent again was lost on its way.
    """
    recent = [one for one in path.repeats if one.repeated_at >= now - WINDOW]
    losses = sum(one.target.answered_sent_at > one.sent_at for one in recent)
    if losses < FEW_LOSSES:
        return False
    answers = sum(one.answered_at >= now - WINDOW for one in path.answers)
    return losses > LOSSY_SHARE * (answers + losses)
