"""Tables of flows in which one client account cannot take all the space."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeVar

from citronspring.entities import FlowKey

if TYPE_CHECKING:
    from citronspring.tables import AccountRow

#: A client account may hold this many times the number of free rows. With 2, a flood of
#: one account takes at most two thirds of a table and the next account finds room.
FREE_ROWS_FACTOR = 2


class HasAccount(Protocol):
    """A row that belongs to a client account."""

    @property
    def account(self) -> AccountRow:
        """The client account."""


RowT = TypeVar("RowT", bound=HasAccount)


class AccountRows(dict[FlowKey, RowT]):
    """Rows by flow, with the number of rows of each client account."""

    def __init__(self) -> None:
        super().__init__()
        #: Number of rows by client account; accounts without rows are left out.
        self.row_counts: dict[AccountRow, int] = {}

    def has_room(self, account: AccountRow, maximum: int) -> bool:
        """Whether the account may add a row to a table of at most ``maximum`` rows.

        With one limit for all accounts together, the first flood would lock out the
        others; a fixed share for each account would leave the shares of idle accounts
        unused.
        """
        free = maximum - len(self)
        return self.row_counts.get(account, 0) < FREE_ROWS_FACTOR * free

    def adjust_count(self, account: AccountRow, step: int) -> None:
        """Add ``step`` to the number of rows of an account."""
        number = self.row_counts.get(account, 0) + step
        if number:
            self.row_counts[account] = number
        else:
            self.row_counts.pop(account, None)

    def __setitem__(self, flow: FlowKey, row: RowT) -> None:
        earlier = self.get(flow)
        if earlier is not None:
            self.adjust_count(earlier.account, -1)
        super().__setitem__(flow, row)
        account = row.account
        self.row_counts[account] = self.row_counts.get(account, 0) + 1

    def __delitem__(self, flow: FlowKey) -> None:
        row = self[flow]
        super().__delitem__(flow)
        self.adjust_count(row.account, -1)

    def pop(self, flow: FlowKey, default: None = None) -> RowT | None:  # type: ignore[override]
        """Remove and return a row, or return None."""
        row = super().pop(flow, default)
        if row is not None:
            self.adjust_count(row.account, -1)
        return row
