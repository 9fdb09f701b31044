"""Usual bytes of a request from caller to target, by route.

Load pattern: uploads and short requests share a host's link. An opening shows only its
route, so the bytes to expect are those of the route's earlier requests. Bytes are
counted by sequence numbers, so that retransmissions add nothing.
"""

from __future__ import annotations

from citronspring.light_stdlib import TYPE_CHECKING

if TYPE_CHECKING:
    from citronspring.tokens.rows import RequestSizeRow
    from citronspring.tokens.tables import Tables

#: Number of requests before a size is used.
MIN_REQUESTS = 3

#: Weight of a new request in the mean. A new release with other sizes is followed
#: within some ten requests.
MEAN_WEIGHT = 0.125

#: Largest ratio of a request to the mean that counts. One exceptionally large request
#: must not make all requests of a route count as uploads.
MAX_RATIO = 4.0

#: Largest payload of one packet, in bytes. A larger request is an upload: it arrives in
#: several packets, at the pace of the caller's window.
SHORT_REQUEST = 1200


def learn_request_sizes(tables: Tables) -> None:
    """Learn from the requests that were answered since the last time."""
    for route, size in tables.answered_requests:
        if route in tables.routes:
            note_request_size(tables.request_size_row(route), size)
    tables.answered_requests = []


def note_request_size(row: RequestSizeRow, size: int) -> None:
    """Update the usual size with a request that has been answered."""
    row.requests += 1
    weight = max(1.0 / row.requests, MEAN_WEIGHT)
    sample = float(size)
    if row.requests > MIN_REQUESTS:
        sample = min(sample, row.mean * MAX_RATIO)
    row.mean += (sample - row.mean) * weight
    learned = row.requests >= MIN_REQUESTS and row.mean > SHORT_REQUEST
    row.upload_size = int(row.mean) if learned else 0
