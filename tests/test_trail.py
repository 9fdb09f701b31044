"""From an id to a cause: the three examples of the operators' guide, on saved logs."""

from __future__ import annotations

from pathlib import Path

import pytest

from citronspring.cli.main import main
from citronspring.trail import find_trail

SAMPLES = Path(__file__).parent / "log_samples"


def trail_of(name, sample):
    with (SAMPLES / sample).open() as file:
        return find_trail(name, file)


def test_flow_lost_with_its_target():
    """A preview request broke off because its target had become unresponsive."""
    trail = trail_of("100.64.0.7:40001", "target-lost.log")
    events = [line["event"] for line in trail.lines]
    assert events[-1] == "flow-reset"
    last = trail.lines[-1]
    assert last["reason"] == "target-unreachable"
    assert last["repeats"] >= 1
    assert "target-removed" in [
        line["event"] for line in trail_of(last["target"], "target-lost.log").lines
    ]


def test_opening_refused():
    """An order was refused: its service had no target left."""
    trail = trail_of("100.64.0.9:40007", "opening-refused.log")
    assert trail.lines[-1]["event"] == "opening-refused"
    assert trail.lines[-1]["reason"] == "no-target"


def test_opening_refused_while_a_zone_is_drained():
    """An upload was refused: all targets of its service were in a drained zone."""
    trail = trail_of("100.64.0.9:40011", "zone-drained.log")
    last = trail.lines[-1]
    assert (last["reason"], last["drained"]) == ("zone-drained", ["south"])
    events = [line["event"] for line in trail.lines]
    assert "zone-drain-changed" in events


def test_packet_of_a_former_service():
    """A stream broke off: its host had forgotten the former service of the route."""
    trail = trail_of("100.64.0.5:40031", "foreign-token.log")
    last = trail.lines[-1]
    assert (last["reason"], last["service"]) == ("foreign-token", "desk")
    events = [line["event"] for line in trail.lines]
    assert events[0] == "service-replaced"
    assert "service-forgotten" in events
    assert trail_of("streams", "foreign-token.log").lines[-1] == last


def test_host_with_old_configuration():
    """A new address was not answered because its host could not read the store."""
    trail = trail_of("100.64.0.3:40020", "old-configuration.log")
    events = [line["event"] for line in trail.lines]
    assert events[-1] == "packet-dropped"
    assert trail.lines[-1]["reason"] == "not-current"
    assert "store-lost" in events


def test_command_prints_the_trail(capsys):
    path = str(SAMPLES / "target-lost.log")
    assert main(["explain", "100.64.0.7:40001", path]) == 0
    printed = capsys.readouterr().out
    assert "A flow was reset" in printed
    assert "target-unreachable" in printed


@pytest.mark.parametrize("words", [["nobody"], []])
def test_command_reports_missing_arguments(words, capsys):
    path = str(SAMPLES / "target-lost.log")
    assert main(["explain", *words, path]) != 0
    assert capsys.readouterr().err


def test_other_lines_are_skipped():
    trail = find_trail(
        "x", ["no json", '{"time":1', '  3.1 host {"time":1,"number":100}']
    )
    assert trail.unreadable == 2
