"""Odd entries among those of the targets neither end a host nor hide the rest."""

from __future__ import annotations

import json

import pytest

from citronspring.platform.store import decode_answer
from citronspring.tokens.messages import Changes, Page
from tests.test_platform.foreign import (
    NEW_TARGET,
    deliver,
    make_host,
    pass_on,
    store_item,
    use,
)
from tests.test_platform.process import SYN, eventually, packet
from tests.test_platform.test_store import LIST, TARGET, WATCH

#: Depths of nesting around the interpreter's limit, which each caller of a decoder uses
#: up in part.
DEPTHS = range(900, 1001)

#: Texts after a value that make it invalid JSON.
TAILS = (" x", "]", ",", "")

#: Addresses with a port that no server can listen at.
ODD_PORTS = ("0", "65536", "70000", "-1", "9" * 400, "", "8_0", "+80", " 80", "٨٠")

#: Addresses that no server has: unspecified, multicast, reserved, broadcast.
ODD_ADDRESSES = ("0.0.0.0", "0.1.2.3", "224.0.0.1", "240.0.0.1", "255.255.255.255")


def nested(depth, tail=""):
    return "[" * depth + "]" * depth + tail


def odd_items():
    """Return items with values that are nested about as deeply as can be read."""
    texts = [nested(depth, tail) for depth in DEPTHS for tail in TAILS]
    return [
        store_item(f"servers/i-{number:x}", text, number + 2)
        for number, text in enumerate(texts, 0x1000)
    ]


@pytest.mark.parametrize(("call", "field"), [(LIST, "items"), (WATCH, "events")])
def test_nested_entries_hide_no_others(call, field):
    """Decoding one entry failed the whole answer, and the host never followed again."""
    items = [*odd_items(), store_item("servers/i-c0ffee", json.dumps(NEW_TARGET), 9)]
    answer = {field: items, "has_more": False, "store_revision": 10_000}
    found = decode_answer(call, 200, json.dumps(answer).encode())
    assert isinstance(found, Page | Changes)
    *odd, last = getattr(found, "entries", ()) or found.changes
    assert last.target_id == "i-c0ffee"
    assert {type(entry).__name__ for entry in odd} == {"Unreadable"}


@pytest.mark.parametrize(
    "address",
    [
        *(f"10.0.0.1:{port}" for port in ODD_PORTS),
        *(f"{ip}:80" for ip in ODD_ADDRESSES),
    ],
)
def test_address_that_no_server_has_names_no_target(address):
    """A datagram to it raises an error, or reaches the host itself.

    Failed sends count as disturbances of the host's own path, during which it takes no
    target for dead.
    """
    host = make_host()
    odd = json.dumps({**NEW_TARGET, "addr": address})
    deliver(host, ("servers/i-aa", odd), ("servers/i-1", odd))
    deliver(host, ("servers/i-c0ffee", json.dumps(NEW_TARGET)))
    use(host)
    pass_on(host)
    rows = host.tables.by_service["previews"]
    assert [row.target.target_id for row in rows] == ["i-1", "i-2", "i-c0ffee"]


def test_process_follows_the_store_past_odd_entries(serving):
    """Another writer leaves odd entries; hosts ended again and again, or fell behind.

    A host that starts while they are there lists them, one that runs watches them.
    """
    service = {**TARGET, "service": "inventory"}
    texts = [nested(depth, tail) for depth in DEPTHS for tail in TAILS]
    texts += ["[" * 100_000, "9" * 5000, "1e999"]
    texts += [
        json.dumps({**service, "addr": f"127.0.0.1:{port}"}) for port in ODD_PORTS
    ]
    texts += [json.dumps({**service, "seq": 10**400})]
    for number, text in enumerate(texts, 0x1000):
        serving.store.put_text(f"servers/i-{number:x}", text)
    serving.store.delete("servers/i-2ea29917b4")
    assert eventually(lambda: serving.logged("target-removed"))
    assert serving.process.poll() is None
    serving.process.kill()
    serving.process.wait()
    serving.start(serving.store_port)
    eventually(lambda: serving.status() == 200)
    known = len(serving.logged("target-changed"))
    serving.configure()
    eventually(lambda: len(serving.logged("target-changed")) > known)
    serving.send(packet(SYN))
    assert serving.target.recv(2048)
    assert serving.process.poll() is None
