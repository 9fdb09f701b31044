"""IPv4 addresses and ports as the platform writes them."""

from __future__ import annotations

from citronspring.endpoints import Endpoint
from citronspring.lean_sockets import AF_INET, inet_pton

#: Largest number of a port.
LARGEST_PORT = 65535


def ipv4_number(text: str) -> int:
    """Return an IPv4 address as a number; raises ValueError if it is none."""
    try:
        return int.from_bytes(inet_pton(AF_INET, text), "big")
    except OSError as error:
        raise ValueError(f"{text!r} is no IPv4 address") from error


def port_number(text: str) -> int:
    """Return a port; raises ValueError if it is none."""
    port = int(text)
    if not 0 < port <= LARGEST_PORT:
        raise ValueError(f"{text!r} is no port")
    return port


def endpoint_of(text: str) -> Endpoint:
    """Read ``ip:port``; raises ValueError if it is none."""
    ip, _, port = text.rpartition(":")
    ipv4_number(ip)
    return Endpoint(ip, port_number(port))
