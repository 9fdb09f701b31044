"""Parsing of IPv4 addresses and ports in decimal notation."""

from __future__ import annotations

from citronspring.endpoints import Endpoint

#: Octets of an IPv4 address by their notation.
OCTETS = {str(octet): octet for octet in range(256)}

#: First octet from which addresses are multicast, reserved or broadcast.
FIRST_MULTICAST_OCTET = 224

#: Largest port number.
MAX_PORT = 65535


def parse_ipv4(text: str) -> int:
    """Return an IPv4 address as an integer; raises ValueError if it is invalid.

    The decision core decodes addresses too, and imports no sockets.
    """
    try:
        one, two, three, four = text.split(".")
        return OCTETS[one] << 24 | OCTETS[two] << 16 | OCTETS[three] << 8 | OCTETS[four]
    except (KeyError, ValueError) as error:
        raise ValueError(f"{text!r:.40} is not an IPv4 address") from error


def parse_port(text: str) -> int:
    """Return a port number; raises ValueError if it is invalid.

    `int` alone would also read signs, spaces, underscores and digits of any script.
    """
    port = int(text) if text.isascii() and text.isdigit() else 0
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"{text!r:.40} is not a port number")
    return port


def is_unicast(ip: str) -> bool:
    """Whether an IPv4 address can belong to a machine."""
    return 0 < OCTETS[ip.partition(".")[0]] < FIRST_MULTICAST_OCTET


def parse_endpoint(text: str) -> Endpoint:
    """Parse ``ip:port``; raises ValueError if it is invalid."""
    ip, _, port = text.rpartition(":")
    parse_ipv4(ip)
    return Endpoint(ip, parse_port(port))
