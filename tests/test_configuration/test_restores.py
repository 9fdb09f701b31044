"""Tests of rewriting lost changes after a restore from a backup."""

from __future__ import annotations

import pytest

from citronspring.configuration.store import RESTORE_GRACE_SECONDS, Committed
from citronspring.errors import ChangesLostError, PlatformUnavailableError
from tests.test_configuration.stepping import (
    SteppedCall,
    call,
    head_of,
    make_platform,
    make_store,
    put,
    revision_of,
    target,
)


def commit_after_grace_period(store, change):
    """Commit a change after the restore grace period has ended."""
    with pytest.raises(PlatformUnavailableError, match="restored from a backup"):
        call(store.commit(change, 0.0))
    return call(store.commit(change, RESTORE_GRACE_SECONDS))


def test_commit_waits_for_the_restore_grace_period():
    """After a restore another process commits before a lost change is rewritten.

    Diverged histories cannot be merged, so the accepted change would be lost for good.
    """
    platform = make_platform()
    backup = platform.backup()
    store = make_store(platform)
    call(store.commit(put("1-a"), 0.0))
    platform.restore(backup)
    other = make_store(platform)
    with pytest.raises(PlatformUnavailableError, match="restored from a backup"):
        call(other.commit(put("1-b", account_id="late", ip="192.0.2.9"), 0.0))
    call(store.read_snapshot())
    late = put("1-b", account_id="late", ip="192.0.2.9")
    call(other.commit(late, RESTORE_GRACE_SECONDS))
    catalog = call(make_store(platform).read_catalog())
    assert {account_id for account_id, _ in catalog.entries()} == {"bundelpers", "late"}


def test_restore_grace_period_ends_with_the_first_commit():
    """A process that starts a minute after the restore commits without waiting."""
    platform = make_platform()
    platform.restore(platform.backup())
    commit_after_grace_period(make_store(platform), put("1-a"))
    made = call(make_store(platform).commit(put("2-b", limit=9), 60.0))
    assert made.revision == revision_of(platform)


def test_lost_change_is_rewritten_by_the_process_that_committed_it():
    """An operator's change is accepted, and then lost in a restore from a backup.

    Unless it is rewritten, hosts that start later read the older configuration.
    """
    platform = make_platform()
    backup = platform.backup()
    store = make_store(platform)
    accepted = call(store.commit(put("1-a", targets=[target(1)]), 0.0))
    platform.restore(backup)
    assert revision_of(platform) < accepted.revision
    assert call(store.read_snapshot()).revision == accepted.revision
    entry = call(make_store(platform).read_account("bundelpers"))
    assert entry.rendered.account.targets[0].target_id == "t1"
    assert revision_of(platform) == accepted.revision


def test_change_retried_after_a_restore_is_committed_once():
    platform = make_platform()
    backup = platform.backup()
    store = make_store(platform)
    accepted = call(store.commit(put("1-a"), 0.0))
    platform.restore(backup)
    assert call(store.commit(put("1-a"), 0.0)) == accepted
    assert [change.change_id for change in head_of(platform).changes].count("1-a") == 1


def test_process_without_definitions_keeps_its_configuration():
    """A host only has rendered accounts, from which it cannot rewrite a lost change."""
    platform = make_platform()
    backup = platform.backup()
    call(make_store(platform).commit(put("1-a"), 0.0))
    host = make_store(platform)
    call(host.read_snapshot())
    platform.restore(backup)
    with pytest.raises(ChangesLostError, match="1-a"):
        call(host.read_snapshot())
    assert host.reader.head.revision == 2


def test_change_after_a_restore_gets_a_new_revision():
    """No process can rewrite a lost change, and another change is committed.

    If that reused the revision of the lost change, hosts with the lost change would
    never read the new one.
    """
    platform = make_platform()
    backup = platform.backup()
    lost = call(make_store(platform).commit(put("1-a"), 0.0))
    platform.restore(backup)
    other = make_store(platform)
    made = commit_after_grace_period(other, put("1-b", account_id="inzendloket"))
    assert made.revision > lost.revision
    assert call(other.read_records(lost.revision)) is None
    later = call(other.commit(put("1-c", account_id="inzendloket", limit=9), 0.0))
    assert later == Committed(made.revision + 1)
    assert [r.revision for r in call(other.read_records(made.revision))] == [
        later.revision
    ]


def test_diverged_histories_are_not_merged():
    """After a restore another process commits before this one rewrites its changes.

    Rewriting them then would overwrite the change accepted in the meantime.
    """
    platform = make_platform()
    backup = platform.backup()
    store = make_store(platform)
    call(store.commit(put("1-a"), 0.0))
    platform.restore(backup)
    other = make_store(platform)
    made = commit_after_grace_period(other, put("1-b", account_id="inzendloket"))
    with pytest.raises(ChangesLostError, match="1-a"):
        call(store.commit(put("1-c", account_id="inzendloket", limit=9), 0.0))
    assert revision_of(platform) == made.revision


def test_swap_on_a_reused_version_overwrites_nothing():
    """A commit reads the head, and after a restore that version is assigned again.

    If the swap succeeded on the reused version, another process's commit would be lost.
    """
    platform = make_platform()
    backup = platform.backup()
    call(make_store(platform).commit(put("1-a"), 0.0))
    late = SteppedCall(
        make_store(platform).commit(put("2-l", account_id="late", ip="192.0.2.9"), 0.0)
    )
    late.run_to("put", "head")
    platform.restore(backup)
    other = make_store(platform)
    made = commit_after_grace_period(other, put("1-b", account_id="inzendloket"))
    late.finish()
    assert revision_of(platform) >= made.revision
    catalog = call(make_store(platform).read_catalog())
    assert catalog.entry("inzendloket") is not None
