"""What the host's own link does to its packets is no evidence against targets."""

from __future__ import annotations

from citronspring.tokens.messages import Forward, ResetReason
from citronspring.tokens.own_path import LOSSY_SHARE, is_lossy
from tests.test_tokens.driver import Driver, make_target, reason_of


def connect(driver, count):
    """Open flows, and return their callers."""
    callers = [driver.caller(port) for port in range(count)]
    for caller in callers:
        caller.connect()
    driver.now += 0.05
    return callers


def send_in_vain(driver, callers):
    """Have requests go out that are sent again 200 ms later."""
    for caller in callers:
        caller.ask()
    driver.now += 0.2
    return [caller.ask_again() for caller in callers]


class TestControl:
    def test_silence_of_all_targets_resets_nothing(self):
        """Six times the callers; the host's link of 5 Mbit/s is full for a second.

        Requests to every target wait there, and callers send them again after 200 ms.
        Two repetitions at one target look like its death; it lives, and a reset would
        break flows by the dozen.
        """
        driver = Driver(make_target(1))
        for action in send_in_vain(driver, connect(driver, 6)):
            assert isinstance(action, Forward)

    def test_silence_of_a_whole_zone_and_of_all_others_resets_nothing(self):
        """The same, with the targets in another zone: that zone is not cut off."""
        driver = Driver(*(make_target(number, "south") for number in range(1, 6)))
        for action in send_in_vain(driver, connect(driver, 5)):
            assert isinstance(action, Forward)

    def test_answers_to_what_was_sent_before_are_no_control(self):
        """The link filled up a moment ago; answers to earlier packets still come."""
        driver = Driver(make_target(1))
        callers = connect(driver, 2)
        driver.prove_path()
        for action in send_in_vain(driver, callers):
            assert isinstance(action, Forward)

    def test_answers_of_a_silent_zones_targets_are_no_control_for_it(self):
        """Of a zone that is cut off nothing answers; another zone must."""
        driver = Driver(make_target(1, "south"))
        (caller,) = connect(driver, 1)
        caller.ask()
        for pause in (0.2, 0.4, 0.8):
            driver.now += pause
            assert isinstance(caller.ask_again(), Forward)

    def test_pause_of_the_host_voids_what_came_before(self):
        """The host stands still for a second while requests to a target are under way.

        What it should have sent on waited in its socket. Others are answered at once
        afterwards, which shows nothing of the time before.
        """
        driver = Driver(make_target(1))
        callers = connect(driver, 2)
        for caller in callers:
            caller.ask()
        driver.prove_path()
        driver.core.begin_turn(driver.now)
        driver.now += 1.0
        assert driver.core.begin_turn(driver.now)
        for caller in callers:
            assert isinstance(caller.ask_again(), Forward)

    def test_failed_send_voids_what_came_before(self):
        driver = Driver(make_target(1))
        callers = connect(driver, 2)
        for caller in callers:
            caller.ask()
        driver.prove_path()
        driver.core.note_failed_send(driver.now)
        driver.now += 0.2
        for caller in callers:
            assert isinstance(caller.ask_again(), Forward)

    def test_control_lets_a_dead_target_be_known(self):
        driver = Driver(make_target(1))
        callers = connect(driver, 2)
        for caller in callers:
            caller.ask()
        driver.prove_path()
        driver.now += 0.2
        assert isinstance(callers[0].ask_again(), Forward)
        assert reason_of(callers[1].ask_again()) is ResetReason.TARGET_UNREACHABLE


class TestLosses:
    def lossy_driver(self, answered):
        """Return a host that lost two requests among some that were answered.

        Its targets answered what went out after those, so they were there.
        """
        driver = Driver(make_target(1))
        lost = connect(driver, 2)
        for caller in lost:
            caller.ask()
        driver.now += 0.01
        for port in range(10, 10 + answered):
            driver.caller(port).connect()
        driver.now += 0.2
        for caller in lost:
            caller.ask_again()
        return driver

    def test_losses_on_ways_that_work_are_the_hosts_own(self):
        """A full link drops every third packet; what gets through is answered.

        By chance two requests to one target are lost with their copies, while others
        go on to others. Answers alone would be control enough.
        """
        driver = self.lossy_driver(answered=6)
        assert is_lossy(driver.tables.own_path, driver.now)
        driver.change(make_target(2))
        row = driver.tables.targets["i-2"]
        driver.tables.targets["i-1"].avoid_until = driver.now + 9
        callers = [driver.caller(port) for port in (50, 51)]
        for caller in callers:
            assert caller.connect() is row
        driver.now += 0.05
        for caller in callers:
            caller.ask()
        driver.prove_path()
        driver.now += 0.2
        for caller in callers:
            assert isinstance(caller.ask_again(), Forward)

    def test_few_losses_among_many_answers_are_usual(self):
        answered = int(2 / LOSSY_SHARE) + 10
        driver = self.lossy_driver(answered)
        assert not is_lossy(driver.tables.own_path, driver.now)

    def test_repetitions_to_a_dead_target_are_no_losses_of_the_host(self):
        """A target dies under many flows; none of them is answered again."""
        driver = Driver(make_target(1))
        send_in_vain(driver, connect(driver, 8))
        assert not is_lossy(driver.tables.own_path, driver.now)

    def test_losses_are_forgotten(self):
        driver = self.lossy_driver(answered=6)
        driver.now += 2.1
        assert not is_lossy(driver.tables.own_path, driver.now)


class TestZones:
    def test_zone_is_not_suspect_while_the_host_loses_packets(self):
        """The host's link drops packets to all zones, some to another zone in a row.

        Were that zone suspect, its new flows would all go to the own zone's targets
        in the middle of a burst.
        """
        driver = TestLosses().lossy_driver(answered=6)
        for number in (2, 3):
            driver.change(make_target(number, "south", revision=driver.revision + 1))
        driver.tables.targets["i-1"].avoid_until = driver.now + 9
        for port in (60, 61):
            driver.caller(port).open()
        driver.wait(0.2)
        zone = driver.tables.zones["south"]
        assert zone.silent_targets == 2
        assert zone.suspect_until == 0.0


def test_flow_that_comes_from_another_host_is_no_answer():
    """A host has gone; its flows come here, some of them to a target that is dead.

    Their openings were answered long ago. Taken for answers now, they would clear the
    target of its silence, and new flows would be sent to it.
    """
    driver = Driver(make_target(1), make_target(2))
    first = driver.caller(1)
    row = first.connect()
    first.ask()
    driver.now += 0.2
    first.ask_again()
    avoided_until = row.avoid_until
    moved = driver.caller(2)
    moved.token = row.token
    assert isinstance(moved.ask(), Forward)
    assert (row.silences, row.avoid_until) == (1, avoided_until)
