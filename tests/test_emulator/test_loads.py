"""Resets, refusals and the detection of lost targets during bursts of callers."""

from __future__ import annotations

from dataclasses import replace

import pytest

from citronspring.emulator.loads import (
    BURST_AT,
    BURST_SECONDS,
    burst,
    crash_in_burst,
    cut_in_burst,
    slow_in_burst,
)
from citronspring.emulator.run import run_seed
from citronspring.emulator.world import Sizes

#: Six hosts whose links of 160 kbit/s are full under six times the usual callers.
SMALL_LINKS = Sizes(
    desk_per_zone=8, callers_per_second=25.0, seconds=16.0, link_rate=20e3
)

#: The same hosts with links of unlimited capacity, and many open streams.
WIDE_LINKS = Sizes(desk_per_zone=8, callers_per_second=70.0, seconds=16.0)

BURST_SEEDS = (1, 2, 3)


@pytest.mark.parametrize("seed", BURST_SEEDS)
@pytest.mark.parametrize("factor", [3.0, 6.0])
def test_full_links_reset_no_flow(seed, factor):
    """Congestion at a host's own link must not pass for unresponsive targets.

    In a burst, packets queue and are lost at the hosts' own links, and callers
    retransmit requests to all targets. Hosts that blamed the targets reset 765 flows of
    running targets in sixteen such runs.
    """
    outcome = run_seed(seed, SMALL_LINKS, calm=True, load=burst(factor))
    assert outcome.violations == []
    assert outcome.resets.unjustified == 0


def test_checker_detects_missing_local_path_check(monkeypatch):
    """Without the check of the local path, the checker counts unjustified resets."""
    monkeypatch.setattr(
        "citronspring.tokens.evidence.local_path_works", lambda *a, **k: True
    )
    outcomes = [
        run_seed(seed, SMALL_LINKS, calm=True, load=burst(6.0)) for seed in BURST_SEEDS
    ]
    assert sum(outcome.resets.unjustified for outcome in outcomes) > 50


@pytest.mark.parametrize("load", [cut_in_burst(1.0), crash_in_burst(1.0)])
def test_unreachable_targets_are_still_detected(load, monkeypatch):
    """The check of the local path must not hide unreachable targets.

    A zone is partitioned, or targets crash. Their streams are reset within a second, so
    that callers retry elsewhere, at least nine tenths as often as without the check.
    """
    outcomes = run_wide_links(load)
    assert all(outcome.violations == [] for outcome in outcomes)
    monkeypatch.setattr(
        "citronspring.tokens.evidence.local_path_works", lambda *a, **k: True
    )
    without_check = sum(outcome.resets.justified for outcome in run_wide_links(load))
    assert without_check > 0
    assert sum(outcome.resets.justified for outcome in outcomes) >= 0.9 * without_check


def run_wide_links(load):
    """Run a load with unlimited links for some seeds."""
    return [run_seed(seed, WIDE_LINKS, calm=True, load=load) for seed in BURST_SEEDS]


#: Few targets, which shed requests when they are full, and an objective of 0.2 s.
FEW_TARGETS = Sizes(
    desk_per_zone=2,
    callers_per_second=50.0,
    seconds=16.0,
    objective=0.2,
    targets_shed=True,
)


#: The same with an objective as long as eleven requests, longer than any queue.
LONG_OBJECTIVE = replace(FEW_TARGETS, objective=0.33)


def in_time_during_burst(load, sizes=FEW_TARGETS):
    """Return the number of requests in time during the burst, for some seeds."""
    first, last = int(BURST_AT), int(BURST_AT + BURST_SECONDS)
    outcomes = [run_seed(seed, sizes, calm=True, load=load) for seed in BURST_SEEDS]
    assert all(outcome.violations == [] for outcome in outcomes)
    return sum(
        in_time for outcome in outcomes for _, in_time in outcome.seconds[first:last]
    )


def admit_everything(monkeypatch):
    """Disable load shedding: admit every opening."""
    monkeypatch.setattr(
        "citronspring.tokens.openings.is_admitted", lambda *arguments: True
    )


def test_refusals_keep_requests_in_time_under_overload(monkeypatch):
    """Refusals keep requests in time while callers exceed the capacity.

    Under six times the callers all queues are full, each request waits for a whole
    queue, and the shed ones are retried. If a share of the openings is refused at once,
    the others are in time.
    """
    load = burst(6.0)
    admitted = in_time_during_burst(load)
    admit_everything(monkeypatch)
    assert admitted >= 1.2 * in_time_during_burst(load)


def test_shedding_answers_do_not_hide_the_queue(monkeypatch):
    """Answers that shed a request must not count as fast answers.

    Under six times the callers, with an objective longer than any queue, full targets
    shed requests after 0.1 s. Counted as answers, these made the targets seem fast, and
    openings were still sent to targets that shed them.
    """
    load = burst(6.0)
    in_time = in_time_during_burst(load, LONG_OBJECTIVE)
    monkeypatch.setattr(
        "citronspring.tokens.forwarding.note_answer_size", lambda *arguments: True
    )
    assert in_time >= 1.05 * in_time_during_burst(load, LONG_OBJECTIVE)


def test_nobody_is_refused_while_targets_have_room(monkeypatch):
    """Openings must not be refused while some targets have capacity.

    Twice the callers are no overload, nor are 1.2 times the callers while a third of
    the targets is slow: the other targets can serve the callers.
    """
    loads = (burst(2.0), slow_in_burst(1.2))
    admitted = [in_time_during_burst(load) for load in loads]
    admit_everything(monkeypatch)
    for load, in_time in zip(loads, admitted, strict=True):
        assert in_time >= 0.97 * in_time_during_burst(load)


def test_refusals_end_with_the_load():
    """One second after the burst all requests are admitted and in time again."""
    outcome = run_seed(1, FEW_TARGETS, calm=True, load=burst(6.0))
    for started, in_time in outcome.seconds[int(BURST_AT + BURST_SECONDS) + 1 : 16]:
        assert in_time >= 0.97 * started
