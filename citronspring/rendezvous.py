"""Rendezvous hashing: the owner of a flow and the ranking of its targets."""

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

#: Number of slots of the hash space. The owner is determined per slot, so that finding
#: the owner of a flow takes one hash instead of one per host.
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
    """Return the part of a flow key that identifies the service address."""
    if len(flow) == FLOW_KEY_LENGTH_V4:
        return ServiceKey(flow[:SERVICE_KEY_LENGTH_V4])
    return ServiceKey(flow[:SERVICE_KEY_LENGTH_V6])


def service_key(address: ServiceAddress) -> ServiceKey:
    """Return the leading bytes of every flow key of a service address."""
    packed = ipaddress.ip_address(address.ip).packed
    port = struct.pack(">H", address.port)
    return ServiceKey(bytes([address.protocol]) + packed + port)


def seed_of(identity: str) -> int:
    """Return the hash seed of a host or target."""
    return xxh64_intdigest(identity.encode())


def score(key: bytes, seed: int) -> int:
    """Return the 64-bit rendezvous weight of a key for a seed."""
    return xxh64_intdigest(key, seed)


def ranked(key: bytes, identities: Iterable[str]) -> list[str]:
    """Return identities from the highest rendezvous weight to the lowest."""
    return sorted(identities, key=lambda name: score(key, seed_of(name)), reverse=True)


@dataclass(slots=True)
class OwnerTable:
    """Owner and backup host of every flow, for one membership view."""

    #: Host ids that may own flows, sorted, so that equal views compare equal.
    members: tuple[str, ...] = ()
    #: Index of each member.
    positions: dict[str, int] = field(default_factory=dict)
    #: Incremented with each view; marks what was learned under an older one.
    version: int = 0
    slots: dict[int, tuple[str | None, str | None]] = field(default_factory=dict)

    def owner_and_backup(self, flow: FlowKey) -> tuple[str | None, str | None]:
        """Return the owner and the backup host of a flow."""
        slot = xxh64_intdigest(flow) % OWNER_SLOTS
        pair = self.slots.get(slot)
        if pair is None:
            pair = self.rank_slot(slot)
            self.slots[slot] = pair
        return pair

    def rank_slot(self, slot: int) -> tuple[str | None, str | None]:
        """Return owner and backup host for a slot; None if there are too few hosts."""
        order = ranked(slot.to_bytes(4, "big"), self.members)
        owner = order[0] if order else None
        backup = order[1] if len(order) > 1 else None
        return owner, backup

    def update(self, members: Iterable[str]) -> bool:
        """Replace the members; return whether they changed."""
        view = tuple(sorted(members))
        if view == self.members:
            return False
        self.members = view
        self.positions = {name: index for index, name in enumerate(view)}
        self.version += 1
        self.slots = {}
        return True
