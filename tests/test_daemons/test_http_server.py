"""The HTTP server of a host, on real sockets."""

from __future__ import annotations

import socket
from selectors import DefaultSelector

import pytest

from citronspring.daemons.http_server import HttpServer
from citronspring.endpoints import Endpoint
from citronspring.events import ANSWER_CUT

#: Iterations of the selector within which an answer must arrive.
TURNS = 200


class Served:
    """A server on loopback with the given answer function."""

    def __init__(self, answer):
        self.selector = DefaultSelector()
        self.server = HttpServer(self.selector, Endpoint("127.0.0.1", 0), answer)
        self.address = self.server.listener.getsockname()

    def turn(self):
        for key, mask in self.selector.select(0.01):
            key.data(mask)

    def connect(self):
        client = socket.create_connection(self.address)
        client.setblocking(False)
        for _ in range(3):
            self.turn()
        return client

    def answer_of(self, client):
        for _ in range(TURNS):
            self.turn()
            try:
                return client.recv(65536).decode()
            except BlockingIOError:
                continue
        raise AssertionError("no answer came")


def echo(path, connection):
    return 200, path


@pytest.mark.parametrize("cut", [1, 6, 10, 18, 30])
def test_request_in_two_segments_is_read_whole(cut):
    """A follower's request arrives in two TCP segments.

    The parser reported the path in two pieces. Only the second one was kept, so the
    follower got 404 and read the store for seconds.
    """
    served = Served(echo)
    client = served.connect()
    request = b"GET /news?after=80&wait=2750 HTTP/1.1\r\nHost: a\r\n\r\n"
    client.sendall(request[:cut])
    for _ in range(3):
        served.turn()
    client.sendall(request[cut:])
    assert served.answer_of(client).endswith("\r\n\r\n/news?after=80&wait=2750")


def test_second_request_of_a_connection_has_a_path_of_its_own():
    served = Served(echo)
    client = served.connect()
    for path in ("/first", "/second"):
        client.sendall(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        assert served.answer_of(client).endswith(f"\r\n\r\n{path}")


def test_reply_may_be_deferred():
    """The change feed has nothing for a follower yet; its connection is kept open."""
    held = []
    served = Served(lambda path, connection: held.append(connection))
    client = served.connect()
    client.sendall(b"GET /news HTTP/1.1\r\nHost: a\r\n\r\n")
    for _ in range(5):
        served.turn()
    (connection,) = held
    assert not connection.closed
    connection.reply(200, "news")
    assert served.answer_of(client).endswith("news")


def test_closed_connection_is_reported_as_closed():
    held = []
    served = Served(lambda path, connection: held.append(connection))
    client = served.connect()
    client.sendall(b"GET /news HTTP/1.1\r\nHost: a\r\n\r\n")
    client.close()
    for _ in range(5):
        served.turn()
    assert held[0].closed


def test_oldest_connection_is_closed_at_the_limit():
    served = Served(echo)
    served.server.max_connections = 2
    clients = [served.connect() for _ in range(3)]
    assert clients[0].recv(10) == b""
    assert len(served.server.connections) == 2


def test_stalled_answer_is_closed_and_logged():
    """A follower stops reading in the middle of a large answer.

    Unsent bytes occupy the host's memory. After a second without progress the
    connection is closed, and the log gives the number of unsent bytes.
    """
    served = Served(lambda path, connection: (200, "x" * 20_000_000))
    logged = []
    served.server.write = lambda number, fields: logged.append((number, fields))
    client = served.connect()
    client.sendall(b"GET /news HTTP/1.1\r\nHost: a\r\n\r\n")
    for _ in range(20):
        served.turn()
    served.server.run(100.0)
    served.server.run(100.9)
    assert served.server.sending
    served.server.run(101.0)
    assert not served.server.sending
    assert not served.server.connections
    ((number, fields),) = logged
    assert number == ANSWER_CUT.number
    assert fields["sent"] > 0
    assert fields["left"] > 0


def test_answer_larger_than_the_socket_buffer_is_sent_completely():
    """A follower that is to receive 200 KB finds the connection closed.

    The server sent what one write accepted and closed the connection. Nine followers of
    three readers were to get a difference of 1,400 routes that way: 626 times "the
    connection was closed".
    """
    large = "x" * 20_000_000
    served = Served(lambda path, connection: (200, large))
    client = served.connect()
    client.sendall(b"GET /news HTTP/1.1\r\nHost: a\r\n\r\n")
    received = bytearray()
    for _ in range(20_000):
        served.turn()
        try:
            data = client.recv(1 << 20)
        except BlockingIOError:
            continue
        received += data
        if not data or len(received) > len(large):
            break
    assert received.endswith(b"x" * len(large))
