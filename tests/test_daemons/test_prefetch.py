"""The prefetch of the store's list while the rest of a host is imported."""

from __future__ import annotations

import socket
from selectors import DefaultSelector

from citronspring.daemons.http_client import HttpClient
from citronspring.daemons.prefetch import start_prefetch
from citronspring.daemons.store_calls import StoreCalls
from citronspring.endpoints import Endpoint
from citronspring.host_settings import HostSettings
from citronspring.http_request import HttpRequest, HttpResponse
from citronspring.platform.__main__ import PLATFORM_ADAPTER
from citronspring.tokens.balancer import TokenBalancer
from citronspring.tokens.messages import ListEntries
from tests.test_tokens.zone import TIMES

REQUEST = HttpRequest("GET", "/everything")

#: Bytes read at once; the request is smaller.
CHUNK = 4096


def begin_prefetch(listener):
    endpoint = Endpoint("127.0.0.1", listener.getsockname()[1])
    return endpoint, start_prefetch(endpoint, ListEntries(), REQUEST, 100.0)


def settings_with(store):
    """Return settings of a host with the given store."""
    unused = Endpoint("127.0.0.1", 1)
    addresses = [unused] * 4
    return HostSettings(
        "host-1", "north", *addresses, (), store, 1e6, 1.0, 3.0, 4.0, 6.0
    )


def test_prefetched_answer_is_used():
    """The store answers while the host still imports its modules."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        endpoint, prefetch = begin_prefetch(listener)
        server, _ = listener.accept()
    assert server.recv(CHUNK).startswith(b"GET /everything HTTP/1.1\r\n")
    server.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
    selector = DefaultSelector()
    client = HttpClient(selector, endpoint)
    ended = []
    client.adopt(prefetch.sock, 101.0, ended.append)
    for key, mask in selector.select(1.0):
        key.data(mask)
    assert [(one.status, one.body) for one in ended] == [(200, b"{}")]
    assert not client.busy
    client.send(HttpRequest("GET", "/more"), 102.0, 100.5, lambda *answer: None)
    assert server.recv(CHUNK).startswith(b"GET /more HTTP/1.1\r\n")


def test_unreachable_store_does_not_delay_the_start():
    """Nothing listens at the store's address; the regular call fails and logs it."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    endpoint = Endpoint("127.0.0.1", port)
    assert start_prefetch(endpoint, ListEntries(), REQUEST, 100.0) is None


def test_unanswered_prefetch_times_out():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        endpoint, prefetch = begin_prefetch(listener)
        server, _ = listener.accept()
    client = HttpClient(DefaultSelector(), endpoint)
    ended = []
    client.adopt(prefetch.sock, 101.0, ended.append)
    client.check_deadline(101.5)
    assert ended == [HttpResponse(0, b"no answer in time")]
    server.close()


def test_import_time_does_not_count_against_the_answer_deadline():
    """On a busy machine the imports take longer than the timeout of a call.

    With the timeout counted from the request, the call was abandoned before its answer
    could be read: the host reported the store lost and requested the list again.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        endpoint, prefetch = begin_prefetch(listener)
        server, _ = listener.accept()
    imported_at = prefetch.sent_at + 5.0
    calls = StoreCalls(
        TokenBalancer.from_config("host-1", "north", TIMES),
        DefaultSelector(),
        settings_with(endpoint),
        PLATFORM_ADAPTER,
        lambda actions, now: None,
        lambda: imported_at,
        prefetch,
    )
    calls.run(imported_at)
    assert calls.store.busy
    assert calls.store.next_deadline() > imported_at
    server.close()
