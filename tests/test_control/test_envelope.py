"""Tests of the codec, the envelope and the byte budget of control datagrams."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from citronspring.control.budget import (
    BYTES_PER_SECOND,
    MAX_QUEUED,
    ControlBudget,
    Priority,
)
from citronspring.control.codec import decode, read_message
from citronspring.control.envelope import (
    HEADER_SIZE,
    MAX_CLOCK_SKEW_MS,
    REPLAY_WINDOW,
    VERSION,
    DatagramDecoder,
    DatagramEncoder,
    digest_of,
)
from citronspring.control.messages import (
    AccountUse,
    Ack,
    Gossip,
    HostUpdate,
    Loads,
    Members,
    MembersRequest,
    Ping,
    PingRequest,
    Records,
    RecordsRequest,
    SnapshotPart,
    SnapshotRequest,
    TargetLoad,
)
from citronspring.entities import (
    Account,
    AccountLimits,
    ChangeRecord,
    Endpoint,
    HostState,
    Target,
)
from citronspring.errors import ControlMessageError
from tests.conftest import make_account, make_host

KEY = bytes(range(32))
OLD_KEY = bytes(range(32, 64))
NOW = 1_800_000_000_000

UPDATES = (
    HostUpdate("host-1", HostState.ALIVE, NOW, make_host(1)),
    HostUpdate("host-2", HostState.DEAD, 3),
)
LEAVING = Target(
    "t", "a", Endpoint("2001:db8::1", 6080), "zisa", 3, 9, Endpoint("::1", 80), 4, 5
)
ACCOUNT = Account("a", (), (LEAVING,), ("zisa",), AccountLimits(5, 2.5))
MESSAGES = [
    Ping(1, 2, UPDATES, UPDATES),
    Ping(1, 2),
    Ack(1, 2),
    PingRequest(1, "host-2", 3, UPDATES),
    Gossip(4, UPDATES),
    MembersRequest(3),
    MembersRequest(0, UPDATES),
    Members(0, 1, UPDATES),
    Records((ChangeRecord(7, "c", "a", ACCOUNT), ChangeRecord(8, "d", "", None))),
    Records((ChangeRecord(7, "c", "a", ACCOUNT),), 1, 2),
    RecordsRequest(0),
    SnapshotRequest(3, 4, 5),
    SnapshotPart(3, 0, 2, (make_account(), ACCOUNT)),
    Loads((TargetLoad("t", 4, 200, False), TargetLoad("u", 0)), (AccountUse("a", 3),)),
]


def make_decoder(*keys, receiver="host-0"):
    return DatagramDecoder(receiver, keys or (KEY,))


def make_datagram(message=Ack(1, 2), key=KEY, now=NOW, boot_time=1, sequence=0):  # noqa: B008
    return DatagramEncoder("host-1", key, boot_time, sequence).encode_datagram(
        message, "host-0", now
    )


def reason_of(decoder, datagram, now=NOW):
    before = repr(decoder.windows)
    with pytest.raises(ControlMessageError) as caught:
        decoder.decode_datagram(datagram, now)
    assert repr(decoder.windows) == before
    return caught.value.reason


@pytest.mark.parametrize("message", MESSAGES, ids=lambda item: type(item).__name__)
def test_every_message_round_trips(message):
    opened = make_decoder().decode_datagram(make_datagram(message), NOW)
    assert opened.sender == "host-1"
    assert opened.message == message


def test_forged_and_changed_datagrams_are_refused():
    """A datagram from a sender without the key is rejected.

    Such a datagram could declare hosts dead or add targets. The digest fails for a
    datagram with another key, with any changed byte, or for another host.
    """
    datagram = make_datagram()
    assert reason_of(make_decoder(), make_datagram(key=OLD_KEY)) == "forged"
    assert reason_of(make_decoder(receiver="host-9"), datagram) == "forged"
    for position in range(len(VERSION), len(datagram)):
        changed = bytearray(datagram)
        changed[position] ^= 1
        assert reason_of(make_decoder(), bytes(changed)) == "forged"


def test_replayed_datagrams_are_refused():
    """A recorded datagram that is sent again has no effect.

    A replayed "leaving" update would remove a serving host from the owner table. Each
    sequence number is accepted once. Datagrams from before the sender's restart, and
    those that are too old, are rejected.
    """
    decoder = make_decoder()
    datagrams = [make_datagram(sequence=number) for number in range(5)]
    for number in (0, 3, 1):
        decoder.decode_datagram(datagrams[number], NOW)
        assert reason_of(decoder, datagrams[number]) == "replayed"
    decoder.decode_datagram(make_datagram(sequence=REPLAY_WINDOW + 2), NOW)
    assert reason_of(decoder, datagrams[2]) == "replayed"
    assert decoder.decode_datagram(datagrams[4], NOW)
    decoder.decode_datagram(make_datagram(boot_time=2), NOW)
    assert reason_of(decoder, make_datagram(sequence=9000)) == "replayed"
    assert (
        reason_of(decoder, make_datagram(boot_time=3), NOW + MAX_CLOCK_SKEW_MS + 1)
        == "clock"
    )
    decoder.decode_datagram(
        DatagramEncoder("host-2", KEY, 1).encode_datagram(Ack(1, 2), "host-0", NOW), NOW
    )
    assert len(decoder.windows) == 2
    later = NOW + 2 * MAX_CLOCK_SKEW_MS
    decoder.decode_datagram(
        DatagramEncoder("host-3", KEY, 1).encode_datagram(Ack(1, 2), "host-0", later),
        later,
    )
    assert list(decoder.windows) == ["host-3"]


def test_both_keys_are_accepted_during_key_rotation():
    decoder = make_decoder(KEY, OLD_KEY)
    assert decoder.decode_datagram(make_datagram(sequence=1), NOW)
    assert decoder.decode_datagram(make_datagram(key=OLD_KEY, sequence=2), NOW)
    assert reason_of(decoder, make_datagram(key=bytes(32))) == "forged"


def test_oversized_and_truncated_datagrams_are_refused():
    datagram = make_datagram()
    assert reason_of(make_decoder(), datagram + bytes(9000)) == "oversized"
    for length in range(HEADER_SIZE + 1):
        assert reason_of(make_decoder(), datagram[:length]) == "malformed"
    accounts = tuple(make_account(f"a{number}") for number in range(40))
    with pytest.raises(ControlMessageError):
        make_datagram(SnapshotPart(1, 0, 1, accounts))


def parse(body):
    """Decode a body with a valid digest; allow only ControlMessageError."""
    datagram = VERSION + digest_of(KEY, "host-0", body) + body
    try:
        make_decoder().decode_datagram(datagram, NOW)
        read_message(decode(body).message)
    except ControlMessageError:
        pass


@settings(max_examples=400, derandomize=True, deadline=None)
@given(st.binary(max_size=400))
def test_any_bytes_give_a_message_or_a_control_message_error(body):
    parse(body)


@settings(max_examples=600, derandomize=True, deadline=None)
@given(
    st.sampled_from(MESSAGES),
    st.lists(st.tuples(st.integers(0, 2000), st.integers(0, 255)), max_size=6),
    st.integers(0, 2000),
)
def test_changed_messages_give_a_message_or_a_control_message_error(
    message, changes, length
):
    body = bytearray(make_datagram(message)[HEADER_SIZE:])
    for position, value in changes:
        body[position % len(body)] = value
    parse(bytes(body[: length or None]))


def test_budget_limits_the_rate_and_sends_high_priority_first():
    """Many changes are sent at once while loads are sent as usual.

    Without priorities the loads would use up the budget, and pings would wait behind
    them until healthy hosts are suspected.
    """
    budget = ControlBudget()
    sent = []
    for step in range(400):
        now = step * 0.05
        budget.enqueue(Priority.LOAD, Priority.LOAD, 400, now)
        budget.enqueue(Priority.CONFIGURATION, Priority.CONFIGURATION, 200, now)
        if step % 10 == 0:
            budget.enqueue(Priority.HEARTBEAT, Priority.HEARTBEAT, 150, now)
        sent.extend(budget.dequeue(now))
    counts = {priority: sent.count(priority) for priority in Priority}
    assert counts[Priority.HEARTBEAT] == 40
    assert counts[Priority.CONFIGURATION] > 8 * counts[Priority.LOAD]
    total = (
        178 * 40 + 228 * counts[Priority.CONFIGURATION] + 428 * counts[Priority.LOAD]
    )
    assert total <= BYTES_PER_SECOND * (20 + 2)
    assert budget.dropped > 0


def test_heartbeats_are_sent_at_once_when_loads_have_used_their_share():
    """Loads use up the budget, and then many hosts ping this one at once.

    Acknowledgements that wait behind loads would arrive too late.
    """
    budget = ControlBudget()
    for _ in range(20):
        budget.enqueue("load", Priority.LOAD, 400, 0.0)
    assert 4 < len(budget.dequeue(0.0)) < 8
    for _ in range(20):
        budget.enqueue("ack", Priority.HEARTBEAT, 100, 0.01)
    assert budget.dequeue(0.01) == ["ack"] * 20


def test_full_queue_drops_the_lowest_priority():
    budget = ControlBudget()
    budget.budget_used_until = 10.0
    for _ in range(MAX_QUEUED):
        budget.enqueue("load", Priority.LOAD, 100, 0.0)
    budget.enqueue("revision", Priority.CONFIGURATION, 100, 0.0)
    assert budget.count() == MAX_QUEUED
    assert budget.dropped == 1
    assert budget.dequeue(9.0) == []
    assert budget.dropped == MAX_QUEUED + 1
