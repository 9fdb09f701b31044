"""HTTP client: slow answers are awaited, stalled ones are abandoned."""

from __future__ import annotations

import socket
from selectors import DefaultSelector

from citronspring.daemons.http_client import TOO_LARGE, HttpClient
from citronspring.endpoints import Endpoint
from citronspring.http_request import HttpRequest

#: Iterations of the selector within which bytes arrive on loopback.
ITERATIONS = 20

#: Timeout in seconds of a call without any answer.
CALL_TIMEOUT = 0.5


class Call:
    """A call to a server simulated by the test, with a simulated clock."""

    def __init__(self, largest=1e6):
        self.selector = DefaultSelector()
        listener = socket.create_server(("127.0.0.1", 0))
        self.client = HttpClient(
            self.selector, Endpoint("127.0.0.1", listener.getsockname()[1])
        )
        self.now = 100.0
        self.ended = []
        request = HttpRequest("GET", "/everything")
        deadline = self.now + CALL_TIMEOUT
        self.client.send(request, deadline, self.now, self.end, largest)
        self.server, _ = listener.accept()
        listener.close()
        self.run_once()

    def end(self, answer):
        self.ended.append((answer.status, answer.body))

    def run_once(self):
        for _ in range(ITERATIONS):
            for key, mask in self.selector.select(0.001):
                key.data(mask)
        self.client.check_deadline(self.now)

    def receive(self, data, seconds):
        """Send bytes to the client, some seconds after the previous ones."""
        self.now += seconds
        self.server.sendall(data)
        self.run_once()


def test_slow_answer_with_progress_is_not_abandoned():
    """A host never received a large configuration although the store served it.

    Its link takes 1.2 s for the answer. Half a second after the call it closed the
    connection and requested all of it again: 10.4 MB in 24 s.
    """
    call = Call()
    call.receive(b"HTTP/1.1 200 OK\r\nContent-Length: 700\r\n\r\n", 0.01)
    for _ in range(7):
        call.receive(b"x" * 100, 0.2)
    assert call.ended == [(200, b"x" * 700)]


def test_stalled_answer_is_abandoned():
    """A connection stalls in the middle of an answer, without a reset.

    Waiting forever would block all further calls.
    """
    call = Call()
    call.receive(b"HTTP/1.1 200 OK\r\nContent-Length: 700\r\n\r\n", 0.01)
    call.receive(b"x" * 100, 0.2)
    call.now += 1.01
    call.run_once()
    assert call.ended == [(0, b"no answer in time")]


def test_unanswered_call_is_abandoned_at_its_deadline():
    call = Call()
    call.now += CALL_TIMEOUT
    call.run_once()
    assert call.ended == [(0, b"no answer in time")]


def test_too_large_answer_is_rejected():
    """A watch is answered with 13 MB, which would fill the host's link for 21 s.

    The head of the answer gives the size; the connection is closed before the body.
    """
    call = Call(largest=100.0)
    call.receive(b"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\nxx", 0.01)
    assert call.ended == [(0, TOO_LARGE)]
    assert call.client.sock is None


def test_chunked_answer_is_rejected_above_the_limit():
    call = Call(largest=100.0)
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    call.receive(head + b"64\r\n" + b"x" * 100 + b"\r\n", 0.01)
    assert call.ended == []
    call.receive(b"1\r\nx\r\n", 0.01)
    assert call.ended == [(0, TOO_LARGE)]


def test_answer_of_the_largest_size_is_accepted():
    call = Call(largest=100.0)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"
    call.receive(head + b"x" * 100, 0.01)
    assert call.ended == [(200, b"x" * 100)]
