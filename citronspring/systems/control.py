"""Dispatch of control messages to the systems that handle them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.control.messages import (
    Ack,
    Gossip,
    Loads,
    Members,
    MembersRequest,
    Ping,
    PingRequest,
    Records,
    RecordsRequest,
    SnapshotPart,
    SnapshotRequest,
)
from citronspring.systems.dissemination import apply_updates
from citronspring.systems.fence import lower_fence_if_current, note_answered_revision
from citronspring.systems.loads import receive_loads
from citronspring.systems.membership import (
    receive_ack,
    receive_members,
    receive_members_request,
    receive_ping,
    receive_ping_request,
)
from citronspring.systems.replication import (
    accept_snapshot,
    note_peer_revision,
    receive_records,
    receive_records_request,
)
from citronspring.systems.snapshot_transfer import (
    receive_snapshot_part,
    send_snapshot_parts,
)

if TYPE_CHECKING:
    from citronspring.messages import Action, ControlReceived
    from citronspring.tables import Tables


def receive_control(
    tables: Tables, event: ControlReceived, now: float, actions: list[Action]
) -> None:
    """Handle one authenticated message from another host."""
    message, sender = event.message, event.sender
    match message:
        case Ping() | Ack() | PingRequest() | Gossip() | MembersRequest():
            apply_updates(tables, message.updates, now)
    if isinstance(message, Ping):
        apply_updates(tables, message.members, now, forward_updates=False)
    if sender not in tables.hosts or sender == tables.host_id:
        # The sender's address is unknown, so it cannot be answered. It includes its
        # addresses when it retries an unanswered ping.
        tables.counters["control.unknown-sender"] += 1
        return
    tables.membership.heard_at = now
    match message:
        case Ping() | Ack() | PingRequest() | Gossip():
            note_peer_revision(tables, sender, message.revision, now, actions)
    dispatch(tables, sender, message, now, actions)
    lower_fence_if_current(tables, actions)


def dispatch(
    tables: Tables, sender: str, message: object, now: float, actions: list[Action]
) -> None:
    """Pass a message to the system that handles it."""
    match message:
        case Ping():
            receive_ping(tables, sender, message, actions)
        case Ack():
            receive_ack(tables, sender, message, actions)
            note_answered_revision(tables, message.sequence, message.revision)
        case PingRequest():
            receive_ping_request(tables, sender, message, now, actions)
        case MembersRequest():
            receive_members_request(tables, sender, message, actions)
        case Members():
            receive_members(tables, message, now)
        case Loads():
            receive_loads(tables, sender, message, now)
        case Records():
            receive_records(tables, sender, message, now, actions)
        case RecordsRequest():
            receive_records_request(tables, sender, message, now, actions)
        case SnapshotRequest():
            send_snapshot_parts(tables, sender, message, now, actions)
        case SnapshotPart():
            snapshot = receive_snapshot_part(tables, sender, message, now)
            if snapshot is not None:
                accept_snapshot(tables, snapshot, now)
