"""Openings: placement of new flows, retries on other targets, and refusals."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.messages import (
    Packet,
    RefusalReason,
    Refuse,
    Relay,
    RelayKind,
    SendToCaller,
    SendToTarget,
)
from citronspring.systems.binding import TCP, bind, close, remove_flow
from citronspring.systems.health import next_trial_at, note_failure, note_placed
from citronspring.systems.limits import RETRY_AFTER, admit, spend_retry
from citronspring.systems.placement import accepts_new_flow, choose_target
from citronspring.tables import FlowState, OpeningRow, TargetRow

if TYPE_CHECKING:
    from citronspring.entities import FlowKey
    from citronspring.messages import Action
    from citronspring.tables import AccountRow, FlowRow, Tables

#: Seconds a target has to answer a SYN before another is tried.
ATTEMPT_TIMEOUT = 0.75

#: Seconds for which a target may refuse a first datagram.
DATAGRAM_ATTEMPT_TIMEOUT = 1.0

#: Maximum number of targets tried for a datagram flow. The lower the rank of its
#: target, the less likely the flow is found again once both bindings are lost.
DATAGRAM_TARGETS = 2


def open_flow(
    tables: Tables,
    account: AccountRow,
    packet: Packet,
    now: float,
    actions: list[Action],
) -> None:
    """Place a new flow on a target, or refuse it immediately."""
    reopen_flow(tables, None, account, packet, now, actions)


def reopen_flow(
    tables: Tables,
    preferred: TargetRow | None,
    account: AccountRow,
    packet: Packet,
    now: float,
    actions: list[Action],
) -> None:
    """Place a new flow, preferably on the target that may already have its SYN."""
    earlier = tables.flows.rows.get(packet.flow)
    if earlier is not None:
        close(tables, packet.flow, earlier, now)
    refused = admit(tables, account, now)
    if refused is not None:
        actions.append(refuse(tables, packet, *refused))
        return
    chosen: TargetRow | RefusalReason
    if preferred is not None and accepts_new_flow(tables, preferred, now):
        chosen = preferred
    else:
        chosen = choose_target(tables, packet.flow, account, [], now)
    if isinstance(chosen, RefusalReason):
        retry_at = refused_until(account, chosen, now)
        actions.append(refuse(tables, packet, chosen, retry_at))
        return
    note_placed(chosen, now)
    tables.counters["opened"] += 1
    bind(tables, packet.flow, chosen, FlowState.OPENING, now)
    timeout = ATTEMPT_TIMEOUT if packet.flow[0] == TCP else DATAGRAM_ATTEMPT_TIMEOUT
    deadline = now + account.account.limits.opening_timeout
    tables.openings[packet.flow] = OpeningRow(packet, [chosen], now + timeout, deadline)
    forward_via_backup(tables, chosen, packet, actions)


def refuse(
    tables: Tables, packet: Packet, reason: RefusalReason, retry_at: float
) -> Refuse:
    """Return the refusal of an opening that was not run on any target."""
    tables.counters[f"refused.{reason.value}"] += 1
    return Refuse(packet, reason, retry_at)


def forward_via_backup(
    tables: Tables, target: TargetRow, packet: Packet, actions: list[Action]
) -> None:
    """Send a packet to its target via the backup host.

    The packet itself carries the binding, so the backup host knows it when it becomes
    owner, without a separate control message.
    """
    owner, backup = tables.owners.owner_and_backup(packet.flow)
    if owner != tables.host_id or backup is None:
        actions.append(SendToTarget(target.target.target_id, packet))
        return
    actions.append(
        Relay(
            RelayKind.PROPOSE,
            backup,
            packet.flow,
            packet,
            target_id=target.target.target_id,
        )
    )


def retry_opening(
    tables: Tables,
    flow: FlowKey,
    opening: OpeningRow,
    reason: RefusalReason,
    now: float,
    actions: list[Action],
) -> None:
    """Try another target for an opening, or refuse it."""
    account = opening.tried[-1].account
    chosen = choose_target(tables, flow, account, opening.tried, now)
    if isinstance(chosen, RefusalReason):
        refuse_opening(tables, flow, opening, reason, now, actions)
        return
    if not spend_retry(account):
        refuse_opening(tables, flow, opening, RefusalReason.RETRIES_SPENT, now, actions)
        return
    note_placed(chosen, now)
    tables.counters["retried"] += 1
    bind(tables, flow, chosen, FlowState.OPENING, now)
    opening.tried.append(chosen)
    opening.attempt_deadline = now + ATTEMPT_TIMEOUT
    opening.sent = 1
    send_bypassing_backup(tables, chosen, opening.packet, actions)


def send_bypassing_backup(
    tables: Tables, target: TargetRow, packet: Packet, actions: list[Action]
) -> None:
    """Send a packet directly to its target, and the binding to the backup host.

    The previous attempt may have failed because the backup host is dead and this host's
    view is outdated: every retry through it would be lost as well.
    """
    target_id = target.target.target_id
    actions.append(SendToTarget(target_id, packet))
    backup = tables.owners.owner_and_backup(packet.flow)[1]
    if backup is not None:
        actions.append(Relay(RelayKind.BIND, backup, packet.flow, target_id=target_id))


def refuse_opening(
    tables: Tables,
    flow: FlowKey,
    opening: OpeningRow,
    reason: RefusalReason,
    now: float,
    actions: list[Action],
) -> None:
    """Refuse an opening that no target accepted; none of its data was forwarded.

    A target may still answer a delayed SYN. It runs nothing: the refused caller's own
    stack resets the late answer.
    """
    retry_at = refused_until(opening.account, reason, now)
    remove_flow(tables, flow)
    actions.append(refuse(tables, opening.packet, reason, retry_at))


def refused_until(account: AccountRow, reason: RefusalReason, now: float) -> float:
    """Return when a caller that was refused for lack of a target may retry."""
    if reason is RefusalReason.NO_HEALTHY_TARGET:
        return next_trial_at(account, now) or now + RETRY_AFTER
    return now + RETRY_AFTER


def handle_opening_reset(
    tables: Tables, flow: FlowKey, row: FlowRow, now: float, actions: list[Action]
) -> None:
    """Retry an opening whose target reset the SYN, as it ran nothing."""
    opening = tables.openings[flow]
    note_failure(tables, row.target, now)
    retry_opening(tables, flow, opening, RefusalReason.NO_HEALTHY_TARGET, now, actions)


def handle_datagram_refused(
    tables: Tables, row: FlowRow, packet: Packet, now: float, actions: list[Action]
) -> None:
    """Retry a refused datagram on one other target if nothing else was sent there."""
    opening = tables.openings[packet.flow]
    note_failure(tables, row.target, now)
    if opening.sent > 1 or len(opening.tried) >= DATAGRAM_TARGETS:
        close(tables, packet.flow, row, now)
        actions.append(SendToCaller(packet))
        return
    reason = RefusalReason.NO_HEALTHY_TARGET
    retry_opening(tables, packet.flow, opening, reason, now, actions)


def expire_openings(tables: Tables, now: float, actions: list[Action]) -> None:
    """Retry openings on another target after a time-out; refuse overdue ones."""
    for flow, opening in list(tables.openings.items()):
        if min(opening.attempt_deadline, opening.deadline) > now:
            continue
        if flow[0] != TCP or opening.answer_seq is not None:
            settle_opening(tables, flow, opening, now)
        else:
            time_out_attempt(tables, flow, opening, now, actions)


def settle_opening(
    tables: Tables, flow: FlowKey, opening: OpeningRow, now: float
) -> None:
    """Stop tracking an answered opening or an accepted datagram.

    A caller that never confirms a SYN-ACK has no connection. If its row were kept for
    the idle time-out, a flood of forged SYNs would fill the account's limit.
    """
    if flow[0] != TCP:
        row = tables.flows.rows[flow]
        row.state = FlowState.ESTABLISHED
        del tables.openings[flow]
    elif opening.deadline <= now:
        remove_flow(tables, flow)


def time_out_attempt(
    tables: Tables,
    flow: FlowKey,
    opening: OpeningRow,
    now: float,
    actions: list[Action],
) -> None:
    """Stop waiting for a target that did not answer a SYN.

    The target is not reset. Its answer may have reached the caller through a host with
    a different membership view, and a reset would then end a connection that the caller
    holds open. The caller's next packet shows which target's answer it accepted.
    """
    note_failure(tables, opening.tried[-1], now)
    reason = RefusalReason.OPENING_TIMEOUT
    if opening.deadline <= now:
        refuse_opening(tables, flow, opening, reason, now, actions)
        return
    retry_opening(tables, flow, opening, reason, now, actions)
