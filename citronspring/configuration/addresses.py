"""The addresses that belong to one client account at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citronspring.entities import Account


def addresses_of(account: Account) -> frozenset[str]:
    """Return an account's service addresses and tunnels, as text."""
    services = {
        f"service address {address.protocol.name.lower()} {address.ip}:{address.port}"
        for address in account.addresses
    }
    tunnels = {f"target tunnel {target.tunnel}" for target in account.targets}
    return frozenset(services | tunnels)
