"""What is configured and registered: routes, targets, and packets of callers."""

from __future__ import annotations

from citronspring.light_stdlib import INFINITY, TYPE_CHECKING
from citronspring.records import record

if TYPE_CHECKING:
    pass

#: Bits of a port in a route key.
PORT_BITS = 16

#: Bits of the token that a packet carries.
TOKEN_BITS = 32
TOKEN_MASK = (1 << TOKEN_BITS) - 1


def route_key(address: int, port: int) -> int:
    """Return the key under which the route of a service address is found.

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

    Every host derives the same token with no word to another. An incarnation of
    up to 32 bits is its own token; a longer one is folded.
    """
    return (incarnation ^ incarnation >> TOKEN_BITS) & TOKEN_MASK


@record(eq=True)
class Share:
    """A service among those that a route spreads new flows over."""

    service: str
    weight: float


@record(eq=True)
class Route:
    """A service address and the services that take its new flows."""

    name: str
    #: See `route_key`.
    key: int
    shares: tuple[Share, ...]
    #: Whether a request may run twice, so that a caller tries again by itself
    #: after a reset.
    idempotent: bool
    #: Seconds within which a request should be answered; infinite for none.
    objective: float = INFINITY
    #: How urgent its requests are, 0 most of all.
    priority: int = 0


@record
class Packet:
    """A packet from a caller; only the carrier looks inside ``data``."""

    #: Opaque key of the flow: both addresses and ports.
    flow: bytes
    #: Key of the route, see `route_key`.
    route: int
    #: See `citronspring.tcp_flags`.
    flags: int
    #: Names the target of the flow; 0 on an opening.
    token: int
    #: Number of the first byte of payload, 32 bits.
    seq: int
    #: Next byte that the caller expects, 32 bits; on an opening, how many times the
    #: caller has sent it before.
    ack: int
    #: Bytes of payload.
    length: int
    #: The packet as it travels.
    data: bytes = b""
