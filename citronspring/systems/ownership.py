"""Ownership of flows, and the changes to flows when owners change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.entities import HostState
from citronspring.systems.binding import (
    BACKUP_LIFETIME,
    COUNTED_STATES,
    adjust_open_flows,
    is_owner,
)
from citronspring.tables import FlowState

if TYPE_CHECKING:
    from citronspring.entities import FlowKey
    from citronspring.tables import FlowRow, Tables

#: A suspect host still owns its flows: it may only be slow, and moving flows twice
#: costs more than a short wait.
OWNING_STATES = (HostState.ALIVE, HostState.SUSPECT)


def update_owners(tables: Tables, now: float) -> None:
    """Update the owner table from the membership view."""
    members = [
        host_id
        for host_id, row in tables.hosts.items()
        if row.host.group == tables.group and row.state in OWNING_STATES
    ]
    # The last host keeps its flows: without an owner every packet would be dropped.
    if tables.owners.update(members or [tables.host_id]):
        tables.counters["ring.changes"] += 1
        for flow, row in tables.flows.rows.items():
            demote_flow(tables, flow, row, now)


def demote_flow(tables: Tables, flow: FlowKey, row: FlowRow, now: float) -> None:
    """Stop counting a flow that another host owns now; keep it as a backup.

    If both the old and the new owner counted a flow, its target would look fuller than
    it is and get fewer new flows. A backup is counted only when a packet shows that the
    flow is live: the backup host is not notified when flows end, and counting all of
    them at once would make the account look full.
    """
    if row.state in COUNTED_STATES and not is_owner(tables, flow):
        adjust_open_flows(row, -1)
        row.state = FlowState.BACKUP
        row.deadline = min(row.deadline, now + BACKUP_LIFETIME)
        tables.openings.pop(flow, None)
