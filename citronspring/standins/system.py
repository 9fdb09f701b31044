"""The two client accounts that stand-in systems run, and their operator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.entities import Account, Endpoint, Protocol, ServiceAddress, Target

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Availability zones of the stand-in systems.
SYSTEM_ZONES = ("drukkerij", "zetterij", "pakhuis")

#: Targets of each client account.
ACCOUNT_SIZES: Mapping[str, int] = {"bundelpers": 7, "inzendloket": 3}

SERVICE_PORT = 443
TUNNEL_PORT = 6080


def make_accounts(zones: tuple[str, ...] = SYSTEM_ZONES) -> tuple[Account, ...]:
    """Return the client accounts, their targets spread over the zones."""
    return tuple(
        make_account(account_id, count, index, zones)
        for index, (account_id, count) in enumerate(ACCOUNT_SIZES.items())
    )


def make_account(
    account_id: str, count: int, index: int, zones: tuple[str, ...]
) -> Account:
    """Return one client account with a TCP and a UDP service address."""
    ip = f"192.0.2.{index + 1}"
    addresses = tuple(
        ServiceAddress(ip, SERVICE_PORT, protocol)
        for protocol in (Protocol.TCP, Protocol.UDP)
    )
    targets = tuple(
        make_target(account_id, index, number, zones) for number in range(count)
    )
    return Account(account_id, addresses, targets, zones)


def make_target(
    account_id: str,
    account_index: int,
    number: int,
    zones: tuple[str, ...],
    added_revision: int = 1,
) -> Target:
    """Return one target; its tunnel address follows from the two numbers."""
    tunnel = Endpoint(f"127.0.{10 + account_index}.{number + 1}", TUNNEL_PORT)
    return Target(
        f"{account_id}-{number}",
        account_id,
        tunnel,
        zones[number % len(zones)],
        added_revision=added_revision,
    )
