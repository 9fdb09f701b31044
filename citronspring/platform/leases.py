"""Leases in the platform's store, and what a zone reader writes."""

from __future__ import annotations

from binascii import b2a_base64

from citronspring.http_request import HttpRequest
from citronspring.json_text import DECODE_ERRORS, dumps, integer, loads, number
from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.platform.entries import READER_PREFIX, encode_reader
from citronspring.tokens.entries import count_of
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
    WriteRouteHistory,
)

if TYPE_CHECKING:
    from typing import Any

    from citronspring.tokens.messages import ElectionAnswer, ElectionCall

#: HTTP status codes of the store's answers.
OK = 200
NO_SUCH_LEASE = 404
CONDITION_FAILED = 412

#: Milliseconds per second; the platform gives times in milliseconds.
MILLISECONDS = 1000


def encode_election_call(call: ElectionCall) -> HttpRequest:
    """Return the HTTP request of an election call."""
    match call:
        case GrantLease():
            ttl = round(call.ttl * MILLISECONDS)
            return HttpRequest("POST", "/api/kv-lease", encode_body({"ttl_ms": ttl}))
        case RenewLease():
            return HttpRequest("POST", f"/api/kv-keep/{call.lease}", b"{}")
        case EndLease():
            return HttpRequest("DELETE", f"/api/kv-lease-end/{call.lease}")
        case ClaimZone():
            transaction = claim_transaction(call)
        case WriteRouteHistory():
            from citronspring.platform.route_histories import history_transaction

            transaction = history_transaction(call)
    return HttpRequest("POST", "/api/kv-txn", encode_body(transaction))


def claim_transaction(call: ClaimZone) -> dict[str, Any]:
    """Return the transaction that registers a zone reader; revision 0: none yet."""
    key = READER_PREFIX + call.zone
    reader = encode_reader(call.host_id, call.endpoint)
    value = b2a_base64(reader, newline=False).decode()
    return {
        "expected": [{"key": key, "revision": count_of(call.replaces)}],
        "writes": [{"key": key, "value": value, "lease": call.lease}],
        "deletes": [],
    }


def encode_body(body: dict[str, Any]) -> bytes:
    """Return the body of a request as JSON."""
    return dumps(body).encode()


def decode_election_answer(
    call: ElectionCall, status: int, body: bytes
) -> ElectionAnswer:
    """Return the decoded answer to an election call."""
    if status == NO_SUCH_LEASE:
        return LeaseLost()
    if status == CONDITION_FAILED:
        return ConditionFailed()
    if status != OK:
        return Refused(status)
    if not isinstance(call, GrantLease):
        return Done()
    try:
        found = loads(body)
        return LeaseGranted(
            integer(found["lease"]), number(found["ttl_ms"]) / MILLISECONDS
        )
    except DECODE_ERRORS as error:
        return Unanswered(f"the answer cannot be decoded: {error!r}")
