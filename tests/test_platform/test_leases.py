"""Calls for leases and for the registration of a zone reader, and their answers."""

from __future__ import annotations

import json
from base64 import b64decode

import pytest

from citronspring.endpoints import Endpoint
from citronspring.errors import StoredValueError
from citronspring.http_request import HttpRequest
from citronspring.platform.entries import decode_entry
from citronspring.platform.leases import decode_election_answer, encode_election_call
from citronspring.platform.store import decode_removal
from citronspring.tokens.entries import ReaderRemoved, ZoneReader
from citronspring.tokens.messages import (
    ClaimZone,
    ConditionFailed,
    Done,
    EndLease,
    GrantLease,
    LeaseGranted,
    LeaseLost,
    Refused,
    RenewLease,
    Unanswered,
)

OWN = Endpoint("10.1.0.10", 8166)
CLAIM = ClaimZone(77120, "north", "host-1", OWN)


def test_lease_is_asked_for_in_milliseconds():
    request = encode_election_call(GrantLease(4.0))
    assert request == HttpRequest("POST", "/api/kv-lease", b'{"ttl_ms": 4000}')


def test_lease_is_renewed_and_ended_by_its_number():
    renewal = encode_election_call(RenewLease(77120))
    assert (renewal.method, renewal.target) == ("POST", "/api/kv-keep/77120")
    assert encode_election_call(EndLease(77120)) == HttpRequest(
        "DELETE", "/api/kv-lease-end/77120"
    )


def test_reader_is_registered_only_where_there_is_none():
    request = encode_election_call(CLAIM)
    assert (request.method, request.target) == ("POST", "/api/kv-txn")
    body = json.loads(request.body)
    assert body["expected"] == [{"key": "readers/north", "revision": 0}]
    assert body["deletes"] == []
    (write,) = body["writes"]
    assert (write["key"], write["lease"]) == ("readers/north", 77120)
    entry = decode_entry(write["key"], b64decode(write["value"]), 412)
    assert isinstance(entry, ZoneReader)
    assert (entry.zone, entry.host_id, entry.revision) == ("north", "host-1", 412)
    assert entry.endpoint == OWN


@pytest.mark.parametrize(
    ("call", "status", "body", "answer"),
    [
        (GrantLease(4.0), 200, b'{"lease": 7, "ttl_ms": 3000}', LeaseGranted(7, 3.0)),
        (RenewLease(7), 200, b'{"ttl_ms": 3000}', Done()),
        (RenewLease(7), 404, b"", LeaseLost()),
        (EndLease(7), 404, b"", LeaseLost()),
        (CLAIM, 200, b'{"revision": 412}', Done()),
        (CLAIM, 412, b'{"items": []}', ConditionFailed()),
        (CLAIM, 404, b"", LeaseLost()),
        (CLAIM, 429, b"", Refused(429)),
        (GrantLease(4.0), 503, b"", Refused(503)),
    ],
)
def test_answers_are_translated(call, status, body, answer):
    assert decode_election_answer(call, status, body) == answer


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"{}", b'{"lease": "x", "ttl_ms": 1}', b"\xff"]
)
def test_invalid_grant_counts_as_unanswered(body):
    answer = decode_election_answer(GrantLease(4.0), 200, body)
    assert isinstance(answer, Unanswered)


@pytest.mark.parametrize("value", [b"[]", b"{}", b'{"host": "a", "at": "b"}'])
def test_invalid_registration_is_reported(value):
    with pytest.raises(StoredValueError):
        decode_entry("readers/north", value, 412)


def test_removed_registration_names_its_zone():
    removed = decode_removal("readers/north", 9)
    assert isinstance(removed, ReaderRemoved)
    assert (removed.zone, removed.revision) == ("north", 9)
