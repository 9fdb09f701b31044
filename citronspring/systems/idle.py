"""Idle accounts: a client account without flows costs no processing time.

Periodic systems process only ``Tables.active_accounts``. An account is active from its
first packet until it has had no row in any table for a while. Its health state is
stored as deadlines, so the packet that activates it is served immediately; the opening
itself tests a target that failed last.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.systems.health import discard_reports

if TYPE_CHECKING:
    from citronspring.tables import AccountRow, Tables

#: Seconds without any row after which an account counts as idle.
IDLE_AFTER = 60.0


def activate(tables: Tables, account: AccountRow, now: float) -> None:
    """Make the account active, so that periodic systems process it."""
    account_id = account.account.account_id
    if account_id in tables.active_accounts:
        return
    tables.active_accounts[account_id] = account
    account.idle_from = now + IDLE_AFTER


def extend_activity(tables: Tables, account: AccountRow, now: float) -> None:
    """Keep the account active for a while, though it has no row here."""
    activate(tables, account, now)
    account.idle_from = now + IDLE_AFTER


def deactivate_idle_accounts(tables: Tables, now: float) -> None:
    """Deactivate accounts that have been idle for ``IDLE_AFTER`` seconds."""
    due = [row for row in tables.active_accounts.values() if row.idle_from <= now]
    for account in due:
        if is_in_use(tables, account):
            account.idle_from = now + IDLE_AFTER
        else:
            deactivate(tables, account)


def is_in_use(tables: Tables, account: AccountRow) -> bool:
    """Whether the account has a row in any table."""
    return (
        account in tables.flows.rows.row_counts
        or account in tables.openings.row_counts
        or account in tables.searches.row_counts
    )


def deactivate(tables: Tables, account: AccountRow) -> None:
    """Discard what only an active account needs; stored deadlines stay valid."""
    del tables.active_accounts[account.account.account_id]
    if account.lending is not None:
        account.lending.peer_usage.clear()
    for row in account.targets:
        discard_reports(row)
