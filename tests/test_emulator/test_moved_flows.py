"""Flows move to other hosts while their openings are under way, and move again."""

from __future__ import annotations

import pytest

from citronspring.emulator.run import run_seed
from citronspring.emulator.world import Sizes

#: Seeds, with the number of hosts in a zone, in which a host without a row believed the
#: late answer of a second target to an opening, after a planned stop and after a kill.
KEPT_SEEDS = ((9773, 1), (40093, 2))


@pytest.mark.parametrize(("seed", "hosts"), KEPT_SEEDS)
def test_late_answers_to_openings_move_no_flow(seed, hosts):
    """The second target resets the caller's flow, which is open at the first."""
    outcome = run_seed(seed, Sizes(hosts_per_zone=hosts))
    assert outcome.violations == [], outcome.faults_text


def test_checker_detects_tokens_that_any_answer_to_an_opening_sets(monkeypatch):
    monkeypatch.setattr(
        "citronspring.tokens.openings.opening_token",
        lambda tried, first_seq: tried[-1],
    )
    seed, hosts = KEPT_SEEDS[1]
    outcome = run_seed(seed, Sizes(hosts_per_zone=hosts))
    assert any("flows stay" in line for line in outcome.violations)
