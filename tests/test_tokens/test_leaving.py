"""Tests of a planned stop: unready first, and exit within the grace time."""

from __future__ import annotations

from citronspring.tokens.messages import Forward
from tests.test_tokens.driver import Driver, make_target, target_of


def test_forwards_while_routers_still_send():
    """An operator stops a host; routers stop sending after two failed readiness probes.

    Until then callers' packets still arrive and must be forwarded. A host that exits at
    the signal would lose a second of them.
    """
    driver = Driver(make_target(1))
    caller = driver.caller(1)
    caller.connect()
    driver.core.leave(driver.now + 5.0, driver.now)
    assert not driver.core.ready
    driver.now += 1.0
    assert isinstance(caller.send_request(), Forward)
    assert not driver.core.may_stop(driver.now)


def test_leaving_host_sends_no_opening_again():
    """Routers take it out of rotation while an opening is under way.

    The flow opens through another host. A second target would answer it too, and the
    first would count as unresponsive.
    """
    driver = Driver(make_target(1), make_target(2))
    row = driver.caller(1).open().target
    driver.core.leave(driver.now + 5.0, driver.now)
    assert driver.wait(0.1) == []
    assert row.timeouts == 0


def test_leaving_host_sends_a_callers_repeated_opening_elsewhere():
    """The copy shows that the first target has not answered."""
    driver = Driver(make_target(1), make_target(2))
    caller = driver.caller(1)
    first = target_of(caller.open())
    driver.core.leave(driver.now + 5.0, driver.now)
    driver.wait(0.2)
    assert target_of(caller.open()) != first


def test_stops_once_it_is_quiet():
    driver = Driver(make_target(1))
    driver.core.leave(driver.now + 5.0, driver.now)
    driver.now += 2.0
    assert driver.core.may_stop(driver.now)


def test_stops_at_the_deadline_even_when_packets_still_come():
    driver = Driver(make_target(1))
    caller = driver.caller(1)
    caller.connect()
    driver.core.leave(driver.now + 5.0, driver.now)
    driver.now += 5.0
    caller.send_request()
    assert driver.core.may_stop(driver.now)


def test_is_not_ready_before_it_knows_a_configuration():
    """A host starts while the store is down and has no configuration yet."""
    driver = Driver(make_target(1))
    assert driver.core.ready
    driver.tables.configuration = 0
    assert not driver.core.ready
