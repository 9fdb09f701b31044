"""Packets of callers: the platform's datagram format."""

from __future__ import annotations

from citronspring.errors import MalformedPacketError
from citronspring.light_sockets import inet_ntoa
from citronspring.light_stdlib import Struct
from citronspring.tcp_flags import ACK, FIN, RST, SYN
from citronspring.tokens.entities import PORT_BITS, Packet

#: seq, ack, flags, echo, dport, sport, src, dst, sum, len. The fourth, ``echo``, is
#: what either end returns to the other and is used as the flow's token.
HEADER = Struct(">IIBIHHIIIH")

#: Where the token stands, and the two ports and addresses that make a flow's key.
TOKEN_OFFSET = 9
FLOW_KEY = slice(13, 25)

#: Most bytes of payload in a packet.
MAX_PAYLOAD = 1200

#: The platform's bits of flags and their meaning.
WIRE_FLAGS = {16: SYN, 2: ACK, 64: FIN, 8: RST}
WIRE_RST = 8

#: Flags by the byte in the header.
FLAGS = tuple(
    sum(flag for bit, flag in WIRE_FLAGS.items() if byte & bit) for byte in range(256)
)

#: What precedes a packet to a target: which incarnation it is meant for.
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
        If it is too short, or its length is not the one it names.
    """
    if len(data) < HEADER.size:
        raise MalformedPacketError(f"a datagram of {len(data)} bytes holds no header")
    seq, ack, flags, token, dport, _, _, dst, _, length = HEADER.unpack_from(data)
    if length > MAX_PAYLOAD or length != len(data) - HEADER.size:
        raise MalformedPacketError(
            f"a packet of {len(data) - HEADER.size} bytes names {length}"
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

    The token is written into openings; in later packets the caller has put it.
    """
    data = packet.data
    if packet.token == token:
        # Nearly every packet: nothing has to be written into it.
        return INCARNATION.pack(incarnation) + data
    head, tail = data[:TOKEN_OFFSET], data[TOKEN_OFFSET + TOKEN.size :]
    return INCARNATION.pack(incarnation) + head + TOKEN.pack(token) + tail


def encode_reset(packet: Packet) -> bytes:
    """Return the reset that answers a caller's packet.

    Its number must lie near what the caller acknowledged last; the checksum is 0,
    which marks it as the system's own.
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
