"""Values of other types and forms, wherever a host reads JSON, end no process."""

from __future__ import annotations

import json

import pytest

from citronspring.endpoints import Endpoint
from citronspring.platform.store import decode_answer, encode_call
from citronspring.tokens.messages import ListEntries
from tests.test_platform.foreign import (
    HISTORY,
    NEW_CONFIGURATION,
    NEW_TARGET,
    READER,
    answers_of_a_host,
    count_unreadable,
    deliver,
    entry_text,
    feed_of,
    leaf_paths,
    make_host,
    pass_on,
    use,
    write_logs,
)

ENTRIES = [
    ("servers/i-c0ffee", NEW_TARGET),
    ("servers/i-1", NEW_TARGET),
    ("op/config", NEW_CONFIGURATION),
    ("readers/north", READER),
    ("readers/south", READER),
    ("route-history/0", HISTORY),
]

FIELDS = [(key, entry, path) for key, entry in ENTRIES for path in leaf_paths(entry)]

#: Values of another type than a field has, and texts that convert to numbers.
OTHER_TYPES = ["null", "true", "[]", "{}", '""', '"x"', '"nan"', f'"{"9" * 400}"']


#: Values of a field's type that a host cannot calculate with, or put into a packet.
OUT_OF_RANGE = ["0", "-1", "65536", str(2**64), "1e29", '""', '"10.0.0"', "[1, 2]"]


#: The first half of a surrogate pair.
HALF_PAIR = r'"\ud800"'

TARGET_TEXT = json.dumps(NEW_TARGET)


def check_survival(key, text):
    """Check that a host that reads an entry serves with what it knew before."""
    host = make_host()
    deliver(host, (key, text))
    use(host)
    pass_on(host)
    rows = host.tables.by_service["previews"]
    assert {"i-1", "i-2"} <= {row.target.target_id for row in rows}
    assert host.tables.configuration in (1, NEW_CONFIGURATION["version"])
    assert host.tables.routes


@pytest.mark.parametrize("value", OTHER_TYPES, ids=lambda value: value[:8])
@pytest.mark.parametrize(("key", "entry", "path"), FIELDS)
def test_field_of_another_type_ends_no_host(key, entry, path, value):
    """A configuration with a list for a service ends every host that reads it."""
    check_survival(key, entry_text(entry, path, value))


@pytest.mark.parametrize(("key", "entry", "path"), FIELDS)
def test_text_without_an_encoding_ends_no_host(key, entry, path):
    """Half of a surrogate pair, which JSON can escape, fails in metrics and hashes."""
    check_survival(key, entry_text(entry, path, HALF_PAIR))


@pytest.mark.parametrize("prefix", ["servers/", "readers/", "op/evacuate/", "x/"])
@pytest.mark.parametrize("suffix", ["", "-aa"])
def test_key_without_an_encoding_names_nothing(prefix, suffix):
    """One key that no text encoding has must not hide the entries beside it."""
    key = f"{prefix}\ud800{suffix}"
    host = make_host()
    deliver(host, (key, json.dumps(NEW_TARGET)), ("servers/i-c0ffee", TARGET_TEXT))
    use(host)
    pass_on(host)
    assert set(host.tables.targets) == {"i-1", "i-2", "i-c0ffee"}
    assert not host.tables.zone_drains
    removal = {"key": key, "deleted": True, "revision": 9}
    body = json.dumps({"events": [removal], "store_revision": 9}).encode()
    host.answer(decode_answer(host.call, 200, body))
    use(host)
    request = encode_call(ListEntries(key))
    assert request.encode(Endpoint("10.0.0.1", 80))


@pytest.mark.parametrize("length", [5_000, 700_000])
@pytest.mark.parametrize("field", ["addr", "state", "service", "zone"])
def test_long_field_is_logged_in_short(field, length, tmp_path):
    """A line longer than the log's buffer is lost, and nothing says what is wrong."""
    host = make_host()
    entry = {**NEW_TARGET, field: "x" * length}
    deliver(host, ("servers/i-c0ffee", json.dumps(entry)))
    last = write_logs(host, tmp_path / "log")[-1]
    assert "i-c0ffee" in (last.get("entry"), last.get("target"))
    assert len(json.dumps(last)) < 2_000


def test_long_reason_does_not_fill_the_links_of_followers():
    """A restarted target's entry with a long state is passed on to a whole zone."""
    host = make_host()
    entry = {**NEW_TARGET, "born": 1_764_730_000_000, "state": "x" * 700_000}
    deliver(host, ("servers/i-1", json.dumps(entry)))
    assert host.tables.targets["i-1"].gone_at < float("inf")
    assert len(feed_of(host)[1]) < 1_000


@pytest.mark.parametrize("value", ['"9"', f'"{"9" * 400}"', '"nan"', "true"])
def test_text_is_no_number_of_a_configuration(value):
    """A number in quotes has no bound, and the metrics of a host fail with it."""
    for path in (("version",), ("limits", "idle_timeout_ms")):
        host = make_host()
        deliver(host, ("op/config", entry_text(NEW_CONFIGURATION, path, value)))
        assert host.tables.configuration == 1
        assert count_unreadable(host) == 1


@pytest.mark.parametrize(
    "value", [*OUT_OF_RANGE, HALF_PAIR], ids=lambda value: value[:8]
)
def test_field_of_an_answer_out_of_range_ends_no_host(value):
    """A corrupted answer of another host ends the host that asked it."""
    for decode, answer in answers_of_a_host():
        for path in leaf_paths(answer):
            host = make_host()
            host.answer(decode(200, entry_text(answer, path, value).encode()))
            use(host)


@pytest.mark.parametrize(
    ("field", "value"),
    [("concurrency", 10**20), ("born", 10**20), ("born", -1), ("warmup_left_ms", 1e12)],
)
def test_implausible_field_names_no_target(field, value):
    """A target with endless slots attracts all flows of its service.

    A start in the far future hides all later starts of the target.
    """
    host = make_host()
    entry = json.dumps({**NEW_TARGET, field: value})
    deliver(host, ("servers/i-c0ffee", entry), ("servers/i-1", entry))
    use(host)
    assert set(host.tables.targets) == {"i-1", "i-2"}
    assert host.tables.targets["i-1"].gone_at == float("inf")


def test_objective_that_is_not_positive_is_none():
    """Delays are divided by it, also by one that is too small to differ from 0."""
    for text in ("0", "-5", "1e-322"):
        host = make_host()
        path = ("routes", 0, "target_latency_ms")
        deliver(host, ("op/config", entry_text(NEW_CONFIGURATION, path, text)))
        use(host)
        (route,) = host.tables.routes.values()
        assert route.objective == float("inf")
