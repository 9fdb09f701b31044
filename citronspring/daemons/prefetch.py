"""Prefetch of the first store listing while the rest of a host is imported.

A list of some forty kilobytes takes about as long over a link of 5 Mbit/s as the
imports take on a small share of a processor, so both run at the same time.
"""

from __future__ import annotations

from citronspring.light_sockets import (
    AF_INET,
    IPPROTO_TCP,
    SOCK_STREAM,
    TCP_NODELAY,
    Socket,
)
from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.records import record

if TYPE_CHECKING:
    from citronspring.endpoints import Endpoint
    from citronspring.http_request import HttpRequest
    from citronspring.tokens.messages import ListEntries

#: Connection timeout in seconds: five times the usual round trip. An unreachable store
#: delays the start by no more than this.
CONNECT_TIMEOUT = 0.01


@record
class Prefetch:
    """A call to the store that is in progress."""

    call: ListEntries
    sock: Socket
    sent_at: float


def start_prefetch(
    endpoint: Endpoint, call: ListEntries, request: HttpRequest, now: float
) -> Prefetch | None:
    """Send a call to the store; return None if it cannot connect at once."""
    sock = Socket(AF_INET, SOCK_STREAM)
    try:
        sock.settimeout(CONNECT_TIMEOUT)
        sock.connect((endpoint.ip, endpoint.port))
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        sock.setblocking(False)
        sock.send(request.encode(endpoint))
    except OSError:
        # The host makes its regular call later, which logs the failure.
        sock.close()
        return None
    return Prefetch(call, sock, now)
