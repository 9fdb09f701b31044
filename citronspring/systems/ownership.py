"""Ownership: which hosts own flows, and what changes when that changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.entities import HostState
from citronspring.systems.binding import BACKUP_LIFETIME, COUNTED_STATES, count
from citronspring.tables import FlowState

if TYPE_CHECKING:
    from citronspring.entities import FlowKey
    from citronspring.tables import FlowRow, Tables

#: A suspect host still owns its flows: it may only be slow, and moving flows
#: twice costs more than a short wait.
OWNING_STATES = (HostState.ALIVE, HostState.SUSPECT)


def renew_ring(tables: Tables, now: float) -> None:
    """Bring owners in line with the membership view."""
    members = [
        host_id
        for host_id, row in tables.hosts.items()
        if row.host.group == tables.group and row.state in OWNING_STATES
    ]
    # The last host keeps what it has: to own nothing would drop every packet.
    if tables.ring.update(members or [tables.host_id]):
        tables.counters["ring.changes"] += 1
        for flow, row in tables.flows.rows.items():
            resort_flow(tables, flow, row, now)


def resort_flow(tables: Tables, flow: FlowKey, row: FlowRow, now: float) -> None:
    """Count a flow if this host owns it now, and only then.

    A flow counted by its old and its new owner would show its target as fuller
    than it is, and new flows would keep away from it.
    """
    mine = tables.ring.pair(flow)[0] == tables.host_id
    if row.state in COUNTED_STATES and not mine:
        count(row, -1)
        row.state = FlowState.BACKUP
        row.deadline = min(row.deadline, now + BACKUP_LIFETIME)
        tables.openings.pop(flow, None)
    elif row.state == FlowState.BACKUP and mine:
        row.state = FlowState.ESTABLISHED
        count(row, 1)
