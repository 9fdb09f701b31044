"""Leaving: others take over the flows of a host, which exits by a deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.entities import HostState
from citronspring.messages import Stopped
from citronspring.systems.dissemination import announce_state

if TYPE_CHECKING:
    from citronspring.messages import Action
    from citronspring.tables import Tables

#: Seconds without a packet after which a leaving host has nothing left to serve.
QUIET_TIME = 2.0


def request_leave(tables: Tables, deadline: float, now: float) -> None:
    """Start leaving: other hosts stop relaying here and take over the flows."""
    if tables.leave_deadline is None:
        tables.leave_deadline = deadline
        tables.last_packet_at = now
        announce_state(tables, HostState.LEAVING)


def check_leaving(tables: Tables, now: float, actions: list[Action]) -> None:
    """Let the process exit once no packets arrive or its deadline has passed."""
    if tables.leave_deadline is None:
        return
    quiet = now - tables.last_packet_at >= QUIET_TIME
    if quiet or now >= tables.leave_deadline:
        actions.append(Stopped())
