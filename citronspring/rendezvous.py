"""Rendezvous hashing: which host owns a flow, which targets it may be on."""

from __future__ import annotations

import ipaddress
import struct
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

from citronspring.entities import FlowKey, ServiceKey

if TYPE_CHECKING:
    from collections.abc import Iterable

    from citronspring.entities import ServiceAddress

#: Ownership is decided for this many slots of the hash space, so that the owner
#: of a flow costs one hash instead of one a host.
OWNER_SLOTS = 16384

#: Length of a flow key whose addresses are IPv4: 1 + 4 + 2 + 4 + 2 bytes.
FLOW_KEY_LENGTH_V4 = 13
SERVICE_KEY_LENGTH_V4 = 7
SERVICE_KEY_LENGTH_V6 = 19


def flow_key(
    protocol: int, service_ip: str, service_port: int, caller_ip: str, caller_port: int
) -> FlowKey:
    """Return the canonical bytes of a five-tuple, service side first."""
    service = ipaddress.ip_address(service_ip).packed
    caller = ipaddress.ip_address(caller_ip).packed
    ports = struct.pack(">H", service_port), struct.pack(">H", caller_port)
    return FlowKey(bytes([protocol]) + service + ports[0] + caller + ports[1])


def service_key_of(flow: FlowKey) -> ServiceKey:
    """Return the part of a flow key that names the service address."""
    if len(flow) == FLOW_KEY_LENGTH_V4:
        return ServiceKey(flow[:SERVICE_KEY_LENGTH_V4])
    return ServiceKey(flow[:SERVICE_KEY_LENGTH_V6])


def service_key(address: ServiceAddress) -> ServiceKey:
    """Return the leading bytes of every flow key to a service address."""
    packed = ipaddress.ip_address(address.ip).packed
    port = struct.pack(">H", address.port)
    return ServiceKey(bytes([address.protocol]) + packed + port)


def seed_of(identity: str) -> int:
    """Return the hash seed that stands for a host or target."""
    return xxh64_intdigest(identity.encode())


def score(key: bytes, seed: int) -> int:
    """Return the 64-bit rendezvous weight of a key at the bearer of a seed."""
    return xxh64_intdigest(key, seed)


def ranked(key: bytes, identities: Iterable[str]) -> list[str]:
    """Return identities from the highest rendezvous weight to the lowest."""
    return sorted(identities, key=lambda name: score(key, seed_of(name)), reverse=True)


@dataclass(slots=True)
class OwnerTable:
    """Owner and second-ranked host of every flow, for one membership view."""

    #: Host ids that may own flows, sorted, so that equal views are equal rings.
    members: tuple[str, ...] = ()
    #: Index of each member.
    positions: dict[str, int] = field(default_factory=dict)
    #: Grows with each view, so that what was learnt under an older one shows.
    version: int = 0
    slots: dict[int, tuple[str | None, str | None]] = field(default_factory=dict)

    def owner_and_backup(self, flow: FlowKey) -> tuple[str | None, str | None]:
        """Return the owner of a flow and the host that would own it next."""
        slot = xxh64_intdigest(flow) % OWNER_SLOTS
        pair = self.slots.get(slot)
        if pair is None:
            pair = self.rank_slot(slot)
            self.slots[slot] = pair
        return pair

    def rank_slot(self, slot: int) -> tuple[str | None, str | None]:
        """Return the two highest members for a slot; None where there are too few."""
        order = ranked(slot.to_bytes(4, "big"), self.members)
        owner = order[0] if order else None
        second = order[1] if len(order) > 1 else None
        return owner, second

    def update(self, members: Iterable[str]) -> bool:
        """Take a new view; return whether it differs from the last."""
        view = tuple(sorted(members))
        if view == self.members:
            return False
        self.members = view
        self.positions = {name: index for index, name in enumerate(view)}
        self.version += 1
        self.slots = {}
        return True
