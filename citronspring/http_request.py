"""HTTP requests of the adapters, and the responses that the HTTP client returns."""

from __future__ import annotations

from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.records import field, record

if TYPE_CHECKING:
    from citronspring.endpoints import Endpoint


@record(eq=True)
class HttpRequest:
    """An HTTP request; a body is JSON."""

    method: str
    #: Request target (RFC 9112): path and query.
    target: str
    body: bytes = b""

    def encode(self, endpoint: Endpoint) -> bytes:
        """Return the bytes of the request for a server."""
        head = f"{self.method} {self.target} HTTP/1.1\r\nHost: {endpoint}\r\n"
        if self.body:
            length = len(self.body)
            head += f"Content-Type: application/json\r\nContent-Length: {length}\r\n"
        return head.encode("ascii") + b"\r\n" + self.body


@record(eq=True)
class HttpResponse:
    """The response to a request, or the reason why there is none."""

    #: Status, 0 without a usable response.
    status: int
    #: Body of the response, or the reason why there is none.
    body: bytes
    #: Values by name in lower case.
    headers: dict[bytes, bytes] = field(default_factory=dict)


def quote_value(text: str) -> str:
    """Return text quoted as a value of a query string.

    A key of the store may have no UTF-8 encoding; its page is read as well.
    """
    # Only the second page of a list needs this; imported at start, it would delay the
    # first.
    from urllib.parse import quote

    return quote(text, safe="", errors="surrogatepass")
