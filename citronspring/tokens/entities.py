"""Domain objects: routes, targets' tokens, and packets of callers."""

from __future__ import annotations

from citronspring.light_stdlib import INFINITY, TYPE_CHECKING
from citronspring.records import record

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Number of bits of the port in a route key.
PORT_BITS = 16

#: Number of bits of the token that a packet carries.
TOKEN_BITS = 32
TOKEN_MASK = (1 << TOKEN_BITS) - 1

#: Bits of the token for a second target that name the first target, and as many that
#: name the second one, masked with the sequence number. Each half is wrong by
#: chance as often as the other, so neither gets more bits.
HALF_BITS = TOKEN_BITS // 2
HALF_MASK = (1 << HALF_BITS) - 1


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


def opening_token(tried: Sequence[int], first_seq: int) -> int:
    """Return the token that an opening carries; `opening_tokens` tells what it says.

    Parameters
    ----------
    tried : sequence of int
        Tokens of the targets to which this host has sent the opening, the current one
        last.
    first_seq : int
        Sequence number of the opening.
    """
    if not is_second_target(tried):
        return tried[-1] ^ mix(first_seq)
    low = second_name(tried[-1]) ^ start_mask(first_seq)
    return first_name(tried[0]) << HALF_BITS | low


def is_second_target(tried: Sequence[int]) -> bool:
    """Whether the last target of an opening is the only one but the first."""
    return tried[-1] != tried[0] and tried.count(tried[0]) == len(tried) - 1


def first_name(token: int) -> int:
    """Return the half of a token that names the first target of an opening."""
    return mix(token) >> HALF_BITS


def second_name(token: int) -> int:
    """Return the half of a token that names the second target of an opening."""
    return mix(token) & HALF_MASK


def start_mask(first_seq: int) -> int:
    """Return the mask of that half for the sequence number of an opening."""
    return mix(first_seq) & HALF_MASK


def mix(value: int) -> int:
    """Return 32 bits, each of which depends on all 32 bits of a value.

    The finalizer of MurmurHash3. A linear hash, such as a CRC, gives many targets the
    same name if their ids count up, and hash libraries are too slow to import for a
    host that starts.
    """
    value = (value ^ value >> 16) * 0x85EBCA6B & TOKEN_MASK
    value = (value ^ value >> 13) * 0xC2B2AE35 & TOKEN_MASK
    return value ^ value >> 16


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
