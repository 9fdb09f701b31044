"""Tests of reading the configuration, also from stale and damaged platforms."""

from __future__ import annotations

import anyio
import pytest

from citronspring.configuration import prepare as prepare_module
from citronspring.configuration.changes import DeleteAccount
from citronspring.configuration.shards import HEAD_KEY, shard_key
from citronspring.configuration.store import Committed, ConfigurationStore
from citronspring.errors import StoredValueError
from citronspring.standins.memory import MemoryPlatform, Switches
from tests.test_configuration.stepping import (
    ZONES,
    SteppedCall,
    call,
    head_of,
    make_platform,
    make_store,
    put,
    put_template,
    target,
)


def test_an_account_is_committed_and_read_back():
    platform = make_platform()
    change = put("1-a", targets=[target(1)], limit=7)
    assert call(make_store(platform).commit(change, 0.0)) == Committed(2)
    snapshot = call(make_store(platform).read_snapshot())
    (account,) = snapshot.accounts
    assert snapshot.revision == 2
    assert account.limits.max_connections == 7
    assert account.addresses[0].ip == "192.0.2.1"
    assert [(t.target_id, t.slots, t.added_revision) for t in account.targets] == [
        ("t1", 3, 2)
    ]
    entry = call(make_store(platform).read_account("bundelpers"))
    assert [h.difference for h in entry.history] == [("created",)]


def test_stale_read_never_lowers_the_known_revision():
    """A replica of the platform returns the head from before the last commit.

    The store keeps the newer head that it knows. Accepting the old one would bring back
    an old configuration.
    """
    platform = make_platform()
    store = make_store(platform)
    call(store.commit(put("1-a"), 0.0))
    platform.switches = Switches(stale_reads=3)
    assert call(store.read_snapshot()).revision == 2
    assert call(store.read_records(1))[-1].revision == 2
    assert call(store.read_account("bundelpers")).revision == 2


def test_head_with_a_lower_revision_is_refused():
    """An old head is written back: it has a newer version and a lower revision.

    The store refuses it, names a remedy, and keeps the head that it knows.
    """
    platform = make_platform()
    old = platform.values[HEAD_KEY][-1].value
    store = make_store(platform)
    call(store.commit(put("1-a"), 0.0))
    platform.store(HEAD_KEY, old)
    with pytest.raises(StoredValueError, match="back"):
        call(store.read_snapshot())
    assert store.reader.head.revision == 2


def test_reader_retries_when_a_shard_was_deleted(monkeypatch):
    """A shard of the head that a reader is using is replaced and deleted.

    The reader reads the head again and returns the newer configuration instead of an
    incomplete one.
    """
    monkeypatch.setattr(prepare_module, "RETIRED_KEPT", 1)
    platform = make_platform()
    writer = make_store(platform)
    call(writer.commit(put("1-a"), 0.0))
    first = head_of(platform).shards
    reader = SteppedCall(make_store(platform).read_snapshot())
    reader.step()
    for number in (2, 3, 4):
        call(writer.commit(put(f"{number}-a", limit=number), 0.0))
    assert not any(f"shard/{digest}" in platform.values for digest in first if digest)
    snapshot = reader.finish().result
    assert snapshot.revision == 5
    assert len(snapshot.accounts) == 1


def test_retired_shard_digest_is_never_reused(monkeypatch):
    """An account is created and deleted, so that its shard has the same accounts again.

    With the same digest the shard would be both in use and listed for deletion, and the
    next commit would delete it. The shard contains its commit, so the digest differs.
    """
    monkeypatch.setattr(prepare_module, "RETIRED_KEPT", 1)
    platform = make_platform()
    store = make_store(platform)
    body = {"limits": {"max_connections": "{limit}"}}
    call(store.commit(put_template("1-t", body=body), 0.0))
    for revision in range(2, 8, 2):
        call(store.commit(put(f"{revision}-a"), 0.0))
        delete = DeleteAccount(
            change_id=f"{revision}-b", author="a", account_id="bundelpers"
        )
        call(store.commit(delete, 0.0))
    assert call(make_store(platform).read_snapshot()).accounts == ()


def test_a_damaged_shard_is_refused():
    """The content of a shard does not match its digest.

    Reading it would apply accounts that no operator has committed.
    """
    platform = make_platform()
    call(make_store(platform).commit(put("1-a"), 0.0))
    first = next(digest for digest in head_of(platform).shards if digest)
    other = head_of(platform).templates
    platform.store(f"shard/{first}", platform.values[f"shard/{other}"][-1].value)
    with pytest.raises(StoredValueError, match=first):
        call(make_store(platform).read_snapshot())


def test_a_template_renders_its_accounts_again_in_one_commit():
    platform = make_platform()
    store = make_store(platform)
    call(store.commit(put("1-a", targets=[target(1)]), 0.0))
    call(store.commit(put("2-b", "archivio", ip="192.0.2.2", limit=5), 0.0))
    body = {
        "addresses": [{"ip": "{ip}", "port": 8443}],
        "targets": "{targets}",
        "zones": "{zones}",
    }
    swaps = platform.values[HEAD_KEY][-1].version
    assert call(store.commit(put_template("3-c", body=body), 0.0)) == Committed(5)
    assert len([v for v in platform.values[HEAD_KEY] if v.version > swaps]) == 1
    accounts = call(store.read_snapshot()).accounts
    assert {account.addresses[0].port for account in accounts} == {8443}
    assert accounts[1].targets[0].added_revision == 2
    records = call(store.read_records(3))
    assert [(r.revision, r.account_id) for r in records] == [
        (4, "archivio"),
        (5, "bundelpers"),
    ]


def test_every_revision_has_one_record_until_they_are_forgotten(monkeypatch):
    """A lagging host requests records that the head no longer has.

    It gets None and has to read the snapshot. Records with a gap would leave it with
    only part of the changes of its revision.
    """
    monkeypatch.setattr(prepare_module, "RECORDS_KEPT", 3)
    platform = make_platform()
    store = make_store(platform)
    for number in range(1, 6):
        call(store.commit(put(f"{number}-a", limit=number), 0.0))
    records = call(make_store(platform).read_records(3))
    assert [record.revision for record in records] == [4, 5, 6]
    assert call(make_store(platform).read_records(2)) is None
    assert call(make_store(platform).read_records(6)) == ()
    monkeypatch.setattr(prepare_module, "RECORDS_BYTES", 10)
    call(store.commit(put("6-a"), 0.0))
    assert call(make_store(platform).read_records(6)) is None


def test_a_process_that_only_reads_keeps_no_definitions():
    platform = make_platform()
    call(make_store(platform).commit(put("1-a"), 0.0))
    reader = make_store(platform)
    assert len(call(reader.read_snapshot()).accounts) == 1
    assert not list(reader.reader.catalog.entries())


@pytest.mark.anyio
async def test_a_watch_ends_at_the_next_revision():
    platform = MemoryPlatform()
    writer = ConfigurationStore.from_platform(platform, ZONES)
    reader = ConfigurationStore.from_platform(platform, ZONES)
    seen = []

    async def watch():
        seen.append(await reader.watch_head(0))

    async with anyio.create_task_group() as group:
        group.start_soon(watch)
        await anyio.wait_all_tasks_blocked()
        assert seen == []
        await writer.commit(put_template("0-web"), 0.0)
    assert seen == [1]
    assert await reader.watch_head(0) == 1


def test_read_resumes_after_a_timeout():
    """A host starts with a slow path to the platform: 128 shards take over 2 s.

    Each attempt times out after that time. If its shards were not kept, no attempt
    would ever finish, and the host would not serve, although every read is answered.
    """
    platform = make_platform()
    for number in range(40):
        change = put(f"1-{number}", f"account-{number}", ip=f"192.0.2.{number + 1}")
        call(make_store(platform).commit(change, 0.0))
    named = {shard_key(digest) for digest in head_of(platform).shards if digest}
    store = make_store(platform)
    requested = []
    for _ in range(len(named)):
        attempt = SteppedCall(store.read_snapshot())
        for _ in range(6):
            requested.append(attempt.next_call[1])
            attempt.step()
            if attempt.done:
                assert len(attempt.result.accounts) == 40
                assert sorted(named) == sorted(key for key in requested if key in named)
                return
        attempt.coroutine.close()
    raise AssertionError("the configuration was never read completely")
