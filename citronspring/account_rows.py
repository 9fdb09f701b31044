"""Tables of flows in which no client account can take all the room."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeVar

from citronspring.entities import FlowKey

if TYPE_CHECKING:
    from citronspring.tables import AccountRow

#: A client account may hold this many times the rows that are still free, so that
#: one account's flood takes two thirds of a table and the next finds room.
FREE_ROWS_FACTOR = 2


class HasAccount(Protocol):
    """A row that belongs to a client account."""

    @property
    def account(self) -> AccountRow:
        """The client account."""


RowT = TypeVar("RowT", bound=HasAccount)


class AccountRows(dict[FlowKey, RowT]):
    """Rows by flow that know how many of them each client account holds."""

    def __init__(self) -> None:
        super().__init__()
        #: Rows by client account; accounts without rows are not in it.
        self.row_counts: dict[AccountRow, int] = {}

    def has_room(self, account: AccountRow, maximum: int) -> bool:
        """Whether the account may hold one more row of at most ``maximum``.

        A bound for all accounts together would let the first flood lock the
        others out; a fixed part for each would leave idle accounts' parts unused.
        """
        free = maximum - len(self)
        return self.row_counts.get(account, 0) < FREE_ROWS_FACTOR * free

    def adjust_count(self, account: AccountRow, step: int) -> None:
        """Add to an account's number of rows."""
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
