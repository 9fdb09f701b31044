"""The catalogue of log events, and the lines that are logged."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
import structlog

from citronspring import events
from citronspring.application import Application
from citronspring.events import CATALOGUE, LEAVING, STARTED, Event, catalogue_page
from citronspring.logs import configure_logs, log, log_application, write_dump
from citronspring.messages import Log
from citronspring.settings import LogsSection

ROOT = Path(__file__).parent.parent


@pytest.fixture(autouse=True)
def restored_logs():
    yield
    structlog.reset_defaults()


def lines_of(capsys):
    return [json.loads(line) for line in capsys.readouterr().err.splitlines()]


def test_the_page_agrees_with_the_module():
    page = (ROOT / "docs" / "reference" / "events.md").read_text()
    assert page == catalogue_page()


def test_numbers_and_names_are_unique():
    found = [value for value in vars(events).values() if isinstance(value, Event)]
    assert len(CATALOGUE) == len(found)
    assert len({event.name for event in found}) == len(found)


def test_every_event_is_used():
    package = ROOT / "citronspring"
    sources = [path for path in package.rglob("*.py") if path.name != "events.py"]
    text = "\n".join(path.read_text() for path in sources)
    names = [name for name, value in vars(events).items() if isinstance(value, Event)]
    assert [name for name in names if name not in text] == []


def test_json_lines_carry_number_name_and_fields(capsys):
    configure_logs(LogsSection())
    log(LEAVING, deadline=5.0, number="mine", token="s3cret")
    (line,) = lines_of(capsys)
    assert line["number"] == LEAVING.number
    assert line["event"] == "leaving"
    assert line["level"] == "info"
    assert line["message"] == LEAVING.message
    assert line["number_"] == "mine"
    assert line["token"] == "(hidden)"


def test_level_and_console_format_follow_the_settings(capsys):
    configure_logs(LogsSection(format="console", level="warning"))
    log(STARTED)
    log(events.ADMIN_CLEAR_TEXT, listen="10.0.0.1:8440")
    text = capsys.readouterr().err
    assert "started" not in text
    assert "admin-clear-text" in text
    assert "10.0.0.1:8440" in text


def test_log_actions_of_the_core_and_application_events_are_written(capsys):
    configure_logs(LogsSection())
    application = Application()
    log_application(application)
    application.emit("revision-applied", 7)
    application.emit("action", Log(events.STOPPED.number, {"event": "x"}))
    application.emit("action", Log(999, {"number": 1}))
    applied, stopped, unknown = lines_of(capsys)
    assert applied["revision"] == 7
    assert stopped["event"] == "stopped"
    assert stopped["event_"] == "x"
    assert unknown["unknown_number"] == 999


def test_dump_is_one_line_at_any_level(capsys):
    configure_logs(LogsSection(level="error"))
    write_dump({"flows": 1, "other": object})
    (line,) = lines_of(capsys)
    assert line["state"]["flows"] == 1
