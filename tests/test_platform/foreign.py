"""Delivers values of other writers to a host, and uses what it has made of them."""

from __future__ import annotations

import json
import socket
import struct
from base64 import b64encode

from citronspring.daemons.line_log import MAX_BUFFERED_BYTES, LineLog
from citronspring.events import ENTRY_UNREADABLE
from citronspring.platform.packets import encode_for_target, format_flow
from citronspring.platform.store import decode_answer
from citronspring.tokens.change_feed import FeedPoll, decode_feed
from citronspring.tokens.messages import (
    Changes,
    FeedAnswer,
    Forward,
    PeerSnapshot,
    WatchEntries,
)
from citronspring.tokens.peer_snapshot import decode_snapshot
from tests.test_platform.test_store import CONFIGURATION, ROUTE, TARGET
from tests.test_tokens.driver import Driver, make_target

#: A target, a configuration and other entries that a host takes.
BORN = 1_764_720_000_000
NEW_TARGET = {**TARGET, "service": "previews", "born": BORN, "seq": 1}
SPLIT_ROUTE = {
    **ROUTE,
    "backends": [{"service": "previews", "weight": 1}],
    "target_latency_ms": 100,
    "priority": 1,
}
NEW_CONFIGURATION = {**CONFIGURATION, "version": 9, "routes": [SPLIT_ROUTE]}
READER = {"host": "host-2", "at": "10.0.0.5:7702"}
HISTORY = {"routes": {"5": ["archive"]}}

#: Revision up to which hosts of these tests have read the store.
READ_REVISION = 1

#: Stands in a JSON text where the foreign value goes.
PLACEHOLDER = "@foreign@"


def entry_text(entry, path, text):
    """Return an entry as JSON, with any text in place of one of its fields."""
    entry = json.loads(json.dumps(entry))
    holder = entry
    for name in path[:-1]:
        holder = holder[name]
    holder[path[-1]] = PLACEHOLDER
    return json.dumps(entry).replace(json.dumps(PLACEHOLDER), text)


def make_host():
    """Return a host that knows a configuration and two targets in warm-up."""
    targets = [
        make_target(number, warmup=5.0, started=1_764_720_000_000 + number, sequence=1)
        for number in (1, 2)
    ]
    return Driver(*targets)


def store_item(key, text, revision):
    """Return an item of the store with a value of any text."""
    value = b64encode(text.encode()).decode()
    return {"key": key, "value": value, "revision": revision, "lease": 0}


def deliver(host, *entries):
    """Let a watch bring entries, as pairs of key and text."""
    events = [
        store_item(key, text, READ_REVISION + 1 + number)
        for number, (key, text) in enumerate(entries)
    ]
    host.revision = READ_REVISION + len(events)
    body = json.dumps({"events": events, "store_revision": host.revision}).encode()
    host.call = WatchEntries(READ_REVISION, 1.0)
    answer = decode_answer(host.call, 200, body)
    assert isinstance(answer, Changes)
    host.answer(answer)


def use(host):
    """Use what a host knows: packets, addresses, timers, metrics and state dump."""
    for port in range(4):
        action = host.caller(port).open()
        if isinstance(action, Forward):
            target = action.target.target
            encode_for_target(action.packet, target.incarnation, action.token)
            pack_address(target.endpoint)
    for reader in host.tables.zone_readers.values():
        pack_address(reader.endpoint)
    host.wait(2.0)
    host.core.metrics(host.now).encode()
    json.dumps(host.core.dump(host.now), default=str).encode()


def pack_address(endpoint):
    """Convert an address as a socket does, which raises if it is invalid."""
    return socket.inet_aton(endpoint.ip) + struct.pack(">H", endpoint.port)


def write_logs(host, path):
    """Return the lines that a host's process writes for what it has logged."""
    with path.open("wb") as file:
        log = LineLog(file.fileno(), "host-1", format_flow)
        for action in host.logs:
            log.write(action.number, action.fields, host.now)
            log.flush()
    lines = path.read_bytes().splitlines()
    assert all(len(line) < MAX_BUFFERED_BYTES for line in lines)
    return [json.loads(line) for line in lines]


def count_unreadable(host):
    """Return how many entries a host has logged as unreadable."""
    return [log.number for log in host.logs].count(ENTRY_UNREADABLE.number)


def feed_of(host):
    """Return the status and body with which a host answers a follower."""
    host.tables.reader.current_at = host.now
    poll = FeedPoll(READ_REVISION, host.now - 1.0, host.now)
    return host.core.answer_poll(poll, host.now)


def pass_on(host):
    """Let a starting host and a follower read from a host, and use it."""
    snapshot = decode_snapshot(*host.core.snapshot(host.now))
    assert isinstance(snapshot, PeerSnapshot)
    feed = decode_feed(*feed_of(host))
    assert isinstance(feed, FeedAnswer)
    for answer in (snapshot, feed):
        other = make_host()
        other.answer(answer)
        use(other)


def leaf_paths(value, path=()):
    """Return the paths to the values of a JSON document that hold no others."""
    if not isinstance(value, dict | list):
        return [path]
    names = value if isinstance(value, dict) else range(len(value))
    return [leaf for name in names for leaf in leaf_paths(value[name], (*path, name))]


def value_at(value, path):
    """Return the value at a path of a JSON document."""
    for name in path:
        value = value[name]
    return value


def answers_of_a_host():
    """Return the answers of a host to a starting host and to a follower."""
    host = make_host()
    deliver(
        host,
        ("servers/i-c0ffee", json.dumps(NEW_TARGET)),
        ("servers/i-bad", "{}"),
        ("op/config", json.dumps(NEW_CONFIGURATION)),
        ("op/evacuate/south", ""),
        ("readers/south", json.dumps(READER)),
        ("route-history/0", json.dumps(HISTORY)),
    )
    return [
        (decode_snapshot, json.loads(host.core.snapshot(host.now)[1])),
        (decode_feed, json.loads(feed_of(host)[1])),
    ]
