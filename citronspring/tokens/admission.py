"""Whether a new flow is let in, from how long requests of its service take now.

It answers the load under which targets have more work than they can do in time: their
queues fill, every request waits through a full queue, is late or turned away at its
end, and comes again. An opening that is refused at once leaves the queue short for
those that are let in. Refusals rise with the delay, as in random early detection, since
a limit that all hosts cross together lets in all or nobody by turns.

The time from a request to the first byte of its answer holds the wait behind all hosts'
requests in the target's queue. So each host sees the whole load in the few requests
that it sends there, and hosts need not tell each other anything.
"""

from __future__ import annotations

from citronspring.light_stdlib import TYPE_CHECKING

if TYPE_CHECKING:
    from citronspring.tokens.entities import Packet, Route
    from citronspring.tokens.rows import AnswerRow, ServiceRow
    from citronspring.tokens.tables import Tables

#: How far a request moves the median: ten that all take longer double it, as many as a
#: small host sees of a busy service in a tenth of a second.
MEDIAN_STEP = 0.075

#: Answers, with no longer silence between, before which a median is not known. A host
#: of a large fleet sees a request or two of a service a second, and one slow upload
#: would have the next callers refused while targets are idle.
MIN_ANSWERS = 10

#: Least median in seconds: one of 0, as of an answer that came in the same instant,
#: would stay 0 for ever.
MIN_MEDIAN = 0.001

#: Seconds without an answer after which nothing is known of the delay; flows are then
#: let in, and find out.
MEDIAN_LIFETIME = 0.5

#: Median time to answer, as a share of the objective, from which openings are refused,
#: and that from which all are. Queues of half of the objective keep targets at work,
#: and a request that is let in is still answered in time.
SHEDDING_START = 0.35
SHEDDING_FULL = 0.55

#: What each step of priority adds to both. Orders, which may run once only and are
#: worth more, are let in while previews are refused.
PRIORITY_STEP = 0.25

#: Share of the usual size of a route's answers below which one is a refusal.
SMALL_ANSWER_RATIO = 0.3

#: How far an answer moves the usual size up or down: three of four answers are smaller.
#: Refusals move it by the decay in a second at most, so that many of them in a rush do
#: not pass for answers, and smaller answers of a new release soon do.
SIZE_RISE = 0.09
SIZE_FALL = 0.03
SIZE_DECAY = 0.05

#: Seconds of that decay that one refusal brings at most.
MAX_DECAY_SECONDS = 1.0

#: Modulus and multiplier of the draw for an opening.
DRAW_RANGE = 1 << 16
HASH_MULTIPLIER = 0x9E3779B1


def note_time_to_answer(service: ServiceRow, seconds: float, now: float) -> None:
    """Take how long a target of a service took for a request.

    The median moves by a step for each request, however long it took. A third of the
    targets at a tenth of their speed would double a mean, and flows would be refused
    that the other targets have room for.
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
    """Take the size of what a target sent; return whether it is an answer.

    What is far smaller than usual is a target's word that it is full. It comes sooner
    than answers do, and counted as one of them it would hide how long those take.
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
    """Whether an opening is let in."""
    delay = current_delay(tables, service, now)
    share = shed_fraction(delay, route, tables.lowest_priority)
    draw = (packet.seq * HASH_MULTIPLIER >> 8) % DRAW_RANGE
    return draw >= share * DRAW_RANGE


def current_delay(tables: Tables, service: str, now: float) -> float:
    """Return the median time to answer of a service, 0 if it is not known now."""
    row = tables.services.get(service)
    if row is None or row.answers < MIN_ANSWERS:
        return 0.0
    if now - row.answered_at > MEDIAN_LIFETIME:
        return 0.0
    return row.median_delay


def shed_fraction(delay: float, route: Route, lowest_priority: int) -> float:
    """Return the share of a route's openings that are refused.

    Parameters
    ----------
    delay : float
        Median seconds that requests of the service take.
    route : Route
        The route, with its objective and priority.
    lowest_priority : int
        Priority number of the least urgent route.
    """
    priority_steps = max(lowest_priority - route.priority, 0)
    first = SHEDDING_START + priority_steps * PRIORITY_STEP
    width = SHEDDING_FULL - SHEDDING_START
    return min(max((delay / route.objective - first) / width, 0.0), 1.0)
