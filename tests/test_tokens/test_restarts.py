"""Tests of targets that restart under their id, and of entries by other programs."""

from __future__ import annotations

from citronspring.tokens.codec import (
    decode_change,
    decode_target,
    encode_change,
    encode_target,
)
from citronspring.tokens.entries import Unreadable
from citronspring.tokens.messages import Changes, Forward
from tests.test_tokens.driver import ORDERS, Driver, make_target, target_of

FIRST_START = 1_764_720_000_000
SECOND_START = FIRST_START + 5_000


def first_and_other():
    """Return a host that knows two targets, each in its first incarnation."""
    return Driver(
        make_target(1, started=FIRST_START), make_target(2, started=FIRST_START)
    )


def restart(driver, number=1, **fields):
    """Let a target register after a restart."""
    revision = driver.revision + 1
    target = make_target(number, started=SECOND_START, revision=revision, **fields)
    driver.change(target)


def confirm(driver, seconds):
    """Let the store confirm, after some seconds, that nothing has changed."""
    driver.now += seconds
    driver.answer(Changes((), None))


class TestNewIncarnation:
    def test_state_of_the_old_incarnation_is_dropped(self):
        """A target crashes with open flows and restarts at once under its id.

        Its entry was never removed. If they were kept, old flows and their time-outs
        would keep new flows away from an idle target.
        """
        driver = Driver(make_target(1, started=FIRST_START))
        caller = driver.caller(1, ORDERS)
        caller.connect()
        caller.send_request()
        for _ in range(4):
            driver.now += 0.2
            caller.retransmit()
        assert driver.tables.targets["i-1"].avoid_until > driver.now
        restart(driver)
        row = driver.tables.targets["i-1"]
        assert (row.flows, row.busy, row.timeouts, row.avoid_until) == (0, 0, 0, 0.0)
        assert driver.tables.flows == {}
        assert driver.tables.by_service["previews"] == [row]

    def test_packet_of_an_old_flow_is_forwarded_to_the_target(self):
        """A caller continues a flow that ended with the target's previous incarnation.

        The target itself resets the flow; if the host dropped the packet, the caller
        would wait until its deadline. The address is that of the new incarnation.
        """
        driver = Driver(make_target(1, started=FIRST_START))
        caller = driver.caller(1)
        caller.connect()
        moved = make_target(9).endpoint
        restart(driver, endpoint=moved)
        action = caller.send_request()
        assert isinstance(action, Forward)
        assert action.target.target.endpoint == moved

    def test_new_flows_reach_the_new_incarnation(self):
        driver = first_and_other()
        restart(driver)
        driver.remove(2)
        assert target_of(driver.caller(1).open()) == "i-1"

    def test_late_write_of_the_old_incarnation_is_ignored(self):
        """The leave announcement of the old incarnation is written seconds late.

        It has a newer revision than the entry of the incarnation that serves. If it
        were applied, the target would get no flows until its next change.
        """
        driver = first_and_other()
        restart(driver)
        late = make_target(1, started=FIRST_START, leaving=True, revision=9)
        driver.revision = 8
        driver.change(late)
        assert not driver.tables.targets["i-1"].target.leaving

    def test_start_with_its_clock_set_back_is_adopted(self):
        """A target crashes, its machine's clock jumps back, and it starts again.

        Its entries were ignored from then on, that it leaves too.
        """
        driver = first_and_other()
        restart(driver)
        moved = make_target(9).endpoint
        values = {"started": FIRST_START, "endpoint": moved}
        driver.change(make_target(1, revision=9, **values))
        confirm(driver, 2.4)
        assert driver.tables.targets["i-1"].target.started == SECOND_START
        confirm(driver, 0.2)
        row = driver.tables.targets["i-1"]
        assert (row.target.endpoint, row.token) == (moved, 1)
        assert driver.tables.by_service["previews"].count(row) == 1
        driver.change(make_target(1, revision=10, leaving=True, **values))
        assert target_of(driver.caller(1).open()) == "i-2"

    def test_late_write_that_the_target_replaces_is_not_adopted(self):
        driver = first_and_other()
        restart(driver)
        driver.change(make_target(1, started=FIRST_START, leaving=True, revision=9))
        confirm(driver, 1.2)
        driver.change(make_target(1, started=SECOND_START, revision=10))
        confirm(driver, 5.0)
        assert not driver.tables.targets["i-1"].target.leaving

    def test_late_write_is_not_adopted_while_the_store_is_silent(self):
        """The target may have written its entry again meanwhile."""
        driver = first_and_other()
        restart(driver)
        driver.change(make_target(1, started=FIRST_START, leaving=True, revision=9))
        driver.now += 5.0
        driver.fail_call()
        assert not driver.tables.targets["i-1"].target.leaving

    def test_target_that_was_removed_starts_with_its_clock_set_back(self):
        driver = first_and_other()
        restart(driver)
        driver.remove(1)
        driver.change(make_target(1, started=FIRST_START, revision=9))
        confirm(driver, 3.0)
        row = driver.tables.targets["i-1"]
        assert driver.tables.by_service["previews"].count(row) == 1

    def test_change_of_the_same_incarnation_keeps_its_state(self):
        driver = Driver(make_target(1, started=FIRST_START))
        driver.caller(1).connect()
        driver.change(make_target(1, started=FIRST_START, leaving=True, revision=2))
        row = driver.tables.targets["i-1"]
        assert row.target.leaving
        assert row.flows == 1

    def test_target_without_a_start_time_is_used(self):
        driver = Driver(make_target(1))
        driver.change(make_target(1, leaving=True, revision=2))
        assert driver.tables.targets["i-1"].target.leaving

    def test_start_time_is_encoded_for_followers_and_peers(self):
        target = make_target(1, started=FIRST_START)
        assert decode_change(encode_change(target)).started == FIRST_START
        assert decode_target(encode_target(target, 0.0)).started == FIRST_START

    def test_target_of_an_older_release_has_no_start_time(self):
        plain = encode_target(make_target(1), 0.0)
        del plain["started"]
        assert decode_target(plain).started is None


class TestUnreadable:
    def test_last_valid_entry_stays_in_effect(self):
        """Another program overwrites the entry of a target that serves.

        The target rewrites it within a heartbeat. Until then its flows go on, like
        those of all others.
        """
        driver = first_and_other()
        caller = driver.caller(1)
        row = caller.connect()
        driver.change(Unreadable(row.target.target_id, "no JSON", 2))
        assert isinstance(caller.send_request(), Forward)
        assert row in driver.tables.by_service["previews"]

    def test_entry_of_a_later_incarnation_removes_the_target(self):
        """The entry cannot be decoded, but shows that the target has restarted.

        Its last valid entry belongs to an incarnation that has ended.
        """
        driver = first_and_other()
        driver.change(Unreadable("i-1", "state is 'parked'", 2, SECOND_START))
        assert target_of(driver.caller(1).open()) == "i-2"

    def test_entry_with_an_unknown_id_adds_no_target(self):
        driver = first_and_other()
        driver.change(Unreadable("i-7", "no JSON", 2))
        assert "i-7" not in driver.tables.targets
        assert len(driver.tables.by_service["previews"]) == 2

    def test_entry_without_a_start_time_replaces_none_that_has_one(self):
        """Another program writes an entry that looks like a target's, under its id."""
        driver = Driver(make_target(1, started=FIRST_START))
        unrelated = make_target(1, endpoint=make_target(9).endpoint, revision=2)
        driver.change(unrelated)
        row = driver.tables.targets["i-1"]
        assert row.target.endpoint == make_target(1).endpoint

    def test_unreadable_entry_is_encoded_for_followers(self):
        entry = Unreadable("i-1", "no JSON", 7, SECOND_START)
        found = decode_change(encode_change(entry))
        assert (found.name, found.reason) == ("i-1", "no JSON")
        assert (found.revision, found.started) == (7, SECOND_START)
