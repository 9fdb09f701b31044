"""HTTP/1.1 client: one connection, one call at a time, each with a deadline."""

from __future__ import annotations

import errno

from citronspring.daemons.poller import EVENT_READ, EVENT_WRITE
from citronspring.http_messages import MessageError, MessageReader
from citronspring.http_request import HttpResponse
from citronspring.light_sockets import (
    AF_INET,
    IPPROTO_TCP,
    SO_ERROR,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_NODELAY,
    Socket,
)
from citronspring.light_stdlib import INFINITY, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from citronspring.daemons.poller import Poller
    from citronspring.endpoints import Endpoint
    from citronspring.http_messages import Message
    from citronspring.http_request import HttpRequest

#: Connection timeout in seconds: five lost SYNs at the 100 ms of the slowest link, and
#: well below the shortest bound.
CONNECT_TIMEOUT = 0.6

#: Seconds without a byte after which a partly received answer is abandoned: longer than
#: the retransmission of two segments lost in a row. With a connection and a pause it
#: takes 1.8 s of the shortest settling time of 4 s.
STALL_TIMEOUT = 1.0

#: Bytes read at once.
READ_SIZE = 262_144

#: Largest accepted answer in bytes; a value of one megabyte in base64, with the entries
#: around it, is smaller.
MAX_ANSWER_BYTES = 8_000_000

#: Cause reported when an answer exceeds the requested limit.
TOO_LARGE = b"the answer is too large"


class Progress:
    """Counts transferred bytes and extends a deadline while there is progress.

    With a deadline counted only from the request, a large answer on a slow link was
    restarted forever, and hosts never received a configuration of 700 KB.

    Parameters
    ----------
    deadline : float
        Time at which to give up if no byte is transferred.
    """

    def __init__(self, deadline: float = -INFINITY) -> None:
        self.deadline = deadline
        self.bytes_moved = 0
        #: Value of `bytes_moved` at the last update.
        self.bytes_at_last_update = 0

    def update(self, now: float) -> None:
        """Extend the deadline if bytes were transferred since the last update."""
        if self.bytes_moved > self.bytes_at_last_update:
            self.bytes_at_last_update = self.bytes_moved
            self.deadline = max(self.deadline, now + STALL_TIMEOUT)


class HttpClient:
    """A persistent connection to one server.

    Parameters
    ----------
    selector : Poller
        Reports when the connection is ready; callbacks are registered as its data.
    endpoint : Endpoint
        Address of the server.
    """

    def __init__(self, selector: Poller, endpoint: Endpoint) -> None:
        self.selector = selector
        self.endpoint = endpoint
        self.sock: Socket | None = None
        self.connected = False
        self.outgoing = b""
        self.done: Callable[[HttpResponse], None] | None = None
        self.progress = Progress()
        self.connect_deadline = 0.0
        self.reader = MessageReader(expect_responses=True)
        #: Largest accepted body of the current call in bytes.
        self.max_body: float = MAX_ANSWER_BYTES

    @property
    def busy(self) -> bool:
        """Whether a call is in progress."""
        return self.done is not None

    def send(
        self,
        request: HttpRequest,
        deadline: float,
        now: float,
        done: Callable[[HttpResponse], None],
        max_body: float = MAX_ANSWER_BYTES,
    ) -> None:
        """Send a request; ``done`` is called once, also if the call fails.

        An answer with a body of more than ``largest`` bytes is rejected.
        """
        self.outgoing = request.encode(self.endpoint)
        self.done = done
        self.progress = Progress(deadline)
        self.max_body = min(max_body, MAX_ANSWER_BYTES)
        self.reader = MessageReader(expect_responses=True)
        if self.sock is None:
            self.connect_deadline = now + CONNECT_TIMEOUT
            self.connect()
        else:
            self.write()

    def adopt(
        self,
        sock: Socket,
        deadline: float,
        done: Callable[[HttpResponse], None],
    ) -> None:
        """Take over a connection on which a request has been sent."""
        self.sock = sock
        self.connected = True
        self.done = done
        self.progress = Progress(deadline)
        self.selector.register(sock, EVENT_READ, self.handle)

    def next_deadline(self) -> float:
        """Return the time at which the current call is abandoned."""
        if self.connected:
            return self.progress.deadline
        return min(self.progress.deadline, self.connect_deadline)

    def check_deadline(self, now: float) -> None:
        """Abandon the call if its deadline has passed without progress."""
        self.progress.update(now)
        if self.busy and now >= self.next_deadline():
            cause = b"no answer in time" if self.connected else b"no connection in time"
            self.fail(cause)

    def connect(self) -> None:
        """Start connecting."""
        self.sock = Socket(AF_INET, SOCK_STREAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        code = self.sock.connect_ex((self.endpoint.ip, self.endpoint.port))
        if code not in (0, errno.EINPROGRESS):
            self.fail(errno.errorcode.get(code, "error").encode())
            return
        self.selector.register(self.sock, EVENT_READ | EVENT_WRITE, self.handle)

    def handle(self, mask: int) -> None:
        """Handle an event of the socket: write, then read."""
        if mask & EVENT_WRITE and self.sock is not None:
            self.finish_connect()
        if mask & EVENT_READ and self.sock is not None:
            self.read()

    def finish_connect(self) -> None:
        """Complete the connection if it is new, and send the request."""
        assert self.sock is not None
        code = self.sock.getsockopt(SOL_SOCKET, SO_ERROR)
        if code:
            self.fail(errno.errorcode.get(code, "error").encode())
            return
        self.connected = True
        self.write()

    def write(self) -> None:
        """Send the rest of the request."""
        assert self.sock is not None
        try:
            sent = self.sock.send(self.outgoing) if self.outgoing else 0
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self.fail(str(error).encode())
            return
        self.outgoing = self.outgoing[sent:]
        events = EVENT_READ | EVENT_WRITE if self.outgoing else EVENT_READ
        self.selector.modify(self.sock, events, self.handle)

    def read(self) -> None:
        """Read from the socket and handle a complete answer."""
        assert self.sock is not None
        try:
            data = self.sock.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError as error:
            self.fail(str(error).encode())
            return
        if not data or not self.busy:
            self.fail(b"the connection was closed")
            return
        self.progress.bytes_moved += len(data)
        try:
            self.reader.feed(data)
            answer = self.reader.next_message()
        except MessageError as error:
            self.fail(str(error).encode())
            return
        if answer is not None:
            self.handle_answer(answer)
        elif self.reader.body_size > self.max_body:
            self.fail(TOO_LARGE)

    def handle_answer(self, answer: Message) -> None:
        """Pass a complete answer to the caller of `send`."""
        if len(answer.body) > self.max_body:
            self.fail(TOO_LARGE)
            return
        if not answer.keep_alive:
            self.close()
        done, self.done = self.done, None
        assert done is not None
        done(HttpResponse(answer.status, answer.body, answer.headers))

    def fail(self, cause: bytes) -> None:
        """Close the connection and report the failure of the call in progress."""
        self.close()
        done, self.done = self.done, None
        if done is not None:
            done(HttpResponse(0, cause))

    def close(self) -> None:
        """Close the connection."""
        if self.sock is None:
            return
        if self.sock in self.selector.get_map():
            self.selector.unregister(self.sock)
        self.sock.close()
        self.sock = None
        self.connected = False
