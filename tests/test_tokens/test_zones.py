"""Tests of zone failures: evidence that a zone is partitioned, and its effects."""

from __future__ import annotations

from citronspring.tokens.messages import Forward, ResetReason
from citronspring.tokens.placement import count_load
from tests.test_tokens.driver import Driver, make_target, reason_of, target_of


def unanswered_opening(driver, port):
    """Open a flow that targets of zone north answer and others do not."""
    caller = driver.caller(port)
    first = caller.open()
    actions = [first]
    for _ in range(3):
        if actions and actions[-1].target.target.zone == "north":
            caller.finish_handshake(actions[-1])
            break
        actions += driver.wait(0.031)
    return target_of(first)


class TestResetIntoZone:
    def test_flow_into_a_partitioned_zone_is_reset_after_one_retransmission(self):
        """Another zone is partitioned; a host has one preview to each of its targets.

        No target has a second flow as evidence. Three unresponsive targets of the zone,
        without an answer from it since, are evidence for each of them.
        """
        driver = Driver(*(make_target(number, "south") for number in (1, 2, 3)))
        callers = [driver.caller(port) for port in range(3)]
        rows = {caller.connect().target.target_id for caller in callers}
        assert len(rows) == 3
        driver.now += 0.05
        for caller in callers:
            caller.send_request()
        driver.answer_control_openings()
        driver.now += 0.2
        assert isinstance(callers[0].retransmit(), Forward)
        assert isinstance(callers[1].retransmit(), Forward)
        driver.now += 0.06
        assert reason_of(callers[2].retransmit()) is ResetReason.TARGET_UNREACHABLE

    def test_zone_without_time_to_answer_is_not_unreachable_yet(self):
        """A burst saturates the host's link for 20 ms; packets to one zone are lost.

        Their retransmissions follow 200 ms later, all at once as well. The zone's
        targets are healthy but have had no time to answer; a reset would break a flow
        that goes on.
        """
        driver = Driver(*(make_target(number, "south") for number in (1, 2, 3)))
        callers = [driver.caller(port) for port in range(3)]
        for caller in callers:
            caller.connect()
        driver.now += 0.05
        for caller in callers:
            caller.send_request()
        driver.answer_control_openings()
        driver.now += 0.2
        for caller in callers:
            assert isinstance(caller.retransmit(), Forward)

    def test_single_flow_into_a_partitioned_zone_is_reset_after_two_retransmissions(
        self,
    ):
        """Another zone is partitioned; a host has a single preview to it.

        No other flow goes to that zone. After the second retransmission, 0.6 s after
        the request, the flow is reset, and the caller need not wait until its deadline.
        """
        driver = Driver(make_target(1, "south"))
        caller = driver.caller(1)
        caller.connect()
        driver.now += 0.05
        caller.send_request()
        driver.answer_control_openings()
        driver.now += 0.2
        assert isinstance(caller.retransmit(), Forward)
        driver.now += 0.4
        assert reason_of(caller.retransmit()) is ResetReason.TARGET_UNREACHABLE

    def test_two_retransmissions_are_no_evidence_while_the_zone_answers(self):
        """A request and a retransmission are lost; others of the zone answer."""
        driver = Driver(*(make_target(number, "south") for number in (1, 2)))
        callers = [driver.caller(port) for port in range(2)]
        for caller in callers:
            caller.connect()
        driver.now += 0.05
        for caller in callers:
            caller.send_request()
        driver.answer_control_openings()
        driver.now += 0.1
        callers[1].acknowledge_answer()
        for pause in (0.1, 0.4, 0.8):
            driver.now += pause
            assert isinstance(callers[0].retransmit(), Forward)

    def test_answer_from_the_zone_keeps_flows_of_its_unresponsive_targets(self):
        """Three targets of another zone do not answer for a moment; a fourth does."""
        driver = Driver(*(make_target(number, "south") for number in (1, 2, 3, 4)))
        callers = [driver.caller(port) for port in range(4)]
        for caller in callers:
            caller.connect()
        driver.now += 0.05
        for caller in callers:
            caller.send_request()
        driver.answer_control_openings()
        driver.now += 0.2
        callers[0].retransmit()
        callers[1].retransmit()
        callers[3].acknowledge_answer()
        assert isinstance(callers[2].retransmit(), Forward)


class TestZones:
    def test_one_crashed_target_does_not_make_its_zone_suspect(self):
        """One target of another zone has crashed; the others are healthy.

        Its openings go unanswered. If the whole zone were avoided, other targets would
        be overloaded, and flows in the zone would be reset.
        """
        driver = Driver(*(make_target(number, "south") for number in (1, 2, 3)))
        caller = driver.caller(1)
        crashed = target_of(caller.open())
        (second,) = driver.wait(0.031)
        caller.finish_handshake(second)
        others = {target_of(driver.caller(port).open()) for port in range(2, 6)}
        assert crashed not in others
        assert driver.tables.zones["south"].suspect_until <= driver.now

    def test_timeouts_of_two_targets_make_the_zone_suspect(self):
        """Another zone is partitioned: openings to two of its targets go unanswered.

        New flows then go to reachable targets immediately, without trying each target
        of the zone first.
        """
        driver = Driver(
            make_target(1, "south"),
            make_target(2, "south"),
            make_target(3, "south"),
            make_target(4, "north"),
        )
        count_load(driver.tables.targets["i-4"], flows=1000)
        unanswered_opening(driver, 1)
        unanswered_opening(driver, 2)
        assert target_of(driver.caller(3).open()) == "i-4"

    def test_answer_from_the_zone_ends_the_suspicion(self):
        """The partition is over: one answer from the zone ends the suspicion."""
        driver = Driver(*(make_target(number, "south") for number in (1, 2, 3)))
        unanswered_opening(driver, 1)
        unanswered_opening(driver, 2)
        assert driver.tables.zones["south"].suspect_until > driver.now
        driver.caller(3).connect()
        assert driver.tables.zones["south"].suspect_until == 0.0
