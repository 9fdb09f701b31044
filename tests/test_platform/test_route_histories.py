"""Route histories in the platform's store: keys, values and the transaction."""

from __future__ import annotations

import json
from base64 import b64decode

import pytest

from citronspring.platform.leases import decode_election_answer, encode_election_call
from citronspring.platform.store import decode_item, decode_removal
from citronspring.tokens.entries import RouteHistory, Unreadable, ordered_revision
from citronspring.tokens.messages import (
    ConditionFailed,
    Done,
    Refused,
    WriteRouteHistory,
)
from soak.store import StoreStandIn
from tests.test_platform.test_store import item

ROUTES = {77: ("archive", "desk"), 78: ("desk",)}
WRITE = WriteRouteHistory(
    (
        RouteHistory(0, ROUTES, 0),
        RouteHistory(15, {}, ordered_revision(2, 412)),
    )
)


def test_shards_are_written_under_the_revisions_that_were_read():
    """A write under another revision would undo what another host has recorded."""
    request = encode_election_call(WRITE)
    assert (request.method, request.target) == ("POST", "/api/kv-txn")
    body = json.loads(request.body)
    assert body["expected"] == [
        {"key": "route-history/0", "revision": 0},
        {"key": "route-history/f", "revision": 412},
    ]
    first, second = body["writes"]
    assert (first["key"], first["lease"]) == ("route-history/0", 0)
    assert json.loads(b64decode(first["value"])) == {
        "routes": {"77": ["archive", "desk"], "78": ["desk"]}
    }
    assert json.loads(b64decode(second["value"])) == {"routes": {}}


def test_written_shard_is_read_back():
    """The store's stand-in takes the transaction, which belongs to no lease."""
    store = StoreStandIn()
    body = json.loads(encode_election_call(WRITE).body)
    body["expected"][1]["revision"] = 0
    assert store.handle_change("/api/kv-txn", body)[0] == 200
    found = store.items["route-history/0"]
    assert decode_item(found, 2) == RouteHistory(
        0, ROUTES, ordered_revision(2, found["revision"])
    )
    assert store.handle_change("/api/kv-txn", body)[0] == 412


def test_removal_of_a_shard():
    assert decode_removal("route-history/c", 9) == RouteHistory(12, {}, 9, removed=True)


@pytest.mark.parametrize(
    "key", ["route-history/", "route-history/10", "route-history/g"]
)
def test_key_that_names_no_shard_is_ignored(key):
    assert decode_item(item(key, {"routes": {}}), 0) is None
    assert decode_removal(key, 9) is None


@pytest.mark.parametrize(
    "value",
    [
        7,
        [],
        {},
        {"routes": []},
        {"routes": {"x": ["desk"]}},
        {"routes": {"77": "desk"}},
        {"routes": {"77": [1]}},
    ],
)
def test_shard_with_invalid_content_is_unreadable(value):
    """Another program writes under the key; hosts must not take it for a history."""
    found = decode_item(item("route-history/3", value), 0)
    assert isinstance(found, Unreadable)
    assert (found.name, found.shard, found.revision) == ("route-history/3", 3, 9)


def test_shard_that_is_not_base64_is_unreadable():
    broken = {**item("route-history/3", {}), "value": "%"}
    assert isinstance(decode_item(broken, 0), Unreadable)


@pytest.mark.parametrize(
    ("status", "answer"),
    [(200, Done()), (412, ConditionFailed()), (503, Refused(503))],
)
def test_answers_are_translated(status, answer):
    assert decode_election_answer(WRITE, status, b"{}") == answer
