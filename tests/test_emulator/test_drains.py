"""Drained zones, and targets in warm-up, under faults and bursts of callers."""

from __future__ import annotations

import pytest

from citronspring.emulator.faults import ZONE_KINDS
from citronspring.emulator.loads import (
    drain_in_burst,
    release_in_burst,
    return_cold_in_burst,
    scale_out_in_burst,
)
from citronspring.emulator.run import run_seed
from citronspring.emulator.store import Outage
from citronspring.emulator.world import Sizes, World
from citronspring.tokens.evidence import is_avoided
from citronspring.tokens.tables import Tables

#: Runs in which targets that start have a warm-up of two seconds.
WARMUP = Sizes(warmup_seconds=2.0)

#: Six hosts whose targets are half busy, and thirty-nine hosts of which each sees
#: little traffic.
SMALL = Sizes(2, 6, 2, 150.0, 14.0, warmup_seconds=2.0)
FLEET = Sizes(13, 8, 2, 200.0, 14.0, warmup_seconds=2.0)

BURSTS = (
    drain_in_burst,
    release_in_burst,
    return_cold_in_burst,
    scale_out_in_burst,
)

#: Maximum number of seeds that are run for a mutant.
MAX_SEEDS = 30


@pytest.mark.parametrize("seed", range(16))
def test_guarantees_hold_while_zones_are_drained(seed):
    outcome = run_seed(seed, WARMUP, kinds=ZONE_KINDS)
    assert outcome.violations == [], outcome.faults_text


@pytest.mark.parametrize("sizes", [SMALL, FLEET], ids=["6 hosts", "39 hosts"])
@pytest.mark.parametrize("rush", BURSTS, ids=lambda rush: rush.__name__)
def test_targets_in_warmup_are_not_overloaded_in_a_burst(rush, sizes):
    """Targets in warm-up must not take most of a burst because they are idle.

    Three times the usual callers arrive while a third of the targets are in warm-up.
    Those hold no flows; the others are full or seem unresponsive. When warm-up counted
    as a load of a little more than half a request, one of them got up to 132 openings
    in a second.
    """
    outcome = run_seed(1, sizes, calm=True, load=rush(3.0))
    assert outcome.violations == []


def ignore_drains(patch):
    patch(Tables, "is_drained", lambda tables, zone: False)


def end_drains_on_store_outage(patch):
    def is_drained(tables, zone):
        drain = tables.zone_drains.get(zone)
        if drain is None or tables.reader.failures >= 3:
            return False
        return not drain.ended

    patch(Tables, "is_drained", is_drained)


def give_warmup_little_weight(patch):
    def choose(tables, service, tried, now, weight):
        rows = tables.by_service.get(service, ())
        rows = [row for row in rows if not row.target.leaving]
        fresh = [row for row in rows if row not in tried] or rows
        sound = [row for row in fresh if not is_avoided(tables, row, now)] or fresh
        return min(
            sound,
            key=lambda row: row.order[0] + 0.6 * (row.warm_at > now),
            default=None,
        )

    patch("citronspring.tokens.openings.choose_target", choose)


def test_checker_detects_ignored_drains(monkeypatch):
    ignore_drains(monkeypatch.setattr)
    for seed in range(MAX_SEEDS):
        violations = run_seed(seed, WARMUP, kinds=ZONE_KINDS).violations
        if any("drained zones rest" in line for line in violations):
            return
    raise AssertionError("no run detects that drains are ignored")


def run_store_outage_during_drain():
    """Run a store outage while a zone is drained; return the violations."""
    world = World.from_seed(1, Sizes(seconds=16.0))
    world.clock.at(6.0, lambda: world.drain_zone("south"))
    world.clock.at(
        8.0, lambda: world.store.begin_outage(Outage.UNRESPONSIVE, frozenset())
    )
    world.clock.at(14.0, world.store.end_outage)
    world.run()
    return world.checker.violations


def test_drain_lasts_through_a_store_outage(monkeypatch):
    """The store does not respond for six seconds while a zone is drained.

    Hosts that take the outage for the end of the drain place flows there again.
    """
    assert run_store_outage_during_drain() == []
    end_drains_on_store_outage(monkeypatch.setattr)
    violation = "drains are not taken back"
    assert any(violation in line for line in run_store_outage_during_drain())


def test_checker_detects_overload_of_targets_in_warmup(monkeypatch):
    give_warmup_little_weight(monkeypatch.setattr)
    outcome = run_seed(1, SMALL, calm=True, load=drain_in_burst(3.0))
    assert any("cold targets rest" in line for line in outcome.violations)
