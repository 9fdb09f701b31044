"""Domain objects: routes, targets' tokens, and packets of callers."""

from __future__ import annotations

from citronspring.light_stdlib import INFINITY, TYPE_CHECKING
from citronspring.records import record

if TYPE_CHECKING:
    pass

#: Number of bits of the port in a route key.
PORT_BITS = 16

#: Number of bits of the token that a packet carries.
TOKEN_BITS = 32
TOKEN_MASK = (1 << TOKEN_BITS) - 1


def route_key(address: int, port: int) -> int:
    """Return the key of the route for a service address.

    Parameters
    ----------
    address : int
        IPv4 address as a number.
    port : int
        Port of the service.
    """
    return address << PORT_BITS | port


def token_of(incarnation: int) -> int:
    """Return the token that names an incarnation in packets, 0 for none.

    All hosts derive the same token without communicating. An incarnation of up to 32
    bits is its own token; a longer one is folded.
    """
    return (incarnation ^ incarnation >> TOKEN_BITS) & TOKEN_MASK


@record(eq=True)
class Share:
    """A service with its weight in a route's distribution of new flows."""

    service: str
    weight: float


@record(eq=True)
class Route:
    """A service address and the services that serve its new flows."""

    name: str
    #: See `route_key`.
    key: int
    shares: tuple[Share, ...]
    #: Whether a request may run twice, so that a caller may retry by itself after a
    #: reset.
    idempotent: bool
    #: Latency objective in seconds; infinite if there is none.
    objective: float = INFINITY
    #: Priority of its requests; 0 is the most urgent.
    priority: int = 0


def valid_objective(seconds: float) -> float:
    """Return a latency objective, infinite if it is not positive.

    Delays are divided by it.
    """
    return seconds if seconds > 0.0 else INFINITY


@record
class Packet:
    """A packet from a caller; only the transport code reads ``data``."""

    #: Opaque key of the flow, made of both addresses and ports.
    flow: bytes
    #: Key of the route, see `route_key`.
    route: int
    #: See `citronspring.tcp_flags`.
    flags: int
    #: Token of the flow's target; 0 on an opening.
    token: int
    #: Sequence number of the first byte of payload, 32 bits.
    seq: int
    #: Next byte that the caller expects, 32 bits; on an opening, how many times the
    #: caller has sent it before.
    ack: int
    #: Length of the payload in bytes.
    length: int
    #: The raw packet.
    data: bytes = b""
