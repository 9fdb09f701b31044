"""A minimal HTTP/1.1 server for readiness, metrics, state and follower hosts."""

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

#: Default limit on open connections; beyond it the oldest one is closed.
MAX_CONNECTIONS = 64

#: Length of the queue of connections waiting to be accepted.
BACKLOG = 64

#: Bytes read at once; requests to this server have no body.
READ_SIZE = 8192

#: Reason phrases of the status codes in use.
REASON_PHRASES = {200: "OK", 404: "Not Found", 410: "Gone", 503: "Service Unavailable"}


class HttpServer:
    """Answers GET requests by calling a function.

    Parameters
    ----------
    selector : Poller
        Reports when sockets are ready; callbacks are registered as its data.
    endpoint : Endpoint
        Address to listen at.
    answer : callable
        Takes a path and the connection, and returns status and body, or None to reply
        later.
    max_connections : int
        Limit on open connections.
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
        #: Connections with unsent bytes of an answer.
        self.sending: set[ServerConnection] = set()
        self.listener = Socket(AF_INET, SOCK_STREAM)
        self.listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind((endpoint.ip, endpoint.port))
        self.listener.listen(BACKLOG)
        selector.register(self.listener, EVENT_READ, self.accept)

    def accept(self, mask: int) -> None:
        """Accept a waiting connection."""
        try:
            sock, address = self.listener.accept()
        except OSError:
            # The peer has disconnected, or descriptors ran out; the peer connects
            # again.
            return
        if len(self.connections) >= self.max_connections:
            next(iter(self.connections)).close()
        connection = ServerConnection(self, sock, address[0])
        self.connections[connection] = None

    def run(self, now: float) -> None:
        """Close the connections whose peer has stopped reading its answer."""
        for connection in [one for one in self.sending if one.is_stalled(now)]:
            self.log_truncated_answer(connection)
            connection.close()

    def log_truncated_answer(self, connection: ServerConnection) -> None:
        """Log that a connection was closed before the whole answer was sent."""
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
        #: IP address of the peer.
        self.host = host
        self.path = ""
        #: Unsent bytes of answers, and the progress of sending them.
        self.outgoing = b""
        self.progress = Progress()
        self.reader = MessageReader(expect_responses=False)
        #: Whether the connection stays open for another request.
        self.keep_alive = True
        sock.setblocking(False)
        server.selector.register(sock, EVENT_READ, self.handle)

    def handle(self, mask: int) -> None:
        """Handle an event of the socket: write, then read."""
        if mask & EVENT_WRITE:
            self.send()
        if mask & EVENT_READ and not self.closed:
            self.read()

    def read(self) -> None:
        """Read from the socket and answer complete requests."""
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
        """Answer a request now, or leave it pending for a later reply."""
        self.path = request.target
        self.keep_alive = request.keep_alive
        answer = self.server.answer(self.path, self)
        if answer is not None:
            self.reply(*answer)

    @property
    def closed(self) -> bool:
        """Whether the connection has been closed."""
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
        """Send what the socket accepts now; the rest is sent once it is writable."""
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

    def watch_writable(self, waiting: bool) -> None:
        """Start or stop waiting for the socket to become writable."""
        if waiting == (self in self.server.sending):
            return
        if waiting:
            self.server.sending.add(self)
        else:
            self.server.sending.discard(self)
        events = EVENT_READ | EVENT_WRITE if waiting else EVENT_READ
        self.server.selector.modify(self.sock, events, self.handle)

    def is_stalled(self, now: float) -> bool:
        """Whether the peer has read nothing of its answer for too long."""
        self.progress.update(now)
        return now >= self.progress.deadline

    def close(self) -> None:
        """Close the connection."""
        if self.server.connections.pop(self, self) is self:
            return
        self.server.sending.discard(self)
        self.server.selector.unregister(self.sock)
        self.sock.close()
