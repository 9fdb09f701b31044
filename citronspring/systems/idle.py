"""Idle accounts: a client account without flows is a row that costs no time.

Systems that act on time run over ``Tables.active_accounts`` alone. An account is
in it from its first packet until it has held no row of any table for a while. Its
health state is kept as stored deadlines, so a packet that wakes it is served at
once; the opening itself checks the target that was last seen to fail.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.systems.health import discard_reports

if TYPE_CHECKING:
    from citronspring.tables import AccountRow, Tables

#: Seconds without any row after which an account counts as idle.
IDLE_AFTER = 60.0


def activate(tables: Tables, account: AccountRow, now: float) -> None:
    """Have the account looked at by the systems that act on time."""
    account_id = account.account.account_id
    if account_id in tables.active_accounts:
        return
    tables.active_accounts[account_id] = account
    account.idle_from = now + IDLE_AFTER


def extend_activity(tables: Tables, account: AccountRow, now: float) -> None:
    """Have the account looked at for a while, though it holds no row here."""
    activate(tables, account, now)
    account.idle_from = now + IDLE_AFTER


def deactivate_idle_accounts(tables: Tables, now: float) -> None:
    """Take accounts that did nothing for long off the list of active ones."""
    due = [row for row in tables.active_accounts.values() if row.idle_from <= now]
    for account in due:
        if is_in_use(tables, account):
            account.idle_from = now + IDLE_AFTER
        else:
            deactivate(tables, account)


def is_in_use(tables: Tables, account: AccountRow) -> bool:
    """Whether the account holds a row of any table."""
    return (
        account in tables.flows.rows.row_counts
        or account in tables.openings.row_counts
        or account in tables.searches.row_counts
    )


def deactivate(tables: Tables, account: AccountRow) -> None:
    """Drop what only an active account needs; stored deadlines stay true."""
    del tables.active_accounts[account.account.account_id]
    if account.lending is not None:
        account.lending.peer_usage.clear()
    for row in account.targets:
        discard_reports(row)
