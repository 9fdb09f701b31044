"""Each guarantee has a safeguard without which the checker detects a violation.

The campaign shows that the real system violates no guarantee. Here each safeguard is
removed in turn, and the checker must detect it.
"""

from __future__ import annotations

import pytest

from citronspring.experiments.checker import GUARANTEES
from citronspring.experiments.report import run_scenario
from tests.test_experiments.mutants import MUTANTS

#: Number of seeds within which the checker must detect a missing safeguard.
MAX_SEEDS = 120


def first_violation(scenario, guarantee):
    """Return the first scenario that violates a guarantee."""
    for seed in range(MAX_SEEDS):
        result = run_scenario(scenario(seed))
        if guarantee in [violation.guarantee for violation in result.violations]:
            return result.scenario
    raise AssertionError(f"{MAX_SEEDS} runs without a violation of: {guarantee}")


@pytest.mark.parametrize("name", sorted(MUTANTS))
def test_checker_detects_missing_safeguard(name, monkeypatch):
    """The same scenario runs without the safeguard and with it.

    Without it the checker reports a violation of the safeguard's guarantee. With it
    there is no violation.
    """
    guarantee, scenario, mutate = MUTANTS[name]
    mutate(monkeypatch.setattr)
    failing = first_violation(scenario, guarantee)
    monkeypatch.undo()
    assert [str(item) for item in run_scenario(failing).violations] == []


def test_every_guarantee_has_a_mutant():
    assert {guarantee for guarantee, _, _ in MUTANTS.values()} == set(GUARANTEES)
