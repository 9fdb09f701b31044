"""A small HTTP/1.1 server: readiness, metrics and the state of a process."""

from __future__ import annotations

from citronspring.daemons.http_client import Progress
from citronspring.daemons.poller import EVENT_READ, EVENT_WRITE
from citronspring.events import ANSWER_CUT
from citronspring.http_messages import MessageError, MessageReader
from citronspring.light_sockets import (
    AF_INET,
    SO_REUSEADDR,
    SOCK_STREAM,
    SOL_SOCKET,
    Socket,
)
from citronspring.light_stdlib import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from citronspring.daemons.poller import Poller
    from citronspring.endpoints import Endpoint
    from citronspring.http_messages import Message

#: Connections kept at once unless more are asked for; the oldest is closed for
#: another.
MAX_CONNECTIONS = 64

#: Connections that wait to be accepted.
BACKLOG = 64

#: Bytes read at once; requests here have no body.
READ_SIZE = 8192

#: Reason phrases of the answers given.
REASON_PHRASES = {200: "OK", 404: "Not Found", 410: "Gone", 503: "Service Unavailable"}


class HttpServer:
    """Answers GET requests from a function.

    Parameters
    ----------
    selector : Poller
        Tells when sockets can be read; callbacks are its data.
    endpoint : Endpoint
        Where it listens.
    answer : callable
        Takes a path and the connection, and returns status and body; None if it will
        reply later.
    max_connections : int
        Connections kept at once.
    write : callable, optional
        Logs an event; takes its number and fields.
    """

    def __init__(
        self,
        selector: Poller,
        endpoint: Endpoint,
        answer: Callable[[str, ServerConnection], tuple[int, str | bytes] | None],
        max_connections: int = MAX_CONNECTIONS,
        write: Callable[[int, dict[str, object]], None] | None = None,
    ) -> None:
        self.selector = selector
        self.answer = answer
        self.write = write
        self.max_connections = max_connections
        self.connections: dict[ServerConnection, None] = {}
        #: Those of them whose answer is still going out.
        self.sending: set[ServerConnection] = set()
        self.listener = Socket(AF_INET, SOCK_STREAM)
        self.listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind((endpoint.ip, endpoint.port))
        self.listener.listen(BACKLOG)
        selector.register(self.listener, EVENT_READ, self.accept)

    def accept(self, mask: int) -> None:
        """Take one connection that waits."""
        try:
            sock, address = self.listener.accept()
        except OSError:
            # The other side has gone again, or descriptors ran out: it comes anew.
            return
        if len(self.connections) >= self.max_connections:
            next(iter(self.connections)).close()
        connection = ServerConnection(self, sock, address[0])
        self.connections[connection] = None

    def run(self, now: float) -> None:
        """Close the connections whose other side no longer takes its answer."""
        for connection in [one for one in self.sending if one.is_stalled(now)]:
            self.log_truncated_answer(connection)
            connection.close()

    def log_truncated_answer(self, connection: ServerConnection) -> None:
        """Log that an answer did not go out whole."""
        if self.write is None:
            return
        fields: dict[str, object] = {
            "path": connection.path,
            "sent": connection.progress.bytes_moved,
            "left": len(connection.outgoing),
        }
        self.write(ANSWER_CUT.number, fields)


class ServerConnection:
    """One connection of `HttpServer`."""

    def __init__(self, server: HttpServer, sock: Socket, host: str) -> None:
        self.server = server
        self.sock = sock
        #: Address of the other side.
        self.host = host
        self.path = ""
        #: Bytes of answers that have not gone out yet, and how the rest moves.
        self.outgoing = b""
        self.progress = Progress()
        self.reader = MessageReader(expect_responses=False)
        #: Whether the other side may send another request.
        self.keep_alive = True
        sock.setblocking(False)
        server.selector.register(sock, EVENT_READ, self.handle)

    def handle(self, mask: int) -> None:
        """Go on after the selector said that the socket is ready."""
        if mask & EVENT_WRITE:
            self.send()
        if mask & EVENT_READ and not self.closed:
            self.read()

    def read(self) -> None:
        """Take bytes of a request."""
        try:
            data = self.sock.recv(READ_SIZE)
            if not data:
                self.close()
                return
            self.reader.feed(data)
            while not self.closed:
                request = self.reader.next_message()
                if request is None:
                    break
                self.handle_request(request)
        except BlockingIOError:
            return
        except (OSError, MessageError):
            self.close()

    def handle_request(self, request: Message) -> None:
        """Answer a request, now or later."""
        self.path = request.target
        self.keep_alive = request.keep_alive
        answer = self.server.answer(self.path, self)
        if answer is not None:
            self.reply(*answer)

    @property
    def closed(self) -> bool:
        """Whether nobody can be answered here any more."""
        return self not in self.server.connections

    def reply(self, status: int, content: str | bytes) -> None:
        """Send an answer."""
        body = content.encode() if isinstance(content, str) else content
        head = (
            f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\n"
            f"Content-Length: {len(body)}\r\nContent-Type: text/plain\r\n\r\n"
        )
        self.outgoing += head.encode() + body
        self.progress = Progress()
        self.send()

    def send(self) -> None:
        """Send what the socket takes; the rest goes out when it takes more."""
        try:
            sent = self.sock.send(self.outgoing)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        self.progress.bytes_moved += sent
        self.outgoing = self.outgoing[sent:]
        if not self.outgoing and not self.keep_alive:
            self.close()
            return
        self.watch_writable(bool(self.outgoing))

    def watch_writable(self, waits: bool) -> None:
        """Have the selector tell, or no longer, when the socket takes more."""
        if waits == (self in self.server.sending):
            return
        if waits:
            self.server.sending.add(self)
        else:
            self.server.sending.discard(self)
        wanted = EVENT_READ | EVENT_WRITE if waits else EVENT_READ
        self.server.selector.modify(self.sock, wanted, self.handle)

    def is_stalled(self, now: float) -> bool:
        """Whether the other side has taken nothing of its answer for too long."""
        self.progress.update(now)
        return now >= self.progress.deadline

    def close(self) -> None:
        """Close the connection."""
        if self.server.connections.pop(self, self) is self:
            return
        self.server.sending.discard(self)
        self.server.selector.unregister(self.sock)
        self.sock.close()
