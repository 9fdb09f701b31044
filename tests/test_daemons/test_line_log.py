"""The line log is rate-limited and non-blocking, and counts omitted lines."""

from __future__ import annotations

import json
import os

import pytest

from citronspring.daemons.line_log import (
    MAX_BUFFERED_BYTES,
    MAX_LINES_PER_SECOND,
    LineLog,
)
from citronspring.events import LINES_LEFT_OUT, OPENING_PLACED, STARTED


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def lines(reader):
    return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


def test_writes_one_object_a_line(pipe):
    reader, writer = pipe
    log = LineLog(writer, "host-1")
    log.write(STARTED.number, {"zone": "north"}, 1.0)
    log.flush()
    (line,) = lines(reader)
    assert (line["event"], line["host"], line["zone"]) == ("started", "host-1", "north")


def test_each_kind_has_a_budget_and_the_rest_is_counted(pipe):
    """A flood of openings must not displace other lines or cost more time."""
    reader, writer = pipe
    log = LineLog(writer, "host-1")
    for _ in range(10 * MAX_LINES_PER_SECOND):
        log.write(OPENING_PLACED.number, {}, 1.0)
    log.write(STARTED.number, {}, 1.5)
    log.write(STARTED.number, {}, 2.5)
    log.flush()
    found = lines(reader)
    events = [line["event"] for line in found]
    assert events.count(OPENING_PLACED.name) == MAX_LINES_PER_SECOND
    assert events.count(STARTED.name) == 2
    (summary,) = [line for line in found if line["number"] == LINES_LEFT_OUT.number]
    assert summary["lines"] == {str(OPENING_PLACED.number): 9 * MAX_LINES_PER_SECOND}


def test_full_pipe_blocks_nothing_and_bounds_memory(pipe):
    """The reader of the log has stopped: lines are omitted, serving continues."""
    reader, writer = pipe
    log = LineLog(writer, "host-1")
    for second in range(200):
        for _ in range(MAX_LINES_PER_SECOND):
            log.write(OPENING_PLACED.number, {"flow": "0" * 24}, float(second))
        log.flush()
    assert len(log.buffer) <= MAX_BUFFERED_BYTES
    assert log.omitted or b'"lines-left-out"' in log.buffer


def test_closed_pipe_does_not_raise():
    reader, writer = os.pipe()
    log = LineLog(writer, "host-1")
    os.close(reader)
    log.write(STARTED.number, {}, 1.0)
    log.flush()
    assert not log.buffer
    os.close(writer)
