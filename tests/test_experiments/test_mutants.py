"""Each promise has a safeguard without which the checker finds it broken.

The campaign shows that the real system keeps every promise; here one safeguard after
the other is taken out, and the checker must notice.
"""

from __future__ import annotations

import pytest

from citronspring.experiments.checker import GUARANTEES
from citronspring.experiments.report import run_scenario
from tests.test_experiments.mutants import MUTANTS

#: Runs within which the checker must notice that a safeguard is gone.
MAX_SEEDS = 120


def first_violation(scenario, promise):
    """Return the first run that breaks a promise."""
    for seed in range(MAX_SEEDS):
        result = run_scenario(scenario(seed))
        if promise in [violation.guarantee for violation in result.violations]:
            return result.scenario
    raise AssertionError(f"{MAX_SEEDS} runs kept the promise: {promise}")


@pytest.mark.parametrize("name", sorted(MUTANTS))
def test_checker_detects_missing_safeguard(name, monkeypatch):
    """The same run is made without the safeguard, and with it.

    Without it, callers see what the promise forbids, and the checker names that
    promise. With it every promise holds.
    """
    promise, scenario, mutate = MUTANTS[name]
    mutate(monkeypatch.setattr)
    broken = first_violation(scenario, promise)
    monkeypatch.undo()
    assert [str(item) for item in run_scenario(broken).violations] == []


def test_every_guarantee_has_a_mutant():
    assert {promise for promise, _, _ in MUTANTS.values()} == set(GUARANTEES)
