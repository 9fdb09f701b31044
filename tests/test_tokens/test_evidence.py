"""What counts as a sign that a target is lost, and what follows."""

from __future__ import annotations

from citronspring.tokens.messages import Forward, ResetReason
from tests.test_tokens.driver import ORDERS, Driver, make_target, reason_of


def retransmit_two_requests(driver):
    """Have two flows send their requests again in vain; return a third, idle one."""
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
        """An upload's packets overtake each other on the way to the host.

        The caller sends sixteen packets at once; they arrive out of order within
        milliseconds. Taken for repetitions, each large upload would count as
        silence of its target, and flows of targets that are well would be reset.
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
        """A datagram is lost; the caller sends its request again after 200 ms.

        The target lives and would answer. A reset would break its flow for good,
        so one repetition alone is not enough.
        """
        driver = Driver(make_target(1), make_target(2))
        caller = driver.caller(1)
        caller.connect()
        caller.send_request()
        driver.answer_control_openings()
        driver.now += 0.2
        assert isinstance(caller.retransmit(), Forward)

    def test_slow_target_is_not_reset(self):
        """A target works for a second on each request and acknowledges at once.

        The caller waits and sends nothing again, so nothing counts against it.
        """
        driver = Driver(make_target(1))
        caller = driver.caller(1)
        row = caller.connect()
        caller.send_request()
        driver.wait(1.0)
        assert isinstance(caller.acknowledge_answer(), Forward)
        assert row.timeouts == 0

    def test_retransmissions_of_one_request_count_once(self):
        """Two copies of a preview's request are lost in a burst, then one arrives.

        The target is well and answers the third copy. Counted apart, the first two
        would have reset a flow that goes on.
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
        """A target has crashed under two previews; both callers send in vain.

        With a second flow that got no answer, one repetition is enough. The caller
        tries again at once instead of waiting until its deadline.
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

        Their callers send copies 200 ms later, a moment apart. The target, which
        lives, has had no time to answer the first.
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
        """Callers give up while their openings are under way; a datagram is lost.

        A target seems to have left the openings unanswered. Counted as witnesses,
        they would have the flow reset whose request was sent again once.
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
        """Another zone is cut off, with a dozen previews open to one target there.

        Two of them send again in vain. The next request of a third is reset at once
        and served elsewhere in time; waiting for its own repetition makes it late.
        """
        driver = Driver(make_target(1))
        third = retransmit_two_requests(driver)
        assert reason_of(third.send_request()) is ResetReason.TARGET_UNREACHABLE

    def test_evidence_against_a_target_expires(self):
        """The cut has healed, and nobody has sent to the target since.

        After a second its flows are tried again: the target would answer.
        """
        driver = Driver(make_target(1))
        third = retransmit_two_requests(driver)
        driver.now += 1.1
        assert isinstance(third.send_request(), Forward)

    def test_overloaded_target_keeps_its_flows(self):
        """Two targets have crashed; the others are overrun by their callers.

        A full target leaves openings unanswered while its open flows go on. Taken
        for out of reach, those flows would be reset under the worst load.
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
        """A standing order has reached a target that no longer answers.

        It may have run. A reset would leave the caller without an answer that
        could still come, and tell it nothing.
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
        """Two datagrams are lost, with an answer between them: no reset."""
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
        """A target's entry has left the store, and the store has answered since.

        The target is gone: an idempotent request to it is reset at once.
        """
        driver = Driver(make_target(1), make_target(2))
        caller = driver.caller(1)
        row = caller.connect()
        driver.remove(row.target.incarnation)
        driver.wait(2.6)
        driver.change()
        assert reason_of(caller.send_request()) is ResetReason.TARGET_GONE

    def test_no_reset_while_the_entry_may_return(self):
        """The store forgot entries during an outage; the targets register anew.

        For two seconds a missing entry tells nothing, so the flow goes on.
        """
        driver = Driver(make_target(1), make_target(2))
        caller = driver.caller(1)
        row = caller.connect()
        driver.remove(row.target.incarnation)
        driver.wait(1.9)
        driver.change()
        assert isinstance(caller.send_request(), Forward)


class TestSilence:
    def test_unresponsive_target_does_not_crash_the_process(self):
        """Orders to a lost target are sent again and again, by many callers.

        None is reset, so silences add up. An avoidance that doubled without end
        would overflow at a thousand, and the host would end for one lost target.
        """
        driver = Driver(make_target(1))
        caller = driver.caller(1, ORDERS)
        caller.connect()
        caller.send_request()
        for _ in range(3000):
            driver.now += 0.2
            assert isinstance(caller.retransmit(), Forward)
