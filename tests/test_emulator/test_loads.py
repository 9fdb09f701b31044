"""Bursts of callers, and what hosts may conclude and do while they last."""

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

#: Six hosts whose links of 160 kbit/s are full under six times the callers.
SMALL_LINKS = Sizes(
    desk_per_zone=8, callers_per_second=25.0, seconds=16.0, link_rate=20e3
)

#: The same hosts with links that carry everything, and many open streams.
WIDE_LINKS = Sizes(desk_per_zone=8, callers_per_second=70.0, seconds=16.0)

BURST_SEEDS = (1, 2, 3)


@pytest.mark.parametrize("seed", BURST_SEEDS)
@pytest.mark.parametrize("factor", [3.0, 6.0])
def test_full_links_reset_no_flow(seed, factor):
    """Callers press; packets wait and are lost at the hosts' own links.

    Requests to all targets are sent again by their callers. Hosts that took that for
    the targets' silence reset 765 flows of targets that lived in sixteen such runs.
    """
    outcome = run_seed(seed, SMALL_LINKS, calm=True, load=burst(factor))
    assert outcome.violations == []
    assert outcome.resets.unjustified == 0


def test_checker_detects_missing_local_path_check(monkeypatch):
    """Without the control, the checker sees living flows reset."""
    monkeypatch.setattr(
        "citronspring.tokens.evidence.local_path_works", lambda *a, **k: True
    )
    outcomes = [
        run_seed(seed, SMALL_LINKS, calm=True, load=burst(6.0)) for seed in BURST_SEEDS
    ]
    assert sum(outcome.resets.unjustified for outcome in outcomes) > 50


@pytest.mark.parametrize("load", [cut_in_burst(1.0), crash_in_burst(1.0)])
def test_unreachable_targets_are_still_detected(load, monkeypatch):
    """A zone is cut off, or targets die: the control must not hide that.

    Callers of streams to them are told within a second to try elsewhere, nearly as
    often as if no control were asked for.
    """
    outcomes = run_wide_links(load)
    assert all(outcome.violations == [] for outcome in outcomes)
    monkeypatch.setattr(
        "citronspring.tokens.evidence.local_path_works", lambda *a, **k: True
    )
    uncontrolled = sum(outcome.resets.justified for outcome in run_wide_links(load))
    assert uncontrolled > 0
    assert sum(outcome.resets.justified for outcome in outcomes) >= 0.9 * uncontrolled


def run_wide_links(load):
    """Play a load on wide links, some seeds."""
    return [run_seed(seed, WIDE_LINKS, calm=True, load=load) for seed in BURST_SEEDS]


#: Few targets that turn requests away when they are full, and an objective of 0.2 s.
FEW_TARGETS = Sizes(
    desk_per_zone=2,
    callers_per_second=50.0,
    seconds=16.0,
    objective=0.2,
    targets_shed=True,
)


#: The same with an objective of eleven requests, beyond which no queue is.
LONG_OBJECTIVE = replace(FEW_TARGETS, objective=0.33)


def in_time_during_burst(load, sizes=FEW_TARGETS):
    """Return the requests that were in time during bursts, of some seeds."""
    first, last = int(BURST_AT), int(BURST_AT + BURST_SECONDS)
    outcomes = [run_seed(seed, sizes, calm=True, load=load) for seed in BURST_SEEDS]
    assert all(outcome.violations == [] for outcome in outcomes)
    return sum(
        in_time for outcome in outcomes for _, in_time in outcome.seconds[first:last]
    )


def admit_everything(monkeypatch):
    """Take admission away."""
    monkeypatch.setattr(
        "citronspring.tokens.openings.is_admitted", lambda *arguments: True
    )


def test_refusals_keep_requests_in_time_under_overload(monkeypatch):
    """Six times the callers: more work than the targets can do.

    Queues are full, each request waits through one, and those turned away at its end
    come again. With a share of the openings refused at once, the others are in time.
    """
    load = burst(6.0)
    admitted = in_time_during_burst(load)
    admit_everything(monkeypatch)
    assert admitted >= 1.2 * in_time_during_burst(load)


def test_shedding_answers_do_not_hide_the_queue(monkeypatch):
    """Six times the callers, and an objective that is longer than any queue.

    Targets that are full say so after 0.1 s. Taken for answers these made requests seem
    quick, and openings went on to targets that turned them away.
    """
    load = burst(6.0)
    told_apart = in_time_during_burst(load, LONG_OBJECTIVE)
    monkeypatch.setattr(
        "citronspring.tokens.forwarding.note_answer_size", lambda *arguments: True
    )
    assert told_apart >= 1.05 * in_time_during_burst(load, LONG_OBJECTIVE)


def test_nobody_is_refused_while_targets_have_room(monkeypatch):
    """Twice the callers are no overload, nor a few more on two thirds of the targets.

    Slow answers of the other third must not cost callers whom these would serve.
    """
    loads = (burst(2.0), slow_in_burst(1.2))
    admitted = [in_time_during_burst(load) for load in loads]
    admit_everything(monkeypatch)
    for load, in_time in zip(loads, admitted, strict=True):
        assert in_time >= 0.97 * in_time_during_burst(load)


def test_refusals_end_with_the_load():
    """A second after the burst everybody is let in again, and in time."""
    outcome = run_seed(1, FEW_TARGETS, calm=True, load=burst(6.0))
    for started, in_time in outcome.seconds[int(BURST_AT + BURST_SECONDS) + 1 : 16]:
        assert in_time >= 0.97 * started
