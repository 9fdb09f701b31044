"""Events that go into the decision core and actions that come out of it."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citronspring.entities import ChangeRecord, FlowKey, Snapshot


@dataclass(slots=True)
class Packet:
    """An inner IP packet; only the packet I/O reads ``data``."""

    #: Always in the caller's direction: service address first, caller second.
    flow: FlowKey
    #: True from caller to target, False for an answer.
    from_caller: bool
    #: TCP flags; 0 for a datagram.
    flags: int
    #: TCP sequence number, 32 bits.
    seq: int
    #: TCP acknowledgement number, 32 bits.
    ack: int
    #: Bytes of payload after the transport header.
    payload_length: int
    #: The whole packet, opaque to the core.
    data: bytes
    #: True for an ICMP error about this flow (port unreachable).
    unreachable: bool = False


class RelayKind(IntEnum):
    """Why one host sends a packet or a binding to another."""

    #: To the owner of the flow, which decides.
    TO_OWNER = 1
    #: From the owner to the backup host: keep the proposed binding and forward.
    PROPOSE = 2
    #: From the owner to the backup host: forward if the flow is known.
    QUERY = 3
    #: Back to the owner: the backup host does not know the flow.
    UNKNOWN = 4
    #: The flow is bound to the named target; carries no packet.
    BIND = 5
    #: The receiver may forward packets of the flow itself; carries no packet.
    HINT = 6


# Events ------------------------------------------------------------------------


@dataclass(slots=True)
class PacketReceived:
    """A packet from the fabric, or from a target if ``target_id`` is set."""

    packet: Packet
    #: Target whose tunnel sent the packet; None if it came from the fabric.
    target_id: str | None = None


@dataclass(slots=True)
class RelayReceived:
    """A packet or binding from another host."""

    kind: RelayKind
    sender: str
    flow: FlowKey
    #: None for BIND and HINT.
    packet: Packet | None = None
    #: Target that sent the packet, if it is an answer.
    source: str | None = None
    #: Target that is proposed or bound.
    target_id: str | None = None


@dataclass(slots=True)
class SnapshotRead:
    """A whole configuration, read from the platform."""

    snapshot: Snapshot
    #: Time of the request. An answer that was delayed by a stall of this host may no
    #: longer be current.
    asked_at: float = math.inf


@dataclass(slots=True)
class RecordsRead:
    """Change records in ascending order, read from the platform."""

    records: tuple[ChangeRecord, ...]
    #: Time of the request, see `SnapshotRead`.
    asked_at: float = math.inf


@dataclass(slots=True)
class ControlReceived:
    """An authenticated control message; see ``citronspring.control.messages``."""

    sender: str
    message: object


@dataclass(slots=True)
class ProbeResult:
    """Result of a health probe of a target; no answer counts as unhealthy."""

    target_id: str
    healthy: bool
    #: Utilization: 0.0 to 1.0, above 1.0 with a queue; None if not reported.
    load: float | None = None


@dataclass(slots=True)
class HostListRead:
    """The platform's list of live and leaving host ids, which may be outdated."""

    live: frozenset[str]
    leaving: frozenset[str]


@dataclass(slots=True)
class TargetUnreachable:
    """The network reported a target's tunnel as unreachable (ICMP to our socket)."""

    target_id: str


@dataclass(slots=True)
class LeaveRequested:
    """An operator or a signal asks this host to leave."""

    #: Time by which the host exits, even with open flows.
    deadline: float


Event = (
    PacketReceived
    | RelayReceived
    | SnapshotRead
    | RecordsRead
    | ControlReceived
    | ProbeResult
    | HostListRead
    | TargetUnreachable
    | LeaveRequested
)


# Actions -----------------------------------------------------------------------


class RefusalReason(Enum):
    """Why an opening was refused."""

    NO_SERVICE = "no-service"
    NO_HEALTHY_TARGET = "no-healthy-target"
    TARGETS_FULL = "targets-full"
    ACCOUNT_CONNECTIONS = "account-connections"
    ACCOUNT_RATE = "account-rate"
    RETRIES_SPENT = "retries-spent"
    OPENING_TIMEOUT = "opening-timeout"
    TABLE_FULL = "table-full"


class DropReason(Enum):
    """Why a packet was dropped; counted by reason."""

    UNKNOWN_SERVICE = "unknown-service"
    FOREIGN_SOURCE = "foreign-source"
    STALE_ANSWER = "stale-answer"
    SWALLOWED_RESET = "swallowed-reset"
    UNCERTAIN = "uncertain"
    SEARCH_FULL = "walk-full"
    NO_OWNER = "no-owner"
    FENCED = "fenced"


@dataclass(slots=True)
class SendToTarget:
    """Send the packet through the tunnel of a target."""

    target_id: str
    packet: Packet


@dataclass(slots=True)
class SendToCaller:
    """Send an answer to the fabric."""

    packet: Packet


@dataclass(slots=True)
class Relay:
    """Send a packet or a binding to another host."""

    kind: RelayKind
    host_id: str
    flow: FlowKey
    packet: Packet | None = None
    source: str | None = None
    target_id: str | None = None


@dataclass(slots=True)
class Refuse:
    """Refuse an opening immediately: the caller learns that nothing was run."""

    packet: Packet
    reason: RefusalReason
    #: Earliest time at which a retry makes sense.
    retry_at: float


@dataclass(slots=True)
class Drop:
    """Count a dropped packet."""

    reason: DropReason


@dataclass(slots=True)
class SendControl:
    """Send a control message to a host; see ``citronspring.control.messages``."""

    host_id: str
    message: object


@dataclass(slots=True)
class ProbeTarget:
    """Probe a target's health endpoint and report a ``ProbeResult``."""

    target_id: str


@dataclass(slots=True)
class ReadPlatform:
    """Read all changes after ``revision`` from the platform."""

    revision: int


@dataclass(slots=True)
class Log:
    """A numbered log event; see ``citronspring.events``."""

    number: int
    fields: dict[str, object]


@dataclass(slots=True)
class Stopped:
    """The process may exit: nothing is left to serve, or the deadline has passed."""


Action = (
    SendToTarget
    | SendToCaller
    | Relay
    | Refuse
    | Drop
    | SendControl
    | ProbeTarget
    | ReadPlatform
    | Log
    | Stopped
)
