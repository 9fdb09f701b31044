"""Usual bytes of a route's requests and answers, which cross if a flow leaves its zone.

Load pattern: requests of very different size, such as uploads of 40 KB beside streams
of 2 KB, where traffic between availability zones is expensive. A flow of small requests
may leave the home zone for a slightly less loaded target; a flow of large ones should
not.
"""

from __future__ import annotations

from citronspring.light_stdlib import TYPE_CHECKING

if TYPE_CHECKING:
    from citronspring.tokens.rows import RouteBytes
    from citronspring.tokens.tables import Tables

#: Bytes of a request and its answer up to which crossing costs the same.
SMALL_BYTES = 4096

#: Number of requests from which a route's size is known.
MIN_REQUESTS = 3


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
