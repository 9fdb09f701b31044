"""The key-value service comes back from an older copy; accepted changes stay."""

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


def commit_after_recovery(store, change):
    """Commit a change once nobody is waited for any more."""
    with pytest.raises(PlatformUnavailableError, match="older copy"):
        call(store.commit(change, 0.0))
    return call(store.commit(change, RESTORE_GRACE_SECONDS))


def test_commit_waits_for_recovery_of_lost_changes():
    """A change is lost with a copy; another process commits before it is there again.

    Both histories cannot be in force, and the accepted change would be given up.
    """
    platform = make_platform()
    copy = platform.copy()
    store = make_store(platform)
    call(store.commit(put("1-a"), 0.0))
    platform.restore(copy)
    other = make_store(platform)
    with pytest.raises(PlatformUnavailableError, match="older copy"):
        call(other.commit(put("1-b", account_id="late", ip="192.0.2.9"), 0.0))
    call(store.read_snapshot())
    late = put("1-b", account_id="late", ip="192.0.2.9")
    call(other.commit(late, RESTORE_GRACE_SECONDS))
    catalog = call(make_store(platform).read_catalog())
    assert {account_id for account_id, _ in catalog.entries()} == {"bundelpers", "late"}


def test_recovery_period_ends_with_the_first_commit():
    """A process that starts a minute after the return waits for nobody."""
    platform = make_platform()
    platform.restore(platform.copy())
    commit_after_recovery(make_store(platform), put("1-a"))
    made = call(make_store(platform).commit(put("2-b", limit=9), 60.0))
    assert made.revision == revision_of(platform)


def test_lost_change_is_restored_by_the_process_that_committed_it():
    """An operator's change is accepted, and the service forgets it.

    Every host that starts then reads the older configuration, for good.
    """
    platform = make_platform()
    copy = platform.copy()
    store = make_store(platform)
    accepted = call(store.commit(put("1-a", targets=[target(1)]), 0.0))
    platform.restore(copy)
    assert revision_of(platform) < accepted.revision
    assert call(store.read_snapshot()).revision == accepted.revision
    entry = call(make_store(platform).read_account("bundelpers"))
    assert entry.rendered.account.targets[0].target_id == "t1"
    assert revision_of(platform) == accepted.revision


def test_change_retried_after_a_restore_is_committed_once():
    platform = make_platform()
    copy = platform.copy()
    store = make_store(platform)
    accepted = call(store.commit(put("1-a"), 0.0))
    platform.restore(copy)
    assert call(store.commit(put("1-a"), 0.0)) == accepted
    assert [change.change_id for change in head_of(platform).changes].count("1-a") == 1


def test_process_without_definitions_keeps_its_configuration():
    """A host reads accounts as rendered, from which nothing can be written again."""
    platform = make_platform()
    copy = platform.copy()
    call(make_store(platform).commit(put("1-a"), 0.0))
    host = make_store(platform)
    call(host.read_snapshot())
    platform.restore(copy)
    with pytest.raises(ChangesLostError, match="1-a"):
        call(host.read_snapshot())
    assert host.reader.head.revision == 2


def test_change_after_a_restore_gets_a_new_revision():
    """Nobody who remembers is there; the next change takes a revision given out before.

    Hosts that have the lost one under it would never read the new one.
    """
    platform = make_platform()
    copy = platform.copy()
    lost = call(make_store(platform).commit(put("1-a"), 0.0))
    platform.restore(copy)
    other = make_store(platform)
    made = commit_after_recovery(other, put("1-b", account_id="inzendloket"))
    assert made.revision > lost.revision
    assert call(other.read_records(lost.revision)) is None
    later = call(other.commit(put("1-c", account_id="inzendloket", limit=9), 0.0))
    assert later == Committed(made.revision + 1)
    assert [r.revision for r in call(other.read_records(made.revision))] == [
        later.revision
    ]


def test_diverged_histories_are_not_merged():
    """Another process commits on the older copy before this one writes its own again.

    Writing over that would take back what was accepted there.
    """
    platform = make_platform()
    copy = platform.copy()
    store = make_store(platform)
    call(store.commit(put("1-a"), 0.0))
    platform.restore(copy)
    other = make_store(platform)
    made = commit_after_recovery(other, put("1-b", account_id="inzendloket"))
    with pytest.raises(ChangesLostError, match="1-a"):
        call(store.commit(put("1-c", account_id="inzendloket", limit=9), 0.0))
    assert revision_of(platform) == made.revision


def test_swap_on_a_reused_version_overwrites_nothing():
    """A commit reads the head, and the service goes back and passes that version.

    Taken for the head that it had read, the one of another process would be lost.
    """
    platform = make_platform()
    copy = platform.copy()
    call(make_store(platform).commit(put("1-a"), 0.0))
    late = SteppedCall(
        make_store(platform).commit(put("2-l", account_id="late", ip="192.0.2.9"), 0.0)
    )
    late.run_to("put", "head")
    platform.restore(copy)
    other = make_store(platform)
    made = commit_after_recovery(other, put("1-b", account_id="inzendloket"))
    late.finish()
    assert revision_of(platform) >= made.revision
    catalog = call(make_store(platform).read_catalog())
    assert catalog.entry("inzendloket") is not None
