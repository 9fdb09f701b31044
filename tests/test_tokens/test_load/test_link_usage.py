"""Tests of the utilization of the host's link, and of evidence while it is full."""

from __future__ import annotations

import math

import pytest

from citronspring.events import LINK_STATE_CHANGED
from citronspring.tokens.load.link_usage import utilization
from citronspring.tokens.messages import Forward, ResetReason
from tests.test_tokens.driver import Driver, make_target, reason_of

RATE = 625_000.0


def make_host(rate=RATE):
    driver = Driver(make_target(1))
    driver.core.set_link_limit(rate, driver.now)
    return driver


def use_link(driver, share, seconds, directions=("received",)):
    """Let packets take a share of the link for some time."""
    usage = driver.tables.link_usage
    for _ in range(round(seconds / 0.05)):
        driver.core.begin_iteration(driver.now)
        driver.collect_logs(driver.core.tick(driver.now))
        driver.now += 0.05
        for direction in directions:
            total = getattr(usage, direction) + int(share * 0.05 * RATE)
            setattr(usage, direction, total)
    driver.core.begin_iteration(driver.now)


def link_utilization(driver, seconds=1.0):
    return utilization(driver.tables.link_usage, RATE, seconds, driver.now)


@pytest.mark.parametrize("directions", [["received"], ["sent"], ["received", "sent"]])
def test_utilization_is_that_of_the_busier_direction(directions):
    driver = make_host()
    use_link(driver, 0.6, 2.0, directions)
    assert link_utilization(driver) == pytest.approx(0.6, abs=0.07)
    use_link(driver, 0.0, 1.2, directions)
    assert link_utilization(driver) == 0.0
    assert len(driver.tables.link_usage.samples) <= 12


def test_a_burst_after_a_stall_is_not_taken_for_a_full_link():
    """Packets that queued in the socket for a second are read within a moment."""
    driver = make_host()
    use_link(driver, 0.3, 1.5)
    for _ in range(5):
        # The process stalls, reads its socket only after that, and runs its timers.
        driver.now += 1.0
        driver.core.begin_iteration(driver.now)
        driver.tables.link_usage.received += int(0.3 * RATE)
        driver.core.tick(driver.now)
        driver.now += 0.05
        driver.core.begin_iteration(driver.now)
        assert not driver.tables.link_usage.nearly_full
    assert link_utilization(driver, 0.2) < 0.4
    assert not driver.tables.link_usage.nearly_full


def test_the_link_is_observed_only_with_a_limit():
    driver = make_host(math.inf)
    use_link(driver, 5.0, 2.0)
    assert not driver.tables.link_usage.samples
    assert driver.tables.local_path.disturbed_at == -math.inf
    driver.core.set_link_limit(RATE, driver.now)
    use_link(driver, 1.0, 1.0)
    assert driver.tables.link_usage.nearly_full
    driver.core.set_link_limit(math.inf, driver.now)
    assert not driver.tables.link_usage.nearly_full


def test_changes_of_the_link_state_are_logged():
    driver = make_host()
    for share in (1.0, 0.1):
        use_link(driver, share, 2.0)
        driver.collect_logs(driver.core.tick(driver.now))
    found = [log for log in driver.logs if log.number == LINK_STATE_CHANGED.number]
    assert [log.fields["full"] for log in found] == [True, False]
    assert found[0].fields["recent_utilization"] > 0.8
    assert found[0].fields["link_rate"] == RATE


def retransmit_requests(driver, share):
    """Let two requests stay unanswered while others are answered; return actions."""
    callers = [driver.caller(port) for port in range(2)]
    for caller in callers:
        caller.connect()
    use_link(driver, share, 0.5)
    for caller in callers:
        caller.send_request()
    driver.answer_control_openings()
    use_link(driver, share, 0.2)
    actions = [caller.retransmit() for caller in callers]
    use_link(driver, share, 0.4)
    return actions + [caller.retransmit() for caller in callers]


@pytest.mark.parametrize(("share", "before"), [(1.0, 0.0), (0.9, 1.0)])
def test_full_link_resets_no_flow_and_loses_no_target(share, before):
    """On a full link of 5 Mbit/s requests to a healthy target were lost.

    Two flows retransmitted while other targets answered what passed the link. The host
    took the target for unreachable and reset living flows.
    """
    driver = make_host()
    use_link(driver, share, before)
    for action in retransmit_requests(driver, share):
        assert isinstance(action, Forward)
    row = driver.tables.by_service["previews"][0]
    assert (row.timeouts, row.avoid_until) == (0, 0.0)


def test_unreachable_target_is_detected_on_a_free_link():
    """The same on a link that was full before and is half used now."""
    driver = make_host()
    use_link(driver, 1.0, 1.0)
    use_link(driver, 0.1, 1.2)
    assert ResetReason.TARGET_UNREACHABLE in [
        reason_of(action)
        for action in retransmit_requests(driver, 0.5)
        if not isinstance(action, Forward)
    ]


def test_unanswered_openings_count_against_no_target_while_the_link_is_full():
    """Openings wait 90 ms on the link, longer than an answer is waited for."""
    driver = make_host()
    use_link(driver, 1.0, 0.5)
    driver.caller(1).open()
    driver.wait(0.05)
    assert driver.tables.by_service["previews"][0].timeouts == 0
