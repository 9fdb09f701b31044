"""The addresses and target ids that belong to one client account at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citronspring.entities import Account


def addresses_of(account: Account) -> frozenset[str]:
    """Return what no other account may have, as text.

    Hosts tell whose answer a packet is by the IP address of its tunnel alone, as
    a target's kernel chooses the port, and share a target's state under its id.
    In two accounts at once, either would lead to another account's flows.
    """
    services = {
        f"service address {address.protocol.name.lower()} {address.ip}:{address.port}"
        for address in account.addresses
    }
    tunnels = {f"target tunnel {target.tunnel.ip}" for target in account.targets}
    ids = {f"target id {target.target_id}" for target in account.targets}
    return frozenset(services | tunnels | ids)
