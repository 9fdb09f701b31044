"""Tests of admission by the host's own link."""

from __future__ import annotations

import math

import pytest

from citronspring.tokens.entities import Route, Share
from citronspring.tokens.flows import UPLOAD_TIMEOUT
from citronspring.tokens.load.request_sizes import MIN_REQUESTS
from citronspring.tokens.messages import Forward, ResetCaller, ResetReason
from tests.test_tokens.driver import (
    ORDERS,
    PREVIEWS,
    Driver,
    make_configuration,
    make_target,
    reason_of,
)
from tests.test_tokens.test_load.link_model import Exchange, LinkModel

UPLOADS, WRITES = PREVIEWS, ORDERS

#: 5 Mbit/s in bytes per second, and bytes of an upload.
RATE = 625_000.0
SIZE = 40_000


def make_host(rate=RATE, *, urgent_uploads=False, targets=8):
    """Return a host with uploads and short writes."""
    shares = (Share("previews", 1.0),)
    uploads = Route("uploads", UPLOADS, shares, True, 1.3, 1 - urgent_uploads)
    writes = Route("writes", WRITES, shares, False, 0.45, 1)
    rows = [make_target(number) for number in range(1, targets + 1)]
    driver = Driver(*rows, configuration=make_configuration(1, (uploads, writes)))
    driver.core.set_link_limit(rate, driver.now)
    return driver


def upload(caller, size=SIZE):
    """Upload a request in packets of 1,000 bytes."""
    for _ in range(size // 1000):
        assert isinstance(caller.send_request(1000), Forward)


def sleep(driver, seconds):
    driver.now += seconds
    driver.core.begin_iteration(driver.now, seconds)


def learn_sizes(driver, size=SIZE, count=MIN_REQUESTS):
    for port in range(count):
        caller = driver.caller(50_000 + port, UPLOADS)
        caller.connect()
        upload(caller, size)
        driver.now += 0.1
        caller.acknowledge_answer()
        caller.close()
        driver.core.begin_iteration(driver.now)
    return driver


def open_until_refused(driver, route=UPLOADS, first=100, limit=60):
    """Open flows until one is refused; return the callers of the others."""
    callers = []
    for port in range(first, first + limit):
        caller = driver.caller(port, route)
        action = caller.open()
        if isinstance(action, ResetCaller):
            assert reason_of(action) is ResetReason.HOST_BUSY
            break
        caller.finish_handshake(action)
        callers.append(caller)
    return callers


def replay(rate):
    """Return writes and uploads of four seconds at 1.7 times what the link carries."""
    driver = make_host(rate)
    model = LinkModel(driver, RATE)
    writes, uploads = [], []

    def start(route, port, size, found):
        found.append(Exchange(model, driver.caller(port, route), size))

    for number in range(100):
        model.after(number * 0.04, start, UPLOADS, 1000 + number, SIZE, uploads)
        model.after(number * 0.04 + 0.02, start, WRITES, 3000 + number, 200, writes)
    model.run()
    return writes, uploads, driver.tables.targets.values()


def count_in_time(exchanges, objective):
    return sum(one.seconds <= objective for one in exchanges)


def test_short_requests_are_in_time_beside_uploads():
    """Uploads saturate a link of 5 Mbit/s while short requests are due in 450 ms."""
    writes, uploads, targets = replay(RATE)
    assert count_in_time(writes, 0.45) == len(writes) == 100
    # What the link carries in four seconds is used for uploads that are in time.
    assert count_in_time(uploads, 1.3) >= 0.9 * 4.0 * RATE / (SIZE * 1.06)
    assert sum(not one.admitted for one in uploads) > 20
    assert not any(row.timeouts for row in targets)


def test_the_same_load_without_a_limit_makes_short_requests_late():
    """The load of the replay is one that the decision is needed for."""
    assert count_in_time(replay(math.inf)[0], 0.45) < 50


def test_nothing_is_decided_without_a_limit():
    driver = learn_sizes(make_host(math.inf))
    assert len(open_until_refused(driver)) == 60
    assert not driver.tables.request_sizes


def test_uploads_are_refused_before_their_windows_fill_the_queue():
    """Three windows of 19,200 bytes are 98 ms; a fourth is over a quarter of 450 ms."""
    driver = learn_sizes(make_host())
    assert len(open_until_refused(driver)) == 3
    fields = driver.logs[-1].fields
    assert (fields["reason"], fields["link_rate"]) == ("host-busy", RATE)
    # The opening itself counts as one byte of the first request.
    sizes = fields["usual_size"], fields["expected_bytes"], fields["in_flight"]
    assert sizes == pytest.approx((SIZE, 3 * SIZE, 3 * 19_200), abs=3)
    state = driver.core.dump(driver.now)
    assert state["link"]["expected_bytes"] == fields["expected_bytes"]
    assert state["request_sizes"] == {"uploads": fields["usual_size"]}
    assert "citronspring_expected_upload_bytes 1200" in driver.core.metrics(driver.now)


def test_urgent_uploads_get_half_of_their_objective_and_a_quarter_for_a_step():
    driver = learn_sizes(make_host(urgent_uploads=True))
    most = math.floor(0.75 * 1.3 * RATE / (1.06 * SIZE))
    assert len(open_until_refused(driver)) == most


def test_short_and_unlearned_requests_are_admitted_beside_uploads():
    """The writes send one packet each, which adds next to nothing."""
    driver = learn_sizes(make_host())
    open_until_refused(driver)
    assert len(open_until_refused(driver, WRITES, first=500)) == 60
    unlearned = learn_sizes(make_host(), count=MIN_REQUESTS - 1)
    assert len(open_until_refused(unlearned)) == 60


def test_an_upload_alone_is_admitted_however_long_it_takes():
    """Nothing is refused while the link is free."""
    assert len(open_until_refused(learn_sizes(make_host(rate=10_000.0)))) == 1


def test_short_requests_that_would_be_late_are_refused_at_a_full_link():
    """Held behind a queue of half a second, they would miss their objective."""
    driver = learn_sizes(make_host())
    driver.tables.uploads.in_flight = int(0.5 * RATE)
    assert isinstance(driver.caller(700, WRITES).open(), Forward)
    driver.core.begin_iteration(driver.now)
    driver.tables.link_usage.received += int(0.2 * RATE)
    driver.now += 0.2
    assert reason_of(driver.caller(701, WRITES).open()) is ResetReason.HOST_BUSY


def test_a_retransmission_that_may_be_placed_elsewhere_is_admitted():
    """Its target may have answered, and the caller be about to continue."""
    driver = learn_sizes(make_host())
    open_until_refused(driver)
    caller = driver.caller(900, UPLOADS)
    caller.ack = 1
    assert isinstance(caller.open(), Forward)


def test_the_settings_change_the_link_rate():
    driver = learn_sizes(make_host())
    open_until_refused(driver)
    driver.core.set_link_limit(10 * RATE, driver.now)
    assert len(open_until_refused(driver, first=200)) > 20


def expected(driver):
    uploads = driver.tables.uploads
    return pytest.approx((uploads.remaining, uploads.in_flight), abs=3)


def test_bytes_that_have_arrived_are_not_expected():
    """A target may also answer before it has the whole request."""
    driver = learn_sizes(make_host())
    caller, other, answered = open_until_refused(driver)
    upload(caller, 30_000)
    caller.retransmit(1000)
    assert expected(driver) == (90_000, 10_000 + 2 * 19_200)
    other.close()
    assert expected(driver) == (50_000, 10_000 + 19_200)
    upload(answered, 5_000)
    answered.acknowledge_answer()
    assert expected(driver) == (10_000, 10_000)


def test_a_later_request_of_an_open_flow_is_expected():
    """Requests on open flows fill the link too, though they are never refused."""
    driver = learn_sizes(make_host())
    caller = driver.caller(100, UPLOADS)
    caller.connect()
    for _ in range(2):
        upload(caller)
        assert expected(driver) == (0, 0)
        caller.acknowledge_answer()
    caller.send_request(1000)
    assert expected(driver) == (39_000, 19_200)


def test_deadlines_of_answered_uploads_are_removed_without_openings():
    """On long flows alone, a deadline for each upload would fill the memory."""
    driver = learn_sizes(make_host())
    caller = driver.caller(100, UPLOADS)
    caller.connect()
    for _ in range(20):
        upload(caller)
        caller.acknowledge_answer()
        sleep(driver, 0.5)
    assert len(driver.tables.uploads.deadlines) <= UPLOAD_TIMEOUT / 0.5 + 1


def test_an_upload_flow_without_pauses_has_one_deadline():
    """A busy long flow always has an upload open, so none of its deadlines would go."""
    driver = learn_sizes(make_host())
    caller = driver.caller(100, UPLOADS)
    caller.connect()
    for _ in range(40):
        upload(caller, SIZE - 1000)
        sleep(driver, 0.1)
        upload(caller, 1000)
        caller.acknowledge_answer()
        caller.send_request(1000)
    assert len(driver.tables.uploads.deadlines) <= 2


@pytest.mark.parametrize("before", [0, 5_000])
def test_vanished_callers_release_their_bytes(before):
    """Callers that vanish in an upload must not keep others from a free link."""
    driver = learn_sizes(make_host())
    for caller in open_until_refused(driver):
        upload(caller, before)
    sleep(driver, UPLOAD_TIMEOUT - 0.05)
    assert reason_of(driver.caller(300, UPLOADS).open()) is ResetReason.HOST_BUSY
    sleep(driver, 0.1)
    assert len(open_until_refused(driver, first=400)) == 3


def test_a_slow_upload_stays_expected_until_its_flow_expires():
    driver = learn_sizes(make_host())
    callers = open_until_refused(driver)
    for port in range(300, 304):
        sleep(driver, UPLOAD_TIMEOUT / 2)
        for caller in callers:
            caller.send_request(1000)
        refused = driver.caller(port, UPLOADS).open()
        assert reason_of(refused) is ResetReason.HOST_BUSY
    driver.wait(driver.tables.idle_timeout + 2.0)
    assert not driver.tables.flows
    assert expected(driver) == (0, 0)
