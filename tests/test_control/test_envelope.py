"""Codec, envelope and budget of control datagrams."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from citronspring.control.budget import (
    BYTES_PER_SECOND,
    MAX_WAITING,
    ControlBudget,
    Urgency,
)
from citronspring.control.codec import decode, read_message
from citronspring.control.envelope import (
    HEADER_SIZE,
    MAX_AGE,
    REPLAY_WINDOW,
    VERSION,
    Opener,
    Sealer,
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


def make_opener(*keys, receiver="host-0"):
    return Opener(receiver, keys or (KEY,))


def seal(message=Ack(1, 2), key=KEY, now=NOW, boot_time=1, sequence=0):  # noqa: B008
    return Sealer("host-1", key, boot_time, sequence).seal(message, "host-0", now)


def reason_of(opener, datagram, now=NOW):
    before = repr(opener.windows)
    with pytest.raises(ControlMessageError) as caught:
        opener.open(datagram, now)
    assert repr(opener.windows) == before
    return caught.value.reason


@pytest.mark.parametrize("message", MESSAGES, ids=lambda item: type(item).__name__)
def test_every_message_comes_back(message):
    opened = make_opener().open(seal(message), NOW)
    assert opened.sender == "host-1"
    assert opened.message == message


def test_forged_and_changed_datagrams_are_refused():
    """Somebody without the key sends control datagrams.

    Every one of them would be free to declare hosts dead or bring in targets. A
    datagram under another key, with a changed byte, or made for another host
    fails the digest, whichever byte it is.
    """
    datagram = seal()
    assert reason_of(make_opener(), seal(key=OLD_KEY)) == "forged"
    assert reason_of(make_opener(receiver="host-9"), datagram) == "forged"
    for position in range(len(VERSION), len(datagram)):
        changed = bytearray(datagram)
        changed[position] ^= 1
        assert reason_of(make_opener(), bytes(changed)) == "forged"


def test_replayed_datagram_changes_nothing():
    """Somebody records genuine datagrams and sends them again.

    An old "leaving" sent again would take a serving host out of the ring. Each
    sequence number is taken once; datagrams from before the sender's restart
    and those from too long ago are refused.
    """
    opener = make_opener()
    datagrams = [seal(sequence=number) for number in range(5)]
    for number in (0, 3, 1):
        opener.open(datagrams[number], NOW)
        assert reason_of(opener, datagrams[number]) == "replayed"
    opener.open(seal(sequence=REPLAY_WINDOW + 2), NOW)
    assert reason_of(opener, datagrams[2]) == "replayed"
    assert opener.open(datagrams[4], NOW)
    opener.open(seal(boot_time=2), NOW)
    assert reason_of(opener, seal(sequence=9000)) == "replayed"
    assert reason_of(opener, seal(boot_time=3), NOW + MAX_AGE + 1) == "clock"
    opener.open(Sealer("host-2", KEY, 1).seal(Ack(1, 2), "host-0", NOW), NOW)
    assert len(opener.windows) == 2
    later = NOW + 2 * MAX_AGE
    opener.open(Sealer("host-3", KEY, 1).seal(Ack(1, 2), "host-0", later), later)
    assert list(opener.windows) == ["host-3"]


def test_both_keys_are_taken_while_they_are_replaced():
    opener = make_opener(KEY, OLD_KEY)
    assert opener.open(seal(sequence=1), NOW)
    assert opener.open(seal(key=OLD_KEY, sequence=2), NOW)
    assert reason_of(opener, seal(key=bytes(32))) == "forged"


def test_oversized_and_truncated_datagrams_are_refused():
    datagram = seal()
    assert reason_of(make_opener(), datagram + bytes(9000)) == "oversized"
    for length in range(HEADER_SIZE + 1):
        assert reason_of(make_opener(), datagram[:length]) == "malformed"
    accounts = tuple(make_account(f"a{number}") for number in range(40))
    with pytest.raises(ControlMessageError):
        seal(SnapshotPart(1, 0, 1, accounts))


def parse(body):
    """Read a body that passed the digest; only ControlMessageError may come out."""
    datagram = VERSION + digest_of(KEY, "host-0", body) + body
    try:
        make_opener().open(datagram, NOW)
        read_message(decode(body).message)
    except ControlMessageError:
        pass


@settings(max_examples=400, derandomize=True, deadline=None)
@given(st.binary(max_size=400))
def test_any_bytes_give_a_message_or_the_typed_error(body):
    parse(body)


@settings(max_examples=600, derandomize=True, deadline=None)
@given(
    st.sampled_from(MESSAGES),
    st.lists(st.tuples(st.integers(0, 2000), st.integers(0, 255)), max_size=6),
    st.integers(0, 2000),
)
def test_changed_messages_give_a_message_or_the_typed_error(message, changes, length):
    body = bytearray(seal(message)[HEADER_SIZE:])
    for position, value in changes:
        body[position % len(body)] = value
    parse(bytes(body[: length or None]))


def test_budget_keeps_the_rate_and_sends_the_urgent_first():
    """An operator changes much at once, while loads are told as ever.

    Without classes the loads would fill the budget and the pings wait behind
    them until healthy hosts are suspected.
    """
    budget = ControlBudget()
    sent = []
    for step in range(400):
        now = step * 0.05
        budget.offer(Urgency.LOAD, Urgency.LOAD, 400, now)
        budget.offer(Urgency.REVISION, Urgency.REVISION, 200, now)
        if step % 10 == 0:
            budget.offer(Urgency.HEARTBEAT, Urgency.HEARTBEAT, 150, now)
        sent.extend(budget.release(now))
    counts = {urgency: sent.count(urgency) for urgency in Urgency}
    assert counts[Urgency.HEARTBEAT] == 40
    assert counts[Urgency.REVISION] > 8 * counts[Urgency.LOAD]
    total = 178 * 40 + 228 * counts[Urgency.REVISION] + 428 * counts[Urgency.LOAD]
    assert total <= BYTES_PER_SECOND * (20 + 2)
    assert budget.dropped > 0


def test_heartbeats_go_at_once_though_loads_used_up_their_part():
    """Loads fill the budget, and then many hosts ping this one at once.

    Answers that wait behind loads come too late for the pings.
    """
    budget = ControlBudget()
    for _ in range(20):
        budget.offer("load", Urgency.LOAD, 400, 0.0)
    assert 4 < len(budget.release(0.0)) < 8
    for _ in range(20):
        budget.offer("ack", Urgency.HEARTBEAT, 100, 0.01)
    assert budget.release(0.01) == ["ack"] * 20


def test_budget_drops_the_least_urgent_above_its_bound():
    budget = ControlBudget()
    budget.paid_at = 10.0
    for _ in range(MAX_WAITING):
        budget.offer("load", Urgency.LOAD, 100, 0.0)
    budget.offer("revision", Urgency.REVISION, 100, 0.0)
    assert budget.count() == MAX_WAITING
    assert budget.dropped == 1
    assert budget.release(9.0) == []
    assert budget.dropped == MAX_WAITING + 1
