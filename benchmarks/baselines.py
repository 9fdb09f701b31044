"""Baseline cores: hash only, and a flow table without a flow search."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.entities import HostState
from citronspring.messages import (
    Drop,
    DropReason,
    LeaveRequested,
    PacketReceived,
    Relay,
    RelayKind,
    RelayReceived,
    SendToCaller,
    SendToTarget,
    SnapshotRead,
    Stopped,
)
from citronspring.rendezvous import score, service_key_of
from citronspring.systems.ownership import update_owners
from citronspring.systems.revisions import apply_snapshot
from citronspring.tables import HostRow, Tables
from citronspring.tcp_flags import FIN, RST, SYN

if TYPE_CHECKING:
    from collections.abc import Iterable

    from citronspring.entities import FlowKey, Host
    from citronspring.messages import Action, Event, Packet
    from citronspring.tables import TargetRow

#: Time without a packet after which a leaving host stops, seconds.
IDLE_STOP_DELAY = 2.0

#: Flow limit passed to the tables.
MAX_FLOWS = 1_000_000


class HashOnly:
    """Core that sends each packet to the highest-ranked active target of its flow.

    Parameters
    ----------
    tables : Tables
        Membership and configuration. No state is kept per flow.
    """

    def __init__(self, tables: Tables) -> None:
        self.tables = tables

    @classmethod
    def from_config(cls, host: Host, peers: Iterable[Host] = ()) -> HashOnly:
        """Return the core of a host with a list of known peers."""
        tables = Tables(host.host_id, host.zone, host.group, MAX_FLOWS)
        for member in (host, *peers):
            tables.hosts[member.host_id] = HostRow(member)
        update_owners(tables, 0.0)
        return cls(tables)

    def receive(self, event: Event, now: float) -> list[Action]:
        """Process one event; return the resulting actions."""
        tables = self.tables
        match event:
            case SnapshotRead():
                apply_snapshot(tables, event.snapshot, now)
            case LeaveRequested():
                tables.leave_deadline = event.deadline
                tables.me.state = HostState.LEAVING
            case PacketReceived():
                tables.last_packet_at = now
                return self.route(event.packet, event.target_id)
            case RelayReceived(packet=packet) if packet is not None:
                tables.last_packet_at = now
                return self.forward(packet, event.source)
        return []

    def route(self, packet: Packet, source: str | None) -> list[Action]:
        """Route a packet from the fabric or a target."""
        return self.forward(packet, source)

    def forward(self, packet: Packet, source: str | None) -> list[Action]:
        """Forward a packet to the caller, or to the highest-ranked active target."""
        if not packet.from_caller:
            return [SendToCaller(packet)]
        target = self.highest_ranked_target(packet.flow)
        if target is None:
            return [Drop(DropReason.UNKNOWN_SERVICE)]
        return [SendToTarget(target.target.target_id, packet)]

    def active_targets(self, flow: FlowKey) -> list[TargetRow]:
        """Return the targets of the client account that take new flows."""
        account = self.tables.services.get(service_key_of(flow))
        rows = [] if account is None else account.targets
        return [row for row in rows if row.target.leaving_revision is None]

    def highest_ranked_target(self, flow: FlowKey) -> TargetRow | None:
        """Return the active target with the highest rank, or None if there is none."""
        rows = self.active_targets(flow)
        return max(rows, key=lambda row: score(flow, row.seed), default=None)

    def tick(self, now: float) -> list[Action]:
        """Update the owners; stop a leaving host when it is idle or at its deadline."""
        tables = self.tables
        update_owners(tables, now)
        if tables.leave_deadline is None:
            return []
        quiet = now - tables.last_packet_at >= IDLE_STOP_DELAY
        return [Stopped()] if quiet or now >= tables.leave_deadline else []


class TableOnly(HashOnly):
    """Core that keeps the flows it owns in a table and places unknown flows by hash.

    Parameters
    ----------
    tables : Tables
        Membership and configuration.
    """

    def __init__(self, tables: Tables) -> None:
        super().__init__(tables)
        self.flows: dict[FlowKey, TargetRow] = {}

    def route(self, packet: Packet, source: str | None) -> list[Action]:
        """Relay a packet of a caller to the owner of its flow."""
        if not packet.from_caller:
            return [SendToCaller(packet)]
        owner = self.tables.owners.owner_and_backup(packet.flow)[0]
        if owner is None or owner == self.tables.host_id:
            return self.forward(packet, source)
        return [Relay(RelayKind.TO_OWNER, owner, packet.flow, packet, source)]

    def forward(self, packet: Packet, source: str | None) -> list[Action]:
        """Forward a packet to its target in the table; place an unknown flow."""
        target = self.flows.get(packet.flow)
        if target is None:
            target = self.place(packet)
        if target is None:
            return [Drop(DropReason.UNKNOWN_SERVICE)]
        if packet.flags & (FIN | RST):
            self.release(packet.flow)
        return [SendToTarget(target.target.target_id, packet)]

    def place(self, packet: Packet) -> TargetRow | None:
        """Place a new flow on the target with fewest flows, an unknown one by hash."""
        rows = self.active_targets(packet.flow)
        if not rows:
            return None
        if packet.flags & SYN:
            target = min(rows, key=lambda row: row.flows)
        else:
            target = max(rows, key=lambda row: score(packet.flow, row.seed))
        self.flows[packet.flow] = target
        target.flows += 1
        return target

    def release(self, flow: FlowKey) -> None:
        """Stop counting a flow that ends; keep its entry for the last packets."""
        target = self.flows[flow]
        target.flows = max(0, target.flows - 1)
