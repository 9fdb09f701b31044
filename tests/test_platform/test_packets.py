"""Encoding and decoding of the platform's datagram format."""

from __future__ import annotations

import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from citronspring.errors import MalformedPacketError
from citronspring.platform.packets import (
    caller_ip,
    decode_packet,
    encode_for_target,
    encode_reset,
    format_flow,
)
from citronspring.tcp_flags import ACK, FIN, RST, SYN
from citronspring.tokens.entities import route_key

#: An opening from 100.64.0.7:40001 to 198.18.0.1:443.
OPENING = bytes.fromhex(
    "11223344 00000000 10 00000000 01bb 9c41 64400007 c6120001 a1b2c3d5 0000"
)
#: The reset that answers it.
RESET = bytes.fromhex(
    "00000000 00000000 08 00000000 9c41 01bb c6120001 64400007 00000000 0000"
)


def with_payload(data, payload, length=None):
    length = len(payload) if length is None else length
    return data[:29] + struct.pack(">H", length) + payload


def test_decodes_an_opening():
    packet = decode_packet(OPENING)
    assert packet.flags == SYN
    assert packet.seq == 0x11223344
    assert packet.token == 0
    assert packet.length == 0
    assert packet.route == route_key(0xC6120001, 443)
    assert caller_ip(packet) == "100.64.0.7"
    assert format_flow(packet.flow) == "100.64.0.7:40001>198.18.0.1:443"


@pytest.mark.parametrize(
    ("byte", "flags"), [(16, SYN), (2, ACK), (66, FIN | ACK), (8, RST), (128, 0)]
)
def test_decodes_flags(byte, flags):
    data = OPENING[:8] + bytes([byte]) + OPENING[9:]
    assert decode_packet(data).flags == flags


def test_reset_matches_the_published_example():
    assert encode_reset(decode_packet(OPENING)) == RESET


def test_reset_has_the_sequence_number_that_the_caller_expects():
    data = OPENING[:4] + struct.pack(">I", 777) + bytes([2]) + OPENING[9:]
    assert struct.unpack(">I", encode_reset(decode_packet(data))[:4]) == (777,)


def test_only_the_token_is_written_and_the_incarnation_goes_first():
    sent = encode_for_target(decode_packet(OPENING), 0x2EA29917B4, 0xA1B2C3D4)
    assert sent[:8] == (0x2EA29917B4).to_bytes(8, "big")
    assert sent[8:17] == OPENING[:9]
    assert sent[17:21] == bytes.fromhex("a1b2c3d4")
    assert sent[21:] == OPENING[13:]


@pytest.mark.parametrize(
    "data",
    [
        b"",
        OPENING[:30],
        OPENING + b"x",
        with_payload(OPENING, b"abc", 4),
        with_payload(OPENING, bytes(1201)),
    ],
)
def test_malformed_datagrams_are_refused(data):
    with pytest.raises(MalformedPacketError):
        decode_packet(data)


@given(st.binary(max_size=1400))
def test_any_datagram_is_decoded_or_refused(data):
    try:
        packet = decode_packet(data)
    except MalformedPacketError:
        return
    assert packet.length == len(data) - 31
    assert len(encode_for_target(packet, 1, 1)) == len(data) + 8


@given(st.binary(max_size=1200), st.integers(0, 2**32 - 1))
def test_payload_passes_unchanged(payload, token):
    packet = decode_packet(with_payload(OPENING, payload))
    assert encode_for_target(packet, 5, token)[8 + 31 :] == payload
