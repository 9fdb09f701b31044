"""Service addresses: which client account a flow belongs to.

Hosts learn of a change at different times. A message of another host about a flow
applies only if, in this host's configuration, the flow's service address belongs to the
account of the target that the message names.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.rendezvous import service_key_of
from citronspring.systems.binding import remove_flow

if TYPE_CHECKING:
    from citronspring.entities import FlowKey, ServiceKey
    from citronspring.tables import AccountRow, Tables, TargetRow


def account_of(tables: Tables, flow: FlowKey) -> AccountRow | None:
    """Return the account that a new or existing flow may belong to."""
    key = service_key_of(flow)
    return tables.services.get(key) or tables.retired.get(key)


def is_retired(tables: Tables, flow: FlowKey) -> bool:
    """Whether the flow's address takes no new flows because no account has it now."""
    return service_key_of(flow) not in tables.services


def target_of(tables: Tables, flow: FlowKey, target_id: str | None) -> TargetRow | None:
    """Return a target by id if it belongs to the account of the flow.

    A host with an older configuration may name a target of the account that had the
    address before. One client account's data would then reach another.
    """
    target = tables.targets.get(target_id or "")
    if target is None or target.account is not account_of(tables, flow):
        return None
    return target


def retire_address(tables: Tables, key: ServiceKey, account: AccountRow) -> None:
    """Withdraw an address from an account; open flows continue."""
    if tables.services.get(key) is account:
        del tables.services[key]
        tables.retired[key] = account


def claim_address(tables: Tables, key: ServiceKey, account: AccountRow) -> None:
    """Assign an address to an account and remove another account's flows on it."""
    earlier = tables.services.get(key) or tables.retired.pop(key, None)
    tables.services[key] = account
    if earlier is None or earlier is account:
        return
    rows = tables.flows.rows
    for flow in [flow for flow in rows if flow.startswith(key)]:
        remove_flow(tables, flow)
    for flow in [flow for flow in tables.searches if flow.startswith(key)]:
        del tables.searches[flow]
    for flow in [flow for flow in tables.hints if flow.startswith(key)]:
        del tables.hints[flow]


def release_addresses(tables: Tables, account: AccountRow) -> None:
    """Remove all addresses of a deleted account."""
    for table in (tables.services, tables.retired):
        for key in [key for key, row in table.items() if row is account]:
            del table[key]
