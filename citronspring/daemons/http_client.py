"""One HTTP/1.1 connection for one call at a time, each with a deadline."""

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

#: Seconds in which a connection must be made: five lost opening packets of the
#: 100 ms that the slowest link takes, and well below the tightest bound.
CONNECT_TIMEOUT = 0.6

#: Seconds without a byte after which an answer that has begun to move is given up:
#: two lost segments in a row take 0.6 s to come again. With a connection and a pause,
#: 1.8 s of the tightest settling time of 4 s.
STALL_TIMEOUT = 1.0

#: Bytes read at once.
READ_SIZE = 262_144

#: Largest answer taken, in bytes; a value of one megabyte in base64 with its
#: neighbours stays below.
MAX_ANSWER_BYTES = 8_000_000

#: Cause of the failure of a call whose answer is larger than was asked for.
TOO_LARGE = b"the answer is too large"


class Progress:
    """Counts bytes that have moved, and puts a deadline off while they do.

    Given up by the time since its sending, a large answer on a small link was begun
    anew for ever, and hosts never got a configuration of 700 KB.

    Parameters
    ----------
    deadline : float
        When to give up if nothing moves at all.
    """

    def __init__(self, deadline: float = -INFINITY) -> None:
        self.deadline = deadline
        self.bytes_moved = 0
        #: Bytes that had moved at the last look.
        self.bytes_at_last_update = 0

    def update(self, now: float) -> None:
        """Put the deadline off if bytes have moved since the last look."""
        if self.bytes_moved > self.bytes_at_last_update:
            self.bytes_at_last_update = self.bytes_moved
            self.deadline = max(self.deadline, now + STALL_TIMEOUT)


class HttpClient:
    """A kept connection to one server.

    Parameters
    ----------
    selector : Poller
        Tells when the connection can be read or written; callbacks are its data.
    endpoint : Endpoint
        The server.
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
        #: Largest body that is taken.
        self.max_body: float = MAX_ANSWER_BYTES

    @property
    def busy(self) -> bool:
        """Whether a call is under way."""
        return self.done is not None

    def send(
        self,
        request: HttpRequest,
        deadline: float,
        now: float,
        done: Callable[[HttpResponse], None],
        max_body: float = MAX_ANSWER_BYTES,
    ) -> None:
        """Send a request; ``done`` is called once, also when nothing comes back.

        An answer with a body of more than ``max_body`` bytes is not taken.
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
        """Return the time at which the call under way is given up."""
        if self.connected:
            return self.progress.deadline
        return min(self.progress.deadline, self.connect_deadline)

    def check_deadline(self, now: float) -> None:
        """Give the call up if its time has passed, and nothing is coming in."""
        self.progress.update(now)
        if self.busy and now >= self.next_deadline():
            cause = b"no answer in time" if self.connected else b"no connection in time"
            self.fail(cause)

    def connect(self) -> None:
        """Start a connection."""
        self.sock = Socket(AF_INET, SOCK_STREAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        code = self.sock.connect_ex((self.endpoint.ip, self.endpoint.port))
        if code not in (0, errno.EINPROGRESS):
            self.fail(errno.errorcode.get(code, "error").encode())
            return
        self.selector.register(self.sock, EVENT_READ | EVENT_WRITE, self.handle)

    def handle(self, mask: int) -> None:
        """Go on after the selector said that the socket is ready."""
        if mask & EVENT_WRITE and self.sock is not None:
            self.finish_connect()
        if mask & EVENT_READ and self.sock is not None:
            self.read()

    def finish_connect(self) -> None:
        """Send the request over a connection that is made, or write on."""
        assert self.sock is not None
        code = self.sock.getsockopt(SOL_SOCKET, SO_ERROR)
        if code:
            self.fail(errno.errorcode.get(code, "error").encode())
            return
        self.connected = True
        self.write()

    def write(self) -> None:
        """Send what is left of the request."""
        assert self.sock is not None
        try:
            sent = self.sock.send(self.outgoing) if self.outgoing else 0
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self.fail(str(error).encode())
            return
        self.outgoing = self.outgoing[sent:]
        wanted = EVENT_READ | EVENT_WRITE if self.outgoing else EVENT_READ
        self.selector.modify(self.sock, wanted, self.handle)

    def read(self) -> None:
        """Take bytes of the answer."""
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
        """Hand an answer over."""
        if len(answer.body) > self.max_body:
            self.fail(TOO_LARGE)
            return
        if not answer.keep_alive:
            self.close()
        done, self.done = self.done, None
        assert done is not None
        done(HttpResponse(answer.status, answer.body, answer.headers))

    def fail(self, cause: bytes) -> None:
        """Close the connection; a call under way has failed."""
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
