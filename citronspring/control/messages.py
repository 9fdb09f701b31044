"""Typed messages that hosts exchange in control datagrams."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citronspring.entities import Account, ChangeRecord, Host, HostState


@dataclass(frozen=True, slots=True)
class HostUpdate:
    """State of a host as the sender knows it; sent as part of other messages."""

    host_id: str
    state: HostState
    #: Only the host itself increases it, to refute a wrong state. It starts at the
    #: boot time in milliseconds, so that updates of a restarted host override the
    #: ones from before the restart.
    incarnation: int
    #: Sockets and zone; None if the receiver is expected to know the host.
    host: Host | None = None


@dataclass(frozen=True, slots=True)
class Ping:
    """Liveness probe, answered by an `Ack` with the same sequence number."""

    sequence: int
    #: The sender's configuration revision, for anti-entropy.
    revision: int
    updates: tuple[HostUpdate, ...] = ()
    #: Members as the sender knows them; the receiver does not forward them.
    members: tuple[HostUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """Answer to a `Ping`, direct or on behalf of a host pinged indirectly."""

    sequence: int
    revision: int
    updates: tuple[HostUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Ask the receiver to ping a host and to forward its `Ack`."""

    sequence: int
    host_id: str
    revision: int
    updates: tuple[HostUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Gossip:
    """Host updates that should not wait for the next `Ping`; not answered."""

    revision: int
    updates: tuple[HostUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class MembersRequest:
    """Request one part of the list of members."""

    part: int
    #: The sender itself, unless the receiver already knows it.
    updates: tuple[HostUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Members:
    """One part of the list of members, with their sockets."""

    part: int
    parts: int
    updates: tuple[HostUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Records:
    """Change records, pushed when they are new or sent on request to fill a gap.

    A record too large for one datagram is split into ``parts`` messages. Each holds
    the record with some of the account's addresses and targets.
    """

    records: tuple[ChangeRecord, ...]
    part: int = 0
    parts: int = 1


@dataclass(frozen=True, slots=True)
class RecordsRequest:
    """Request the change records after a revision."""

    after_revision: int


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Request parts of a snapshot at a given revision or a later one."""

    revision: int
    #: Number of the first part; ``count`` parts are requested from there on.
    part: int
    count: int = 1


@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """Some client accounts of a snapshot of the configuration."""

    revision: int
    part: int
    parts: int
    accounts: tuple[Account, ...]


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Load of a target: the sender's own flows there, and probe results."""

    target_id: str
    #: Flows the sending host owns on the target.
    flows: int
    #: Probed load; 0 to 255 stand for 0.0 to 2.0. None unless the sender probes it.
    load: int | None = None
    #: Probed health; None unless the sender probes it.
    healthy: bool | None = None


@dataclass(frozen=True, slots=True)
class AccountUse:
    """Usage of a client account's connection limit at the sending host."""

    account_id: str
    #: Number of open flows that the sender commits not to exceed for some seconds.
    #: Without such a commitment it is the sender's whole share of the limit, or its
    #: number of flows if they exceed the share.
    open_flows: int


@dataclass(frozen=True, slots=True)
class Loads:
    """Target loads and account usage that have changed since they were last sent."""

    targets: tuple[TargetLoad, ...] = ()
    accounts: tuple[AccountUse, ...] = ()


ControlMessage = (
    Ping
    | Ack
    | PingRequest
    | Gossip
    | MembersRequest
    | Members
    | Records
    | RecordsRequest
    | SnapshotRequest
    | SnapshotPart
    | Loads
)
