"""Regression bounds on the benchmark figures that do not depend on real time."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from benchmarks.balance import BOUND, CURRENT_SIZES, SteadyLoad
from benchmarks.churn import ChurnRun, Variant
from benchmarks.decision import measure_bytes
from benchmarks.relays import Fleet
from benchmarks.tokens import BYTES_BOUND
from benchmarks.tokens import measure_bytes as token_bytes
from citronspring.standins.service import Outcome

ROOT = Path(__file__).resolve().parent.parent.parent

#: Virtual seconds of churn, a quarter of the benchmark's duration.
DURATION = 30.0


@pytest.mark.parametrize("seed", [0, 1])
def test_no_flow_breaks_under_churn(seed):
    """Every upload, preview and correction completes correctly and runs once.

    Hosts are killed, join and leave, and targets start and stop, one change every six
    seconds, while host states lag behind. The hash-only core checks that these changes
    do break flows.
    """
    figures = ChurnRun.from_seed(Variant.BALANCER, seed, DURATION).run()
    assert figures.outcomes == {Outcome.COMPLETED: figures.requests}
    assert (figures.run_twice, figures.late_work) == (0, 0)
    assert sum(figures.changes.values()) >= 4
    hashed = ChurnRun.from_seed(Variant.HASH_ONLY, seed, DURATION).run()
    assert hashed.broken > 10


def test_steady_load_is_balanced():
    placed, hashed = SteadyLoad.from_seed(CURRENT_SIZES, 0).run()
    assert placed <= BOUND < hashed


def test_hints_reduce_relays():
    assert Fleet.from_spray(stable=True, hints=True).run() <= 0.15
    assert Fleet.from_spray(stable=False, hints=True).run() <= 0.45


def test_memory_of_flow_stays_within_bound():
    """One more field of a flow row costs megabytes at hundreds of thousands of flows.

    At this size a flow's share of the owner table, which does not grow, is 70 bytes.
    """
    assert measure_bytes(30_000) <= 255


def test_memory_of_token_mode_flow_stays_within_bound():
    """The smallest host has 120 MB of memory; the flow table must stay a small part."""
    assert token_bytes() <= BYTES_BOUND


def test_program_prints_and_writes_the_same_figures(tmp_path):
    path = tmp_path / "figures.json"
    command = [sys.executable, "-m", "benchmarks", "--only", "relays"]
    command += ["--json", str(path)]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    rows = json.loads(path.read_text())
    names = {"name", "value", "unit", "baseline", "bound", "held", "seed", "command"}
    assert all(set(row) == names for row in rows)
    assert all(row["name"] in done.stdout for row in rows)
