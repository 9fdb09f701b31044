"""IPv4 addresses and ports as the platform writes them."""

from __future__ import annotations

from citronspring.endpoints import Endpoint
from citronspring.light_sockets import AF_INET, inet_pton

#: Largest number of a port.
MAX_PORT = 65535


def parse_ipv4(text: str) -> int:
    """Return an IPv4 address as a number; raises ValueError if it is none."""
    try:
        return int.from_bytes(inet_pton(AF_INET, text), "big")
    except OSError as error:
        raise ValueError(f"{text!r} is no IPv4 address") from error


def parse_port(text: str) -> int:
    """Return a port; raises ValueError if it is none."""
    port = int(text)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"{text!r} is no port")
    return port


def parse_endpoint(text: str) -> Endpoint:
    """Read ``ip:port``; raises ValueError if it is none."""
    ip, _, port = text.rpartition(":")
    parse_ipv4(ip)
    return Endpoint(ip, parse_port(port))
