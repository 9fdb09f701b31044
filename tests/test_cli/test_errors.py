"""Error messages are one line with a remedy; help and reference page are complete."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
from pathlib import Path

import pytest
import structlog
import tomli_w
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from citronspring.cli.exit_codes import EXIT_CODES
from citronspring.cli.main import COMMANDS, main
from citronspring.cli.reference import commands_page
from tests.test_admin.hosts import make_settings

PAGE = Path(__file__).parent.parent.parent / "docs" / "reference" / "commands.md"
UNREACHABLE_HOST = "--host=http://127.0.0.1:1"

WRONG_COMMAND_LINES = [
    (["acount", "list"], 2, "did you mean account"),
    (["account"], 2, "add one of put"),
    (["account", "put", "a"], 2, "account put ACCOUNT FILE"),
    (["status", "--bogus=1"], 2, "--help"),
    (["status", "--output=xml"], 2, "table|json"),
    (["account", "delete", "a", "--if_revision=x"], 2, "if_revision"),
    (["status", "--host=http://a:b"], 2, "--host=http"),
    (["status", "--ca_file=absent.pem"], 2, "PEM"),
    (["serve"], 2, "--settings=FILE"),
    (["serve", "--settings=absent"], 3, "readable TOML"),
    (["check-settings", "bad.toml"], 3, "TOML 1.0"),
    (["account", "put", "a", "absent"], 3, "readable TOML or JSON"),
    (["account", "put", "a", "bad.toml"], 3, "TOML"),
    (["account", "put", "a", "bad.json"], 3, "JSON"),
    (["account", "put", "a", "date.toml"], 3, "TOML"),
    (["template", "put", "date.json"], 3, "add name"),
    (["status", "--token_file=absent"], 3, "token"),
    (["status", UNREACHABLE_HOST], 7, "another host"),
    (["account", "delete", "a", UNREACHABLE_HOST], 7, "another host"),
]


@pytest.mark.parametrize(("words", "code", "remedy"), WRONG_COMMAND_LINES)
def test_error_is_one_line_with_a_remedy(
    tmp_path, monkeypatch, capsys, words, code, remedy
):
    monkeypatch.chdir(tmp_path)
    monkeypatch.setattr("citronspring.cli.client.MAX_RETRY_DELAY", 0.01)
    Path("bad.toml").write_text("a = [")
    Path("bad.json").write_text("{")
    Path("date.toml").write_text("template = 'a'\nparameters = {a = 2026-12-02}")
    Path("date.json").write_text("{}")
    assert main(words) == code
    out, err = capsys.readouterr()
    assert out == ""
    assert len(err.splitlines()) == 1
    assert remedy in err


@pytest.mark.parametrize(
    ("section", "key", "kind"),
    [("host", "tunnel", socket.SOCK_DGRAM), ("admin", "listen", socket.SOCK_STREAM)],
)
def test_address_in_use_is_one_line(tmp_path, capsys, section, key, kind):
    """A second host process is started on a machine by mistake.

    Without the check the operator would see a traceback through the event loop that
    does not name the address; the error line names it.
    """
    found = make_settings()
    tables = found.model_dump(mode="json", exclude_defaults=True, exclude_none=True)
    with socket.socket(socket.AF_INET, kind) as taken:
        taken.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        tables.setdefault(section, {})[key] = address
        path = tmp_path / "host.toml"
        path.write_text(tomli_w.dumps(tables))
        assert main(["serve", f"--settings={path}"]) == 3
    structlog.reset_defaults()
    *events, line = capsys.readouterr().err.splitlines()
    assert all(event.startswith("{") for event in events)
    assert f"cannot listen on {address}" in line


def test_closed_output_pipe_ends_quietly():
    """The output goes to a pipe whose reader closes it, as `head` does.

    The program must print neither a traceback nor a second error when Python flushes
    its output at exit.
    """
    read_end, write_end = os.pipe()
    os.close(read_end)
    command = [sys.executable, "-m", "citronspring", "version"]
    buffered = {**os.environ, "PYTHONUNBUFFERED": ""}
    done = subprocess.run(
        command, stdout=write_end, stderr=subprocess.PIPE, env=buffered
    )
    os.close(write_end)
    assert (done.returncode, done.stderr) == (1, b"")


@pytest.mark.parametrize("command", COMMANDS, ids=lambda item: item.name)
def test_help_of_each_command(capsys, command):
    assert main([*command.words, "--help"]) == 0
    out, _ = capsys.readouterr()
    assert command.summary in out
    assert all(f"--{flag.name}" in out for flag in command.flags)


def test_help_of_a_group_lists_its_commands(capsys):
    assert main(["account", "--help"]) == 0
    out, _ = capsys.readouterr()
    assert "account history ACCOUNT" in out
    assert "target drain" not in out


def test_reference_page_matches_the_commands():
    assert PAGE.read_text() == commands_page()


def test_each_kind_of_error_has_one_exit_code():
    kinds = [kind for item in EXIT_CODES for kind in item.kinds]
    assert len(kinds) == len(set(kinds))


LONG_RUNNING = ("serve", "standin", "try", "experiment")
SHORT_RUNNING = [item for item in COMMANDS if item.words[0] not in LONG_RUNNING]
LINES = st.builds(
    lambda command, rest: [*command.words, *rest, UNREACHABLE_HOST],
    st.sampled_from(SHORT_RUNNING),
    st.lists(st.text(max_size=8) | st.sampled_from(["--", "--output=json", "-"])),
) | st.lists(st.text(max_size=8), min_size=1, max_size=2).filter(
    lambda words: words[0] not in ("serve", "try")
)


@settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(words=LINES)
def test_any_command_line_ends_with_a_documented_exit_code(monkeypatch, capsys, words):
    monkeypatch.setattr("citronspring.cli.client.MAX_RETRY_DELAY", 0.0)
    assert main(words) in {item.code for item in EXIT_CODES}
    assert "report it as a fault" not in capsys.readouterr().err
