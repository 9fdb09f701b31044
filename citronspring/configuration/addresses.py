"""Addresses and target ids that only one client account may have at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citronspring.entities import Account


def addresses_of(account: Account) -> frozenset[str]:
    """Return, as text, the addresses and target ids that no other account may have.

    Hosts identify the account of a target's answer by the IP address of the tunnel
    alone, because the target's kernel chooses the port, and they share the state of a
    target by its id. If two accounts had the same one, packets would be matched with
    flows of the wrong account.
    """
    services = {
        f"service address {address.protocol.name.lower()} {address.ip}:{address.port}"
        for address in account.addresses
    }
    tunnels = {f"target tunnel {target.tunnel.ip}" for target in account.targets}
    ids = {f"target id {target.target_id}" for target in account.targets}
    return frozenset(services | tunnels | ids)
