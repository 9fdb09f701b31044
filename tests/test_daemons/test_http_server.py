"""The HTTP server of a host, on real sockets."""

from __future__ import annotations

import socket
from selectors import DefaultSelector

import pytest

from citronspring.daemons.http_server import HttpServer
from citronspring.endpoints import Endpoint
from citronspring.events import ANSWER_CUT

#: Iterations of the selector within which an answer must arrive.
MAX_ITERATIONS = 200


class LocalServer:
    """A server on loopback with the given answer function."""

    def __init__(self, answer):
        self.selector = DefaultSelector()
        self.server = HttpServer(self.selector, Endpoint("127.0.0.1", 0), answer)
        self.address = self.server.listener.getsockname()

    def run_once(self):
        for key, mask in self.selector.select(0.01):
            key.data(mask)

    def connect(self):
        client = socket.create_connection(self.address)
        client.setblocking(False)
        for _ in range(3):
            self.run_once()
        return client

    def answer_of(self, client):
        for _ in range(MAX_ITERATIONS):
            self.run_once()
            try:
                return client.recv(65536).decode()
            except BlockingIOError:
                continue
        raise AssertionError("no answer arrived")


def echo(path, connection):
    return 200, path


@pytest.mark.parametrize("cut", [1, 6, 10, 18, 30])
def test_request_in_two_segments_is_read_completely(cut):
    """A follower's request arrives in two TCP segments.

    The parser reported the path in two pieces. Only the second one was kept, so the
    follower got 404 and read the store for seconds.
    """
    local = LocalServer(echo)
    client = local.connect()
    request = b"GET /news?after=80&wait=2750 HTTP/1.1\r\nHost: a\r\n\r\n"
    client.sendall(request[:cut])
    for _ in range(3):
        local.run_once()
    client.sendall(request[cut:])
    assert local.answer_of(client).endswith("\r\n\r\n/news?after=80&wait=2750")


def test_second_request_of_a_connection_has_a_path_of_its_own():
    local = LocalServer(echo)
    client = local.connect()
    for path in ("/first", "/second"):
        client.sendall(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        assert local.answer_of(client).endswith(f"\r\n\r\n{path}")


def test_reply_may_be_deferred():
    """The change feed has nothing for a follower yet; its connection is kept open."""
    connections = []
    local = LocalServer(lambda path, connection: connections.append(connection))
    client = local.connect()
    client.sendall(b"GET /news HTTP/1.1\r\nHost: a\r\n\r\n")
    for _ in range(5):
        local.run_once()
    (connection,) = connections
    assert not connection.closed
    connection.reply(200, "news")
    assert local.answer_of(client).endswith("news")


def test_closed_connection_is_reported_as_closed():
    connections = []
    local = LocalServer(lambda path, connection: connections.append(connection))
    client = local.connect()
    client.sendall(b"GET /news HTTP/1.1\r\nHost: a\r\n\r\n")
    client.close()
    for _ in range(5):
        local.run_once()
    assert connections[0].closed


def test_oldest_connection_is_closed_at_the_limit():
    local = LocalServer(echo)
    local.server.max_connections = 2
    clients = [local.connect() for _ in range(3)]
    assert clients[0].recv(10) == b""
    assert len(local.server.connections) == 2


def test_stalled_answer_is_closed_and_logged():
    """A follower stops reading in the middle of a large answer.

    Unsent bytes occupy the host's memory. After a second without progress the
    connection is closed, and the log gives the number of unsent bytes.
    """
    local = LocalServer(lambda path, connection: (200, "x" * 20_000_000))
    logged = []
    local.server.write = lambda number, fields: logged.append((number, fields))
    client = local.connect()
    client.sendall(b"GET /news HTTP/1.1\r\nHost: a\r\n\r\n")
    for _ in range(20):
        local.run_once()
    local.server.run(100.0)
    local.server.run(100.9)
    assert local.server.sending
    local.server.run(101.0)
    assert not local.server.sending
    assert not local.server.connections
    ((number, fields),) = logged
    assert number == ANSWER_CUT.number
    assert fields["sent"] > 0
    assert fields["left"] > 0


def test_answer_larger_than_the_socket_buffer_is_sent_completely():
    """A follower that is to receive 200 KB finds the connection closed.

    The server sent what one write accepted and closed the connection. Nine followers of
    three readers were to get a difference of 1,400 routes, and reported 626 times "the
    connection was closed".
    """
    large = "x" * 20_000_000
    local = LocalServer(lambda path, connection: (200, large))
    client = local.connect()
    client.sendall(b"GET /news HTTP/1.1\r\nHost: a\r\n\r\n")
    received = bytearray()
    for _ in range(20_000):
        local.run_once()
        try:
            data = client.recv(1 << 20)
        except BlockingIOError:
            continue
        received += data
        if not data or len(received) > len(large):
            break
    assert received.endswith(b"x" * len(large))
