"""Wire format: IP packets in Generic UDP Encapsulation, decoded to typed packets.

Generic UDP Encapsulation is draft-ietf-intarea-gue. The four bytes of its header are
version and header length, protocol, and flags. Datagrams between hosts carry 16 bytes
of private data: the kind of relay and tunnel endpoints, see `RelayFrame`. A caller is
the client that opens a flow to a service address.
"""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass

import dpkt

from citronspring.entities import Endpoint, FlowKey
from citronspring.errors import MalformedPacketError
from citronspring.messages import Packet, RelayKind
from citronspring.tcp_flags import ACK, RST, SYN

#: Largest datagram that a tunnel socket receives, bytes.
MAX_DATAGRAM = 65535

PROTOCOL_ICMP = 1
PROTOCOL_IPV4 = 4
PROTOCOL_TCP = 6
PROTOCOL_UDP = 17
PROTOCOL_NONE = 59

GUE_HEADER = bytes([0, PROTOCOL_IPV4, 0, 0])
GUE_HEADER_LENGTH = 4
#: Words of private data in a relay header. The header length field counts words of four
#: bytes after the first word.
RELAY_EXTENSION_WORDS = 4
RELAY_HEADER = struct.Struct(">BBHB3x4sH4sH")
RELAY_HEADER_LENGTH = RELAY_HEADER.size

#: Version, DSCP, total length, id, fragment, TTL, protocol, checksum, addresses.
IPV4_HEADER = struct.Struct(">BxHxxHxBxx4s4s")
IPV4_HEADER_LENGTH = 20
TCP_HEADER = struct.Struct(">2s2sIIBB")
PORTS = struct.Struct(">2s2s")

#: Prefixes of flow keys, by protocol.
TCP_PREFIX = bytes([PROTOCOL_TCP])
UDP_PREFIX = bytes([PROTOCOL_UDP])
FLOW_KEY_PREFIXES = {PROTOCOL_TCP: TCP_PREFIX, PROTOCOL_UDP: UDP_PREFIX}
TCP_HEADER_LENGTH = 20
UDP_HEADER_LENGTH = 8
ICMP_HEADER_LENGTH = 8
ICMP_UNREACHABLE = 3
ICMP_ADMIN_PROHIBITED = 13
FRAGMENT_MASK = 0x3FFF


def malformed_packet(kind: str) -> MalformedPacketError:
    """Return the error for a packet that is dropped and counted under a kind."""
    return MalformedPacketError(
        kind, "the sender must send complete, unfragmented IPv4 TCP or UDP"
    )


@dataclass(slots=True)
class RelayFrame:
    """A datagram between two hosts."""

    kind: RelayKind
    flow: FlowKey
    packet: Packet | None
    #: Tunnel of the target that sent the packet; None unless the packet is an answer.
    source: Endpoint | None
    #: Tunnel of the target that is proposed or bound.
    target: Endpoint | None


def encapsulate(inner: bytes) -> bytes:
    """Return the tunnel datagram that carries an IPv4 packet."""
    return GUE_HEADER + inner


def decapsulate(datagram: bytes) -> bytes:
    """Return the IPv4 packet in a tunnel datagram.

    Raises
    ------
    MalformedPacketError
        It is truncated, or not a version 0 data message with IPv4 and no options.
    """
    if datagram.startswith(GUE_HEADER):
        return datagram[GUE_HEADER_LENGTH:]
    if len(datagram) < GUE_HEADER_LENGTH:
        raise malformed_packet("truncated")
    raise malformed_packet("tunnel-header")


def decode_packet(data: bytes, from_caller: bool) -> Packet:
    """Return an IPv4 packet with the decoded fields that routing needs.

    Payload on a SYN of the caller is removed: it could otherwise reach two targets
    when the opening is retried. The caller retransmits it, as TCP allows.

    Raises
    ------
    MalformedPacketError
        The packet is malformed; the message is the kind under which it is counted.
    """
    if len(data) < IPV4_HEADER_LENGTH:
        raise malformed_packet("truncated")
    first, total, fragment, protocol, source, destination = IPV4_HEADER.unpack_from(
        data
    )
    header_length = (first & 0x0F) * 4
    if first >> 4 != 4 or header_length < IPV4_HEADER_LENGTH:
        raise malformed_packet("ip-header")
    if total > len(data) or total < header_length + UDP_HEADER_LENGTH:
        raise malformed_packet("truncated")
    if fragment & FRAGMENT_MASK:
        raise malformed_packet("fragment")
    if protocol == PROTOCOL_TCP:
        return decode_tcp(data[:total], header_length, source, destination, from_caller)
    if protocol == PROTOCOL_UDP:
        return decode_udp(data[:total], header_length, source, destination, from_caller)
    if protocol == PROTOCOL_ICMP:
        return decode_icmp(data[:total], header_length, from_caller)
    raise malformed_packet("protocol")


def make_flow_key(
    prefix: bytes,
    source: bytes,
    source_port: bytes,
    destination: bytes,
    destination_port: bytes,
    from_caller: bool,
) -> FlowKey:
    """Return the flow key for the header fields of a packet in either direction."""
    # `FlowKey(...)` would be a call, and this runs for each packet.
    key: FlowKey
    if from_caller:
        key = prefix + destination + destination_port + source + source_port
    else:
        key = prefix + source + source_port + destination + destination_port
    return key


def decode_tcp(
    data: bytes,
    header_length: int,
    source: bytes,
    destination: bytes,
    from_caller: bool,
) -> Packet:
    """Return a decoded TCP segment; raises MalformedPacketError."""
    if len(data) < header_length + TCP_HEADER_LENGTH:
        raise malformed_packet("truncated")
    sport, dport, seq, ack, offset, flags = TCP_HEADER.unpack_from(data, header_length)
    start = header_length + (offset >> 4) * 4
    if start < header_length + TCP_HEADER_LENGTH or start > len(data):
        raise malformed_packet("tcp-header")
    flow = make_flow_key(TCP_PREFIX, source, sport, destination, dport, from_caller)
    length = len(data) - start
    if flags & SYN and length and from_caller:
        data = strip_payload(data, start)
        length = 0
    return Packet(flow, from_caller, flags, seq, ack, length, data)


def decode_udp(
    data: bytes,
    header_length: int,
    source: bytes,
    destination: bytes,
    from_caller: bool,
) -> Packet:
    """Return a decoded UDP datagram."""
    sport, dport = PORTS.unpack_from(data, header_length)
    flow = make_flow_key(UDP_PREFIX, source, sport, destination, dport, from_caller)
    length = len(data) - header_length - UDP_HEADER_LENGTH
    return Packet(flow, from_caller, 0, 0, 0, length, data)


def decode_icmp(data: bytes, header_length: int, from_caller: bool) -> Packet:
    """Return a decoded ICMP destination unreachable, with the flow that it quotes.

    It is routed with that flow; raises MalformedPacketError.
    """
    inner = header_length + ICMP_HEADER_LENGTH
    if data[header_length] != ICMP_UNREACHABLE:
        raise malformed_packet("icmp")
    if len(data) < inner + IPV4_HEADER_LENGTH:
        raise malformed_packet("truncated")
    first, _, _, protocol, source, destination = IPV4_HEADER.unpack_from(data, inner)
    ports_at = inner + (first & 0x0F) * 4
    if len(data) < ports_at + PORTS.size or protocol not in FLOW_KEY_PREFIXES:
        raise malformed_packet("icmp")
    sport, dport = PORTS.unpack_from(data, ports_at)
    prefix = FLOW_KEY_PREFIXES[protocol]
    # The ICMP message quotes a packet of the opposite direction.
    flow = make_flow_key(prefix, source, sport, destination, dport, not from_caller)
    return Packet(flow, from_caller, 0, 0, 0, 0, data, unreachable=True)


def strip_payload(data: bytes, start: int) -> bytes:
    """Return a TCP segment without payload, with new length and checksums."""
    packet = dpkt.ip.IP(data[:start])
    packet.len = start
    packet.sum = 0
    packet.data.sum = 0
    return bytes(packet)


def encode_tcp(
    flow: FlowKey, from_caller: bool, flags: int, seq: int, ack: int, payload: bytes
) -> bytes:
    """Return an IPv4 packet with a TCP segment of a flow."""
    service, service_port, caller, caller_port = split_flow_key(flow)
    segment = dpkt.tcp.TCP(seq=seq, ack=ack, flags=flags, win=65535, data=payload)
    source, destination = (caller, service) if from_caller else (service, caller)
    ports = (caller_port, service_port) if from_caller else (service_port, caller_port)
    segment.sport, segment.dport = ports
    return build_ip(PROTOCOL_TCP, source, destination, segment)


def encode_udp(flow: FlowKey, from_caller: bool, payload: bytes) -> bytes:
    """Return an IPv4 packet with a UDP datagram of a flow."""
    service, service_port, caller, caller_port = split_flow_key(flow)
    datagram = dpkt.udp.UDP(data=payload)
    datagram.ulen = UDP_HEADER_LENGTH + len(payload)
    source, destination = (caller, service) if from_caller else (service, caller)
    ports = (caller_port, service_port) if from_caller else (service_port, caller_port)
    datagram.sport, datagram.dport = ports
    return build_ip(PROTOCOL_UDP, source, destination, datagram)


def build_ip(
    protocol: int, source: bytes, destination: bytes, body: dpkt.Packet
) -> bytes:
    """Return an IPv4 packet; dpkt computes the checksums."""
    packet = dpkt.ip.IP(src=source, dst=destination, p=protocol, ttl=64, data=body)
    packet.len = IPV4_HEADER_LENGTH + len(body)
    return bytes(packet)


def split_flow_key(flow: FlowKey) -> tuple[bytes, int, bytes, int]:
    """Return service address and port, caller address and port of an IPv4 flow key."""
    service_port = int.from_bytes(flow[5:7], "big")
    caller_port = int.from_bytes(flow[11:13], "big")
    return flow[1:5], service_port, flow[7:11], caller_port


def build_refusal(packet: Packet, text: str) -> bytes:
    """Return the packet that refuses an opening, which was not run.

    A SYN gets a reset whose data gives the reason and when to retry (RFC 9293, 3.5.2).
    A datagram gets an ICMP "communication administratively prohibited".
    """
    if packet.flow[0] == PROTOCOL_TCP:
        acknowledged = (packet.seq + 1) & 0xFFFFFFFF
        flags = RST | ACK
        return encode_tcp(packet.flow, False, flags, 0, acknowledged, text.encode())
    quoted = packet.data[: IPV4_HEADER_LENGTH + UDP_HEADER_LENGTH]
    unreachable = dpkt.icmp.ICMP.Unreach(data=quoted)
    body = dpkt.icmp.ICMP(
        type=ICMP_UNREACHABLE, code=ICMP_ADMIN_PROHIBITED, data=unreachable
    )
    service, _, caller, _ = split_flow_key(packet.flow)
    return build_ip(PROTOCOL_ICMP, service, caller, body)


def pack_endpoint(endpoint: Endpoint | None) -> tuple[bytes, int]:
    """Return the header fields for an endpoint, zeros for None."""
    if endpoint is None:
        return bytes(4), 0
    return socket.inet_aton(endpoint.ip), endpoint.port


def unpack_endpoint(address: bytes, port: int) -> Endpoint | None:
    """Return the endpoint in two header fields, None if the port is 0."""
    if port == 0:
        return None
    return Endpoint(socket.inet_ntoa(address), port)


def encode_relay(frame: RelayFrame) -> bytes:
    """Return the datagram that relays a packet or a binding to another host."""
    protocol = PROTOCOL_NONE if frame.packet is None else PROTOCOL_IPV4
    from_caller = 1 if frame.packet is None or frame.packet.from_caller else 0
    header = RELAY_HEADER.pack(
        RELAY_EXTENSION_WORDS + 1,
        protocol,
        0,
        frame.kind | from_caller << 7,
        *pack_endpoint(frame.source),
        *pack_endpoint(frame.target),
    )
    body = frame.flow if frame.packet is None else frame.packet.data
    return header + body


def decode_relay(datagram: bytes) -> RelayFrame:
    """Return the frame in a datagram from another host.

    Raises
    ------
    MalformedPacketError
        The datagram is malformed; the message is the kind under which it is counted.
    """
    if len(datagram) < RELAY_HEADER_LENGTH:
        raise malformed_packet("truncated")
    words, protocol, _, bits, *endpoints = RELAY_HEADER.unpack_from(datagram)
    if words != RELAY_EXTENSION_WORDS + 1:
        raise malformed_packet("relay-header")
    try:
        kind = RelayKind(bits & 0x7F)
    except ValueError:
        raise malformed_packet("relay-kind") from None
    source = unpack_endpoint(*endpoints[:2])
    target = unpack_endpoint(*endpoints[2:])
    body = datagram[RELAY_HEADER_LENGTH:]
    if protocol == PROTOCOL_IPV4:
        packet = decode_packet(body, bool(bits >> 7))
        return RelayFrame(kind, packet.flow, packet, source, target)
    if protocol != PROTOCOL_NONE or len(body) not in (13, 37):
        raise malformed_packet("relay-body")
    return RelayFrame(kind, FlowKey(body), None, source, target)
