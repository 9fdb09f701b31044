"""Tests of zone-wide inquiries about unresponsive targets."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from citronspring.endpoints import Endpoint
from citronspring.tokens.change_feed import FeedPoll
from citronspring.tokens.entries import ZoneReader
from citronspring.tokens.inquiry import (
    REFUTATION_WINDOW,
    REPLY_TIMEOUT,
    REPORT_LIFETIME,
    VERDICT_LIFETIME,
)
from citronspring.tokens.local_path import note_disturbance
from citronspring.tokens.messages import Forward, ResetReason, Tell
from citronspring.tokens.placement import choose_target
from citronspring.tokens.suspicions import (
    Inquiry,
    Reply,
    Report,
    Suspicion,
    Verdict,
    decode_message,
    encode_message,
)
from tests.test_tokens.driver import ORDERS, PREVIEWS, Driver, make_target, reason_of

#: The zone reader, and the hosts that follow it.
READER = "10.0.0.1"
FOLLOWERS = tuple(f"10.0.0.{number}" for number in range(2, 8))

#: The followers at which the target leaves a request unanswered.
REPORTING = FOLLOWERS[:4]

#: The target that crashes, and the retransmission timeout of callers in seconds.
CRASHED = 1
RETRANSMISSION_TIMEOUT = 0.2


class HostGroup:
    """Hosts that exchange messages, with a common clock."""

    def __init__(self):
        self.hosts = {}
        for address in (READER, *FOLLOWERS):
            driver = Driver(*(make_target(number) for number in range(1, 4)))
            driver.tables.host_id = address
            entry = ZoneReader("north", READER, Endpoint(address, 0), 2)
            driver.tables.zone_readers["north"] = entry
            entry.endpoint = Endpoint(READER, 8166)
            self.hosts[address] = driver
        #: Addresses whose messages are lost.
        self.disconnected = set()
        self.ports = itertools.count(100)
        self.now = 100.0
        for address in FOLLOWERS:
            self.poll(address)

    @property
    def reader(self):
        return self.hosts[READER]

    def poll(self, address):
        """Let a follower poll the zone reader."""
        poll = FeedPoll(self.reader.revision, self.now, self.now + 2.0, address)
        self.reader.core.answer_poll(poll, self.now)

    def advance(self, seconds, step=0.01):
        """Advance the clock; all hosts run and receive each other's messages."""
        until = self.now + seconds
        while self.now < until - step / 2:
            self.now += step
            for address, driver in self.hosts.items():
                driver.now = self.now
                self.deliver(address, driver.core.tick(self.now))

    def deliver(self, source, actions):
        """Deliver messages, and those that they cause."""
        for action in actions:
            if not isinstance(action, Tell):
                self.hosts[source].collect_logs([action])
                continue
            if source in self.disconnected or action.to in self.disconnected:
                continue
            message = decode_message(encode_message(action.message))
            other = self.hosts[action.to]
            answers = other.core.handle_host_message(message, source, self.now)
            self.deliver(action.to, answers)

    def connect(self, address, port, route=PREVIEWS):
        """Open a flow to the target that crashes; return its caller."""
        driver = self.hosts[address]
        caller = driver.caller(port, route)
        row = driver.tables.targets[f"i-{CRASHED:x}"]
        opening = caller.open()
        caller.finish_handshake(Forward(opening.packet, row, row.token))
        caller.ack = 5001
        return caller

    def lose_requests(self, addresses):
        """Let a request at each of these hosts go unanswered."""
        callers = [
            self.connect(address, port)
            for address, port in zip(addresses, self.ports, strict=False)
        ]
        self.advance(0.02)
        for caller in callers:
            caller.send_request()
        for driver in self.hosts.values():
            driver.answer_control_openings()
        self.advance(RETRANSMISSION_TIMEOUT)
        for caller in callers:
            caller.retransmit()
        return callers

    def considers_unreachable(self, address):
        row = self.hosts[address].tables.targets[f"i-{CRASHED:x}"]
        return row.unreachable_until > self.now


def test_request_to_a_crashed_target_is_reset_at_a_host_without_evidence():
    """Callers of a crashed target wait until their deadlines.

    Targets crashed and their entries stayed for five seconds. A host sees a request to
    a given target once in half a minute, so that on a day with 29 crashed targets two
    retransmissions met at one host only twice, while 239 requests ran into their
    deadline. For each target, some twenty hosts of its zone saw fifty retransmissions.
    """
    zone = HostGroup()
    late = zone.connect(FOLLOWERS[5], 99)
    zone.lose_requests(REPORTING)
    zone.advance(2 * REPLY_TIMEOUT)
    assert all(zone.considers_unreachable(address) for address in zone.hosts)
    action = late.send_request()
    assert reason_of(action) == ResetReason.TARGET_UNREACHABLE


def test_new_flows_go_elsewhere_at_once():
    zone = HostGroup()
    zone.lose_requests(REPORTING)
    zone.advance(2 * REPLY_TIMEOUT)
    tables = zone.hosts[FOLLOWERS[5]].tables
    ids = {
        choose_target(tables, "previews", [], zone.now).target.target_id
        for _ in range(5)
    }
    assert f"i-{CRASHED:x}" not in ids


def test_non_idempotent_request_is_not_reset():
    zone = HostGroup()
    order = zone.connect(FOLLOWERS[5], 99, ORDERS)
    zone.lose_requests(REPORTING)
    zone.advance(2 * REPLY_TIMEOUT)
    assert isinstance(order.send_request(), Forward)


@pytest.mark.parametrize(
    "addresses", [REPORTING[1:], REPORTING[:1] * 4], ids=["three", "one host"]
)
def test_few_reports_start_no_inquiry(addresses):
    """A flow of a healthy target is reset.

    Three datagrams to it were lost by chance, or one host's link is saturated and loses
    everything that it sends. Neither shows that the target is unreachable.
    """
    zone = HostGroup()
    zone.lose_requests(addresses)
    zone.advance(2 * REPLY_TIMEOUT)
    assert zone.reader.tables.inquiry.number == 0


def test_one_host_with_an_answer_refutes_the_suspicion():
    """Four requests are lost on a bad link, and all flows of the target are reset.

    The target is healthy: it answered a request at a fifth host meanwhile. That host's
    reply must outweigh all reports.
    """
    zone = HostGroup()
    other = zone.connect(FOLLOWERS[4], 50)
    zone.lose_requests(REPORTING)
    other.send_request()
    other.acknowledge_answer()
    zone.advance(2 * REPLY_TIMEOUT)
    assert not any(zone.considers_unreachable(address) for address in zone.hosts)
    assert zone.reader.tables.inquiry.refuted_at


def test_without_replies_there_is_no_verdict():
    """The zone reader's link is saturated, and it resets flows of healthy targets.

    Reports arrive, but its inquiry or the replies do not; missing replies are no
    evidence.
    """
    zone = HostGroup()
    zone.lose_requests(REPORTING)
    zone.advance(0.01)
    zone.disconnected = set(FOLLOWERS[1:])
    zone.advance(2 * REPLY_TIMEOUT)
    assert zone.reader.tables.inquiry.number == 1
    assert not any(zone.considers_unreachable(address) for address in zone.hosts)


def test_stalled_host_does_not_reply():
    """A stalled host has unread answers of a healthy target, and refutes nothing.

    Its missing refutation must not count as agreement, so it does not reply.
    """
    zone = HostGroup()
    zone.lose_requests(REPORTING)
    zone.advance(0.01)
    for address in FOLLOWERS[1:]:
        note_disturbance(zone.hosts[address].tables.local_path, zone.now)
    zone.advance(2 * REPLY_TIMEOUT)
    assert zone.reader.tables.inquiry.number == 1
    assert not zone.considers_unreachable(FOLLOWERS[0])


def test_host_with_a_failing_local_path_ignores_the_verdict():
    """A verdict reaches a host whose link is saturated; healthy flows are reset.

    Nothing that it sent recently was answered, so it has no evidence of its own.
    """
    zone = HostGroup()
    late = zone.connect(FOLLOWERS[5], 99)
    zone.lose_requests(REPORTING)
    zone.advance(2 * REPLY_TIMEOUT)
    assert zone.considers_unreachable(FOLLOWERS[5])
    zone.hosts[FOLLOWERS[5]].tables.local_path.answers.clear()
    assert isinstance(late.send_request(), Forward)


def test_host_with_a_later_answer_ignores_the_verdict():
    zone = HostGroup()
    driver = zone.hosts[FOLLOWERS[0]]
    driver.tables.targets[f"i-{CRASHED:x}"].answered_at = zone.now
    verdict = Verdict((Suspicion(CRASHED, 0.3),))
    driver.collect_logs(
        driver.core.handle_host_message(verdict, READER, zone.now + 0.1)
    )
    assert not zone.considers_unreachable(FOLLOWERS[0])


def test_verdict_on_an_earlier_incarnation_is_ignored():
    """A target restarts at once, and its new flows are reset for two seconds."""
    zone = HostGroup()
    driver = zone.hosts[FOLLOWERS[0]]
    driver.now = zone.now = zone.now + 1.0
    driver.change(make_target(CRASHED, revision=9, started=2))
    driver.change(make_target(CRASHED, revision=10, started=3))
    verdict = Verdict((Suspicion(CRASHED, 0.3),))
    driver.collect_logs(driver.core.handle_host_message(verdict, READER, zone.now))
    assert not zone.considers_unreachable(FOLLOWERS[0])


def test_answer_ends_the_verdict():
    zone = HostGroup()
    callers = zone.lose_requests(REPORTING)
    zone.advance(2 * REPLY_TIMEOUT)
    assert zone.considers_unreachable(FOLLOWERS[0])
    callers[0].acknowledge_answer()
    assert not zone.considers_unreachable(FOLLOWERS[0])


def test_verdict_expires():
    zone = HostGroup()
    zone.lose_requests(REPORTING)
    zone.advance(2 * REPLY_TIMEOUT + VERDICT_LIFETIME)
    assert not any(zone.considers_unreachable(address) for address in zone.hosts)


def test_lossy_links_cause_no_verdict():
    """Links lose 3 of 100 datagrams, and flows of healthy targets are reset.

    Targets are reported repeatedly, and their answers refute it. While that goes on, a
    target that happens to have answered no host is not treated as unreachable either.
    """
    zone = HostGroup()
    zone.reader.tables.inquiry.refuted_at.extend([zone.now, zone.now])
    zone.lose_requests(REPORTING)
    zone.advance(2 * REPLY_TIMEOUT)
    assert not any(zone.considers_unreachable(address) for address in zone.hosts)
    zone.advance(REFUTATION_WINDOW)
    zone.lose_requests(REPORTING)
    zone.advance(2 * REPLY_TIMEOUT)
    assert zone.considers_unreachable(READER)


def test_refuted_targets_do_not_block_verdicts_on_others():
    """A quarter of the targets crash at once, two of which had answered just before.

    If that were attributed to lossy links, a whole zone would get no verdict for two
    seconds, and requests to ten crashed targets would run into their deadlines.
    """
    zone = HostGroup()
    table = zone.reader.tables.inquiry
    table.refuted_at.extend([zone.now, zone.now])
    table.unrefuted_at.update(dict.fromkeys(range(100, 110), zone.now))
    zone.lose_requests(REPORTING)
    zone.advance(2 * REPLY_TIMEOUT)
    assert zone.considers_unreachable(READER)


def test_old_reports_expire():
    zone = HostGroup()
    zone.lose_requests(REPORTING[:3])
    zone.advance(REPORT_LIFETIME + 0.1)
    zone.lose_requests(REPORTING[3:])
    zone.advance(2 * REPLY_TIMEOUT)
    assert zone.reader.tables.inquiry.number == 0


@pytest.mark.parametrize(
    "message", [Inquiry(1, (Suspicion(1, 0.3),)), Verdict((Suspicion(1, 0.3),))]
)
def test_only_the_zone_reader_is_trusted(message):
    zone = HostGroup()
    driver = zone.hosts[FOLLOWERS[0]]
    assert driver.core.handle_host_message(message, FOLLOWERS[1], zone.now) == []
    assert not zone.considers_unreachable(FOLLOWERS[0])


INCARNATIONS = st.integers(1, 2**64 - 1)

SUSPICIONS = st.lists(
    st.builds(
        Suspicion,
        INCARNATIONS,
        st.integers(0, 600_000).map(lambda number: number / 10_000),
    ),
    max_size=30,
).map(tuple)

MESSAGES = (
    st.builds(Report, SUSPICIONS)
    | st.builds(Verdict, SUSPICIONS)
    | st.builds(Inquiry, st.integers(0, 2**40), SUSPICIONS)
    | st.builds(Reply, st.integers(0, 2**40), st.lists(INCARNATIONS).map(tuple))
)


@given(MESSAGES)
def test_messages_survive_encoding(message):
    assert decode_message(encode_message(message)) == message


@given(st.binary(max_size=100) | st.text().map(str.encode))
def test_any_datagram_is_a_message_or_none(data):
    decode_message(data)


@pytest.mark.parametrize(
    "data",
    [
        b"[]",
        b'{"verdict": [[1, -1]]}',
        b'{"verdict": [[1, NaN]]}',
        b'{"verdict": [[1]]}',
        b'{"report": 1}',
        b'{"reply": "x", "answered": []}',
        b'{"inquiry": 1}',
    ],
)
def test_datagram_of_another_shape_is_no_message(data):
    assert decode_message(data) is None
