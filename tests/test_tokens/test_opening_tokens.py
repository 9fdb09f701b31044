"""Tests of what a host believes of a token that the answer to an opening carried."""

from __future__ import annotations

from random import Random

import pytest

from citronspring.tcp_flags import ACK
from citronspring.tokens.entities import Packet, opening_token
from citronspring.tokens.forwarding import find_target_of_token
from citronspring.tokens.messages import DropReason
from citronspring.tokens.opening_tokens import (
    MAX_SEARCHED_TARGETS,
    START_LIFETIME,
)
from tests.test_tokens.driver import (
    ORDERS,
    PREVIEWS,
    Driver,
    make_target,
    reason_of,
    target_of,
)

#: Seconds after which a host sends an unanswered opening to another target.
RETRY = 0.035

#: Ids of targets that count up, and ids as the platform gives them.
COUNTED = range(0x1001, 0x1001 * 61, 0x1001)
SCATTERED = [0x4C47605F75 * number % 0xFFFFFFFFFB for number in range(1, 61)]


class Zone:
    """Three hosts of a zone; a flow moves while its opening is under way."""

    def __init__(self, targets=3):
        rows = [make_target(0x1001 * (one + 1)) for one in range(targets)]
        self.placing, self.taking, self.other = (Driver(*rows) for _ in range(3))
        self.caller = self.placing.caller(1, ORDERS)
        self.opening = self.caller.open()
        self.first = target_of(self.opening)

    def retry(self):
        """Let the placing host send the opening to another target; return that."""
        (self.second,) = self.placing.wait(RETRY)
        assert target_of(self.second) != self.first
        return self.second

    def open_elsewhere(self):
        """Open the flow through another host, with one request and its answer."""
        self.caller.driver = self.taking
        self.caller.finish_handshake(self.opening)
        self.caller.send_request()
        self.caller.acknowledge_answer()

    def request_through(self, host):
        """Send the next request through a host; return the action."""
        self.caller.driver = host
        return self.caller.send_request()


def test_late_answer_of_a_second_target_does_not_move_the_flow_to_it():
    """A flow moves while its opening is sent again, and moves once more in a pause.

    The second target, which the last token names, would reset the caller's flow.
    """
    zone = Zone()
    zone.open_elsewhere()
    zone.caller.token = zone.retry().token
    assert target_of(zone.request_through(zone.other)) == zone.first


def test_flow_that_returns_to_the_placing_host_goes_to_its_first_target():
    """The placing host has seen no packet of the flow since its last opening."""
    zone = Zone()
    zone.open_elsewhere()
    zone.caller.token = zone.retry().token
    zone.placing.wait(1.0)
    assert target_of(zone.request_through(zone.placing)) == zone.first


def test_third_target_waits_for_a_copy_from_the_caller():
    """If two targets seem silent, the flow has rather moved to another host."""
    zone = Zone()
    zone.retry()
    assert zone.placing.wait(0.15) == []
    assert target_of(zone.caller.open()) not in (zone.first, target_of(zone.second))


def test_late_answer_of_a_third_target_reaches_nobody():
    """A slow host gets all answers late, and the caller is bound to the second one.

    The third token once named the first target, which reset the caller's flow.
    """
    zone = Zone()
    zone.opening = zone.retry()
    zone.placing.wait(0.17)
    third = zone.caller.open()
    zone.open_elsewhere()
    zone.caller.token = third.token
    reason = reason_of(zone.request_through(zone.other))
    assert reason is DropReason.UNKNOWN_TOKEN


def test_first_packet_reaches_the_target_of_a_second_attempt_through_any_host():
    """The first target is dead, and the host is killed once the second has answered."""
    zone = Zone()
    zone.caller.driver = zone.other
    action = zone.caller.finish_handshake(zone.retry())
    assert target_of(action) == target_of(zone.second)


def test_late_answer_to_an_opening_of_another_host_reaches_nobody():
    """A copy of the opening went through a host that knows nothing of the first one.

    Its token tells that its target is not to be believed any more, not which one is.
    """
    zone = Zone()
    copy = zone.other.caller(1, ORDERS).open()
    zone.open_elsewhere()
    zone.caller.token = copy.token
    new_host = Driver(*(row.target for row in zone.other.tables.targets.values()))
    reason = reason_of(zone.request_through(new_host))
    assert reason is DropReason.UNKNOWN_TOKEN


def test_packets_that_overtake_the_first_one_find_their_target():
    """Packets of an upload change their order; none waits for a retransmission."""
    zone = Zone()
    answer = zone.retry()
    zone.caller.token, zone.caller.ack = answer.token, 5001
    zone.caller.seq += 1 + 1200
    assert target_of(zone.caller.send(ACK, 1200)) == target_of(answer)


def test_packets_that_are_far_too_late_to_overtake_belong_to_a_moved_flow():
    zone = Zone()
    answer = zone.retry()
    zone.placing.wait(2 * START_LIFETIME)
    zone.caller.token, zone.caller.ack = answer.token, 5001
    zone.caller.seq += 1 + 1200
    assert target_of(zone.caller.send(ACK, 1200)) == zone.first


def test_packets_after_the_opening_carry_a_token_that_any_host_believes():
    zone = Zone()
    zone.open_elsewhere()
    assert target_of(zone.request_through(zone.other)) == zone.first


def test_answer_to_an_opening_that_was_overtaken_names_the_flows_target():
    """A target may answer a copy of an opening while the flow is open there."""
    zone = Zone()
    zone.caller.finish_handshake(zone.opening)
    zone.caller.seq -= 1
    copy = zone.caller.open()
    zone.caller.seq += 1
    zone.caller.send_request()
    zone.caller.token = copy.token
    assert target_of(zone.request_through(zone.other)) == zone.first


def test_flow_of_a_reused_port_is_told_from_the_one_before_by_its_first_packet():
    """The next flow from a port is placed elsewhere, and its first packet comes here.

    Here is a row of the flow before, whose target would reset the new one.
    """
    targets = [make_target(1), make_target(2)]
    here, elsewhere = Driver(*targets), Driver(*targets)
    earlier = here.caller(7, ORDERS).connect()
    here.now += 1.0
    elsewhere.caller(8, ORDERS).connect()
    caller = elsewhere.caller(7, ORDERS)
    caller.seq = 3_000_000_000
    opening = caller.open()
    if opening.target.target == earlier.target:
        (opening,) = elsewhere.wait(RETRY)
    caller.driver = here
    assert caller.finish_handshake(opening).target is not earlier


def test_large_service_is_not_searched():
    """Forged tokens would keep a host busy, and pairs would be confused."""
    zone = Zone(MAX_SEARCHED_TARGETS + 1)
    zone.open_elsewhere()
    zone.caller.token = zone.retry().token
    reason = reason_of(zone.request_through(zone.other))
    assert reason is DropReason.UNKNOWN_TOKEN


@pytest.mark.parametrize("ids", [COUNTED, SCATTERED], ids=["counted", "scattered"])
@pytest.mark.parametrize("requests", [0, 3])
def test_targets_of_second_attempts_are_not_confused(ids, requests):
    """Ids that count up once gave many pairs of targets the same token.

    One packet in 256 of a moved flow once seemed to be at the flow's start.
    """
    host = Driver(*(make_target(one) for one in ids))
    rows = list(host.tables.targets.values())
    rng = Random(1)
    unread, wrong = 0, 0
    for first in rows:
        for second in rows:
            first_seq = rng.getrandbits(32)
            token = opening_token([first.token, second.token], first_seq)
            seq = first_seq + 1 + 300 * requests & 0xFFFFFFFF
            packet = Packet(b"flow", PREVIEWS, ACK, token, seq, 5001, 100)
            found = find_target_of_token(host.tables, packet, host.now)
            expected = first if requests else second
            if requests and first is second:
                expected = None
            unread += found is None and expected is not None
            wrong += found not in (None, expected)
    # Sixty names in halves of 16 bits: 0.1% of both by chance.
    assert unread <= len(rows) ** 2 * 0.002
    assert wrong <= len(rows) ** 2 * 0.002
