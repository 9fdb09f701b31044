"""Packets as `PROTOCOL.md` describes them."""

import socket
import struct
import zlib

HEADER = struct.Struct(">IIBIHHIIIH")
INCARNATION = struct.Struct(">Q")
SYN, ACK, FIN, RST = 16, 2, 64, 8
MASK = 0xFFFFFFFF
KEY = b"a key that the system does not know"


class Packet:
    """One packet of a flow."""

    __slots__ = (
        "ack",
        "data",
        "dport",
        "dst",
        "echo",
        "flags",
        "seq",
        "sport",
        "src",
        "sum",
    )

    def __init__(self, seq, ack, flags, echo, dport, sport, src, dst, data=b""):
        self.seq, self.ack, self.flags, self.echo = seq & MASK, ack & MASK, flags, echo
        self.dport, self.sport, self.src, self.dst = dport, sport, src, dst
        self.data = data
        self.sum = 0

    def digest(self):
        """Return the keyed sum over all fields but the echo."""
        fields = (self.seq, self.ack, self.flags, self.dport, self.sport)
        text = repr((*fields, self.src, self.dst)).encode()
        return zlib.crc32(KEY + text + self.data) or 1

    def encode(self):
        """Return the packet's bytes, signed."""
        return (
            HEADER.pack(
                self.seq,
                self.ack,
                self.flags,
                self.echo,
                self.dport,
                self.sport,
                self.src,
                self.dst,
                self.digest(),
                len(self.data),
            )
            + self.data
        )


def decode(data):
    """Return the packet in a datagram."""
    seq, ack, flags, echo, dport, sport, src, dst, check, length = HEADER.unpack_from(
        data
    )
    packet = Packet(seq, ack, flags, echo, dport, sport, src, dst, data[HEADER.size :])
    packet.sum = check
    assert len(packet.data) == length
    return packet


def number(ip):
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(ip), "big")


def udp_socket(ip, port=0):
    """Return a bound socket for datagrams."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
    sock.bind((ip, port))
    sock.setblocking(False)
    return sock


def datagrams(sock):
    """Yield the queued datagrams of a socket with their senders."""
    while True:
        try:
            yield sock.recvfrom(4096)
        except OSError:
            return
