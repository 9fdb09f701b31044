"""The platform's settings: valid ones are read, invalid ones refused with a remedy."""

from __future__ import annotations

import json
import math

import pytest

from citronspring.endpoints import Endpoint
from citronspring.errors import SettingsError
from citronspring.host_settings import DEFAULT_ZONE_CROSSING_COST
from citronspring.platform.settings import decode_settings, read_settings

VALID_SETTINGS = {
    "node_name": "host-1",
    "zone": "north",
    "listen_addrs": {
        "datagram_addr": "10.1.0.10:8172",
        "ready": "10.1.0.10:8167",
        "control": "10.1.0.10:8166",
    },
    "seeds": ["10.1.0.10:8166", "10.2.0.40:8166"],
    "bounds": {"config_apply_ms": 3000, "stable_window_ms": 4000, "grace_s": 6},
    "platform": {"addr": "10.200.1.7:8169"},
    "unheard_of": {"x": 1},
}


def settings_with(path, value):
    """Return the text of valid settings with one field changed; None removes it."""
    table = json.loads(json.dumps(VALID_SETTINGS))
    *sections, name = path.split(".")
    inner = table
    for section in sections:
        inner = inner[section]
    if value is None:
        del inner[name]
    else:
        inner[name] = value
    return json.dumps(table)


def test_reads_what_a_host_needs_and_ignores_the_rest():
    settings = decode_settings(json.dumps(VALID_SETTINGS))
    assert settings.host_id == "host-1"
    assert settings.packets == Endpoint("10.1.0.10", 8172)
    assert settings.store == Endpoint("10.200.1.7", 8169)
    assert settings.change_bound == 3.0
    assert settings.peers == (Endpoint("10.2.0.40", 8166),)
    assert settings.stop_grace == 6.0


def test_cost_of_crossing_zones_is_optional():
    """A settings file of an earlier release has no price for bytes between zones."""
    settings = decode_settings(json.dumps(VALID_SETTINGS))
    assert settings.zone_crossing_cost == DEFAULT_ZONE_CROSSING_COST
    dear = decode_settings(json.dumps({**VALID_SETTINGS, "zone_crossing_cost": 0.8}))
    assert dear.zone_crossing_cost == 0.8
    with pytest.raises(SettingsError, match="zone_crossing_cost holds 'high'"):
        decode_settings(json.dumps({**VALID_SETTINGS, "zone_crossing_cost": "high"}))


def test_missing_host_limits_take_large_defaults():
    """A host without limits in its settings starts with the defaults."""
    settings = decode_settings(json.dumps(VALID_SETTINGS))
    assert (settings.processor_share, settings.link_rate) == (1.0, 125_000_000.0)
    assert settings.link_limit == math.inf
    limits = {"cpu_share": 0.163, "link_mbps": 5.0}
    small = decode_settings(json.dumps({**VALID_SETTINGS, "limits": limits}))
    assert (small.processor_share, small.link_rate) == (0.163, 625_000.0)
    assert small.link_limit == 625_000.0


def test_longest_lifetime_of_a_flow():
    """Former services are remembered for that long; unknown, for an hour."""
    assert decode_settings(json.dumps(VALID_SETTINGS)).flow_lifetime == 3600.0
    for path in ("flow_ttl_s", "bounds.flow_ttl_s"):
        assert decode_settings(settings_with(path, 60)).flow_lifetime == 60.0


@pytest.mark.parametrize("name", ["drain_ms", "evacuate_ms"])
def test_tightest_bound_of_a_change_counts(name):
    """The bound for draining a zone is shorter than that for a configuration.

    With the longer bound, a drained zone would receive flows for too long.
    """
    settings = decode_settings(settings_with(f"bounds.{name}", 2000))
    assert settings.change_bound == 2.0
    assert decode_settings(settings_with(f"bounds.{name}", 9000)).change_bound == 3.0


@pytest.mark.parametrize(
    ("limits", "name"),
    [({"cpu_share": 0}, "cpu_share"), ({"link_mbps": "fast"}, "link_mbps")],
)
def test_bad_limit_is_named(limits, name):
    with pytest.raises(SettingsError, match=name):
        decode_settings(json.dumps({**VALID_SETTINGS, "limits": limits}))


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("node_name", None),
        ("node_name", ""),
        ("node_name", 7),
        ("node_name", "\ud800"),
        ("zone", None),
        ("listen_addrs", None),
        ("listen_addrs", "10.1.0.10"),
        ("listen_addrs.ready", "10.1.0.10"),
        ("listen_addrs.ready", "10.1.0.256:80"),
        ("listen_addrs.ready", "10.1.0.10:0"),
        ("listen_addrs.ready", "10.1.0.10:65536"),
        ("listen_addrs.datagram_addr", "host:80"),
        ("bounds.config_apply_ms", 0),
        ("bounds.config_apply_ms", True),
        ("bounds.stable_window_ms", None),
        ("bounds.grace_s", "six"),
        ("bounds.grace_s", 10**400),
        ("bounds.grace_s", float("nan")),
        ("bounds.stable_window_ms", float("inf")),
        ("listen_addrs.control", None),
        ("seeds", "10.1.0.10:8166"),
        ("seeds", ["host:1"]),
        ("platform.addr", None),
        ("flow_ttl_s", 0),
        ("bounds.flow_ttl_s", "long"),
    ],
)
def test_bad_field_is_named_with_its_value_and_a_remedy(path, value):
    with pytest.raises(SettingsError) as caught:
        decode_settings(settings_with(path, value))
    name = path.rpartition(".")[2]
    assert name in caught.value.message
    assert caught.value.remedy


@pytest.mark.parametrize("text", ["", "{", "[]", "1", "null"])
def test_text_that_is_not_an_object_is_refused(text):
    with pytest.raises(SettingsError):
        decode_settings(text)


def test_missing_variable_and_file_are_refused(monkeypatch, tmp_path):
    monkeypatch.delenv("CITRONSPRING_BOOT", raising=False)
    with pytest.raises(SettingsError, match="CITRONSPRING_BOOT"):
        read_settings()
    monkeypatch.setenv("CITRONSPRING_BOOT", str(tmp_path / "none"))
    with pytest.raises(SettingsError, match="cannot be read"):
        read_settings()


@pytest.mark.parametrize("content", [b"\xff", b"[" * 100_000])
def test_content_that_cannot_be_decoded_is_refused(content, monkeypatch, tmp_path):
    """Settings are overwritten with other bytes, and each running host ends."""
    path = tmp_path / "settings"
    path.write_bytes(content)
    monkeypatch.setenv("CITRONSPRING_BOOT", str(path))
    with pytest.raises(SettingsError, match="not valid JSON"):
        read_settings()


def test_reads_the_file_that_the_variable_names(monkeypatch, tmp_path):
    path = tmp_path / "settings"
    path.write_text(json.dumps(VALID_SETTINGS))
    monkeypatch.setenv("CITRONSPRING_BOOT", str(path))
    assert read_settings().zone == "north"
