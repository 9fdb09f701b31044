"""Platform calls and sizes of the configuration: commits, head, shards, accounts."""

from __future__ import annotations

import gc
import tracemalloc
from functools import partial
from typing import TYPE_CHECKING

import anyio

from benchmarks.result import Result
from citronspring.configuration.changes import PutAccount, PutTemplate
from citronspring.configuration.plan import Draft, put_account
from citronspring.configuration.prepare import prepare
from citronspring.configuration.shards import HEAD_KEY, digest_of, shard_key
from citronspring.configuration.store import ConfigurationStore
from citronspring.entities import Endpoint, Host
from citronspring.key_value.counting import CountingPlatform
from citronspring.key_value.port import MAX_VALUE_BYTES
from citronspring.standins.memory import MemoryPlatform
from citronspring.systems.revisions import apply_snapshot
from citronspring.tables import HostRow, Tables

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any

    from citronspring.entities import Snapshot

COMMAND = "python -m benchmarks --only configuration"

#: Number of client accounts.
ACCOUNTS = 10_000

#: Targets of each client account.
TARGETS = 2

#: Changes per day. More than the head keeps, so that it reaches its largest size.
CHANGES_PER_DAY = 3_700

#: Number of measured commits, after those that fill the head.
MEASURED_COMMITS = 100

#: Number of commits that fill the head; it holds at most as many change ids and
#: records.
FILLING_COMMITS = 400

ZONES = ("brancaccio", "zisa", "carini")

TEMPLATE = {
    "name": "service",
    "parameters": {
        "ip": {"type": "address"},
        "targets": {"type": "targets"},
        "connections": {"type": "integer", "default": 4000},
    },
    "body": {
        "addresses": [{"ip": "{ip}", "port": 443}],
        "targets": "{targets}",
        "zones": list(ZONES),
        "limits": {"max_connections": "{connections}"},
    },
}


def run() -> list[dict[str, object]]:
    """Measure all figures; all except memory are the same in every run."""
    platform = CountingPlatform(MemoryPlatform())
    store = ConfigurationStore.from_platform(platform, ZONES)
    anyio.run(store.commit, template_change(), 0.0)
    anyio.run(write_all_accounts, store)
    anyio.run(commit_changes, store, 0, FILLING_COMMITS)
    platform.counts.clear()
    anyio.run(commit_changes, store, FILLING_COMMITS, MEASURED_COMMITS)
    rows = [*commit_figures(platform), *size_figures(platform)]
    rows += idle_figures(platform, anyio.run(store.read_snapshot))
    rows += read_figures(platform)
    return [row.to_dict() for row in rows]


def commit_figures(platform: CountingPlatform) -> list[Result]:
    """Return platform calls and bytes of one commit."""
    counts = platform.counts
    at_most = partial(Result.at_most, command=COMMAND)
    written = counts.bytes_written / MEASURED_COMMITS
    return [
        at_most(
            "configuration.commit.calls", counts.total / MEASURED_COMMITS, "calls", 4.1
        ),
        at_most("configuration.commit.written", written, "bytes", 65_536),
        at_most(
            "configuration.commit.read",
            counts.bytes_read / MEASURED_COMMITS,
            "bytes",
            65_536,
        ),
        at_most(
            "configuration.commit.written_rate",
            written * CHANGES_PER_DAY / 86_400,
            "bytes/s",
            4_096,
        ),
    ]


def size_figures(platform: CountingPlatform) -> list[Result]:
    """Return the sizes of head and shards; the baseline is the limit, one megabyte."""
    assert isinstance(platform.platform, MemoryPlatform)
    values = platform.platform.values
    shards = [
        len(versions[-1].value)
        for key, versions in values.items()
        if key.startswith("shard/")
    ]
    at_most = partial(Result.at_most, command=COMMAND, baseline=MAX_VALUE_BYTES)
    head = len(values[HEAD_KEY][-1].value)
    return [
        at_most("configuration.head", head, "bytes", 49_152),
        at_most("configuration.shard.largest", max(shards), "bytes", 65_536),
        Result(
            "configuration.stored.account",
            sum(shards) / ACCOUNTS,
            "bytes/account",
            command=COMMAND,
        ),
    ]


def idle_figures(platform: CountingPlatform, snapshot: Snapshot) -> list[Result]:
    """Return the memory and rows of an idle account on a host."""
    host = make_host()
    tables = Tables(host.host_id, host.zone, host.group, 1_000_000)
    tables.hosts[host.host_id] = HostRow(host)
    bytes_used = measure_memory(tables, snapshot)
    rows = len(tables.accounts) + len(tables.services) + len(tables.targets)
    at_most = partial(Result.at_most, command=COMMAND)
    entities, kept = measure_reading(platform)
    committing = measure_committing(platform)
    return [
        at_most("configuration.idle.rows", rows / ACCOUNTS, "rows/account", 4),
        Result(
            "configuration.idle.tables",
            bytes_used / ACCOUNTS,
            "bytes/account",
            command=COMMAND,
        ),
        Result(
            "configuration.idle.entities",
            entities / ACCOUNTS,
            "bytes/account",
            command=COMMAND,
        ),
        at_most(
            "configuration.reader.memory",
            kept,
            "bytes",
            2_000_000,
            baseline=committing,
        ),
    ]


def read_figures(platform: CountingPlatform) -> list[Result]:
    """Return platform calls and bytes of a first read, and calls to read a record."""
    store = ConfigurationStore.from_platform(platform, ZONES)
    platform.counts.clear()
    revision = anyio.run(store.read_snapshot).revision
    snapshot_calls, snapshot_bytes = platform.counts.total, platform.counts.bytes_read
    platform.counts.clear()
    anyio.run(store.read_records, revision - 1)
    at_most = partial(Result.at_most, command=COMMAND)
    return [
        at_most("configuration.snapshot.calls", snapshot_calls, "calls", 130),
        at_most("configuration.snapshot.read", snapshot_bytes, "bytes", 8_388_608),
        at_most("configuration.records.calls", platform.counts.total, "calls", 1),
    ]


def measure_memory(tables: Tables, snapshot: Snapshot) -> int:
    """Return the memory of the rows in bytes, without the entities they refer to."""
    tracemalloc.start()
    apply_snapshot(tables, snapshot, 0.0)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used


def measure_reading(platform: CountingPlatform) -> tuple[int, int]:
    """Return the memory of a snapshot, and of the store that has read it, in bytes."""
    store = ConfigurationStore.from_platform(platform, ZONES)
    tracemalloc.start()
    snapshot = anyio.run(store.read_snapshot)
    total, _ = tracemalloc.get_traced_memory()
    del snapshot
    gc.collect()
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return total - kept, kept


def measure_committing(platform: CountingPlatform) -> int:
    """Return the memory in bytes of a store that keeps the catalog for commits."""
    store = ConfigurationStore.from_platform(platform, ZONES)
    tracemalloc.start()
    anyio.run(store.read_catalog)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used


async def write_all_accounts(store: ConfigurationStore) -> None:
    """Write all accounts in one draft; separate commits would take minutes."""
    catalog = await store.read_catalog()
    change = account_change(0, 1, "fill")
    draft = Draft(catalog, change, 0.0, store.zones)
    for number in range(ACCOUNTS):
        put_account(draft, account_change(number, 1, "fill"))
    prepared = prepare(draft, (), {})
    for digest, value in prepared.values.items():
        await store.platform.put(shard_key(digest), value, 0)
    await store.platform.put(HEAD_KEY, prepared.head_value, catalog.version)


async def commit_changes(store: ConfigurationStore, start: int, count: int) -> None:
    """Commit a number of changes, each of one account."""
    for number in range(start, start + count):
        revision = store.reader.head.revision
        token = digest_of(f"change {number}".encode())
        change = account_change(number * 7919 % ACCOUNTS, revision, token)
        await store.commit(change, 0.0)


def template_change() -> PutTemplate:
    """Return the change that stores the template."""
    return PutTemplate(change_id="0-template", author="operator", template=TEMPLATE)


def account_change(number: int, revision: int, token: str) -> PutAccount:
    """Return a change of account `number`."""
    return PutAccount(
        change_id=f"{revision}-{token}",
        author="operator",
        account_id=f"account-{number}",
        template="service",
        parameters=account_parameters(number, revision),
    )


def account_parameters(number: int, revision: int) -> Mapping[str, Any]:
    """Return the template parameters of account `number` at a revision."""
    high, low = divmod(number, 250)
    targets = [
        {
            "target_id": f"account-{number}-{index}",
            "tunnel": f"10.{100 + index}.{high}.{low + 1}:6080",
            "zone": ZONES[index % len(ZONES)],
        }
        for index in range(TARGETS)
    ]
    return {
        "ip": f"10.0.{high}.{low + 1}",
        "targets": targets,
        "connections": 1000 + revision,
    }


def make_host() -> Host:
    """Return the host whose tables are measured."""
    ends = [Endpoint("127.0.0.1", port) for port in (6080, 6081, 6082)]
    return Host("host", ZONES[0], "group", *ends)
