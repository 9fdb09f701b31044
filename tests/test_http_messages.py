"""The HTTP parser agrees with an established one."""

from __future__ import annotations

import httptools
import pytest
from hypothesis import given
from hypothesis import strategies as st

from citronspring.http_messages import MAX_HEAD_BYTES, MessageError, MessageReader

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\nA;x=1\r\n0123456789\r\n0\r\n\r\n"
)
EMPTY = b"HTTP/1.1 204 No Content\r\n\r\n"
INTERIM_THEN_FINAL = b"HTTP/1.1 100 Continue\r\n\r\n" + RESPONSE
REFUSED = b"HTTP/1.1 429 Too Many\r\ncontent-length:0\r\nConnection: close\r\n\r\n"
HTTP_1_0 = b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n"
RESPONSES = [RESPONSE, CHUNKED, EMPTY, REFUSED, HTTP_1_0]

REQUESTS = [
    b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /news?after=1&wait=2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
    b"POST /x HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi",
]

INVALID_RESPONSES = [
    b"nonsense\r\n\r\n",
    b"HTTP/1.1 abc OK\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 " + b"2" * 5000 + b" OK\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nno header\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxy\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
    b"x" * MAX_HEAD_BYTES,
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1" * 300,
]


class Expected:
    """The messages that the reference parser reads."""

    def __init__(self, parser, method):
        self.parser = parser(self)
        self.method = method
        self.body = b""
        self.url = b""
        self.messages = []

    def on_url(self, url):
        self.url += url

    def on_body(self, data):
        self.body += data

    def on_message_complete(self):
        start = self.method(self)
        self.messages.append((start, self.body, self.parser.should_keep_alive()))
        self.body = self.url = b""


def pieces_of(data, cuts):
    """Return the bytes, split at the given positions."""
    places = sorted({cut % (len(data) + 1) for cut in cuts})
    bounds = [0, *places, len(data)]
    return [data[start:end] for start, end in zip(bounds, bounds[1:], strict=False)]


def read(data, cuts, expect_responses):
    """Return the messages in bytes that arrive in pieces."""
    reader = MessageReader(expect_responses)
    found = []
    for piece in pieces_of(data, cuts):
        reader.feed(piece)
        while (message := reader.next_message()) is not None:
            found.append(message)
    return found


CUTS = st.lists(st.integers(min_value=0), max_size=12)


@given(st.sampled_from(RESPONSES), CUTS)
def test_responses_match_the_reference_parser(data, cuts):
    expected = Expected(
        httptools.HttpResponseParser, lambda one: one.parser.get_status_code()
    )
    expected.parser.feed_data(data)
    found = [(m.status, m.body, m.keep_alive) for m in read(data, cuts, True)]
    assert found == expected.messages


@given(st.lists(st.sampled_from(REQUESTS[::2]), max_size=5), CUTS)
def test_pipelined_requests_match_the_reference_parser(requests, cuts):
    data = b"".join(requests)
    expected = Expected(httptools.HttpRequestParser, lambda one: one.url.decode())
    if data:
        expected.parser.feed_data(data)
    found = [(m.target, m.body, m.keep_alive) for m in read(data, cuts, False)]
    assert found == expected.messages


def test_connection_close_is_recognised():
    assert not read(REQUESTS[1], [], False)[0].keep_alive


def test_interim_response_is_skipped():
    assert [m.status for m in read(INTERIM_THEN_FINAL, [3, 30], True)] == [200]


@pytest.mark.parametrize("data", INVALID_RESPONSES)
def test_invalid_response_raises(data):
    with pytest.raises(MessageError):
        read(data, [], True)


@given(st.binary(max_size=300), CUTS, st.booleans())
def test_any_bytes_are_messages_or_an_error(data, cuts, expect_responses):
    try:
        read(data, cuts, expect_responses)
    except MessageError:
        return


@pytest.mark.parametrize(
    "head", [b"Content-Length: 900000", b"Transfer-Encoding: chunked"]
)
def test_large_request_does_not_fill_the_memory(head):
    """A request without an end fills the memory of a host.

    Anyone who reaches the readiness address can announce a body of any size and keep
    sending; the bytes would be stored until the last one arrives.
    """
    reader = MessageReader(expect_responses=False)
    reader.feed(b"POST / HTTP/1.1\r\n" + head + b"\r\n\r\n90000\r\n")
    with pytest.raises(MessageError):
        for _ in range(100):
            reader.next_message()
            reader.feed(b"x" * 1000)


def test_body_size_is_known_before_the_body_arrives():
    reader = MessageReader(expect_responses=True)
    reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\nab")
    assert reader.next_message() is None
    assert reader.body_size == 900
