"""What hosts tell each other over control datagrams, as typed messages."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citronspring.entities import Account, ChangeRecord, Host, HostState


@dataclass(frozen=True, slots=True)
class HostUpdate:
    """One host's state as somebody believes it; spreads on other messages."""

    host_id: str
    state: HostState
    #: Only the host itself raises it, to refute a rumour; starts at its boot time
    #: in milliseconds, so that a restarted host outranks what was said of it.
    incarnation: int
    #: Sockets and zone; None where the receiver is expected to know the host.
    host: Host | None = None


@dataclass(frozen=True, slots=True)
class Ping:
    """Are you there? Answered by an `Ack` with the same sequence number."""

    sequence: int
    #: The sender's configuration revision, for anti-entropy.
    revision: int
    updates: tuple[HostUpdate, ...] = ()
    #: Members as the sender knows them, which are no news to be passed on.
    members: tuple[HostUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """Answer to a `Ping`, direct or on behalf of a host pinged indirectly."""

    sequence: int
    revision: int
    updates: tuple[HostUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Please ping a host for me and pass its `Ack` on."""

    sequence: int
    host_id: str
    revision: int
    updates: tuple[HostUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Gossip:
    """News that should not wait for the next `Ping`; not answered."""

    revision: int
    updates: tuple[HostUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class MembersRequest:
    """Please send one part of the list of members."""

    part: int
    #: The sender itself, unless the receiver is known to know it.
    updates: tuple[HostUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Members:
    """Some members with their sockets."""

    part: int
    parts: int
    updates: tuple[HostUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Records:
    """Change records, pushed when they are new and sent to fill a gap.

    A record too large for one datagram goes in ``parts`` messages; each holds the
    record with some of the account's addresses and targets.
    """

    records: tuple[ChangeRecord, ...]
    part: int = 0
    parts: int = 1


@dataclass(frozen=True, slots=True)
class RecordsRequest:
    """Please send the records after a revision."""

    after_revision: int


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Please send parts of a whole configuration of at least a revision."""

    revision: int
    #: The first part, and how many with those that follow.
    part: int
    count: int = 1


@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """Some client accounts of a whole configuration at one revision."""

    revision: int
    part: int
    parts: int
    accounts: tuple[Account, ...]


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """What a host knows of a target: its own flows there, and probed health."""

    target_id: str
    #: Flows the sending host owns on the target.
    flows: int
    #: Probed load, 0 to 255 for 0.0 to 2.0; None unless the sender probes it.
    load: int | None = None
    #: Probed health; None unless the sender probes it.
    healthy: bool | None = None


@dataclass(frozen=True, slots=True)
class AccountUse:
    """How much of its limits an account uses at the sending host."""

    account_id: str
    #: Open flows the sender promises to stay within for some seconds; its whole
    #: part of the limit, or what it holds beyond it, if it promises nothing.
    open_flows: int


@dataclass(frozen=True, slots=True)
class Loads:
    """Loads and uses that changed since they were last told."""

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
