"""The first call to the store, made before the rest of a host is imported.

A list of some forty kilobytes takes a link of 5 Mbit/s as long as the imports take a
small share of a processor. Asked for first, it comes in meanwhile.
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

#: Seconds that a start waits for the connection: five times the usual way there and
#: back. A store that is away costs no more than that.
CONNECT_TIMEOUT = 0.01


@record
class Prefetch:
    """A call that is under way."""

    call: ListEntries
    sock: Socket
    sent_at: float


def start_prefetch(
    endpoint: Endpoint, call: ListEntries, request: HttpRequest, now: float
) -> Prefetch | None:
    """Send a call to the store; None if there is no connection at once."""
    sock = Socket(AF_INET, SOCK_STREAM)
    try:
        sock.settimeout(CONNECT_TIMEOUT)
        sock.connect((endpoint.ip, endpoint.port))
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        sock.setblocking(False)
        sock.send(request.encode(endpoint))
    except OSError:
        # The host's usual call follows, and logs what fails.
        sock.close()
        return None
    return Prefetch(call, sock, now)
