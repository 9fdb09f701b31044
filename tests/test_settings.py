"""Tests of the settings and their error messages."""

from __future__ import annotations

import copy
import tomllib
from pathlib import Path

import pytest
import tomli_w
from hypothesis import given, settings
from hypothesis import strategies as st

from citronspring.configuration.models import TemplateModel
from citronspring.configuration.rendering import render
from citronspring.entities import Endpoint
from citronspring.errors import SettingsError
from citronspring.settings import Settings, known_keys

EXAMPLES = Path(__file__).parent.parent / "examples"

GOOD = {
    "host": {
        "id": "drukkerij-1",
        "zone": "drukkerij",
        "tunnel": "10.0.0.1:6080",
        "relay": "10.0.0.1:6081",
        "control": "10.0.0.1:6082",
    },
    "fabric": {"gateway": "10.0.9.1:6080", "sources": ["10.0.9.2"]},
    "platform": {
        "url": "http://10.0.9.9:8500",
        "zones": ["drukkerij", "zetterij"],
    },
    "peers": [
        {
            "id": "zetterij-1",
            "zone": "zetterij",
            "tunnel": "10.0.0.2:6080",
            "relay": "10.0.0.2:6081",
            "control": "10.0.0.2:6082",
        }
    ],
    "limits": {"leave_seconds": 30.0},
    "control": {"key": "00" * 32},
    "admin": {"tokens": [{"name": "watch", "role": "read", "env": "TOKEN"}]},
    "logs": {"format": "json"},
}

TOKEN = {"name": "watch", "role": "read"}

#: Key, wrong value, and text that the error must contain besides file and key.
WRONG = [
    ("host.zoen", "x", "did you mean zone"),
    ("hots", {}, "did you mean host"),
    ("control", {}, "not on loopback: give all hosts the same key"),
    ("control", {"key": "00", "key_file": "x"}, "either key or key_file"),
    ("control", {"previous_key": "00"}, "the key in use"),
    ("limits.leave_seconds", "30s", "seconds as a plain number"),
    ("limits.leave_seconds", 30_000, "seconds as a plain number"),
    ("limits.max_flows", "1e6", "valid integer"),
    ("host.tunnel", "10.0.0.1", "ip:port"),
    ("host.tunnel", "drukkerij:6080", "IP address, not a host name"),
    ("host.tunnel", "10.0.0.1:70000", "1 to 65535"),
    ("host.tunnel", "0.0.0.0:6080", "single host"),
    ("host.relay", "10.0.0.1:6080", "host.tunnel already uses it"),
    ("peers.0.control", "10.0.0.1:6082", "host.control already uses it"),
    ("peers.0.id", "drukkerij-1", "give each host its own"),
    ("fabric.sources", ["10.0.0.2"], "peers.0 uses this address"),
    ("fabric.gateway", "10.0.0.1:1", "host uses this address"),
    ("peers.0.zone", "pakhuis", "platform.zones"),
    ("platform.zones", [], "at least 1"),
    ("platform.url", "10.0.9.9:8500", "URL"),
    ("logs.level", "loud", "'debug', 'info'"),
    ("admin.key_file", "key.pem", "together"),
    ("admin.tokens", [TOKEN], "a file or an environment variable"),
    ("admin.tokens", [TOKEN | {"env": "A"}, TOKEN | {"env": "B"}], "each token once"),
]


def changed(key: str, value: object) -> dict[str, object]:
    """Return valid settings with one key changed."""
    tree = copy.deepcopy(GOOD)
    *path, last = key.split(".")
    node = tree
    for part in path:
        node = node[int(part)] if part.isdecimal() else node[part]
    node[last] = value
    return tree


def error_of(tmp_path: Path, text: str | bytes) -> str:
    """Return the error for a settings file; it must be a single line."""
    path = tmp_path / "host.toml"
    path.write_bytes(text.encode() if isinstance(text, str) else text)
    with pytest.raises(SettingsError) as caught:
        Settings.from_toml(path)
    assert str(caught.value).startswith(str(path)[:80])
    assert str(caught.value).isprintable()
    return str(caught.value)


def test_good_settings_are_read(tmp_path):
    path = tmp_path / "host.toml"
    path.write_text(tomli_w.dumps(GOOD))
    assert Settings.from_toml(path).host.tunnel == Endpoint("10.0.0.1", 6080)


@pytest.mark.parametrize(("key", "value", "remedy"), WRONG)
def test_error_names_key_value_and_remedy(tmp_path, monkeypatch, key, value, remedy):
    monkeypatch.chdir(tmp_path)
    text = error_of(Path(), tomli_w.dumps(changed(key, value)))
    assert key in text
    assert remedy in text
    if isinstance(value, str):
        assert value in text


def test_missing_key_is_named(tmp_path):
    tree = copy.deepcopy(GOOD)
    del tree["host"]["zone"]
    assert "add host.zone" in error_of(tmp_path, tomli_w.dumps(tree))


@pytest.mark.parametrize(
    "text", ["host = [", b"\xff", "a = " + "[" * 5000, "a = " + "9" * 5000]
)
def test_invalid_toml_gives_a_one_line_error(tmp_path, text):
    assert "write it as TOML" in error_of(tmp_path, text)


@pytest.mark.parametrize("path", ["absent.toml", ".", "nul\0.toml"])
def test_unreadable_file_gives_an_error(tmp_path, path):
    with pytest.raises(SettingsError):
        Settings.from_toml(tmp_path / path)


def test_secret_in_the_wrong_place_is_not_shown(tmp_path):
    """The value of a token is written into the settings by mistake.

    The error names the key, but must not show the value, because others can read the
    terminal and the log.
    """
    token = TOKEN | {"env": "A", "value": "s3cret"}
    assert "s3cret" not in error_of(
        tmp_path, tomli_w.dumps(changed("admin.tokens", [token]))
    )
    assert "s3cret" not in error_of(
        tmp_path, tomli_w.dumps(changed("admin.tokens", "s3cret"))
    )


@pytest.mark.parametrize("name", ["de-waterlelie", "palermo"])
def test_example_settings_are_right(name):
    example = Settings.from_toml(EXAMPLES / f"{name}.toml")
    assert len(example.peers) == 5
    assert len({host.zone for _, host in example.host_sections()}) == 3


def test_the_reference_page_names_every_key():
    page = (EXAMPLES.parent / "docs" / "reference" / "settings.md").read_text()
    sections = set(Settings.model_fields)
    for name in sections:
        assert f"[{name}]" in page
    for key in known_keys() - sections:
        assert f"| `{key}` |" in page or f".{key}]" in page


@pytest.mark.parametrize(
    ("folder", "template", "accounts"),
    [
        ("de-waterlelie", "stream", {"bundelpers": 7, "inzendloket": 3}),
        ("palermo", "desk", {"rintraccia": 7, "archivio": 3}),
    ],
)
def test_example_accounts_are_rendered_over_all_zones(folder, template, accounts):
    def read(name):
        return tomllib.loads((EXAMPLES / folder / f"{name}.toml").read_text())

    zones = Settings.from_toml(EXAMPLES / f"{folder}.toml").platform.zones
    model = TemplateModel.from_config(read(template))
    for account_id, count in accounts.items():
        body = read(account_id)
        assert body["template"] == template
        account = render(model, account_id, body["parameters"])
        assert len(account.targets) == count
        assert {target.zone for target in account.targets} == set(zones)
        assert set(account.zones) == set(zones)


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3)
    ),
    max_leaves=6,
).filter(lambda value: value is not None)

KEYS = sorted({key for key, _, _ in WRONG} | {"host", "peers", "admin", "control"})


@settings(derandomize=True, deadline=None, max_examples=150)
@given(key=st.sampled_from(KEYS), value=VALUES)
def test_any_value_gives_settings_or_a_settings_error(tmp_path_factory, key, value):
    path = tmp_path_factory.getbasetemp() / "any.toml"
    try:
        path.write_text(tomli_w.dumps(changed(key, value)), "utf-8")
        tomllib.loads(path.read_text("utf-8"))
    except (TypeError, ValueError, AttributeError):
        return
    try:
        Settings.from_toml(path)
    except SettingsError as error:
        assert str(error).isprintable()


@settings(derandomize=True, deadline=None, max_examples=150)
@given(content=st.binary(max_size=200) | st.text(max_size=200).map(str.encode))
def test_any_bytes_give_a_settings_error(tmp_path_factory, content):
    path = tmp_path_factory.getbasetemp() / "bytes.toml"
    path.write_bytes(content)
    with pytest.raises(SettingsError):
        Settings.from_toml(path)
