"""Binding flows to targets, and the counts that must follow each binding."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.systems.idle import activate
from citronspring.tables import FlowRow, FlowState

if TYPE_CHECKING:
    from citronspring.entities import FlowKey
    from citronspring.tables import AccountRow, Tables, TargetRow

#: Seconds a closed tuple stays pinned (twice a maximum segment lifetime).
TIME_WAIT = 60.0

#: Seconds a copy of a TCP binding is kept: second chance finds the flow without it,
#: and nothing tells the copy's holder that the flow has ended.
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
    """Return the shared deadline of a flow that was just used."""
    if now >= account.deadlines_renewed_until:
        account.renew_deadlines(now)
    return account.tcp_deadline if flow[0] == TCP else account.udp_deadline


def backup_deadline(flow: FlowKey, account: AccountRow, now: float) -> float:
    """Return the deadline of a copied binding that was just used."""
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
    """Bind a flow to the target that another host, or an answer, says it is on.

    Only the owner counts it, and a TCP flow stays unproven until the target sends
    data: a wrong binding would let that target's reset through to the caller.
    """
    if not is_owner(tables, flow):
        return bind(tables, flow, target, FlowState.BACKUP, now)
    state = FlowState.UNVERIFIED if flow[0] == TCP else FlowState.ESTABLISHED
    return bind(tables, flow, target, state, now)


def is_owner(tables: Tables, flow: FlowKey) -> bool:
    """Whether this host is the flow's owner, as far as it knows."""
    return tables.owners.owner_and_backup(flow)[0] == tables.host_id


def promote(tables: Tables, flow: FlowKey, row: FlowRow) -> None:
    """Make a copied binding this owner's own, once a packet shows the flow lives."""
    if not is_owner(tables, flow):
        return
    row.state = FlowState.UNVERIFIED if flow[0] == TCP else FlowState.ESTABLISHED
    adjust_open_flows(row, 1)


def adjust_open_flows(row: FlowRow, step: int) -> None:
    """Add to the open flows of a row's target and client account."""
    row.target.flows += step
    row.target.account.open_flows += step


def unbind(tables: Tables, flow: FlowKey) -> None:
    """Forget a flow's binding; its key leaves the wheel when its time comes."""
    row = tables.flows.rows.get(flow)
    if row is None:
        return
    if row.state in COUNTED_STATES:
        adjust_open_flows(row, -1)
    # The row stays in the table, uncounted, until `FlowTable.add` replaces it or
    # expiry drops it, so that no key stands in the wheel twice.
    row.state = FlowState.CLOSING


def remove_flow(tables: Tables, flow: FlowKey) -> None:
    """Drop a flow's row altogether, so that the flow counts as unknown."""
    unbind(tables, flow)
    tables.flows.rows.pop(flow, None)
    tables.openings.pop(flow, None)


def close(tables: Tables, flow: FlowKey, row: FlowRow, now: float) -> None:
    """End a flow, and pin its tuple through TIME-WAIT.

    A caller that reuses the port at once would otherwise get a new target while
    an answer of the old one is still under way: another request's answer.
    """
    if row.state in COUNTED_STATES:
        adjust_open_flows(row, -1)
    row.state = FlowState.CLOSING
    row.deadline = now + TIME_WAIT
    tables.flows.schedule(flow, row, now)
    tables.openings.pop(flow, None)


def mark_contradicted(row: FlowRow) -> None:
    """Stop believing a binding that was only hearsay."""
    if row.state in COUNTED_STATES:
        adjust_open_flows(row, -1)
    row.state = FlowState.CONTRADICTED


def note_fin(
    tables: Tables, flow: FlowKey, row: FlowRow, side: int, now: float
) -> None:
    """Note a FIN; close a flow whose two sides have each sent theirs."""
    row.fin_flags |= side
    if row.fin_flags == BOTH_FINS and row.state != FlowState.CLOSING:
        close(tables, flow, row, now)
