"""Tests of packets whose token names another target than the row of their flow."""

from __future__ import annotations

import pytest

from citronspring.tokens.flows import COPY_LIFETIME
from citronspring.tokens.messages import DropReason
from tests.test_tokens.driver import ORDERS, Driver, make_target, reason_of, target_of

#: Port of a caller's flow, and of the next one.
PORT = 7


def open_flow(driver):
    """Open a flow through this host; return its caller and target number."""
    caller = driver.caller(PORT, ORDERS)
    number = caller.connect().target.incarnation
    caller.send_request()
    caller.acknowledge_answer()
    return caller, number


def reopen_elsewhere(driver, number):
    """Return a caller whose next flow from the port another host has placed."""
    caller = driver.caller(PORT, ORDERS)
    caller.seq, caller.ack, caller.token = 3_000_000_000, 2_000_000_000, number
    return caller


def make_host():
    """Return a host, a caller with a flow, its target and the other one."""
    driver = Driver(make_target(1), make_target(2))
    caller, number = open_flow(driver)
    return driver, caller, f"i-{number}", f"i-{3 - number}"


def test_flow_of_a_reused_port_goes_to_its_own_target():
    """A flow ends through another host, and so does the opening of the next one.

    When that host stops, packets come here, where the earlier flow's row named another
    target, which reset the new flow.
    """
    driver, _, earlier, later = make_host()
    driver.now += COPY_LIFETIME
    caller = reopen_elsewhere(driver, int(later[-1]))
    assert target_of(caller.send_request()) == later
    assert target_of(caller.acknowledge_answer()) == later
    flows = {name: row.flows for name, row in driver.tables.targets.items()}
    assert flows == {earlier: 0, later: 1}


def test_late_copy_of_an_earlier_flow_reaches_nobody():
    """A copy of a closed flow's packet arrives when its port is in use again.

    The earlier target would reset the caller's new flow, and no later packet of the
    new flow may go there.
    """
    driver, caller, current, other = make_host()
    late = reopen_elsewhere(driver, int(other[-1]))
    assert reason_of(late.send_request()) is DropReason.OTHER_TOKEN
    assert target_of(caller.send_request()) == current


def test_second_answer_to_an_opening_does_not_move_the_flow():
    """Two targets answer copies of an opening; the caller is bound to the first one.

    It repeats the token that it received last, until the first target sends again.
    """
    driver, caller, owner, other = make_host()
    driver.now += 5.0
    caller.token = int(other[-1])
    assert target_of(caller.send_request()) == owner
    assert target_of(caller.retransmit()) == owner


def test_sequence_numbers_wrap():
    driver = Driver(make_target(1), make_target(2))
    caller = driver.caller(PORT, ORDERS)
    caller.seq = 0xFFFFFFF0
    number = caller.connect().target.incarnation
    driver.now += 5.0
    caller.token = 3 - number
    assert target_of(caller.send_request()) == f"i-{number}"


@pytest.mark.parametrize("token", [0, 0x77, 9])
def test_token_that_may_not_be_used_does_not_move_a_flow(token):
    """A forged token names no target, or one of a service that the route never had."""
    driver, _, owner, _ = make_host()
    driver.change(make_target(9, service="foreign"))
    driver.now += 5.0
    assert target_of(reopen_elsewhere(driver, token).send_request()) == owner


def test_wrongly_bound_flow_finds_its_target():
    """A late copy arrives between the opening of a flow and its first packet."""
    driver = Driver(make_target(1), make_target(2))
    caller = driver.caller(PORT, ORDERS)
    number = caller.open().target.target.incarnation
    reopen_elsewhere(driver, 3 - number).acknowledge_answer()
    caller.token, caller.ack = number, 5001
    driver.now += COPY_LIFETIME
    assert target_of(caller.send_request()) == f"i-{number}"
