"""Tests of commits with lost responses, outages, stale reads and concurrency."""

from __future__ import annotations

import anyio.to_thread
import pytest

from citronspring.configuration import prepare as prepare_module
from citronspring.configuration import store as store_module
from citronspring.configuration.changes import (
    DeleteAccount,
    DrainTarget,
    make_change_id,
)
from citronspring.configuration.shards import HEAD_KEY
from citronspring.configuration.store import Committed, ConfigurationStore
from citronspring.errors import (
    ConfigurationError,
    ConflictError,
    NotFoundError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    SettingsError,
)
from citronspring.standins.memory import MemoryPlatform, Switches
from tests.test_configuration.stepping import (
    SteppedCall,
    call,
    head_of,
    make_platform,
    make_store,
    put,
    put_template,
    revision_of,
)


@pytest.mark.parametrize("lost", ["lost_answers", "lost_requests"])
def test_lost_swap_is_resolved_by_the_change_id(lost):
    """The request or the response of a head swap is lost.

    The store sends the same swap again. If the first one took effect, the second fails
    on the version, and the head contains the change id. In both cases the operator
    sees a successful commit, and the change is committed once.
    """
    platform = make_platform()
    stepped_call = SteppedCall(make_store(platform).commit(put("1-a"), 0.0))
    stepped_call.run_to("put", HEAD_KEY)
    setattr(platform.switches, lost, 1)
    assert stepped_call.finish().result == Committed(2)
    assert revision_of(platform) == 2


@pytest.mark.parametrize("lost", ["lost_answers", "lost_requests"])
def test_a_lost_write_of_a_shard_is_sent_again(lost):
    """The write of a shard gets no response.

    The key of a shard is the digest of its content, so writing it again is harmless.
    """
    platform = make_platform()
    setattr(platform.switches, lost, 1)
    assert call(make_store(platform).commit(put("1-a"), 0.0)) == Committed(2)
    assert len(call(make_store(platform).read_snapshot()).accounts) == 1


def test_unknown_outcome_is_reported_and_safe_to_retry():
    """The response to the swap is lost, and then the platform is down.

    The outcome is reported as unknown, not as "nothing changed", because the change
    is committed. A retry through another process finds it by its id and does not
    commit it a second time.
    """
    platform = make_platform()
    stepped_call = SteppedCall(make_store(platform).commit(put("1-a"), 0.0))
    stepped_call.run_to("put", HEAD_KEY)
    platform.switches.lost_answers = 1
    stepped_call.step()
    platform.switches.outage = True
    error = stepped_call.finish().error
    assert isinstance(error, OutcomeUnknownError)
    assert "same change id" in error.remedy
    platform.switches.outage = False
    assert call(make_store(platform).commit(put("1-a"), 0.0)) == Committed(2)
    assert revision_of(platform) == 2


def test_a_stale_read_proves_nothing_about_a_lost_answer():
    """The response to the swap is lost, and a stale read returns the old head.

    That the old head lacks the change id proves nothing. Only a head newer than the
    expected one does, so the store reads again.
    """
    platform = make_platform()
    stepped_call = SteppedCall(make_store(platform).commit(put("1-a"), 0.0))
    stepped_call.run_to("put", HEAD_KEY)
    platform.switches.lost_answers = 1
    platform.switches.stale_reads = 3
    assert stepped_call.finish().result == Committed(2)
    assert revision_of(platform) == 2


def test_concurrent_commits_of_one_change_id_commit_once():
    """Two processes commit the same change id concurrently, after an early retry.

    Both read the same head. One swap takes effect; the other fails on the version and
    then finds the change id in the new head.
    """
    platform = make_platform()
    first = SteppedCall(make_store(platform).commit(put("1-a"), 0.0))
    second = SteppedCall(make_store(platform).commit(put("1-a"), 0.0))
    first.run_to("put", HEAD_KEY)
    second.run_to("put", HEAD_KEY)
    assert second.finish().result == Committed(2)
    assert first.finish().result == Committed(2)
    assert revision_of(platform) == 2


def test_a_forgotten_change_id_is_not_committed_again(monkeypatch):
    """A change is retried after its id is no longer recorded.

    It is unknown whether it was committed, so it is refused, and the error refers to
    the history. Treating a missing id as "not committed" would commit it twice.
    """
    monkeypatch.setattr(prepare_module, "CHANGES_KEPT", 2)
    platform = make_platform()
    store = make_store(platform)
    for number in range(4):
        call(store.commit(put(f"{number + 1}-{number}", limit=number + 1), 0.0))
    with pytest.raises(OutcomeUnknownError, match="history"):
        call(store.commit(put("1-0", limit=1), 0.0))
    assert revision_of(platform) == 5
    assert call(store.commit(put("4-3", limit=4), 0.0)) == Committed(5)


def test_concurrent_changes_of_one_account_conflict():
    """Two operators change the same account concurrently.

    The first commit succeeds. The swap of the second one fails, and on the new head the
    account has another revision. The error shows the other change, which is not
    overwritten.
    """
    platform = make_platform()
    call(make_store(platform).commit(put("1-a", limit=10), 0.0))
    anna = SteppedCall(make_store(platform).commit(put("2-a", limit=20), 0.0))
    bram = SteppedCall(
        make_store(platform).commit(put("2-b", limit=30, author="bram"), 0.0)
    )
    anna.run_to("put", HEAD_KEY)
    bram.run_to("put", HEAD_KEY)
    assert bram.finish().result == Committed(3)
    error = anna.finish().error
    assert isinstance(error, ConflictError)
    assert (error.change_id, error.revision) == ("2-b", 3)
    assert error.difference == ("limit: 10 -> 30",)
    assert "bram" in error.message
    (account,) = call(make_store(platform).read_snapshot()).accounts
    assert account.limits.max_connections == 30


def test_change_based_on_an_older_revision_conflicts():
    """An operator changes an account that has changed since it was read.

    The commit is refused because of ``if_revision``, although the two commits are not
    concurrent, and the message shows the other change.
    """
    platform = make_platform()
    store = make_store(platform)
    call(store.commit(put("1-a", if_revision=0), 0.0))
    call(store.commit(put("2-b", limit=9, if_revision=2, author="bram"), 0.0))
    with pytest.raises(ConflictError, match="bram.*limit: None -> 9"):
        call(store.commit(put("2-c", limit=5, if_revision=2), 0.0))
    with pytest.raises(ConflictError, match="does not exist"):
        call(store.commit(put("2-c", "archivio", if_revision=2), 0.0))


def test_change_of_a_concurrently_deleted_account_conflicts():
    """An operator deletes an account while another one changes it.

    The error names who deleted it; a commit would silently recreate the account.
    """
    platform = make_platform()
    call(make_store(platform).commit(put("1-a"), 0.0))
    anna = SteppedCall(make_store(platform).commit(put("2-a", limit=20), 0.0))
    anna.run_to("put", HEAD_KEY)
    delete = DeleteAccount(change_id="2-b", author="bram", account_id="bundelpers")
    call(make_store(platform).commit(delete, 0.0))
    error = anna.finish().error
    assert isinstance(error, ConflictError)
    assert error.difference == ("deleted",)
    assert call(make_store(platform).read_snapshot()).accounts == ()


def test_operators_of_different_accounts_both_commit():
    """Two operators change two accounts concurrently.

    The swap of the second one fails. Its change is computed again on top of the first,
    so that both are committed. The shard that it wrote for the failed swap is listed
    for deletion.
    """
    platform = make_platform()
    anna = SteppedCall(make_store(platform).commit(put("1-a"), 0.0))
    bram = SteppedCall(
        make_store(platform).commit(put("1-b", "archivio", ip="192.0.2.2"), 0.0)
    )
    anna.run_to("put", HEAD_KEY)
    keys_before = set(platform.values)
    bram.run_to("put", HEAD_KEY)
    assert anna.finish().result == Committed(2)
    assert bram.finish().result == Committed(3)
    snapshot = call(make_store(platform).read_snapshot())
    assert [a.account_id for a in snapshot.accounts] == ["archivio", "bundelpers"]
    head = head_of(platform)
    unused = {key.removeprefix("shard/") for key in set(platform.values) - keys_before}
    assert set(head.retired) & unused


@pytest.mark.parametrize("at", [None, ("put", HEAD_KEY)])
def test_outage_is_reported_as_not_accepted(at):
    """The platform is down before the commit, or goes down before the swap.

    The error says that nothing changed. That is true: the head is the same, even if
    shards were written for a head that was never committed.
    """
    platform = make_platform()
    before = platform.values[HEAD_KEY][-1]
    stepped_call = SteppedCall(make_store(platform).commit(put("1-a"), 0.0))
    if at:
        stepped_call.run_to(*at)
    platform.switches.outage = True
    error = stepped_call.finish().error
    assert isinstance(error, PlatformUnavailableError)
    assert "changed nothing" in error.message
    assert platform.values[HEAD_KEY][-1] == before


def test_commit_fails_while_all_reads_are_stale():
    """All reads are stale, so that every swap expects an old version.

    The commit fails with "nothing changed" instead of retrying for ever.
    """
    platform = make_platform()
    call(make_store(platform).commit(put("1-a"), 0.0))
    platform.switches = Switches(stale_reads=100)
    with pytest.raises(PlatformUnavailableError, match="old values"):
        call(make_store(platform).commit(put("0-b", "archivio"), 0.0))
    assert revision_of(platform) == 2


def test_a_template_that_breaks_an_account_is_refused_as_a_whole():
    """A new template lacks a parameter that an account uses.

    The error names the account, and no account is rendered again.
    """
    platform = make_platform()
    store = make_store(platform)
    call(store.commit(put("1-a", limit=5), 0.0))
    with pytest.raises(ConfigurationError, match="account bundelpers.*limit"):
        call(
            store.commit(
                put_template(
                    "2-b",
                    parameters={"ip": {"type": "address"}},
                    body={"addresses": [{"ip": "{ip}", "port": 1}]},
                ),
                0.0,
            )
        )
    assert revision_of(platform) == 2


@pytest.mark.parametrize(
    ("change", "kind"),
    [
        (put("a"), ConfigurationError),
        (put("01-a"), ConfigurationError),
        (put("1-a", author=""), ConfigurationError),
        (put("1-a", "Bundelpers!"), ConfigurationError),
        (put("9-a"), PlatformUnavailableError),
        (DeleteAccount(change_id="1-a", author="a", account_id="x"), NotFoundError),
        (
            DrainTarget(change_id="1-a", author="a", account_id="x", target_id="t"),
            NotFoundError,
        ),
    ],
)
def test_refused_changes_leave_the_head_alone(change, kind):
    platform = make_platform()
    with pytest.raises(kind):
        call(make_store(platform).commit(change, 0.0))
    assert revision_of(platform) == 1


def test_change_ids_and_zones_are_validated():
    assert make_change_id(41, "3f9c") == "41-3f9c"
    with pytest.raises(ConfigurationError):
        make_change_id(41, "no spaces")
    with pytest.raises(SettingsError):
        ConfigurationStore.from_platform(MemoryPlatform(), [])


def test_commit_gives_up_under_endless_contention(monkeypatch):
    """Every swap fails because of another commit.

    The error says that nothing changed, so the operator can retry the change.
    """
    monkeypatch.setattr(store_module, "REBASE_ATTEMPTS", 2)
    platform = make_platform()
    anna = SteppedCall(make_store(platform).commit(put("1-a"), 0.0))
    for number in (1, 2):
        anna.run_to("put", HEAD_KEY)
        other = put(f"1-{number}", f"other{number}", ip=f"192.0.2.{number + 1}")
        call(make_store(platform).commit(other, 0.0))
        anna.step()
    assert isinstance(anna.finish().error, PlatformUnavailableError)
    assert revision_of(platform) == 3


def test_changes_are_computed_in_the_given_runner():
    """A template with thousands of accounts is changed on a serving host.

    The computation takes seconds. In the event loop it would block all packets of the
    host, so it runs in the runner, which is a worker thread by default.
    """
    platform = make_platform()
    store = make_store(platform)
    functions = []

    async def run(function, *args):
        functions.append(function)
        return function(*args)

    store.run = run
    call(store.commit(put("1-a"), 0.0))
    assert functions == [
        store_module.plan,
        store_module.find_blocking_releases,
        store_module.prepare,
    ]
    default = ConfigurationStore.from_platform(platform, ["pakhuis"])
    assert default.run is anyio.to_thread.run_sync


def test_deletion_behind_a_stale_read_is_a_conflict():
    """An account is created and deleted while another operator's commit is running.

    That commit started from a stale read, from before the account was created. The
    account is absent both then and now, so a commit would undo the deletion unnoticed.
    """
    platform = make_platform()
    call(make_store(platform).commit(put("1-a"), 0.0))
    platform.switches = Switches(stale_reads=1, stale_by=1)
    late = SteppedCall(make_store(platform).commit(put("1-late"), 0.0))
    late.run_to("put", HEAD_KEY)
    platform.switches = Switches()
    delete = DeleteAccount(change_id="2-d", author="ben", account_id="bundelpers")
    call(make_store(platform).commit(delete, 0.0))
    error = late.finish().error
    assert isinstance(error, ConflictError)
    assert error.change_id == "2-d"
