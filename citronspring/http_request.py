"""A request of HTTP, as an adapter hands it to the client, and what came back."""

from __future__ import annotations

from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.records import field, record

if TYPE_CHECKING:
    from citronspring.endpoints import Endpoint


@record(eq=True)
class HttpRequest:
    """What is sent; a body is JSON."""

    method: str
    #: Path and query.
    target: str
    body: bytes = b""

    def encode(self, endpoint: Endpoint) -> bytes:
        """Return the bytes that are sent to a server."""
        head = f"{self.method} {self.target} HTTP/1.1\r\nHost: {endpoint}\r\n"
        if self.body:
            length = len(self.body)
            head += f"Content-Type: application/json\r\nContent-Length: {length}\r\n"
        return head.encode("ascii") + b"\r\n" + self.body


@record(eq=True)
class HttpResponse:
    """What came back of a request."""

    #: Status, 0 if there was no answer that can be used.
    status: int
    #: Body of the answer, or why there was none.
    body: bytes
    #: Values by name in small letters.
    headers: dict[bytes, bytes] = field(default_factory=dict)
