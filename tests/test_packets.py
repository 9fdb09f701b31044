"""Wire format: round trips, malformed and corrupted packets, payload on a SYN."""

from __future__ import annotations

import dpkt
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from citronspring.entities import Endpoint, FlowKey
from citronspring.errors import MalformedPacketError
from citronspring.messages import RelayKind
from citronspring.packets import (
    GUE_HEADER,
    RelayFrame,
    build_refusal,
    decapsulate,
    decode_packet,
    decode_relay,
    encapsulate,
    encode_relay,
    encode_tcp,
    encode_udp,
)
from citronspring.rendezvous import flow_key
from citronspring.tcp_flags import ACK, FIN, RST, SYN

FLOW = flow_key(6, "192.0.2.1", 443, "198.51.100.7", 40_000)
DATAGRAM_FLOW = FlowKey(bytes([17]) + FLOW[1:])
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=300)

numbers = st.integers(0, 0xFFFFFFFF)
ports = st.binary(min_size=2, max_size=2)
addresses = st.binary(min_size=4, max_size=4)


@st.composite
def flows(draw, protocol=6):
    fields = [draw(part) for part in (addresses, ports, addresses, ports)]
    return FlowKey(bytes([protocol]) + b"".join(fields))


@DETERMINISTIC
@given(
    flows(),
    st.booleans(),
    st.sampled_from([ACK, SYN, SYN | ACK, FIN | ACK, RST]),
    numbers,
    numbers,
    st.binary(max_size=50),
)
def test_segment_round_trip(flow, from_caller, flags, seq, ack, payload):
    data = encode_tcp(flow, from_caller, flags, seq, ack, payload)
    packet = decode_packet(decapsulate(encapsulate(data)), from_caller)
    assert (packet.flow, packet.flags) == (flow, flags)
    assert (packet.seq, packet.ack) == (seq, ack)
    cut = flags & SYN and from_caller
    assert packet.payload_length == (0 if cut else len(payload))
    if not cut:
        assert packet.data == data


@DETERMINISTIC
@given(flows(17), st.booleans(), st.binary(max_size=50))
def test_datagram_round_trip(flow, from_caller, payload):
    data = encode_udp(flow, from_caller, payload)
    packet = decode_packet(data, from_caller)
    assert (packet.flow, packet.flags, packet.data) == (flow, 0, data)
    assert packet.payload_length == len(payload)


endpoints = st.none() | st.builds(
    Endpoint,
    st.sampled_from(["127.0.0.1", "10.1.2.3", "255.255.255.255"]),
    st.integers(1, 65535),
)


@DETERMINISTIC
@given(flows(), st.sampled_from(RelayKind), st.booleans(), endpoints, endpoints)
def test_relay_round_trip(flow, kind, with_packet, source, target):
    packet = None
    if with_packet:
        data = encode_tcp(flow, source is None, ACK, 1, 2, b"x")
        packet = decode_packet(data, source is None)
    frame = RelayFrame(kind, flow, packet, source, target)
    assert decode_relay(encode_relay(frame)) == frame


def decode_as_every_kind(data):
    """Decode bytes as each kind of datagram that a host receives."""
    for decode in (
        lambda: decode_packet(data, True),
        lambda: decode_packet(data, False),
        lambda: decode_packet(decapsulate(data), True),
        lambda: decode_relay(data),
    ):
        try:
            decode()
        except MalformedPacketError as error:
            assert error.message


@DETERMINISTIC
@given(st.binary(max_size=120))
def test_any_bytes_are_a_packet_or_malformed(data):
    decode_as_every_kind(data)


def samples():
    """Return a datagram of each kind that a host receives."""
    segment = encode_tcp(FLOW, True, SYN, 1, 0, b"early data")
    datagram = encode_udp(DATAGRAM_FLOW, True, b"query")
    refusal = build_refusal(decode_packet(datagram, True), "x")
    packet = decode_packet(segment, True)
    target = Endpoint("127.0.2.1", 6080)
    frame = RelayFrame(RelayKind.PROPOSE, FLOW, packet, None, target)
    binding = RelayFrame(RelayKind.BIND, FLOW, None, None, target)
    tunnelled = [GUE_HEADER + inner for inner in (segment, datagram, refusal)]
    frames = [encode_relay(frame), encode_relay(binding)]
    return [segment, datagram, refusal, *tunnelled, *frames]


@settings(DETERMINISTIC, max_examples=1000)
@given(st.sampled_from(samples()), st.data())
def test_corrupted_packets_are_decoded_or_malformed(sample, data):
    """Corrupted datagrams must not end the process.

    Valid datagrams are truncated and some of their bytes replaced, which passes more of
    the checks than random bytes do. Any exception but the counted one would end the
    process, and with it every flow it forwards.
    """
    damaged = bytearray(sample[: data.draw(st.integers(0, len(sample)))])
    for _ in range(data.draw(st.integers(0, 4))):
        if damaged:
            position = data.draw(st.integers(0, len(damaged) - 1))
            damaged[position] = data.draw(st.integers(0, 255))
    decode_as_every_kind(bytes(damaged))


def with_ip(data=None, **fields):
    packet = dpkt.ip.IP(data or encode_tcp(FLOW, True, ACK, 1, 2, b"x"))
    for name, value in fields.items():
        setattr(packet, name, value)
    return bytes(packet)


@pytest.mark.parametrize(
    ("data", "kind"),
    [
        (b"", "truncated"),
        (with_ip(v=6), "ip-header"),
        (with_ip(p=47), "protocol"),
        (with_ip(mf=1), "fragment"),
        (with_ip(offset=8), "fragment"),
        (with_ip(len=2000), "truncated"),
        (with_ip()[:30], "truncated"),
    ],
    ids=["empty", "version", "gre", "first", "last", "length", "cut"],
)
def test_packet_that_is_not_forwarded_has_a_malformed_kind(data, kind):
    with pytest.raises(MalformedPacketError) as caught:
        decode_packet(data, True)
    assert caught.value.message == kind


def test_payload_of_a_syn_is_stripped():
    """A request in the payload of a SYN must not run at two targets.

    The opening may be retried at another target after the first one received the data.
    The payload is removed, and the caller retransmits it on the open connection.
    """
    data = encode_tcp(FLOW, True, SYN, 7, 0, b"correction")
    packet = decode_packet(data, True)
    inner = dpkt.ip.IP(packet.data)
    assert bytes(inner.data.data) == b""
    assert packet.data == encode_tcp(FLOW, True, SYN, 7, 0, b"")
