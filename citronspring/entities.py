"""Configured entities: plain data classes, validated before they get here."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import NewType

from citronspring.endpoints import Endpoint as Endpoint

#: Canonical bytes of a five-tuple, see :func:`citronspring.rendezvous.flow_key`.
FlowKey = NewType("FlowKey", bytes)

#: Leading bytes of a flow key: protocol, service address and service port.
ServiceKey = NewType("ServiceKey", bytes)


class Protocol(IntEnum):
    """IP protocol numbers the balancer forwards."""

    TCP = 6
    UDP = 17


@dataclass(frozen=True, slots=True, order=True)
class ServiceAddress:
    """An address, port and protocol that callers connect to."""

    ip: str
    port: int
    protocol: Protocol


@dataclass(frozen=True, slots=True)
class Target:
    """A server of one client account, as configured.

    New flows can be placed on it at the revisions from ``added_revision`` up to, but
    not including, ``leaving_revision``. Every host derives from these two alone which
    targets may hold a flow that it does not know.
    """

    target_id: str
    account_id: str
    #: Address at which the target's kernel decapsulates tunnelled packets.
    tunnel: Endpoint
    zone: str
    #: Requests it processes concurrently; its reported load is relative to this.
    slots: int = 2
    #: Hard limit of open flows.
    max_connections: int = 2000
    #: Its health and load endpoint, if it has one.
    health: Endpoint | None = None
    added_revision: int = 0
    #: Revision that marked it as leaving; None while it takes new flows.
    leaving_revision: int | None = None

    @property
    def leaving(self) -> bool:
        """Whether the target takes no new flows."""
        return self.leaving_revision is not None


@dataclass(frozen=True, slots=True)
class AccountLimits:
    """Limits that keep one client account from exhausting shared resources."""

    #: Open flows over all hosts.
    max_connections: int = 100_000
    #: New flows per second over all hosts.
    new_per_second: float = 10_000.0
    #: Opening retries as a share of new flows.
    retry_ratio: float = 0.2
    #: Seconds an opening may take before the caller is refused.
    opening_timeout: float = 5.0
    #: Seconds without a packet after which a TCP flow expires.
    tcp_idle_timeout: float = 3600.0
    #: Seconds without a packet after which a datagram flow expires.
    udp_idle_timeout: float = 120.0


@dataclass(frozen=True, slots=True)
class Account:
    """A client account: its service addresses, targets, zones and limits."""

    account_id: str
    addresses: tuple[ServiceAddress, ...] = ()
    targets: tuple[Target, ...] = ()
    zones: tuple[str, ...] = ()
    limits: AccountLimits = field(default_factory=AccountLimits)


@dataclass(frozen=True, slots=True)
class ChangeRecord:
    """One committed change: the account as of ``revision``."""

    revision: int
    change_id: str
    account_id: str
    #: None if the change deleted the account.
    account: Account | None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All client accounts at one revision."""

    revision: int
    accounts: tuple[Account, ...] = ()


class HostState(Enum):
    """State of a host in the membership view."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Host:
    """A host that runs the load balancer, with the addresses of its sockets."""

    host_id: str
    zone: str
    #: Hosts share a group if the fabric may spray packets of one flow over them.
    group: str
    #: Receives tunnelled packets from the fabric and from targets.
    tunnel: Endpoint
    #: Receives packets that other hosts relay.
    relay: Endpoint
    #: Receives control datagrams.
    control: Endpoint
