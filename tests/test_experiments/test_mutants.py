"""Each promise has a safeguard without which the checker finds it broken.

The campaign shows that the real system keeps every promise in the same seeds; here
one safeguard after the other is taken out, and the checker must notice.
"""

from __future__ import annotations

import pytest

from citronspring.experiments.checker import PROMISES
from citronspring.experiments.report import run_seeds
from tests.test_experiments.mutants import MUTANTS


@pytest.mark.parametrize("name", sorted(MUTANTS))
def test_checker_notices_a_missing_safeguard(name, monkeypatch):
    """The same seeds are run with and without the safeguard.

    With it every promise holds. Without it, callers see what the promise forbids,
    and the checker names that promise.
    """
    promise, seeds, mutate = MUTANTS[name]
    assert not run_seeds(seeds).broken
    mutate(monkeypatch.setattr)
    violations = [
        violation.promise
        for result in run_seeds(seeds).broken
        for violation in result.violations
    ]
    assert promise in violations


def test_every_promise_has_a_mutant():
    assert {promise for promise, _, _ in MUTANTS.values()} == set(PROMISES)
