"""Calls to the platform's store, and valid and malformed answers of every kind."""

from __future__ import annotations

import json
from base64 import b64encode

import pytest
from hypothesis import given
from hypothesis import strategies as st

from citronspring.http_request import HttpRequest
from citronspring.platform.store import decode_answer, encode_call
from citronspring.tokens.entities import Share, route_key
from citronspring.tokens.entries import (
    Configuration,
    Target,
    TargetRemoved,
    Unreadable,
    ZoneDrain,
)
from citronspring.tokens.messages import (
    Changes,
    HistoryLost,
    ListEntries,
    Page,
    Refused,
    Unanswered,
    WatchEntries,
)

ROUTE = {
    "name": "r-1",
    "host": "198.18.0.1",
    "prefix": "/8443/",
    "route_type": "idempotent",
    "timeout_ms": 1500,
    "service": "huvo11a",
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [],
    "limits": {"idle_timeout_ms": 15000},
}
TARGET = {
    "service": "huvo11a",
    "addr": "10.128.0.9:8080",
    "zone": "north",
    "version": "v1",
    "concurrency": 2,
    "state": "ready",
    "warmup_left_ms": 1500,
    "seq": 4,
}
#: Answers, each malformed in a different way.
BODIES = [
    b"",
    b"[]",
    b"{}",
    b"null",
    b'{"items": 3}',
    b'{"items": [{"key": 1}], "has_more": false, "store_revision": 1}',
    b'{"items": [], "has_more": true, "store_revision": 1}',
    b'{"events": [{"key": 1, "deleted": true, "revision": 1}]}',
    b"\xff",
]
LIST = ListEntries()
WATCH = WatchEntries(411, 1.2)


def item(key, value, revision=9):
    encoded = b64encode(json.dumps(value).encode()).decode()
    return {"key": key, "value": encoded, "revision": revision, "lease": 0}


def page(*items, has_more=False):
    body = {"items": list(items), "has_more": has_more, "store_revision": 530}
    return decode_answer(LIST, 200, json.dumps(body).encode())


def watch(*events):
    body = {"events": list(events), "store_revision": 530}
    return decode_answer(WATCH, 200, json.dumps(body).encode())


def only_entry(answer):
    (entry,) = answer.entries
    return entry


@pytest.mark.parametrize(
    ("route_type", "idempotent"),
    [("idempotent", True), ("download", True), ("non_idempotent", False), ("x", False)],
)
def test_only_requests_that_may_run_twice_are_idempotent(route_type, idempotent):
    """A download counted as not idempotent waits at a dead target until its deadline.

    An unknown type counted as idempotent would let a request run twice.
    """
    configuration = {**CONFIGURATION, "routes": [{**ROUTE, "route_type": route_type}]}
    (entry,) = page(item("op/config", configuration)).entries
    assert entry.routes[0].idempotent is idempotent


def test_calls_are_reads_of_every_key():
    assert encode_call(LIST) == HttpRequest("GET", "/api/kv-range?prefix=")
    paged = encode_call(ListEntries("a/b c"))
    assert paged == HttpRequest("GET", "/api/kv-range?prefix=&after=a%2Fb%20c")
    watch = "/api/kv-watch?prefix=&after=411&wait_ms=1200"
    assert encode_call(WATCH) == HttpRequest("GET", watch)


def test_decodes_the_configuration():
    entry = only_entry(page(item("op/config", CONFIGURATION)))
    assert isinstance(entry, Configuration)
    assert (entry.revision, entry.idle_timeout) == (7, 15.0)
    (route,) = entry.routes
    assert route.key == route_key(0xC6120001, 8443)
    assert route.shares == (Share("huvo11a", 1.0),)
    assert route.idempotent


def test_decodes_latency_objective_and_priority():
    route = {**ROUTE, "target_latency_ms": 120, "priority": 1}
    entry = only_entry(page(item("op/config", {**CONFIGURATION, "routes": [route]})))
    assert (entry.routes[0].objective, entry.routes[0].priority) == (0.12, 1)


def test_route_without_a_latency_has_no_objective():
    entry = only_entry(page(item("op/config", CONFIGURATION)))
    assert entry.routes[0].objective == float("inf")


def test_decodes_a_route_over_several_services():
    backends = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    route = {**ROUTE, "backends": backends, "route_type": "upload"}
    entry = only_entry(page(item("op/config", {**CONFIGURATION, "routes": [route]})))
    assert entry.routes[0].shares == (Share("a", 90.0), Share("b", 10.0))
    assert not entry.routes[0].idempotent


def test_decodes_a_target():
    entry = only_entry(page(item("servers/i-2ea29917b4", TARGET, 12)))
    assert isinstance(entry, Target)
    assert entry.incarnation == 0x2EA29917B4
    assert entry.endpoint == ("10.128.0.9", 8080)
    assert (entry.zone, entry.slots, entry.leaving) == ("north", 2, False)
    assert (entry.warmup, entry.revision) == (1.5, 12)


def test_decodes_the_start_time_of_a_target():
    entry = only_entry(page(item("servers/i-1", {**TARGET, "born": 1764720000000})))
    assert entry.started == 1764720000000
    assert only_entry(page(item("servers/i-1", TARGET))).started is None


def test_unreadable_entry_has_its_start_time_where_that_can_be_read():
    """Another program overwrites an entry after the target has restarted."""
    broken = {**TARGET, "born": 1764720000000, "state": "parked"}
    assert only_entry(page(item("servers/i-1", broken))).started == 1764720000000


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from([*TARGET, "born", "other"]), inner, max_size=9
            )
        ),
    )
)
def test_foreign_json_under_a_target_key_does_not_hide_other_entries(value):
    """Another program writes arbitrary JSON under a target's key."""
    answer = page(item("servers/i-1", value), item("servers/i-2", TARGET))
    assert answer.entries[-1].target_id == "i-2"
    if isinstance(answer.entries[0], Target):
        assert isinstance(value["state"], str)


@given(st.binary())
def test_foreign_bytes_under_a_target_key_do_not_hide_other_entries(value):
    raw = {"key": "servers/i-1", "value": b64encode(value).decode(), "revision": 3}
    answer = page(raw, item("servers/i-2", TARGET))
    assert isinstance(answer.entries[0], Unreadable)
    assert answer.entries[-1].target_id == "i-2"


def test_nesting_beyond_the_parser_is_unreadable():
    deep = b"[" * 100_000
    raw = {"key": "servers/i-1", "value": b64encode(deep).decode(), "revision": 3}
    assert isinstance(only_entry(page(raw)), Unreadable)


def test_draining_target_is_leaving():
    entry = only_entry(page(item("servers/i-1", {**TARGET, "state": "draining"})))
    assert entry.leaving


def test_unknown_keys_are_ignored():
    answer = page(item("status/host-1", {"x": 1}))
    assert isinstance(answer, Page)
    assert answer.entries == ()


def test_next_page_starts_after_the_last_key():
    answer = page(item("a", {}), item("servers/i-1", TARGET), has_more=True)
    assert answer.next_key == "servers/i-1"


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("op/config", []),
        ("op/config", {**CONFIGURATION, "version": "x"}),
        ("op/config", {**CONFIGURATION, "limits": {}}),
        ("op/config", {**CONFIGURATION, "routes": [{**ROUTE, "prefix": "/x/"}]}),
        ("op/config", {**CONFIGURATION, "routes": [{**ROUTE, "host": "1.2.3"}]}),
        ("op/config", {**CONFIGURATION, "routes": [{**ROUTE, "prefix": 8443}]}),
        ("servers/i-1", {**TARGET, "addr": "nowhere"}),
        ("servers/i-1", {**TARGET, "addr": "10.0.0.1:99999"}),
        ("servers/i-1", {**TARGET, "concurrency": None}),
        ("servers/i-1", {**TARGET, "concurrency": "2"}),
        ("servers/i-1", {**TARGET, "concurrency": True}),
        ("servers/i-1", {**TARGET, "state": "parked"}),
        ("servers/i-1", {**TARGET, "state": ["ready"]}),
        ("servers/i-1", {**TARGET, "service": 7}),
        ("servers/i-1", {**TARGET, "zone": None}),
        ("servers/i-1", {**TARGET, "warmup_left_ms": 1e999}),
        ("servers/i-1", {**TARGET, "warmup_left_ms": float("nan")}),
        ("servers/i-1", {**TARGET, "warmup_left_ms": 10**400}),
        ("servers/i-1", {**TARGET, "warmup_left_ms": -1}),
        ("servers/i-1", {**TARGET, "seq": "4"}),
        ("servers/i-1", {**TARGET, "born": "1764720000000"}),
        ("servers/i-1", {**TARGET, "born": 1764720000000.5}),
        ("servers/i-1", {**TARGET, "born": None}),
        ("servers/i-1", {**TARGET, "addr": 8080}),
        ("servers/i-1", {"addr": TARGET["addr"], "service": "huvo11a"}),
        ("servers/i-xyz", TARGET),
        ("servers/i-0", TARGET),
        ("servers/i-11112222333344445", TARGET),
    ],
)
def test_invalid_entry_is_named_and_the_others_are_kept(key, value):
    """An operator or a target writes an invalid value.

    The process must neither crash nor lose the entries beside it.
    """
    answer = page(item(key, value), item("servers/i-2", TARGET))
    unreadable, good = answer.entries
    assert isinstance(unreadable, Unreadable)
    assert unreadable.name == key.removeprefix("servers/")
    assert good.target_id == "i-2"


def test_value_that_is_not_base64_is_unreadable():
    broken = {"key": "servers/i-1", "value": "%", "revision": 1}
    assert only_entry(page(broken)).name == "i-1"


def test_decodes_changes_and_removals():
    answer = watch(
        item("servers/i-1", TARGET, 412),
        {"key": "servers/i-2", "revision": 413, "deleted": True},
        {"key": "status/x", "revision": 414, "deleted": True},
    )
    assert isinstance(answer, Changes)
    first, second = answer.changes
    assert isinstance(first, Target)
    assert isinstance(second, TargetRemoved)
    assert (second.target_id, second.revision) == ("i-2", 413)
    assert answer.revision == 414


def test_answer_without_changes_has_no_revision():
    assert watch().revision is None


@pytest.mark.parametrize("status", [429, 500, 503, 404, 301])
def test_refusal_carries_its_status(status):
    assert decode_answer(WATCH, status, b"") == Refused(status)


def test_lost_history_is_reported():
    assert isinstance(decode_answer(WATCH, 410, b"{}"), HistoryLost)


@pytest.mark.parametrize("call", [LIST, WATCH])
@pytest.mark.parametrize("body", BODIES)
def test_invalid_body_counts_as_unanswered(call, body):
    assert isinstance(decode_answer(call, 200, body), Unanswered)


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(
                    ["items", "events", "key", "value", "revision", "deleted"]
                ),
                inner,
                max_size=4,
            )
        ),
    ),
    st.sampled_from([LIST, WATCH]),
)
def test_no_body_raises(body, call):
    answer = decode_answer(call, 200, json.dumps(body).encode())
    assert isinstance(answer, Page | Changes | Unanswered)


def test_evacuation_entry_is_a_drain():
    """The zone is drained whatever the value is."""
    entries = page(item("op/evacuate/north", {}, 12)).entries
    assert entries == (ZoneDrain("north", 12),)


@pytest.mark.parametrize("value", ["", "!", "bm8gSlNPTg==", None, 7])
def test_value_of_a_drain_does_not_matter(value):
    broken = {"key": "op/evacuate/north", "value": value, "revision": 12, "lease": 0}
    assert page(broken).entries == (ZoneDrain("north", 12),)


def test_removal_of_the_request_ends_the_drain():
    body = {
        "events": [{"key": "op/evacuate/north", "revision": 13, "deleted": True}],
        "store_revision": 13,
    }
    answer = decode_answer(WATCH, 200, json.dumps(body).encode())
    assert answer.changes == (ZoneDrain("north", 13, ended=True),)


def test_drain_without_a_zone_is_ignored():
    assert page(item("op/evacuate/", {}, 12)).entries == ()


@pytest.mark.parametrize("epoch", [b"", b"x", b"-1"])
def test_answer_with_an_invalid_epoch_counts_as_unanswered(epoch):
    """With a default of the first epoch, all entries of the answer would be old."""
    body = b'{"items": [], "has_more": false, "store_revision": 1}'
    answer = decode_answer(LIST, 200, body, {b"store-era": epoch})
    assert isinstance(answer, Unanswered)
