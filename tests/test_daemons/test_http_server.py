"""The server of readiness, copies and news, on real sockets."""

from __future__ import annotations

import socket
from selectors import DefaultSelector

import pytest

from citronspring.daemons.http_server import HttpServer
from citronspring.endpoints import Endpoint
from citronspring.events import ANSWER_CUT

#: Turns of the selector within which an answer must be there.
TURNS = 200


class Served:
    """A server on loopback that answers with the path it was asked for."""

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
    """A follower's request arrives in two segments of the link.

    The parser tells of the path in two pieces. Kept alone, the second one named
    nothing, the follower got 404, and turned to the store for seconds.
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


def test_answer_may_come_later():
    """What a follower waits for is not there yet; the connection is kept."""
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


def test_connection_that_is_closed_says_so():
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
    """A follower freezes in the middle of a large answer.

    What has not gone out is memory of the host's; after a second without a byte the
    connection is closed, and the log tells how much was left.
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


def test_answer_beyond_a_socket_buffer_goes_out_whole():
    """A follower that its reader answers with 200 KB finds the connection closed.

    The server sent what one write took and closed. Nine followers of three readers
    were to get a difference of 1,400 routes that way: 626 "the connection was closed".
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
