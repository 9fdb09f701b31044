"""Tests of placement by many hosts at once."""

from __future__ import annotations

from collections import Counter

from citronspring.tokens.balancer import TokenBalancer
from citronspring.tokens.messages import ListEntries, Page
from citronspring.tokens.placement import choose_target, count_load, note_placed
from citronspring.tokens.times import ReaderTimes
from tests.test_tokens.driver import (
    BOUND,
    SETTLING,
    make_configuration,
    make_target,
)

#: A zone of a large fleet: hosts, targets in it, and openings that each host gets at
#: once.
HOSTS = 39
TARGETS = 24
OPENINGS = 3


def started_host(number, targets):
    """Return a host that has just read the store for the first time."""
    times = ReaderTimes.from_bounds(BOUND, SETTLING)
    core = TokenBalancer.from_config(f"host-{number}", "north", times)
    page = Page((make_configuration(), *targets), 1, None)
    core.handle_store_answer(ListEntries(), page, 100.0, 100.0)
    return core


def place(core, now):
    """Place a flow and return the id of its target."""
    row = choose_target(core.tables, "previews", [], now)
    count_load(row, flows=1)
    note_placed(row, now)
    return row.target.target_id


def test_hosts_that_start_together_use_all_targets():
    """After a power loss, callers reconnect and wait or are refused.

    All hosts have lost power and start at the same time. None has placed a flow yet, so
    all targets are equally loaded, and each host used them in the order of the list:
    the same for all. Of 117 targets 52 got the 306 openings of a route in those two
    seconds, one of them 16, and refused what its queue did not hold.
    """
    targets = [make_target(number) for number in range(1, TARGETS + 1)]
    hosts = [started_host(number, targets) for number in range(HOSTS)]
    placed = Counter(
        place(core, 100.0 + turn) for turn in range(OPENINGS) for core in hosts
    )
    mean = HOSTS * OPENINGS / TARGETS
    assert len(placed) == TARGETS
    assert max(placed.values()) <= 3 * mean


def test_each_host_still_uses_its_targets_in_turn():
    targets = [make_target(number) for number in range(1, TARGETS + 1)]
    core = started_host(1, targets)
    placed = Counter(place(core, 100.0 + turn) for turn in range(3 * TARGETS))
    assert set(placed.values()) == {3}
