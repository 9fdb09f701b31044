"""Simpler cores to compare with: hash only, and a flow table without second chance."""

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

#: Seconds without a packet after which a leaving host stops.
IDLE_STOP_DELAY = 2.0

MAX_FLOWS = 1_000_000


class HashOnly:
    """Every host sends a flow to its highest-ranked active target.

    Parameters
    ----------
    tables : Tables
        Membership and configuration; flows are kept nowhere.
    """

    def __init__(self, tables: Tables) -> None:
        self.tables = tables

    @classmethod
    def from_config(cls, host: Host, peers: Iterable[Host] = ()) -> HashOnly:
        """Make the core of a host that knows some peers."""
        tables = Tables(host.host_id, host.zone, host.group, MAX_FLOWS)
        for member in (host, *peers):
            tables.hosts[member.host_id] = HostRow(member)
        update_owners(tables, 0.0)
        return cls(tables)

    def receive(self, event: Event, now: float) -> list[Action]:
        """Handle one event."""
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
        """Pass an answer on, and a caller's packet to the first active target."""
        if not packet.from_caller:
            return [SendToCaller(packet)]
        target = self.highest_ranked_target(packet.flow)
        if target is None:
            return [Drop(DropReason.UNKNOWN_SERVICE)]
        return [SendToTarget(target.target.target_id, packet)]

    def active_targets(self, flow: FlowKey) -> list[TargetRow]:
        """Return the targets that take new flows of a flow's client account."""
        account = self.tables.services.get(service_key_of(flow))
        rows = [] if account is None else account.targets
        return [row for row in rows if row.target.leaving_revision is None]

    def highest_ranked_target(self, flow: FlowKey) -> TargetRow | None:
        """Return the highest-ranked active target."""
        rows = self.active_targets(flow)
        return max(rows, key=lambda row: score(flow, row.seed), default=None)

    def tick(self, now: float) -> list[Action]:
        """Follow the membership view; stop when leaving and quiet."""
        tables = self.tables
        update_owners(tables, now)
        if tables.leave_deadline is None:
            return []
        quiet = now - tables.last_packet_at >= IDLE_STOP_DELAY
        return [Stopped()] if quiet or now >= tables.leave_deadline else []


class TableOnly(HashOnly):
    """The owner of a flow keeps it in a table; an unknown flow is hashed.

    Parameters
    ----------
    tables : Tables
        Membership and configuration.
    """

    def __init__(self, tables: Tables) -> None:
        super().__init__(tables)
        self.flows: dict[FlowKey, TargetRow] = {}

    def route(self, packet: Packet, source: str | None) -> list[Action]:
        """Relay a packet to the owner of its flow."""
        if not packet.from_caller:
            return [SendToCaller(packet)]
        owner = self.tables.owners.owner_and_backup(packet.flow)[0]
        if owner is None or owner == self.tables.host_id:
            return self.forward(packet, source)
        return [Relay(RelayKind.TO_OWNER, owner, packet.flow, packet, source)]

    def forward(self, packet: Packet, source: str | None) -> list[Action]:
        """Send a caller's packet to the target in the table."""
        target = self.flows.get(packet.flow)
        if target is None:
            target = self.place(packet)
        if target is None:
            return [Drop(DropReason.UNKNOWN_SERVICE)]
        if packet.flags & (FIN | RST):
            self.release(packet.flow)
        return [SendToTarget(target.target.target_id, packet)]

    def place(self, packet: Packet) -> TargetRow | None:
        """Bind a new flow to the least loaded target, an unknown one by its hash."""
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
        """Stop counting a flow that ends; its row stays for the last packets."""
        target = self.flows[flow]
        target.flows = max(0, target.flows - 1)
