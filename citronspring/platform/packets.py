"""The platform's datagram format for packets of callers."""

from __future__ import annotations

from citronspring.errors import MalformedPacketError
from citronspring.light_sockets import inet_ntoa
from citronspring.light_stdlib import Struct
from citronspring.tcp_flags import ACK, FIN, RST, SYN
from citronspring.tokens.entities import PORT_BITS, Packet

#: Fields: seq, ack, flags, echo, dport, sport, src, dst, sum, len. Each end returns the
#: fourth, ``echo``, unchanged to the other; it carries the flow's token.
HEADER = Struct(">IIBIHHIIIH")

#: Offset of the token, and the slice with the two ports and addresses that form a
#: flow's key.
TOKEN_OFFSET = 9
FLOW_KEY = slice(13, 25)

#: Largest payload of a packet in bytes.
MAX_PAYLOAD = 1200

#: Flag bits in the platform's header and the flags they stand for.
WIRE_FLAGS = {16: SYN, 2: ACK, 64: FIN, 8: RST}
WIRE_RST = 8

#: Flags for each value of the header's flags byte.
FLAGS = tuple(
    sum(flag for bit, flag in WIRE_FLAGS.items() if byte & bit) for byte in range(256)
)

#: Prefix of a packet to a target: the incarnation that the packet is meant for.
INCARNATION = Struct(">Q")
TOKEN = Struct(">I")

#: The two ports of a flow's key, and the ports with both addresses.
PORTS = Struct(">HH")
FLOW_FIELDS = Struct(">HHII")


def decode_packet(data: bytes) -> Packet:
    """Return the packet in a datagram from a caller.

    Raises
    ------
    MalformedPacketError
        If the datagram is too short, or its length differs from the one in its header.
    """
    if len(data) < HEADER.size:
        raise MalformedPacketError(
            f"a datagram of {len(data)} bytes is shorter than the header"
        )
    seq, ack, flags, token, dport, _, _, dst, _, length = HEADER.unpack_from(data)
    if length > MAX_PAYLOAD or length != len(data) - HEADER.size:
        raise MalformedPacketError(
            f"payload of {len(data) - HEADER.size} bytes, length field of {length}"
        )
    return Packet(
        data[FLOW_KEY],
        dst << PORT_BITS | dport,
        FLAGS[flags],
        token,
        seq,
        ack,
        length,
        data,
    )


def encode_for_target(packet: Packet, incarnation: int, token: int) -> bytes:
    """Return the datagram that carries a packet to one incarnation of a target.

    The token is written unless the caller echoes it already, as in most packets.
    """
    data = packet.data
    if packet.token == token:
        return INCARNATION.pack(incarnation) + data
    head, tail = data[:TOKEN_OFFSET], data[TOKEN_OFFSET + TOKEN.size :]
    return INCARNATION.pack(incarnation) + head + TOKEN.pack(token) + tail


def encode_reset(packet: Packet) -> bytes:
    """Return the reset that answers a caller's packet.

    Its sequence number must be near the last one that the caller acknowledged. The
    checksum is 0, which marks the reset as sent by the load balancer itself.
    """
    dport, sport, src, dst = FLOW_FIELDS.unpack(packet.data[FLOW_KEY])
    return HEADER.pack(packet.ack, 0, WIRE_RST, 0, sport, dport, dst, src, 0, 0)


def format_flow(flow: bytes) -> str:
    """Return the key of a flow as ``caller:port>service:port``."""
    dport, sport = PORTS.unpack_from(flow)
    caller, service = inet_ntoa(flow[4:8]), inet_ntoa(flow[8:12])
    return f"{caller}:{sport}>{service}:{dport}"


def caller_ip(packet: Packet) -> str:
    """Return the caller's address as text."""
    return inet_ntoa(packet.flow[4:8])
