"""Tests of leaving targets, and of moving addresses between accounts."""

from __future__ import annotations

import pytest

from citronspring.configuration import store as store_module
from citronspring.configuration.changes import (
    DeleteAccount,
    DrainTarget,
    PurgeTarget,
    UndrainTarget,
)
from citronspring.configuration.rendering import RETENTION_SECONDS
from citronspring.configuration.store import Committed
from citronspring.errors import ConfigurationError, MoveRefusedError, StoredValueError
from citronspring.standins.memory import Switches
from tests.test_configuration.stepping import (
    ZONES,
    SteppedCall,
    call,
    make_platform,
    make_store,
    put,
    put_template,
    target,
)


@pytest.fixture
def store():
    return make_store(make_platform())


def target_change(kind, change_id, number):
    return kind(
        change_id=change_id,
        author="anna",
        account_id="bundelpers",
        target_id=f"t{number}",
    )


def revisions(store):
    """Return the added and the leaving revision of each target, by id."""
    (account,) = call(store.read_snapshot()).accounts
    return {
        t.target_id: (t.added_revision, t.leaving_revision) for t in account.targets
    }


def test_targets_keep_their_revisions(store):
    """Targets with flows are drained, removed and put back.

    Their revisions determine on every host which flows a target may have. If rendering
    reset them, packets of existing flows would go to other targets.
    """
    call(store.commit(put("1-a", targets=[target(1), target(2)]), 0.0))
    call(store.commit(target_change(DrainTarget, "2-b", 1), 0.0))
    assert revisions(store) == {"t1": (2, 3), "t2": (2, None)}
    call(store.commit(put("3-c", targets=[target(1), target(3)]), 0.0))
    assert revisions(store) == {"t1": (2, 3), "t2": (2, 4), "t3": (4, None)}
    call(
        store.commit(put_template("4-d", body=put_template("x").template["body"]), 1.0)
    )
    call(store.commit(put("5-e", limit=9, targets=[target(1), target(3)]), 1.0))
    assert revisions(store) == {"t1": (2, 3), "t2": (2, 4), "t3": (4, None)}
    call(store.commit(put("6-f", targets=[target(1), target(2)]), 1.0))
    assert revisions(store) == {"t1": (2, 3), "t2": (2, None), "t3": (4, 7)}
    call(store.commit(target_change(UndrainTarget, "7-g", 1), 1.0))
    assert revisions(store) == {"t1": (2, None), "t2": (2, None), "t3": (4, 7)}


def test_a_removed_target_is_listed_until_its_deadline(store):
    call(store.commit(put("1-a", targets=[target(1)]), 10.0))
    call(store.commit(put("2-b"), 20.0))
    deadline = 20.0 + RETENTION_SECONDS
    entry = call(store.read_account("bundelpers"))
    assert entry.rendered.retain_until == {"t1": deadline}
    call(store.commit(put("3-c"), deadline - 1))
    assert revisions(store) == {"t1": (2, 3)}
    call(store.commit(put("4-d"), deadline))
    assert revisions(store) == {}


def test_purge_and_undrain_errors_name_a_remedy(store):
    call(store.commit(put("1-a", targets=[target(1)]), 0.0))
    with pytest.raises(ConfigurationError, match="remove it"):
        call(store.commit(target_change(PurgeTarget, "2-b", 1), 0.0))
    call(store.commit(put("2-b"), 0.0))
    with pytest.raises(ConfigurationError, match="put it back"):
        call(store.commit(target_change(UndrainTarget, "3-c", 1), 0.0))
    call(store.commit(target_change(PurgeTarget, "3-c", 1), 0.0))
    assert revisions(store) == {}


def test_a_target_id_keeps_its_tunnel(store):
    """An operator reuses a target id for another server.

    Packets of flows on the old server would go to the new one, so the change is
    refused. So is a new id with the tunnel of a leaving target.
    """
    call(store.commit(put("1-a", targets=[target(1)]), 0.0))
    moved = target(1, tunnel="10.0.0.9:6080")
    with pytest.raises(ConfigurationError, match="target id of its own"):
        call(store.commit(put("2-b", targets=[moved]), 0.0))
    renamed = target(1, target_id="t9")
    with pytest.raises(ConfigurationError, match="10.0.0.1 is listed twice"):
        call(store.commit(put("2-b", targets=[renamed]), 0.0))


def test_a_service_address_moves_in_two_steps(store):
    """A service address is removed from one account and added to another.

    Hosts of a zone that has not received the removal still send packets to the first
    account's targets. The error names the zones that have not confirmed it, and the
    move is allowed after the last one has.
    """
    wanted = put("2-b", "archivio")
    call(store.commit(put("1-a"), 0.0))
    with pytest.raises(MoveRefusedError, match="belongs to account bundelpers"):
        call(store.commit(wanted, 0.0))
    call(store.commit(put("2-c", ip="192.0.2.9"), 0.0))
    call(store.confirm_zone("zetterij", 2))
    with pytest.raises(MoveRefusedError, match="pakhuis, zetterij") as refused:
        call(store.commit(wanted, 0.0))
    assert refused.value.zones == ("pakhuis", "zetterij")
    call(store.confirm_zone("pakhuis", 3))
    with pytest.raises(MoveRefusedError) as refused:
        call(store.commit(wanted, 0.0))
    assert refused.value.zones == ("zetterij",)
    call(store.confirm_zone("zetterij", 3))
    assert call(store.commit(wanted, 0.0)) == Committed(4)


def test_the_tunnel_of_a_leaving_target_cannot_move(store):
    """A target is removed from one account, and its server is added to another.

    The server may still have flows of the first account. It can move only after the
    target was purged and all zones have confirmed the purge.
    """
    call(store.commit(put("1-a", targets=[target(1)]), 0.0))
    call(store.commit(put("2-b"), 0.0))
    wanted = put("3-c", "archivio", ip="192.0.2.2", targets=[target(1)])
    for zone in ZONES:
        call(store.confirm_zone(zone, 3))
    with pytest.raises(MoveRefusedError, match="belongs to account bundelpers"):
        call(store.commit(wanted, 0.0))
    call(store.commit(target_change(PurgeTarget, "3-d", 1), 0.0))
    with pytest.raises(MoveRefusedError, match="revision 4"):
        call(store.commit(wanted, 0.0))
    for zone in ZONES:
        call(store.confirm_zone(zone, 4))
    assert call(store.commit(wanted, 0.0)) == Committed(5)


def test_addresses_of_a_deleted_account_need_confirmation(store):
    """An account is deleted, and another one adds its address at once.

    Lagging hosts still serve the deleted account on the address, so the move is
    refused until it is confirmed. The account itself can be recreated at any time.
    """
    call(store.commit(put("1-a"), 0.0))
    delete = DeleteAccount(change_id="2-b", author="a", account_id="bundelpers")
    call(store.commit(delete, 0.0))
    with pytest.raises(MoveRefusedError, match="left account bundelpers"):
        call(store.commit(put("3-c", "archivio"), 0.0))
    assert call(store.commit(put("3-d"), 0.0)) == Committed(4)


@pytest.mark.parametrize(
    ("changes", "refused"),
    [
        ({"target_id": "t9", "tunnel": "10.0.0.1:6081"}, "target tunnel 10.0.0.1 "),
        ({"tunnel": "10.0.0.9:6080"}, "target id t1 "),
    ],
)
def test_two_accounts_share_no_target(store, changes, refused):
    """A second account lists a target on another port, or with the same id.

    Hosts identify the account of an answer by the tunnel's IP address, and share the
    load of a target by its id, so that packets of the accounts would be confused.
    """
    call(store.commit(put("1-a", targets=[target(1)]), 0.0))
    wanted = put("2-b", "archivio", ip="192.0.2.2", targets=[target(1, **changes)])
    with pytest.raises(MoveRefusedError, match=refused):
        call(store.commit(wanted, 0.0))


def test_concurrent_commits_cannot_give_one_address_to_two_accounts():
    """Both commits are valid on the head that they read, but only one can succeed.

    The second one is checked again on the new head and refused.
    """
    platform = make_platform()
    anna = SteppedCall(make_store(platform).commit(put("1-a"), 0.0))
    bram = SteppedCall(make_store(platform).commit(put("1-b", "archivio"), 0.0))
    anna.run_to("put", "head")
    bram.run_to("put", "head")
    assert anna.finish().result == Committed(2)
    assert isinstance(bram.finish().error, MoveRefusedError)


def test_a_template_cannot_give_two_accounts_one_address(store):
    call(store.commit(put("1-a"), 0.0))
    call(store.commit(put("2-b", "archivio", ip="192.0.2.2"), 0.0))
    body = {"addresses": [{"ip": "192.0.2.3", "port": 1}]}
    with pytest.raises(MoveRefusedError, match=r"192\.0\.2\.3:1"):
        call(store.commit(put_template("3-c", body=body), 0.0))


def test_confirmed_releases_are_removed(store, monkeypatch):
    monkeypatch.setattr(store_module, "RELEASES_KEPT", 1)
    for number in range(1, 5):
        call(store.commit(put(f"{number}-a", ip=f"192.0.2.{number}"), 0.0))
    assert len(list(call(store.read_catalog()).releases())) == 3
    for zone in ZONES:
        call(store.confirm_zone(zone, 4))
    call(store.commit(put("5-a", ip="192.0.2.5"), 0.0))
    assert [r.revision for r in call(store.read_catalog()).releases()] == [5, 6]


def test_zone_confirmation_never_decreases():
    """A host that lags, or reads a stale confirmation, confirms a lower revision.

    The confirmed revision stays. If it decreased, a move that was already allowed
    would be refused again.
    """
    platform = make_platform()
    store = make_store(platform)
    for revision in (1, 5):
        call(store.confirm_zone("pakhuis", revision))
    platform.switches = Switches(stale_reads=1)
    assert call(store.confirm_zone("pakhuis", 3)) == 5
    platform.switches = Switches(lost_answers=1)
    assert call(store.confirm_zone("pakhuis", 6)) == 6
    assert platform.values["confirmed/pakhuis"][-1].value == b"6"
    platform.store("confirmed/pakhuis", b"six")
    with pytest.raises(StoredValueError):
        call(store.confirm_zone("pakhuis", 7))
