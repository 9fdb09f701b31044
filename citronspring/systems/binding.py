"""Binding of flows to targets, and the counts that follow from it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.systems.idle import activate
from citronspring.tables import FlowRow, FlowState

if TYPE_CHECKING:
    from citronspring.entities import FlowKey
    from citronspring.tables import AccountRow, Tables, TargetRow

#: Seconds for which the tuple of a closed flow stays bound (twice a maximum segment
#: lifetime).
TIME_WAIT = 60.0

#: Seconds for which a backup binding of a TCP flow is kept. A flow search finds the
#: flow without it, and the backup host is not notified when the flow ends.
BACKUP_LIFETIME = 30.0

TCP = 6

FIN_FROM_CALLER = 1
FIN_FROM_TARGET = 2
BOTH_FINS = FIN_FROM_CALLER | FIN_FROM_TARGET

COUNTED_STATES = (
    FlowState.OPENING,
    FlowState.ANSWERED,
    FlowState.ESTABLISHED,
    FlowState.UNVERIFIED,
)


def idle_deadline(flow: FlowKey, account: AccountRow, now: float) -> float:
    """Return the shared deadline of a flow that has just received a packet."""
    if now >= account.deadlines_renewed_until:
        account.renew_deadlines(now)
    return account.tcp_deadline if flow[0] == TCP else account.udp_deadline


def backup_deadline(flow: FlowKey, account: AccountRow, now: float) -> float:
    """Return the deadline of a backup binding that has just received a packet."""
    deadline = idle_deadline(flow, account, now)
    if flow[0] == TCP:
        return min(deadline, now + BACKUP_LIFETIME)
    return deadline


def bind(
    tables: Tables, flow: FlowKey, target: TargetRow, state: FlowState, now: float
) -> FlowRow:
    """Bind a flow to a target in a state, replacing any earlier binding."""
    unbind(tables, flow)
    account = target.account
    activate(tables, account, now)
    if state is FlowState.BACKUP:
        deadline = backup_deadline(flow, account, now)
    else:
        deadline = idle_deadline(flow, account, now)
    row = FlowRow(target, int(state), deadline, account.refresh_deadline)
    tables.flows.add(flow, row, now)
    if state in COUNTED_STATES:
        adjust_open_flows(row, 1)
    return row


def bind_learned(
    tables: Tables, flow: FlowKey, target: TargetRow, now: float
) -> FlowRow:
    """Bind a flow to the target that another host or an answer named.

    Only the owner counts the flow. A TCP flow stays unverified until the target sends
    data: with a wrong binding, the target's reset would otherwise reach the caller.
    """
    if not is_owner(tables, flow):
        return bind(tables, flow, target, FlowState.BACKUP, now)
    state = FlowState.UNVERIFIED if flow[0] == TCP else FlowState.ESTABLISHED
    return bind(tables, flow, target, state, now)


def is_owner(tables: Tables, flow: FlowKey) -> bool:
    """Whether this host is the owner of the flow in its own membership view."""
    return tables.owners.owner_and_backup(flow)[0] == tables.host_id


def promote(tables: Tables, flow: FlowKey, row: FlowRow) -> None:
    """Take over a backup binding as owner, as a packet shows that the flow is live."""
    if not is_owner(tables, flow):
        return
    row.state = FlowState.UNVERIFIED if flow[0] == TCP else FlowState.ESTABLISHED
    adjust_open_flows(row, 1)


def adjust_open_flows(row: FlowRow, step: int) -> None:
    """Add to the open flows of a row's target and client account."""
    row.target.flows += step
    row.target.account.open_flows += step


def unbind(tables: Tables, flow: FlowKey) -> None:
    """Remove a flow's binding from the counts; its row and wheel key stay for now."""
    row = tables.flows.rows.get(flow)
    if row is None:
        return
    if row.state in COUNTED_STATES:
        adjust_open_flows(row, -1)
    # The row stays in the table, uncounted, until `FlowTable.add` replaces it or expiry
    # removes it, so that no key is in the wheel twice.
    row.state = FlowState.CLOSING


def remove_flow(tables: Tables, flow: FlowKey) -> None:
    """Remove a flow's row, so that the flow counts as unknown."""
    unbind(tables, flow)
    tables.flows.rows.pop(flow, None)
    tables.openings.pop(flow, None)


def close(tables: Tables, flow: FlowKey, row: FlowRow, now: float) -> None:
    """Close a flow and keep its tuple bound for TIME-WAIT.

    If the caller reused the port immediately, it could get a new target while an answer
    of the old one is still in transit, and so the answer to another request.
    """
    if row.state in COUNTED_STATES:
        adjust_open_flows(row, -1)
    row.state = FlowState.CLOSING
    row.deadline = now + TIME_WAIT
    tables.flows.schedule(flow, row, now)
    tables.openings.pop(flow, None)


def mark_contradicted(row: FlowRow) -> None:
    """Mark an unverified binding as wrong and stop counting it."""
    if row.state in COUNTED_STATES:
        adjust_open_flows(row, -1)
    row.state = FlowState.CONTRADICTED


def note_fin(
    tables: Tables, flow: FlowKey, row: FlowRow, side: int, now: float
) -> None:
    """Record a FIN; close the flow once both sides have sent one."""
    row.fin_flags |= side
    if row.fin_flags == BOTH_FINS and row.state != FlowState.CLOSING:
        close(tables, flow, row, now)
