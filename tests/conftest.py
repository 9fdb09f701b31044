"""Builders and fixtures that many tests share."""

from __future__ import annotations

import itertools

import anyio
import pytest

from citronspring.entities import (
    Account,
    Endpoint,
    Host,
    Protocol,
    ServiceAddress,
    Snapshot,
    Target,
)
from citronspring.errors import PlatformUnavailableError

ZONES = ("drukkerij", "zetterij", "pakhuis")


def make_host(index: int, ports: itertools.count[int] | None = None) -> Host:
    """Return a host of group ``entry`` in one of three zones."""
    ports = ports or itertools.count(10_000 + 10 * index)
    ip = f"127.0.1.{index + 1}"
    sockets = [Endpoint(ip, next(ports)) for _ in range(3)]
    return Host(f"host-{index}", ZONES[index % 3], "entry", *sockets)


def make_targets(account_id: str, count: int, subnet: int = 2) -> tuple[Target, ...]:
    """Return targets of one client account, spread over the zones."""
    return tuple(
        Target(
            f"{account_id}-{index}",
            account_id,
            Endpoint(f"127.0.{subnet + index // 250}.{index % 250 + 1}", 6080),
            ZONES[index % 3],
        )
        for index in range(count)
    )


def make_account(
    account_id: str = "bundelpers", targets: int = 7, address: str = "192.0.2.1"
) -> Account:
    """Return a client account with a TCP and a UDP service address."""
    addresses = (
        ServiceAddress(address, 443, Protocol.TCP),
        ServiceAddress(address, 443, Protocol.UDP),
    )
    subnet = 2 if account_id == "bundelpers" else 20
    return Account(
        account_id, addresses, make_targets(account_id, targets, subnet), ZONES
    )


class StaticConfiguration:
    """A configuration that never changes; without one, an unavailable platform."""

    def __init__(self, snapshot: Snapshot | None) -> None:
        self.snapshot = snapshot
        self.confirmed: list[tuple[str, int]] = []

    async def read_snapshot(self) -> Snapshot:
        if self.snapshot is None:
            raise PlatformUnavailableError("down", "wait")
        return self.snapshot

    async def read_records(self, after_revision: int) -> tuple[()]:
        await self.read_snapshot()
        return ()

    async def watch_head(self, after_revision: int) -> int:
        snapshot = await self.read_snapshot()
        if snapshot.revision <= after_revision:
            await anyio.sleep_forever()
        return snapshot.revision

    async def confirm_zone(self, zone: str, revision: int) -> int:
        await self.read_snapshot()
        self.confirmed.append((zone, revision))
        return revision


@pytest.fixture
def anyio_backend() -> str:
    """Run asynchronous tests on one backend."""
    return "asyncio"


@pytest.fixture
def snapshot() -> Snapshot:
    """Return a configuration with two client accounts."""
    inzendloket = make_account("inzendloket", 3, "192.0.2.2")
    return Snapshot(1, (make_account(), inzendloket))
