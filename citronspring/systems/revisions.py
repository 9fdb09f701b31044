"""Application of configuration revisions, which only increase."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from citronspring.rendezvous import service_key
from citronspring.systems.binding import remove_flow
from citronspring.systems.health import SLOW_START_TIME
from citronspring.systems.services import (
    claim_address,
    release_addresses,
    retire_address,
)
from citronspring.tables import AccountRow, TargetRow

if TYPE_CHECKING:
    from citronspring.entities import Account, ChangeRecord, Snapshot, Target
    from citronspring.tables import Tables

#: Seconds a new target waits before new flows are placed on it. By then every connected
#: host knows it and can find the flows on it.
PLACEMENT_DELAY = 4.0


@dataclass(frozen=True, slots=True)
class StartTimes:
    """Times at which a new target takes its first flows and its full share."""

    placeable_from: float
    warm_at: float


def apply_snapshot(tables: Tables, snapshot: Snapshot, now: float) -> bool:
    """Apply a snapshot if it is newer; return whether it was."""
    if snapshot.revision <= tables.revision:
        tables.counters["revisions.old"] += 1
        return False
    first = tables.revision == 0
    named = {account.account_id for account in snapshot.accounts}
    for account_id in tables.accounts.keys() - named:
        remove_account(tables, account_id)
    for account in snapshot.accounts:
        put_account(tables, account, now, first)
    set_revision(tables, snapshot.revision)
    return True


def apply_records(
    tables: Tables, records: tuple[ChangeRecord, ...], now: float
) -> bool:
    """Apply records that follow on this revision; return False at a gap."""
    for record in sorted(records, key=lambda item: item.revision):
        if record.revision <= tables.revision:
            continue
        if record.revision > tables.revision + 1:
            return False
        if record.account is None:
            remove_account(tables, record.account_id)
        else:
            put_account(tables, record.account, now)
        set_revision(tables, record.revision)
    return True


def set_revision(tables: Tables, revision: int) -> None:
    """Set this host's revision."""
    tables.revision = revision
    tables.me.revision = revision


def put_account(
    tables: Tables, account: Account, now: float, first: bool = False
) -> None:
    """Add or replace a client account, keeping the counts of remaining targets.

    Parameters
    ----------
    first : bool
        Whether this host had no configuration before.
    """
    row = tables.accounts.get(account.account_id)
    if row is None:
        row = AccountRow(account)
        tables.accounts[account.account_id] = row
    for address in row.account.addresses:
        retire_address(tables, service_key(address), row)
    row.account = account
    row.deadlines_renewed_until = -1.0
    for address in account.addresses:
        claim_address(tables, service_key(address), row)
    put_targets(tables, row, now, first)


def put_targets(tables: Tables, row: AccountRow, now: float, first: bool) -> None:
    """Update the rows of an account's targets from its configuration."""
    named = {target.target_id for target in row.account.targets}
    for gone in [old for old in row.targets if old.target.target_id not in named]:
        remove_target(tables, gone)
    known_to_all = old_generations(row.account) if first else frozenset()
    # Shared by the targets: a separate float for each would take more memory than the
    # row of an idle account.
    at_once = StartTimes(now, now + SLOW_START_TIME)
    later = now + PLACEMENT_DELAY
    delayed = StartTimes(later, later + SLOW_START_TIME)
    for target in row.account.targets:
        known = target.added_revision in known_to_all
        put_target(tables, row, target, at_once if known else delayed)
    row.targets.sort(key=lambda item: item.target.target_id)


def old_generations(account: Account) -> frozenset[int]:
    """Return the revisions whose targets a starting host may use immediately.

    These are all but the last, unless it is the only one. A host that joins reads the
    newest configuration while the others may not have received it. If it placed a flow
    on a target that they do not know, and died, the next owner could not find the flow.
    """
    revisions = {target.added_revision for target in account.targets}
    if len(revisions) > 1:
        revisions.remove(max(revisions))
    return frozenset(revisions)


def put_target(
    tables: Tables, row: AccountRow, target: Target, times: StartTimes
) -> None:
    """Add a target to an account, or replace its configuration."""
    existing = tables.targets.get(target.target_id)
    if existing is not None and existing.account is not row:
        # The target moved between accounts, and this host applies both steps at once.
        remove_target(tables, existing)
        existing = None
    if existing is None:
        existing = TargetRow.from_target(target, row)
        existing.placeable_from = times.placeable_from
        existing.warm_at = times.warm_at
        tables.targets[target.target_id] = existing
        row.targets.append(existing)
    remove_tunnel_address(tables, existing)
    existing.target = target
    tables.targets_by_ip[target.tunnel.ip] = target.target_id


def remove_tunnel_address(tables: Tables, row: TargetRow) -> None:
    """Remove a target's tunnel address, unless another target has it by now."""
    ip = row.target.tunnel.ip
    if tables.targets_by_ip.get(ip) == row.target.target_id:
        del tables.targets_by_ip[ip]


def remove_target(tables: Tables, gone: TargetRow) -> None:
    """Remove a target that was deleted, and the flows bound to it."""
    tables.targets.pop(gone.target.target_id, None)
    remove_tunnel_address(tables, gone)
    gone.account.targets.remove(gone)
    bound = [flow for flow, row in tables.flows.rows.items() if row.target is gone]
    for flow in bound:
        remove_flow(tables, flow)


def remove_account(tables: Tables, account_id: str) -> None:
    """Remove a client account with its addresses, targets and flows."""
    row = tables.accounts.pop(account_id, None)
    if row is None:
        return
    release_addresses(tables, row)
    for target in list(row.targets):
        remove_target(tables, target)
