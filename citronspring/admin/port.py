"""What the administration API asks of the process around it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from citronspring.configuration.catalog import Catalog
    from citronspring.configuration.changes import AnyChange
    from citronspring.configuration.shards import AccountEntry, TemplateEntry
    from citronspring.configuration.store import Committed
    from citronspring.metrics import MeasuredBalancer
    from citronspring.settings import Settings


class Configuration(Protocol):
    """The configuration in the platform; see ``ConfigurationStore``."""

    def new_change_id(self, token: str) -> str:
        """Make a change id from the newest revision known."""

    async def commit(self, change: AnyChange, now: float) -> Committed:
        """Put a change in force, once, however often it is sent."""

    async def read_catalog(self) -> Catalog:
        """Read definitions, rendered accounts and histories of everything."""

    async def read_account(self, account_id: str) -> AccountEntry:
        """Read one account with its history."""

    async def read_template(self, name: str) -> TemplateEntry:
        """Read one template with its history."""


class HostProcess(Protocol):
    """The process of this host; see ``HostDaemon``."""

    settings: Settings
    core: MeasuredBalancer

    def clock(self) -> float:
        """Return seconds that never go back."""

    def leave(self) -> None:
        """Start a graceful stop."""

    def dump(self) -> dict[str, object]:
        """Return the state of the process as plain values."""
