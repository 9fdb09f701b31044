"""Admission of new flows by the host's own link.

Load pattern: more uploads than the link of a small host carries. Their packets arrive
at the pace of the callers' windows, so the windows of concurrent uploads add up to the
queue on the link, in which the packets of all other flows wait. Refusing uploads before
that queue is long keeps short and urgent requests in time. A refused caller retries
through another host, most likely with a free link.

Bytes of answers do not pass through the host.
"""

from __future__ import annotations

from citronspring.light_stdlib import INFINITY, TYPE_CHECKING, heappop, heappush
from citronspring.tokens.flows import MAX_IN_FLIGHT, UPLOAD_TIMEOUT, set_upload_bytes
from citronspring.tokens.load.link_usage import FULL, SHORT_WINDOW, utilization

if TYPE_CHECKING:
    from citronspring.tokens.entities import Route
    from citronspring.tokens.tables import Tables

#: Ratio of bytes on the link to bytes of payload: some 70 bytes of headers accompany
#: each 1,200.
HEADER_FACTOR = 1.06

#: Largest share of an upload's own objective that the expected bytes may take on the
#: link; the rest is for the target, and for the caller's retry elsewhere.
TIME_SHARE = 0.5

#: Largest share of the shortest objective that the queue of the flows in flight may
#: take. Several packets of a short request wait in it one after the other.
QUEUE_SHARE = 0.25

#: Added to both shares for each step of priority, up to the whole objective.
PRIORITY_STEP = 0.25
MAX_SHARE = 1.0


def link_admits(tables: Tables, route: Route, delay: float, now: float) -> bool:
    """Return whether a new flow of a route fits the host's link.

    Parameters
    ----------
    tables : Tables
        All state.
    route : Route
        The route of the opening.
    delay : float
        Current response time of its service in seconds, 0 if unknown.
    now : float
        Current time in seconds.
    """
    queue = link_seconds(tables, tables.uploads.in_flight)
    recent = utilization(tables.link_usage, tables.link_rate, SHORT_WINDOW, now)
    if recent > FULL and queue + delay > route.objective:
        return False
    size = expected_size(tables, route)
    return not size or upload_fits(tables, route, size)


def upload_fits(tables: Tables, route: Route, size: int) -> bool:
    """Return whether an upload leaves the queue on the link short enough.

    A single upload is always admitted, as the link is free.
    """
    uploads = tables.uploads
    if not uploads.remaining:
        return True
    steps = max(tables.lowest_priority - route.priority, 0)
    time_share = min(TIME_SHARE + steps * PRIORITY_STEP, MAX_SHARE)
    queue_share = min(QUEUE_SHARE + steps * PRIORITY_STEP, MAX_SHARE)
    time = link_seconds(tables, uploads.remaining + size)
    queue = link_seconds(tables, uploads.in_flight + min(size, MAX_IN_FLIGHT))
    return time <= time_share * route.objective and (
        queue <= queue_share * shortest_objective(tables, route.priority)
    )


def expected_size(tables: Tables, route: Route) -> int:
    """Return the usual bytes of a route's uploads, 0 if its requests are short."""
    row = tables.request_sizes.get(route.key)
    return row.upload_size if row is not None else 0


def link_seconds(tables: Tables, size: int) -> float:
    """Return the time that bytes of payload take on the link."""
    return size * HEADER_FACTOR / tables.link_rate


def shortest_objective(tables: Tables, priority: int) -> float:
    """Return the shortest objective among routes at least as urgent."""
    objectives = tables.objectives
    found = [seconds for urgency, seconds in objectives if urgency <= priority]
    return min(found, default=INFINITY)


def release_abandoned_uploads(tables: Tables, now: float) -> None:
    """Expect no more bytes of flows that have sent none for a while."""
    deadlines = tables.uploads.deadlines
    while deadlines and deadlines[0][0] <= now:
        _, key = heappop(deadlines)
        flow = tables.flows.get(key)
        if flow is None or not flow.upload_bytes:
            tables.uploads.with_deadline.discard(key)
            continue
        # The flow may be a later one of the same caller's port.
        deadline = max(flow.sent_at, flow.first_sent_at) + UPLOAD_TIMEOUT
        if deadline > now:
            heappush(deadlines, (deadline, key))
        else:
            tables.uploads.with_deadline.discard(key)
            set_upload_bytes(tables, flow, 0)
