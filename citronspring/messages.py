"""What goes into the decision core and what comes out of it, as typed messages."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citronspring.entities import ChangeRecord, FlowKey, Snapshot


@dataclass(slots=True)
class Packet:
    """An inner IP packet; only the carrier looks inside ``data``."""

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
    #: The packet as it travels, opaque to the core.
    data: bytes
    #: True for an ICMP error about this flow (port unreachable).
    unreachable: bool = False


class RelayKind(IntEnum):
    """Why one host hands a packet, or a binding, to another."""

    #: To the flow's owner, which decides.
    TO_OWNER = 1
    #: From the owner to the second-ranked host: confirm and forward.
    PROPOSE = 2
    #: From the owner to the second-ranked host: forward if the flow is known.
    QUERY = 3
    #: Back to the owner: the second-ranked host does not know the flow.
    UNKNOWN = 4
    #: The named flow is bound to the named target; carries no packet.
    BIND = 5
    #: The receiver may forward packets of the flow itself; carries no packet.
    HINT = 6


# Events in ---------------------------------------------------------------------


@dataclass(slots=True)
class PacketReceived:
    """A packet from the fabric, or from a target (``target_id`` set)."""

    packet: Packet
    #: The target whose tunnel sent it; None when it came from the fabric.
    target_id: str | None = None


@dataclass(slots=True)
class RelayReceived:
    """A packet or binding from another host."""

    kind: RelayKind
    sender: str
    flow: FlowKey
    #: None for BIND and HINT.
    packet: Packet | None = None
    #: The target that sent the packet, if an answer.
    source: str | None = None
    #: The target that is proposed or bound.
    target_id: str | None = None


@dataclass(slots=True)
class SnapshotRead:
    """A whole configuration, read from the platform."""

    snapshot: Snapshot
    #: Time at which it was asked for; an answer that waited through a freeze is
    #: no proof that it is still the newest.
    asked_at: float = math.inf


@dataclass(slots=True)
class RecordsRead:
    """Change records in ascending order, read from the platform."""

    records: tuple[ChangeRecord, ...]
    #: Time at which they were asked for, see `SnapshotRead`.
    asked_at: float = math.inf


@dataclass(slots=True)
class ControlReceived:
    """An authenticated control message; see ``citronspring.control.messages``."""

    sender: str
    message: object


@dataclass(slots=True)
class ProbeResult:
    """What a target's health endpoint said, or that it said nothing."""

    target_id: str
    healthy: bool
    #: Busy share, 0.0 to 1.0 and above when queueing; None if not told.
    load: float | None = None


@dataclass(slots=True)
class HostListRead:
    """The platform's lagging list: host ids live, and host ids leaving."""

    live: frozenset[str]
    leaving: frozenset[str]


@dataclass(slots=True)
class TargetUnreachable:
    """The network said a target's tunnel takes no packets (ICMP to our socket)."""

    target_id: str


@dataclass(slots=True)
class LeaveRequested:
    """The operator or a signal asks this host to stop; it announces leaving."""

    #: Time by which it exits, whatever is still open.
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


# Actions out -------------------------------------------------------------------


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
    """Why a packet was dropped; each is counted."""

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
    """Hand an answer to the fabric."""

    packet: Packet


@dataclass(slots=True)
class Relay:
    """Hand a packet, or a binding, to another host."""

    kind: RelayKind
    host_id: str
    flow: FlowKey
    packet: Packet | None = None
    source: str | None = None
    target_id: str | None = None


@dataclass(slots=True)
class Refuse:
    """Tell the caller, at once, that its opening was not run."""

    packet: Packet
    reason: RefusalReason
    #: Time from which trying again makes sense.
    retry_at: float


@dataclass(slots=True)
class Drop:
    """Count a packet that goes nowhere."""

    reason: DropReason


@dataclass(slots=True)
class SendControl:
    """Send a control message to a host; see ``citronspring.control.messages``."""

    host_id: str
    message: object


@dataclass(slots=True)
class ProbeTarget:
    """Ask a target's health endpoint and report a ``ProbeResult``."""

    target_id: str


@dataclass(slots=True)
class ReadPlatform:
    """Fetch what is newer than ``revision`` from the platform."""

    revision: int


@dataclass(slots=True)
class Log:
    """A numbered log event; see ``citronspring.events``."""

    number: int
    fields: dict[str, object]


@dataclass(slots=True)
class Stopped:
    """Nothing is left to serve, or the deadline passed: the process may exit."""


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
