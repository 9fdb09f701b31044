"""Tests of the validation of operators' input, and of its error messages."""

from __future__ import annotations

import math
from contextlib import suppress
from functools import reduce

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from pydantic import TypeAdapter

from citronspring.configuration.changes import PutAccount, PutTemplate
from citronspring.configuration.shards import encode_checked
from citronspring.entities import Protocol
from citronspring.errors import CitronspringError, ConfigurationError
from tests.test_configuration.stepping import (
    TEMPLATE,
    call,
    make_platform,
    make_store,
    put,
    put_template,
    target,
)

FIXED = settings(derandomize=True, deadline=None, max_examples=150, database=None)


def refusal_text(change):
    with pytest.raises(ConfigurationError) as error:
        call(make_store(make_platform()).commit(change, 0.0))
    assert error.value.remedy
    return str(error.value)


@pytest.mark.parametrize(
    ("parameters", "key", "value", "remedy"),
    [
        ({"limt": 5}, "limt", "limt", "did you mean limit"),
        ({"limit": "5"}, "limit", "got 5", "correct limit"),
        ({"limit": True}, "limit", "got True", "correct limit"),
        ({"limit": math.inf}, "parameters.limit", "inf", "finite"),
        ({"targets": [{"x": {1: 1}}]}, "targets.0.x", "key 1", "quote it"),
        ({"limit": 5000}, "limit", "5000 is above 1000", "correct limit"),
        ({"ip": "192.0.2.300"}, "ip", "192.0.2.300", "correct ip"),
        ({"ip": "224.0.0.1"}, "ip", "224.0.0.1", "correct ip"),
        ({"ip": "::ffff:192.0.2.1"}, "ip", "IPv4", "correct ip"),
        ({"zones": ["haarlem"]}, "zone", "haarlem", "pakhuis, zetterij"),
        ({"zones": ["pakhuis", "pakhuis"]}, "zone", "pakhuis", "once"),
        ({"targets": [target(1, tunnel="10.0.0.1:0")]}, "tunnel", ":0", "correct"),
        ({"targets": [target(1, slots=0)]}, "targets.0.slots", "got 0", "correct"),
        ({"targets": [target(1, port=1)]}, "targets.0.port", "got 1", "port"),
        ({"targets": [target(1), target(1)]}, "target", "t1 is listed twice", "once"),
        ({"targets": [target(1, zone="x")]}, "zone", "zone x", "pakhuis"),
        (
            {"zones": ["zetterij"], "targets": [target(1)]},
            "target t1",
            "zone pakhuis",
            "add pakhuis",
        ),
        (
            {"targets": [target(1), target(2, tunnel="10.0.0.1:6081")]},
            "tunnel",
            "10.0.0.1 is listed twice",
            "once",
        ),
    ],
)
def test_a_refusal_names_key_value_and_remedy(parameters, key, value, remedy):
    message = refusal_text(put("1-a", **parameters))
    assert message.startswith("account bundelpers")
    for part in (key, value, remedy):
        assert part in message


@pytest.mark.parametrize(
    ("changes", "parts"),
    [
        ({"nmae": "web"}, ["nmae", "did you mean name"]),
        ({"parameters": {"ip": {"type": "adress"}}}, ["parameters.ip.type", "adress"]),
        (
            {"parameters": {"limit": {"type": "integer", "default": "many"}}},
            ["parameters.limit", "many"],
        ),
        ({"body": {"addresses": ["{adr}"]}}, ["{adr}", "declare the parameter adr"]),
        ({"body": {"limits": {"max_conns": 1}}}, ["max_conns", "max_connections"]),
        ({"body": {"target_defaults": {"slot": 1}}}, ["slot", "slots"]),
        ({"body": {"addresses": math.nan}}, ["body.addresses", "finite", "nan"]),
        ({"body": {"addresses": "x" * 20_000}}, ["bytes", "16384"]),
    ],
)
def test_a_refused_template_names_key_and_remedy(changes, parts):
    message = refusal_text(put_template("1-a", **changes))
    for part in parts:
        assert part in message


def test_a_value_that_does_not_read_back_is_refused():
    """A number that JSON cannot represent passes all earlier checks.

    Once committed, no process could read the shard, and none of its accounts could be
    changed any more. Decoding the value before the write refuses this change alone.
    """
    with pytest.raises(ConfigurationError, match="stored"):
        encode_checked(TypeAdapter(float), math.nan)


def test_canonical_forms():
    store = make_store(make_platform())
    targets = [target(1, tunnel="[2001:DB8:0::1]:6080", health="10.0.0.1:80")]
    call(store.commit(put("1-a", ip="2001:db8::00:5", targets=targets), 0.0))
    (account,) = call(store.read_snapshot()).accounts
    assert account.addresses[0].ip == "2001:db8::5"
    assert account.addresses[0].protocol is Protocol.TCP
    assert account.targets[0].tunnel.ip == "2001:db8::1"
    assert account.targets[0].health.port == 80


LEAVES = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["{ip}", "{limit}", "{x}", "192.0.2.1", "10.0.0.1:80", "web"])
    | st.binary(max_size=3)
)
KEYS = st.sampled_from(
    ["ip", "limit", "targets", "zones", "addresses", "limits", "target_defaults"]
    + ["name", "parameters", "body", "type", "default", "tunnel", "zone", "port"]
) | st.text(max_size=4)
VALUES = st.recursive(
    LEAVES,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner, max_size=4)
    ),
    max_leaves=8,
)


def commit_anything(change):
    """Commit a change; only typed errors are allowed, and reading must work after."""
    platform = make_platform()
    with suppress(CitronspringError):
        call(make_store(platform).commit(change, 0.0))
    call(make_store(platform).read_snapshot())


DEEP = reduce(lambda inner, _: [inner], range(5000), [])


@pytest.mark.parametrize("value", [DEEP, 10**5000], ids=["deep", "long"])
def test_values_too_deep_or_too_long_to_print_are_refused(value):
    assert refusal_text(put("1-a", limit=value))
    assert refusal_text(put("1-a", targets=[{"load": value}]))
    assert refusal_text(put("1-a", targets=value))
    assert refusal_text(put_template("1-a", body={"addresses": value}))
    assert refusal_text(put_template("1-a", name=value))


@FIXED
@given(parameters=VALUES, account_id=LEAVES, template=LEAVES)
def test_any_account_is_committed_or_refused(parameters, account_id, template):
    for name, chosen in ((account_id, template), ("bundelpers", "web")):
        change = PutAccount(
            change_id="1-a",
            author="anna",
            account_id=name,
            template=chosen,
            parameters=parameters,
        )
        commit_anything(change)


@FIXED
@given(limit=LEAVES, zones=VALUES, targets=st.lists(VALUES, max_size=3))
def test_any_parameter_is_committed_or_refused(limit, zones, targets):
    commit_anything(put("1-a", limit=limit))
    commit_anything(put("1-a", zones=zones, targets=targets))


@FIXED
@given(
    template=VALUES,
    body=st.dictionaries(KEYS, VALUES, max_size=3),
    default=VALUES,
    kind=st.sampled_from(["number", "flag", "text", "targets", "endpoint"]),
)
def test_any_template_is_committed_or_refused(template, body, default, kind):
    commit_anything(PutTemplate(change_id="1-a", author="a", template=template))
    commit_anything(put_template("1-a", body=body))
    extra = {"extra": {"type": kind, "default": default}}
    commit_anything(put_template("1-a", parameters=TEMPLATE["parameters"] | extra))
