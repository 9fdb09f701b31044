"""Tests of failure detection: evidence against targets, and its effects."""

from __future__ import annotations

from citronspring.tokens.messages import Forward, ResetReason
from tests.test_tokens.driver import ORDERS, Driver, make_target, reason_of


def retransmit_two_requests(driver):
    """Let two flows retransmit their requests; return a third, idle one."""
    callers = [driver.caller(port) for port in range(3)]
    for caller in callers:
        caller.connect()
    for caller in callers[:2]:
        caller.send_request()
    driver.answer_control_openings()
    driver.now += 0.2
    for caller in callers[:2]:
        caller.retransmit()
    driver.now += 0.06
    return callers[2]


class TestReordering:
    def test_reordered_bytes_are_no_retransmission(self):
        """Packets of an upload arrive at the host out of order.

        The caller sends sixteen packets at once, and they are reordered within
        milliseconds. Taken for retransmissions, each large upload would count as a
        time-out of its target, and flows of healthy targets would be reset.
        """
        driver = Driver(make_target(1))
        caller = driver.caller(1, ORDERS)
        row = caller.connect()
        caller.send(16, 1200, seq=caller.seq + 1200)
        driver.now += 0.005
        caller.send(16, 1200, seq=caller.seq)
        assert row.timeouts == 0
        assert driver.tables.flows[caller.flow].retransmissions == 0

    def test_bytes_sent_again_after_the_timeout_are_a_retransmission(self):
        driver = Driver(make_target(1))
        caller = driver.caller(1)
        row = caller.connect()
        caller.send_request()
        driver.now += 0.2
        caller.retransmit()
        assert row.timeouts == 1


class TestReset:
    def test_one_lost_request_resets_nothing(self):
        """A datagram is lost; the caller retransmits its request after 200 ms.

        The target is healthy and would answer. A reset would break its flow, so a
        single retransmission is not enough.
        """
        driver = Driver(make_target(1), make_target(2))
        caller = driver.caller(1)
        caller.connect()
        caller.send_request()
        driver.answer_control_openings()
        driver.now += 0.2
        assert isinstance(caller.retransmit(), Forward)

    def test_slow_target_is_not_reset(self):
        """A target takes a second per request, but acknowledges immediately.

        The caller does not retransmit, so nothing counts against the target.
        """
        driver = Driver(make_target(1))
        caller = driver.caller(1)
        row = caller.connect()
        caller.send_request()
        driver.wait(1.0)
        assert isinstance(caller.acknowledge_answer(), Forward)
        assert row.timeouts == 0

    def test_retransmissions_of_one_request_count_once(self):
        """A request and its first retransmission are lost in a burst, not the second.

        The target is healthy and answers it. If each retransmission counted, the flow
        would be reset although it goes on.
        """
        driver = Driver(make_target(1), make_target(2))
        caller = driver.caller(1)
        caller.connect()
        caller.send_request()
        driver.answer_control_openings()
        for pause in (0.2, 0.4, 0.8):
            driver.now += pause
            assert isinstance(caller.retransmit(), Forward)

    def test_retransmissions_of_two_flows_reset(self):
        """A target has crashed with two open previews, and both callers retransmit.

        With a second flow without an answer, one retransmission is enough. The caller
        can retry immediately instead of waiting for its deadline.
        """
        driver = Driver(make_target(1))
        first, second = driver.caller(1), driver.caller(2)
        for caller in (first, second):
            caller.connect()
            caller.send_request()
        driver.answer_control_openings()
        driver.now += 0.2
        assert isinstance(first.retransmit(), Forward)
        driver.now += 0.06
        assert reason_of(second.retransmit()) is ResetReason.TARGET_UNREACHABLE
        driver.now += 0.4
        assert reason_of(first.retransmit()) is ResetReason.TARGET_UNREACHABLE

    def test_requests_lost_at_the_same_moment_are_no_evidence_yet(self):
        """A burst fills the host's link for 20 ms; two requests to a target are lost.

        Their callers retransmit 200 ms later, almost at the same time. The target is
        healthy but has had no time to answer the first retransmission.
        """
        driver = Driver(make_target(1))
        first, second = driver.caller(1), driver.caller(2)
        for caller in (first, second):
            caller.connect()
            caller.send_request()
        driver.answer_control_openings()
        driver.now += 0.2
        assert isinstance(first.retransmit(), Forward)
        driver.now += 0.02
        assert isinstance(second.retransmit(), Forward)

    def test_unanswered_openings_are_no_evidence(self):
        """Callers give up while their openings are in flight, and one datagram is lost.

        The target seems to have left the openings unanswered. If they counted, the flow
        whose request was retransmitted once would be reset.
        """
        driver = Driver(make_target(1))
        caller = driver.caller(1)
        caller.connect()
        for port in range(2, 6):
            driver.caller(port).open()
        driver.wait(0.031)
        caller.send_request()
        driver.answer_control_openings()
        driver.now += 0.2
        assert isinstance(caller.retransmit(), Forward)

    def test_old_retransmission_of_another_flow_is_no_evidence(self):
        driver = Driver(make_target(1))
        first, second = driver.caller(1), driver.caller(2)
        for caller in (first, second):
            caller.connect()
        first.send_request()
        driver.now += 0.2
        first.retransmit()
        driver.now += 1.1
        second.send_request()
        driver.answer_control_openings()
        driver.now += 0.2
        assert isinstance(second.retransmit(), Forward)

    def test_unreachable_target_resets_requests_of_its_other_flows(self):
        """Another zone is partitioned, with a dozen previews open to one target there.

        Two of them have retransmitted. The next request of a third is reset immediately
        and served elsewhere in time; waiting for its own retransmission would make it
        late.
        """
        driver = Driver(make_target(1))
        third = retransmit_two_requests(driver)
        assert reason_of(third.send_request()) is ResetReason.TARGET_UNREACHABLE

    def test_evidence_against_a_target_expires(self):
        """The partition is over, and nothing was sent to the target since.

        After a second its flows are tried again, since the target would answer.
        """
        driver = Driver(make_target(1))
        third = retransmit_two_requests(driver)
        driver.now += 1.1
        assert isinstance(third.send_request(), Forward)

    def test_overloaded_target_keeps_its_flows(self):
        """Two targets have crashed, and the others are overloaded.

        An overloaded target leaves openings unanswered while its open flows go on. If
        it counted as unreachable, those flows would be reset under the highest load.
        """
        driver = Driver(make_target(1))
        open_flow = driver.caller(1)
        open_flow.connect()
        for port in range(2, 6):
            driver.caller(port).open()
            driver.wait(0.1)
        driver.answer_control_openings()
        assert isinstance(open_flow.send_request(), Forward)

    def test_order_is_never_reset(self):
        """An order was sent to a target that no longer answers.

        It may have run. A reset would end the flow before a late answer, and would not
        show the caller whether it has run.
        """
        driver = Driver(make_target(1))
        caller = driver.caller(1, ORDERS)
        caller.connect()
        caller.send_request()
        driver.answer_control_openings()
        for pause in (0.2, 0.4, 0.8):
            driver.now += pause
            assert isinstance(caller.retransmit(), Forward)

    def test_answer_in_between_clears_the_timeout(self):
        """Two datagrams are lost, with an answer in between: no reset."""
        driver = Driver(make_target(1), make_target(2))
        caller = driver.caller(1)
        caller.connect()
        for _ in range(2):
            caller.send_request()
            driver.answer_control_openings()
            driver.now += 0.2
            assert isinstance(caller.retransmit(), Forward)
            driver.now += 0.05
            caller.acknowledge_answer()

    def test_reset_after_the_removal_is_final(self):
        """A target's entry was removed, and the store has answered since.

        The target was removed, so an idempotent request to it is reset immediately.
        """
        driver = Driver(make_target(1), make_target(2))
        caller = driver.caller(1)
        row = caller.connect()
        driver.remove(row.target.incarnation)
        driver.wait(2.6)
        driver.change()
        assert reason_of(caller.send_request()) is ResetReason.TARGET_GONE

    def test_no_reset_while_the_entry_may_return(self):
        """The store dropped entries during an outage, and the targets register again.

        For two seconds a missing entry is no evidence, so the flow goes on.
        """
        driver = Driver(make_target(1), make_target(2))
        caller = driver.caller(1)
        row = caller.connect()
        driver.remove(row.target.incarnation)
        driver.wait(1.9)
        driver.change()
        assert isinstance(caller.send_request(), Forward)


class TestTimeouts:
    def test_unresponsive_target_does_not_crash_the_process(self):
        """Many callers retransmit orders to an unreachable target again and again.

        None is reset, so time-outs add up. An avoidance that doubles without limit
        would overflow at a thousand time-outs and crash the host.
        """
        driver = Driver(make_target(1))
        caller = driver.caller(1, ORDERS)
        caller.connect()
        caller.send_request()
        for _ in range(3000):
            driver.now += 0.2
            assert isinstance(caller.retransmit(), Forward)
