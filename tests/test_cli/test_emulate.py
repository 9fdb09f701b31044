"""The command ``emulate``: a line for each seed, a summary, a report with plots."""

from __future__ import annotations

from citronspring.cli.main import main


def test_runs_seeds_and_writes_a_report(tmp_path, capsys):
    report = tmp_path / "report.html"
    assert main(["emulate", "--seeds=2", "--first=3", f"--report={report}"]) == 0
    printed = capsys.readouterr().out
    assert "seed 3:" in printed
    assert "2 seeds, 0 with a broken promise" in printed
    text = report.read_text()
    assert text.count("<svg") == 2
    assert "polyline" in text


def test_zero_seeds_is_an_error(capsys):
    assert main(["emulate", "--seeds=0"]) != 0
    assert "--seeds" in capsys.readouterr().err
