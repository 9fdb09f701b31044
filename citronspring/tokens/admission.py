"""Load shedding: refuses new flows of a service whose requests take too long.

When targets receive more work than they can finish in time, their queues fill, every
request waits through a full queue, and late or refused requests are retried. Refusing
openings early keeps the queues short for the flows that are admitted. The share of
refused openings rises with the delay, as in random early detection (RED). A fixed limit
that all hosts cross at the same moment would alternate between admitting every flow and
none.

The time from a request to the first byte of its answer includes the wait behind the
requests of all hosts in the target's queue. Each host therefore sees the total load in
the few requests that it forwards itself, and hosts need not exchange load data.
"""

from __future__ import annotations

from citronspring.light_stdlib import TYPE_CHECKING

if TYPE_CHECKING:
    from citronspring.tokens.entities import Packet, Route
    from citronspring.tokens.rows import AnswerRow, ServiceRow
    from citronspring.tokens.tables import Tables

#: Relative change of the median per request. Ten slower requests in a row double it; a
#: small host sees that many of a busy service in a tenth of a second.
MEDIAN_STEP = 0.075

#: Required number of answers, without a longer gap between them, before the median is
#: used. A host of a large fleet sees a request or two of a service per second, and with
#: fewer samples one slow upload would cause refusals while targets are idle.
MIN_ANSWERS = 10

#: Lower bound of the median in seconds. A median of 0, from an answer within the same
#: clock reading, could not grow, since it changes by a factor.
MIN_MEDIAN = 0.001

#: Seconds without an answer after which the median expires. New flows are then
#: admitted, and their requests measure the delay anew.
MEDIAN_LIFETIME = 0.5

#: Median response time, as a share of the route's objective, at which shedding starts,
#: and that at which all openings are refused. With queues of half of the objective,
#: targets stay busy and an admitted request is still answered in time.
SHEDDING_START = 0.35
SHEDDING_FULL = 0.55

#: Added to both thresholds for each step of priority. Orders, which must not run twice
#: and are worth more, are admitted while previews are refused.
PRIORITY_STEP = 0.25

#: Share of a route's usual answer size below which an answer is taken for a refusal by
#: an overloaded target.
SMALL_ANSWER_RATIO = 0.3

#: Relative steps of the usual size, up and down. With these, three of four answers are
#: smaller than the usual size. Refusals reduce it only by the decay, as a share per
#: second: a burst of refusals does not turn into the usual size, while a new release
#: with smaller answers is recognised soon.
SIZE_RISE = 0.09
SIZE_FALL = 0.03
SIZE_DECAY = 0.05

#: Upper bound, in seconds, of the time for which one refusal applies that decay.
MAX_DECAY_SECONDS = 1.0

#: Range and hash multiplier of the pseudo-random draw per opening.
DRAW_RANGE = 1 << 16
HASH_MULTIPLIER = 0x9E3779B1


def note_time_to_answer(service: ServiceRow, seconds: float, now: float) -> None:
    """Update the median response time of a service with one request.

    Each request moves the median by one step, however long it took. A mean would double
    when a third of the targets run at a tenth of their speed, and flows would be
    refused for which the other targets have capacity.
    """
    if now - service.answered_at > MEDIAN_LIFETIME:
        service.median_delay = max(seconds, MIN_MEDIAN)
        service.answers = 0
    elif seconds > service.median_delay:
        service.median_delay *= 1.0 + MEDIAN_STEP
    else:
        lower = service.median_delay * (1.0 - MEDIAN_STEP)
        service.median_delay = max(lower, MIN_MEDIAN)
    service.answers += 1
    service.answered_at = now


def note_answer_size(row: AnswerRow, size: int, now: float) -> bool:
    """Update the usual answer size; return whether this is a real answer.

    An answer far smaller than usual is an overloaded target's refusal. Refusals arrive
    sooner than real answers; counted as answers, they would hide how long those take.
    """
    usual = row.usual_size
    elapsed = min(now - row.seen_at, MAX_DECAY_SECONDS)
    row.seen_at = now
    if not usual:
        row.usual_size = float(size)
    elif size > usual:
        row.usual_size = min(usual * (1.0 + SIZE_RISE), float(size))
    elif size < usual * SMALL_ANSWER_RATIO:
        row.usual_size = usual * (1.0 - SIZE_DECAY * elapsed)
        return False
    else:
        row.usual_size = max(usual * (1.0 - SIZE_FALL), float(size))
    return True


def is_admitted(
    tables: Tables, packet: Packet, route: Route, service: str, now: float
) -> bool:
    """Return whether a new flow is admitted."""
    delay = current_delay(tables, service, now)
    share = shed_fraction(delay, route, tables.lowest_priority)
    draw = (packet.seq * HASH_MULTIPLIER >> 8) % DRAW_RANGE
    return draw >= share * DRAW_RANGE


def current_delay(tables: Tables, service: str, now: float) -> float:
    """Return the median response time of a service, 0 if it has no current one."""
    row = tables.services.get(service)
    if row is None or row.answers < MIN_ANSWERS:
        return 0.0
    if now - row.answered_at > MEDIAN_LIFETIME:
        return 0.0
    return row.median_delay


def shed_fraction(delay: float, route: Route, lowest_priority: int) -> float:
    """Return the share of a route's new flows that are refused.

    Parameters
    ----------
    delay : float
        Median response time of the service in seconds.
    route : Route
        The route, with its objective and priority.
    lowest_priority : int
        Priority number of the least urgent route.
    """
    priority_steps = max(lowest_priority - route.priority, 0)
    first = SHEDDING_START + priority_steps * PRIORITY_STEP
    width = SHEDDING_FULL - SHEDDING_START
    return min(max((delay / route.objective - first) / width, 0.0), 1.0)
