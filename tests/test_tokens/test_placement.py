"""Tests of placement by many hosts at once."""

from __future__ import annotations

from collections import Counter

import pytest

from citronspring.tokens.balancer import TokenBalancer
from citronspring.tokens.entries import TargetRemoved, ZoneDrain
from citronspring.tokens.entry_updates import apply_target, remove_target
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


#: How many times more an upload of 40 KB costs to cross than a small request.
UPLOAD = 10.0


def two_zones(*, home=4, away=4):
    """Return the tables of a host with idle targets at home and in another zone."""
    north = [make_target(number) for number in range(1, home + 1)]
    south = [make_target(0x10 + number, "south") for number in range(away)]
    return started_host(1, [*north, *south]).tables


def in_zone(tables, zone):
    return [row for row in tables.targets.values() if row.target.zone == zone]


def chosen_zone(tables, weight=1.0, now=101.0):
    return choose_target(tables, "previews", [], now, weight).target.zone


class TestCrossing:
    def test_uploads_stay_home_while_a_slot_is_free(self):
        """Uploads of 40 KB crossed zones as soon as one request was open at home."""
        tables = two_zones()
        for row in in_zone(tables, "north"):
            count_load(row, flows=1, busy=1)
        assert chosen_zone(tables) == "south"
        assert chosen_zone(tables, UPLOAD) == "north"

    def test_idle_flows_at_home_do_not_send_uploads_away(self):
        """Callers keep flows open between requests; nobody waits behind them."""
        tables = two_zones()
        for row in in_zone(tables, "north"):
            count_load(row, flows=15)
        assert chosen_zone(tables) == "south"
        assert chosen_zone(tables, UPLOAD) == "north"

    def test_upload_takes_a_free_slot_at_home_behind_idle_flows(self):
        """The other home targets are full; by idle flows this one looks more loaded."""
        tables = two_zones(home=2)
        busy, idle = in_zone(tables, "north")
        count_load(busy, flows=3, busy=3)
        count_load(idle, flows=13)
        row = choose_target(tables, "previews", [], 101.0, UPLOAD)
        assert row is idle

    def test_uploads_leave_when_all_slots_at_home_are_taken(self):
        """Callers of one zone demand more than its targets have slots for.

        The flows leave one at a time, as long as another zone is the faster way, and
        stay again as soon as a slot at home is free.
        """
        tables = two_zones()
        home = in_zone(tables, "north")
        for row in home:
            count_load(row, flows=3, busy=3)
        placed = []
        for turn in range(4):
            row = choose_target(tables, "previews", [], 101.0 + turn, UPLOAD)
            count_load(row, flows=1, busy=1)
            note_placed(row, 101.0 + turn)
            placed.append(row.target.zone)
        assert placed == ["south"] * 4
        for _ in range(4):
            row = choose_target(tables, "previews", [], 106.0, UPLOAD)
            count_load(row, flows=1, busy=1)
        assert {row.busy for row in home} >= {4}
        count_load(home[0], flows=-2, busy=-2)
        assert chosen_zone(tables, UPLOAD, 107.0) == "north"

    def test_flows_that_crossed_do_not_keep_others_away_from_home(self):
        """The home zone was drained and comes back idle.

        Each opening decides anew: uploads are at home at once, small requests as well.
        """
        tables = two_zones()
        tables.zone_drains["north"] = ZoneDrain("north", 5)
        for _ in range(8):
            row = choose_target(tables, "previews", [], 101.0, UPLOAD)
            assert row.target.zone == "south"
            count_load(row, flows=1, busy=1)
        tables.zone_drains["north"] = ZoneDrain("north", 6, ended=True)
        assert chosen_zone(tables, UPLOAD) == "north"
        assert chosen_zone(tables) == "north"

    @pytest.mark.parametrize("weight", [1.0, UPLOAD])
    def test_avoided_home_is_left(self, weight):
        """No target of the home zone answers; an upload must not wait for them."""
        tables = two_zones()
        for row in in_zone(tables, "north"):
            row.avoid_until = 110.0
        assert chosen_zone(tables, weight) == "south"
        for row in in_zone(tables, "south"):
            row.avoid_until = 110.0
        assert chosen_zone(tables, weight) == "north"

    def test_targets_of_the_home_zone_end_and_return(self):
        """All targets of the home zone are removed, and start again."""
        tables = two_zones()
        for number in range(1, 5):
            remove_target(tables, TargetRemoved(f"i-{number:x}", 5), 101.0, [])
        assert chosen_zone(tables, UPLOAD) == "south"
        apply_target(tables, make_target(1, revision=9), 102.0, [])
        assert chosen_zone(tables, UPLOAD, 103.0) == "north"

    def test_target_that_moves_to_another_zone_is_listed_there(self):
        """A target's entry names another zone; it must not count as a home target."""
        tables = two_zones(home=1, away=1)
        apply_target(tables, make_target(1, "south", revision=9), 101.0, [])
        split = tables.targets_by_zone["previews"]
        assert (len(split.home), len(split.others)) == (0, 2)

    def test_steady_load_beyond_home_does_not_oscillate(self):
        """Fourteen uploads are always open, and the home zone has eight slots.

        The same few flows cross, not all in one second and none in the next.
        """
        tables = two_zones()
        running, crossings = [], []
        for turn in range(400):
            if len(running) == 14:
                count_load(running.pop(turn * 7 % 14), flows=-1, busy=-1)
            row = choose_target(tables, "previews", [], 101.0 + turn, UPLOAD)
            count_load(row, flows=1, busy=1)
            note_placed(row, 101.0 + turn)
            running.append(row)
            crossings.append(sum(row.target.zone == "south" for row in running))
        assert max(crossings[50:]) - min(crossings[50:]) <= 2

    def test_dearer_crossing_keeps_small_requests_home(self):
        """The operators raise the price of bytes between zones."""
        tables = two_zones()
        for row in in_zone(tables, "north"):
            count_load(row, flows=1, busy=1)
        tables.zone_crossing_cost = 0.8
        assert chosen_zone(tables) == "north"
