"""Usual bytes of a route's requests and answers, which cross if a flow leaves its zone.

Load pattern: requests of very different size, such as uploads of 40 KB beside streams
of 2 KB, where traffic between availability zones is expensive. A flow of small requests
may leave the home zone for a slightly less loaded target; a flow of large ones should
not.
"""

from __future__ import annotations

from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.records import record

if TYPE_CHECKING:
    from citronspring.tokens.tables import Tables

#: Load, in outstanding requests per slot, that a request and answer of up to
#: `SMALL_BYTES` must save for their flow to leave the home zone. It is below one
#: request, so that the zone only decides between targets that are about equally busy.
DEFAULT_ZONE_CROSSING_COST = 0.2

#: Bytes of a request and its answer up to which crossing costs the same.
SMALL_BYTES = 4096

#: Number of requests from which a route's size is known.
MIN_REQUESTS = 3

#: Number of requests at which the sums are halved, so that older ones lose weight.
MAX_REQUESTS = 64


@record
class RouteBytes:
    """Decayed sums of a route's requests and answers at this host."""

    request_bytes: float = 0.0
    requests: int = 0
    answer_bytes: float = 0.0
    answers: int = 0


def note_request_bytes(row: RouteBytes, size: int, is_first: bool) -> None:
    """Count new bytes of a request; ``is_first`` for the first ones.

    Retransmitted bytes are not new. Rejected requests count: their bytes have crossed.
    """
    row.request_bytes += size
    if not is_first:
        return
    row.requests += 1
    if row.requests >= MAX_REQUESTS:
        row.requests //= 2
        row.request_bytes *= 0.5


def note_answer_bytes(row: RouteBytes, size: int, is_first: bool) -> None:
    """Count newly acknowledged bytes of an answer; ``is_first`` for the first ones.

    Callers acknowledge a large answer in several packets, so the first
    acknowledgement alone does not tell its size.
    """
    row.answer_bytes += size
    if not is_first:
        return
    row.answers += 1
    if row.answers >= MAX_REQUESTS:
        row.answers //= 2
        row.answer_bytes *= 0.5


def usual_bytes(row: RouteBytes) -> float:
    """Return the mean bytes of a request and its answer, 0 if not yet known."""
    if row.requests < MIN_REQUESTS:
        return 0.0
    return row.request_bytes / row.requests + row.answer_bytes / max(row.answers, 1)


def crossing_weight(tables: Tables, route: int) -> float:
    """Return how many times more a route's crossing costs than that of small requests.

    Parameters
    ----------
    tables : Tables
        All state.
    route : int
        Key of the route.
    """
    row = tables.route_bytes.get(route)
    if row is None:
        return 1.0
    return max(1.0, usual_bytes(row) / SMALL_BYTES)
