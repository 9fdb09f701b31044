"""The client accounts of stand-in systems, and an operator that creates them."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from citronspring.configuration.changes import DrainTarget, PutAccount, PutTemplate

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from citronspring.configuration.changes import AnyChange
    from citronspring.configuration.store import Committed, ConfigurationStore

#: Availability zones of the stand-in systems.
SYSTEM_ZONES = ("drukkerij", "zetterij", "pakhuis")

#: Number of targets of each client account.
TARGETS_PER_ACCOUNT: Mapping[str, int] = {"bundelpers": 7, "inzendloket": 3}

SERVICE_PORT = 443
TUNNEL_PORT = 6080

TEMPLATE_NAME = "web-service"

#: Template of a service: TCP and UDP on one address.
TEMPLATE: dict[str, Any] = {
    "name": TEMPLATE_NAME,
    "parameters": {
        "address": {"type": "address"},
        "targets": {"type": "targets"},
        "zones": {"type": "zones"},
        "new_per_second": {"type": "number", "default": 10_000.0, "minimum": 0.0},
    },
    "body": {
        "addresses": [
            {"ip": "{address}", "port": SERVICE_PORT, "protocol": "tcp"},
            {"ip": "{address}", "port": SERVICE_PORT, "protocol": "udp"},
        ],
        "targets": "{targets}",
        "zones": "{zones}",
        "limits": {"new_per_second": "{new_per_second}"},
    },
}


def target_parameters(
    account_id: str,
    number: int,
    zones: tuple[str, ...] = SYSTEM_ZONES,
    port: int = TUNNEL_PORT,
) -> dict[str, Any]:
    """Return the parameters of one target; its number determines its tunnel."""
    index = list(TARGETS_PER_ACCOUNT).index(account_id)
    return {
        "target_id": f"{account_id}-{number}",
        "tunnel": f"127.0.{10 + index}.{number + 1}:{port}",
        "zone": zones[number % len(zones)],
    }


def account_parameters(
    account_id: str,
    count: int,
    zones: tuple[str, ...] = SYSTEM_ZONES,
    port: int = TUNNEL_PORT,
) -> dict[str, Any]:
    """Return the parameters of a client account with ``count`` targets."""
    index = list(TARGETS_PER_ACCOUNT).index(account_id)
    return {
        "address": f"192.0.2.{index + 1}",
        "targets": [
            target_parameters(account_id, number, zones, port)
            for number in range(count)
        ],
        "zones": list(zones),
    }


@dataclass(slots=True)
class Operator:
    """An operator that makes changes through the configuration store.

    Each change has its own id, which a retry of its commit keeps.
    """

    store: ConfigurationStore
    #: Returns the time from which the retention of removed targets counts.
    clock: Callable[[], float]
    name: str = "operator"
    numbers: itertools.count[int] = field(default_factory=itertools.count)

    def identity(self) -> dict[str, str]:
        """Return the id and the author of a new change."""
        token = f"{self.name}-{next(self.numbers)}"
        return {"change_id": self.store.new_change_id(token), "author": self.name}

    async def commit(self, change: AnyChange) -> Committed:
        """Commit a change; raises what the store raises."""
        return await self.store.commit(change, self.clock())

    async def set_up(self, port: int = TUNNEL_PORT) -> None:
        """Create the template and the client accounts; all tunnels use one port."""
        await self.commit(PutTemplate(template=TEMPLATE, **self.identity()))
        for account_id, count in TARGETS_PER_ACCOUNT.items():
            parameters = account_parameters(account_id, count, port=port)
            await self.commit(self.put_account(account_id, parameters))

    def put_account(self, account_id: str, parameters: dict[str, Any]) -> PutAccount:
        """Return the change that sets an account's parameters."""
        return PutAccount(
            account_id=account_id,
            template=TEMPLATE_NAME,
            parameters=parameters,
            **self.identity(),
        )

    async def drain(self, account_id: str, target_id: str) -> Committed:
        """Drain a target, so that it takes no new flows."""
        change = DrainTarget(
            account_id=account_id, target_id=target_id, **self.identity()
        )
        return await self.commit(change)
