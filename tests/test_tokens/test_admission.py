"""Tests of load shedding: which flows are admitted while requests take long."""

from __future__ import annotations

import math

import pytest

from citronspring.tcp_flags import SYN
from citronspring.tokens.admission import (
    note_answer_size,
    note_time_to_answer,
    shed_fraction,
)
from citronspring.tokens.codec import decode_route, encode_route
from citronspring.tokens.entities import Packet, Route, Share
from citronspring.tokens.messages import Forward, ResetCaller, ResetReason
from citronspring.tokens.rows import AnswerRow, ServiceRow
from tests.test_tokens.driver import (
    ORDERS,
    PREVIEWS,
    Driver,
    make_configuration,
    make_target,
    reason_of,
)

OBJECTIVE = 0.15


def make_route(key, *, priority, objective=OBJECTIVE, idempotent=True):
    shares = (Share("previews", 1.0),)
    return Route(f"route-{key}", key, shares, idempotent, objective, priority)


def loaded_driver(delay, *, objective=OBJECTIVE):
    """Return a host whose targets take ``delay`` seconds per request."""
    previews = make_route(PREVIEWS, priority=2, objective=objective)
    orders = make_route(ORDERS, priority=1, objective=objective, idempotent=False)
    configuration = make_configuration(1, (previews, orders))
    driver = Driver(make_target(1), make_target(2), configuration=configuration)
    caller = driver.caller(1)
    caller.connect()
    for _ in range(30):
        caller.send_request()
        driver.now += delay
        caller.acknowledge_answer()
    return driver


def refused(driver, route=PREVIEWS, count=200):
    """Return how many of some new flows are refused."""
    actions = [driver.caller(port, route).open() for port in range(100, 100 + count)]
    return sum(isinstance(action, ResetCaller) for action in actions)


def test_no_flow_is_refused_while_answers_are_in_time():
    assert refused(loaded_driver(0.04)) == 0


def test_all_flows_are_refused_when_requests_would_be_late():
    """Every request waits through full queues and misses its objective.

    A caller that is refused immediately can retry elsewhere or report to its user. If
    it were admitted, its request and those before it would be late.
    """
    driver = loaded_driver(0.14)
    assert refused(driver) == 200
    action = driver.caller(500).open()
    assert reason_of(action) is ResetReason.OVERLOADED
    fields = driver.logs[-1].fields
    assert fields["reason"] == "overloaded"
    assert fields["delay"] == pytest.approx(0.14, rel=0.1)
    assert fields["objective"] == OBJECTIVE


def test_refusals_rise_with_the_delay():
    share = [refused(loaded_driver(delay)) for delay in (0.055, 0.067, 0.078)]
    assert 0 < share[0] < share[1] < share[2] < 200


def test_urgent_flows_are_admitted_first():
    driver = loaded_driver(0.085)
    assert refused(driver, PREVIEWS) == 200
    assert refused(driver, ORDERS) == 0


def test_route_without_an_objective_is_never_refused():
    assert refused(loaded_driver(2.0, objective=math.inf)) == 0


def test_flows_are_admitted_after_the_median_expires():
    """All openings were refused, so no flow is left that could measure the load."""
    driver = loaded_driver(0.14)
    assert refused(driver) == 200
    driver.now += 0.6
    assert refused(driver) == 0


def test_retransmitted_opening_is_never_refused():
    """Another host has placed the opening, and has left the routers' rotation since.

    The target's answer may be on its way. A refusal would end a connection attempt that
    is about to succeed.
    """
    driver = loaded_driver(0.14)
    retransmission = Packet(b"flow", PREVIEWS, SYN, 0, 77, 1, 0)
    assert isinstance(driver.receive(retransmission), Forward)


def test_open_flow_goes_on_under_any_load():
    driver = loaded_driver(0.14)
    caller = driver.caller(1)
    caller.token = 1
    assert isinstance(caller.send_request(), Forward)


def test_few_long_requests_cause_no_refusal():
    """A host of a large fleet sees one or two uploads of a service per second.

    An upload over a slow link takes half of the objective. If that were taken for the
    median, the next callers would be refused while every target is idle.
    """
    objective = 1.345
    driver = Driver(
        make_target(1),
        configuration=make_configuration(
            1, (make_route(PREVIEWS, priority=2, objective=objective),)
        ),
    )
    caller = driver.caller(1)
    caller.connect()
    for _ in range(3):
        caller.send_request()
        driver.now += 0.9
        caller.acknowledge_answer()
        assert refused(driver, count=20) == 0


def test_single_long_requests_move_the_median_little():
    """A third of the targets is ten times slower; the others have capacity."""
    service = ServiceRow()
    for number in range(300):
        note_time_to_answer(service, 0.3 if number % 3 == 0 else 0.03, 1.0)
    assert service.median_delay < 0.06


def test_median_of_instant_answers_rises_again():
    service = ServiceRow()
    note_time_to_answer(service, 0.0, 1.0)
    for _ in range(100):
        note_time_to_answer(service, 0.1, 1.0)
    assert service.median_delay > 0.09


def test_shed_fraction_stays_between_none_and_all():
    route = make_route(PREVIEWS, priority=2)
    assert shed_fraction(0.0, route, 2) == 0.0
    assert shed_fraction(9.0, route, 2) == 1.0


def test_objective_and_priority_are_encoded():
    for objective in (OBJECTIVE, math.inf):
        route = make_route(PREVIEWS, priority=1, objective=objective)
        assert decode_route(encode_route(route)) == route


def test_route_of_an_older_release_has_no_objective():
    plain = encode_route(make_route(PREVIEWS, priority=1))
    del plain["objective"], plain["priority"]
    assert decode_route(plain).objective == math.inf


def test_refusal_by_an_overloaded_target_is_no_answer():
    """Refusals by overloaded targets must not count as response times.

    The targets are overloaded, and most of what they send are refusals after a tenth of
    a second, while answers take a third of a second. If both were counted, the median
    would stay below the shedding threshold, and two thirds of all requests would go to
    overloaded targets and be refused there.
    """
    row, service = AnswerRow(), ServiceRow()
    for number in range(200):
        now = 1.0 + number * 0.02
        refused = number >= 50 and number % 3
        size, seconds = (130, 0.1) if refused else (900 + number % 7 * 100, 0.3)
        if note_answer_size(row, size, now):
            note_time_to_answer(service, seconds, now)
    assert service.median_delay >= 0.25


def test_smaller_answers_count_after_a_while():
    """A new release answers with a quarter of the bytes."""
    row = AnswerRow()
    for number in range(50):
        assert note_answer_size(row, 1000, number * 0.1)
    taken = [note_answer_size(row, 250, 5.0 + number * 0.1) for number in range(600)]
    assert not taken[0]
    assert all(taken[100:])


def test_small_answers_of_a_route_count():
    row = AnswerRow()
    assert all(
        note_answer_size(row, 200 + number % 40, float(number)) for number in range(50)
    )
