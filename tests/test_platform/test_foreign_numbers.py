"""Numbers out of range, wherever a host reads JSON, end no process."""

from __future__ import annotations

import json

import pytest

from citronspring.json_text import NumberOutOfRange, loads
from citronspring.platform.leases import decode_election_answer
from citronspring.platform.store import decode_answer
from citronspring.tokens.change_feed import decode_feed
from citronspring.tokens.messages import GrantLease, Unanswered
from citronspring.tokens.peer_snapshot import decode_snapshot
from citronspring.tokens.suspicions import decode_message
from tests.test_platform.foreign import (
    NEW_CONFIGURATION,
    NEW_TARGET,
    answers_of_a_host,
    count_unreadable,
    deliver,
    entry_text,
    leaf_paths,
    make_host,
    pass_on,
    use,
    value_at,
)
from tests.test_platform.test_store import LIST, WATCH

#: Numbers that `json` reads and with which arithmetic fails, and one that the
#: interpreter refuses to convert.
NUMBERS = [
    "1" + "0" * 400,
    "-1" + "0" * 400,
    "9" * 5000,
    "1e999",
    "-1e999",
    "NaN",
    "Infinity",
]

NUMBER_FIELDS = [
    *[("servers/i-c0ffee", NEW_TARGET, (name,)) for name in ("concurrency", "seq")],
    *[("servers/i-1", NEW_TARGET, (name,)) for name in ("born", "warmup_left_ms")],
    ("op/config", NEW_CONFIGURATION, ("version",)),
    ("op/config", NEW_CONFIGURATION, ("limits", "idle_timeout_ms")),
    ("op/config", NEW_CONFIGURATION, ("routes", 0, "target_latency_ms")),
    ("op/config", NEW_CONFIGURATION, ("routes", 0, "priority")),
    ("op/config", NEW_CONFIGURATION, ("routes", 0, "backends", 0, "weight")),
]

SUSPICION = '[[1, "@"]]'


@pytest.mark.parametrize("number", NUMBERS, ids=lambda number: number[:8])
@pytest.mark.parametrize(("key", "entry", "path"), NUMBER_FIELDS)
def test_number_out_of_range_leaves_the_last_valid_state_in_force(
    key, entry, path, number
):
    """One entry of another writer ends every host, again at each start."""
    host = make_host()
    deliver(host, (key, entry_text(entry, path, number)))
    use(host)
    pass_on(host)
    assert count_unreadable(host) == 1
    assert host.tables.configuration == 1
    rows = host.tables.by_service["previews"]
    assert [row.target.target_id for row in rows] == ["i-1", "i-2"]


def test_start_times_out_of_range_do_not_end_a_host_with_targets_in_warmup():
    """Two entries of other writers end every host that has listed a warm-up."""
    host = make_host()
    text = entry_text(NEW_TARGET, ("born",), NUMBERS[0])
    deliver(host, ("servers/i-aa", text), ("servers/i-bb", text))
    host.tables.listed_warmups = {
        name: row.warm_at for name, row in host.tables.targets.items()
    }
    deliver(host)
    use(host)


@pytest.mark.parametrize("number", NUMBERS, ids=lambda number: number[:8])
def test_number_out_of_range_in_an_answer_of_a_host_is_not_used(number):
    """A corrupted answer of another host ends the host that asked."""
    for decode, answer in answers_of_a_host():
        numbers = [
            path
            for path in leaf_paths(answer)
            if type(value_at(answer, path)) in (int, float)
        ]
        assert len(numbers) > 10
        for path in numbers:
            found = decode(200, entry_text(answer, path, number).encode())
            if path == ("format",):
                continue
            assert isinstance(found, Unanswered), path


@pytest.mark.parametrize("number", NUMBERS, ids=lambda number: number[:8])
@pytest.mark.parametrize(
    ("call", "text"),
    [
        (LIST, '{"items": [], "has_more": false, "store_revision": "@"}'),
        (WATCH, '{"events": [{"key": "a", "deleted": true, "revision": "@"}]}'),
    ],
)
def test_number_out_of_range_in_an_answer_of_the_store_is_not_used(call, text, number):
    """A corrupted answer of the store ends the hosts that asked."""
    body = text.replace('"@"', number).encode()
    assert isinstance(decode_answer(call, 200, body), Unanswered)


@pytest.mark.parametrize("number", NUMBERS, ids=lambda number: number[:8])
@pytest.mark.parametrize("field", ["lease", "ttl_ms"])
def test_number_out_of_range_in_a_lease_is_not_used(field, number):
    """A lease without end, or a number that fails later, is taken from the store."""
    body = entry_text({"lease": 5, "ttl_ms": 4000}, (field,), number).encode()
    answer = decode_election_answer(GrantLease(4.0), 200, body)
    assert isinstance(answer, Unanswered)


@pytest.mark.parametrize("number", NUMBERS, ids=lambda number: number[:8])
@pytest.mark.parametrize(
    "text",
    [
        f'{{"report": {SUSPICION}}}',
        '{"report": [["@", 0.5]]}',
        '{"inquiry": "@", "of": []}',
        '{"reply": 1, "answered": ["@"]}',
        f'{{"verdict": {SUSPICION}}}',
    ],
)
def test_number_out_of_range_in_a_datagram_is_ignored(text, number):
    """One datagram from anywhere in the zone's network ends the host."""
    assert decode_message(text.replace('"@"', number).encode()) is None


@pytest.mark.parametrize("depth", [500, 900, 950, 1000, 5000, 100_000])
def test_deeply_nested_value_ends_no_process(depth):
    """Nesting beyond the interpreter's limit ends the host that reads it."""
    nested = "[" * depth + "]" * depth
    body = f'{{"format": 4, "items": {nested}, "events": {nested}}}'.encode()
    for call in (LIST, WATCH):
        assert isinstance(decode_answer(call, 200, body), Unanswered)
    assert isinstance(decode_snapshot(200, body), Unanswered)
    assert isinstance(decode_feed(200, body), Unanswered)
    assert decode_message(body) is None
    host = make_host()
    deliver(host, ("servers/i-c0ffee", entry_text(NEW_TARGET, ("zone",), nested)))
    use(host)
    assert "i-c0ffee" not in host.tables.targets


@pytest.mark.parametrize("number", NUMBERS, ids=lambda number: number[:8])
def test_number_out_of_range_is_no_number(number):
    """A field that a program does not use must not make the other fields unreadable."""
    value = loads(f'{{"used": 1, "unused": {number}}}')
    assert value["used"] == 1
    assert isinstance(value["unused"], NumberOutOfRange)
    assert number[:8] in repr(value["unused"])
    for convert in (int, float, json.dumps):
        with pytest.raises(TypeError):
            convert(value["unused"])
