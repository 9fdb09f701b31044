"""Tests of the local path: loss at the host's own link is no evidence."""

from __future__ import annotations

from citronspring.tokens.local_path import MAX_LOSS_RATIO
from citronspring.tokens.messages import Forward, ResetReason
from tests.test_tokens.driver import Driver, make_target, reason_of


def connect(driver, count):
    """Open flows and return their callers."""
    callers = [driver.caller(port) for port in range(count)]
    for caller in callers:
        caller.connect()
    driver.now += 0.05
    return callers


def retransmit_requests(driver, callers):
    """Let requests be sent, and retransmitted 200 ms later."""
    for caller in callers:
        caller.send_request()
    driver.now += 0.2
    actions = [caller.retransmit() for caller in callers]
    driver.now += 0.4
    return actions + [caller.retransmit() for caller in callers]


class TestControl:
    def test_timeouts_of_all_targets_reset_nothing(self):
        """With six times the callers, the host's link of 5 Mbit/s is full for a second.

        Requests to every target are queued there, and callers retransmit them after 200
        ms. Two retransmissions to one target suggest that it has crashed; it is
        healthy, and a reset would break dozens of flows.
        """
        driver = Driver(make_target(1))
        for action in retransmit_requests(driver, connect(driver, 6)):
            assert isinstance(action, Forward)

    def test_timeouts_of_all_zones_reset_nothing(self):
        """The same with all targets in another zone: that zone is not partitioned."""
        driver = Driver(*(make_target(number, "south") for number in range(1, 6)))
        for action in retransmit_requests(driver, connect(driver, 5)):
            assert isinstance(action, Forward)

    def test_answers_to_earlier_packets_are_no_control(self):
        """The link has just filled up; answers to earlier packets still arrive."""
        driver = Driver(make_target(1))
        callers = connect(driver, 2)
        driver.answer_control_openings()
        for action in retransmit_requests(driver, callers):
            assert isinstance(action, Forward)

    def test_answers_from_the_unresponsive_zone_are_no_control(self):
        """A partitioned zone answers nothing, so targets of another zone must."""
        driver = Driver(make_target(1, "south"))
        (caller,) = connect(driver, 1)
        caller.send_request()
        for pause in (0.2, 0.4, 0.8):
            driver.now += pause
            assert isinstance(caller.retransmit(), Forward)

    def test_stall_of_the_host_voids_earlier_evidence(self):
        """The host stalls for a second while requests to a target are in flight.

        What it should have forwarded waited in its socket's queue. Other targets answer
        at once afterwards, which shows nothing about the time before.
        """
        driver = Driver(make_target(1))
        callers = connect(driver, 2)
        for caller in callers:
            caller.send_request()
        driver.answer_control_openings()
        driver.core.begin_iteration(driver.now)
        driver.now += 1.0
        assert driver.core.begin_iteration(driver.now)
        for _ in range(2):
            for caller in callers:
                assert isinstance(caller.retransmit(), Forward)
            driver.now += 0.06

    def test_failed_send_voids_earlier_evidence(self):
        driver = Driver(make_target(1))
        callers = connect(driver, 2)
        for caller in callers:
            caller.send_request()
        driver.answer_control_openings()
        driver.core.note_failed_send(driver.now)
        for pause in (0.2, 0.06):
            driver.now += pause
            for caller in callers:
                assert isinstance(caller.retransmit(), Forward)

    def test_control_answers_confirm_a_crashed_target(self):
        driver = Driver(make_target(1))
        callers = connect(driver, 2)
        for caller in callers:
            caller.send_request()
        driver.answer_control_openings()
        driver.now += 0.2
        assert isinstance(callers[0].retransmit(), Forward)
        driver.now += 0.06
        assert reason_of(callers[1].retransmit()) is ResetReason.TARGET_UNREACHABLE


class TestLosses:
    """Requests of three flows: two to an unresponsive target, one to a healthy one."""

    def lose_request_to_another_target(self, answered, zone="north"):
        """Lose a request to another target too; return the action for a retransmission.

        Parameters
        ----------
        answered : int
            Answers of a third target to openings that were sent meanwhile.
        zone : str
            Zone of the other target.
        """
        driver = Driver(make_target(1))
        callers = connect(driver, 2)
        driver.change(make_target(2, zone, revision=2))
        driver.tables.targets["i-1"].avoid_until = driver.now + 1.0
        other = driver.caller(7)
        assert other.connect().target.target_id == "i-2"
        driver.now += 0.05
        for caller in (*callers, other):
            caller.send_request()
        for _ in range(answered // 2):
            driver.answer_control_openings()
        driver.now += 0.2
        other.retransmit()
        callers[0].retransmit()
        driver.now += 0.06
        return callers[1].retransmit()

    def test_losses_on_other_paths_are_attributed_to_the_host(self):
        """A saturated link drops every third packet; what gets through is answered.

        By chance two requests to one target are lost with their retransmissions, while
        requests to others succeed. The answers alone would pass as a control, so losses
        count too.
        """
        assert isinstance(self.lose_request_to_another_target(answered=2), Forward)

    def test_one_loss_among_many_answers_is_tolerated(self):
        answered = int(1 / MAX_LOSS_RATIO) + 2
        reason = reason_of(self.lose_request_to_another_target(answered))
        assert reason is ResetReason.TARGET_UNREACHABLE

    def lose_requests_before(self, *, answered):
        """Let two requests be lost, a second before two more are.

        Parameters
        ----------
        answered : bool
            Whether the first two were answered after their retransmission.
        """
        driver = Driver(make_target(1), make_target(2))
        early = connect(driver, 2)
        row = driver.tables.targets["i-2"]
        late = [driver.caller(port) for port in (10, 11, 12, 13)]
        rows = [caller.connect() for caller in late]
        late = [one for one, place in zip(late, rows, strict=True) if place is row]
        retransmit_requests(driver, early)
        if answered:
            driver.now += 0.03
            for caller in early:
                caller.acknowledge_answer()
        driver.now += 0.3
        for caller in late:
            caller.send_request()
        for _ in range(5):
            driver.answer_control_openings()
        driver.now += 0.2
        late[0].retransmit()
        driver.now += 0.06
        return late[1].retransmit()

    def test_earlier_losses_that_were_answered_are_attributed_to_the_host(self):
        """During a burst, some requests get through only when they are retransmitted.

        Their targets were reachable. Two more requests that are lost with their
        retransmissions, to a target that is unresponsive for a moment, show no more
        than that.
        """
        assert isinstance(self.lose_requests_before(answered=True), Forward)

    def test_losses_to_a_partitioned_zone_are_not_attributed_to_the_host(self):
        """The host's own zone is partitioned; a target in it has crashed as well."""
        reason = reason_of(
            self.lose_request_to_another_target(answered=2, zone="south")
        )
        assert reason is ResetReason.TARGET_UNREACHABLE


def test_flow_from_another_host_is_no_answer():
    """A host has stopped; its flows move here, some of them bound to a crashed target.

    Their openings were answered long ago. If they counted as answers now, they would
    clear the target's time-outs, and new flows would be sent to it.
    """
    driver = Driver(make_target(1), make_target(2))
    first = driver.caller(1)
    row = first.connect()
    first.send_request()
    driver.now += 0.2
    first.retransmit()
    avoided_until = row.avoid_until
    moved = driver.caller(2)
    moved.token = row.token
    assert isinstance(moved.send_request(), Forward)
    assert (row.timeouts, row.avoid_until) == (1, avoided_until)
