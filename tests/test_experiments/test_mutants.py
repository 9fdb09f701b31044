"""Each promise has a safeguard without which the checker finds it broken.

The campaign shows that the real system keeps every promise; here one safeguard after
the other is taken out, and the checker must notice.
"""

from __future__ import annotations

import pytest

from citronspring.experiments.checker import PROMISES
from citronspring.experiments.report import run_scenario
from tests.test_experiments.mutants import MUTANTS

#: Runs within which the checker must notice that a safeguard is gone.
TRIES = 120


def first_broken(scenario, promise):
    """Return the first run that breaks a promise."""
    for seed in range(TRIES):
        result = run_scenario(scenario(seed))
        if promise in [violation.promise for violation in result.violations]:
            return result.scenario
    raise AssertionError(f"{TRIES} runs kept the promise: {promise}")


@pytest.mark.parametrize("name", sorted(MUTANTS))
def test_checker_notices_a_missing_safeguard(name, monkeypatch):
    """The same run is made without the safeguard, and with it.

    Without it, callers see what the promise forbids, and the checker names that
    promise. With it every promise holds.
    """
    promise, scenario, mutate = MUTANTS[name]
    mutate(monkeypatch.setattr)
    broken = first_broken(scenario, promise)
    monkeypatch.undo()
    assert [str(item) for item in run_scenario(broken).violations] == []


def test_every_promise_has_a_mutant():
    assert {promise for promise, _, _ in MUTANTS.values()} == set(PROMISES)
