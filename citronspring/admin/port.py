"""Interfaces through which the administration API uses its host process."""

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
        """Return a change id made from the newest known revision."""

    async def commit(self, change: AnyChange, now: float) -> Committed:
        """Commit a change, once, however often it is sent."""

    async def read_catalog(self) -> Catalog:
        """Return all templates and client accounts, rendered, with histories."""

    async def read_account(self, account_id: str) -> AccountEntry:
        """Return one client account with its history."""

    async def read_template(self, name: str) -> TemplateEntry:
        """Return one template with its history."""


class HostProcess(Protocol):
    """The host process; see ``HostDaemon``."""

    settings: Settings
    core: MeasuredBalancer

    def clock(self) -> float:
        """Return the monotonic time in seconds."""

    def leave(self) -> None:
        """Start a graceful stop of the host."""

    def dump(self) -> dict[str, object]:
        """Return the state of the process as values that JSON can encode."""
