"""The store is restored from a backup and reuses revisions."""

from __future__ import annotations

import json

import pytest

from citronspring.endpoints import Endpoint
from citronspring.platform.__main__ import PLATFORM_ADAPTER
from citronspring.tokens.balancer import TokenBalancer
from citronspring.tokens.change_feed import FeedPoll, decode_feed
from citronspring.tokens.evidence import REMOVAL_GRACE, is_removal_confirmed
from citronspring.tokens.messages import FollowReader
from citronspring.tokens.store_reader import is_current
from soak.store import StoreStandIn
from tests.test_platform.test_store import CONFIGURATION, TARGET
from tests.test_tokens.zone import TIMES

LEAVING = "i-2ea29917b4"
STAYING = "i-2ea29917b5"
STARTED = ("i-2ea29917b6", "i-2ea29917b7", "i-2ea29917b8")

#: Calls within which a host learns of a change: a failed watch, a list and a watch.
CALLS_TO_CONVERGE = 4


class Store(StoreStandIn):
    """A store in which a watch without changes is answered at once."""

    def watch(self, after, wait):
        return super().watch(after, 0.0)

    def configure(self, version):
        self.put("op/config", {**CONFIGURATION, "version": version})

    def register(self, target_id, **fields):
        entry = {**TARGET, "seq": self.revision, "born": 7, "warmup_left_ms": 0}
        self.put(f"servers/{target_id}", {**entry, **fields})


class Host:
    """A host's decision core, with the adapter between it and the store."""

    def __init__(self, store, name):
        self.store = store
        self.core = TokenBalancer.from_config(name, "north", TIMES)
        self.now = 100.0

    @property
    def tables(self):
        return self.core.tables

    def run(self, calls):
        """Make the given number of calls to the store."""
        for _ in range(calls):
            self.now = max(self.now, self.tables.reader.call_at) + 0.01
            call = self.core.next_call(self.now)
            self.take(call, self.make_call(call))

    def make_call(self, call):
        request = PLATFORM_ADAPTER.encode_call(call)
        status, found = self.store.handle_read(request.target)
        headers = {
            name.lower().encode(): value.encode()
            for name, value in self.store.headers.items()
        }
        body = json.dumps(found).encode()
        return PLATFORM_ADAPTER.decode_answer(call, status, body, headers)

    def take(self, call, answer):
        self.core.handle_store_answer(call, answer, self.now, self.now)

    def follow(self, reader):
        """Poll the zone reader's change feed, and the store if that fails."""
        after = self.tables.reader.revision
        poll = FeedPoll(after, reader.now, reader.now)
        call = FollowReader(Endpoint("10.1.0.9", 8166), after, 0.0)
        failures = self.tables.follow.failures
        self.now = reader.now
        self.take(call, decode_feed(*reader.core.answer_poll(poll, reader.now)))
        if self.tables.follow.failures > failures:
            self.run(CALLS_TO_CONVERGE)

    def knows_leaving(self):
        return self.tables.targets[LEAVING].target.leaving

    def wait(self, seconds):
        """Advance the time."""
        self.now += seconds
        self.core.tick(self.now)

    def usable(self):
        """Return the ids of the targets that receive new flows."""
        rows = self.tables.by_service.get(TARGET["service"], [])
        return {row.target.target_id for row in rows if not row.target.leaving}


@pytest.fixture
def store():
    store = Store()
    store.configure(10)
    store.register(LEAVING)
    store.register(STAYING)
    return store


def start(store, name="host-1"):
    host = Host(store, name)
    host.run(2)
    return host


def backup_before(store, *versions):
    """Return a backup made before the given configurations are written."""
    backup = store.backup()
    for version in versions:
        store.configure(version)
    return backup


def test_followers_learn_of_a_leaving_target_after_a_store_restore(store):
    """After a restore, two thirds of the hosts kept using a leaving target."""
    reader, follower = start(store, "host-1"), start(store, "host-2")
    backup = backup_before(store, 12, 14, 16)
    reader.run(1)
    follower.run(1)
    store.restore(backup)
    reader.run(CALLS_TO_CONVERGE)
    follower.run(CALLS_TO_CONVERGE)
    store.register(LEAVING, state="draining")
    reader.run(CALLS_TO_CONVERGE)
    follower.follow(reader)
    assert reader.knows_leaving()
    assert follower.knows_leaving()


def test_change_with_a_reused_revision_is_applied(store):
    """A configuration is written at a revision that hosts had already read.

    They watched for later revisions only, and kept the old configuration.
    """
    host = start(store)
    backup = backup_before(store, 12)
    host.run(1)
    store.restore(backup)
    store.configure(14)
    assert store.revision == backup.revision + 1
    host.run(CALLS_TO_CONVERGE)
    assert host.tables.configuration == 14


def test_partitioned_host_learns_of_changes_rewritten_below_its_revision(store):
    """A host is partitioned until the restored store passes the host's revision."""
    host = start(store)
    backup = backup_before(store, 12)
    host.run(1)
    store.restore(backup)
    store.register(LEAVING, state="draining")
    for version in (14, 16, 18):
        store.configure(version)
    host.run(CALLS_TO_CONVERGE)
    assert host.tables.configuration == 18
    assert host.knows_leaving()


def test_restored_store_is_not_listed_repeatedly(store):
    """Each host listed the store some twenty-five times a second, for seconds."""
    host = start(store)
    backup = backup_before(store, 12, 14, 16)
    host.run(1)
    store.restore(backup)
    store.calls.clear()
    host.run(10)
    assert store.calls.count("/api/kv-range") <= 2


def host_after_target_loss(store):
    """Return a host that knows targets which the restored store lacks."""
    backup = store.backup()
    for name in STARTED:
        store.register(name)
    host = start(store)
    store.restore(backup)
    host.run(CALLS_TO_CONVERGE)
    return host


def test_targets_missing_from_the_backup_are_used_until_they_can_re_register(
    store,
):
    """Most targets of a service start, and a restore loses their entries.

    They run, and register again within two seconds. If they counted as removed until
    then, the other targets would get all the load, or the service would have no target.
    """
    host = host_after_target_loss(store)
    host.wait(2.0)
    assert host.usable() == {LEAVING, STAYING, *STARTED}
    host.wait(0.5)
    assert host.usable() == {LEAVING, STAYING}


def test_re_registered_target_stays(store):
    host = host_after_target_loss(store)
    store.register(STARTED[0], seq=60)
    host.run(1)
    host.wait(30.0)
    assert host.usable() == {LEAVING, STAYING, STARTED[0]}


def test_target_that_ended_during_a_partition_gets_no_flows(store):
    """A target leaves and ends; a backup made after that is restored.

    A host that was partitioned meanwhile lists the store afterwards. It kept the target
    for the time that a running one needs to register again, and so sent flows to it too
    late.
    """
    for name in STARTED:
        store.register(name)
    host = start(store)
    store.register(LEAVING, state="draining")
    store.delete(f"servers/{LEAVING}")
    store.restore(store.backup())
    host.run(CALLS_TO_CONVERGE)
    assert host.usable() == {STAYING, *STARTED}


def test_leaving_target_is_not_reused_when_the_backup_has_it_ready(store):
    """A target is leaving; the restored store lists it as ready.

    The older entry of the target must be ignored although its revision is newer.
    """
    host = start(store)
    backup = store.backup()
    store.register(LEAVING, state="draining", seq=50)
    host.run(1)
    store.restore(backup)
    host.run(CALLS_TO_CONVERGE)
    host.wait(30.0)
    assert host.usable() == {STAYING}


def test_restore_does_not_reset_the_warmup_of_a_target(store):
    """A target finished its warm-up long ago; in the backup it has just started."""
    store.register(STAYING, warmup_left_ms=1500, seq=4)
    host = start(store)
    host.wait(2.0)
    backup = store.backup()
    store.configure(12)
    host.run(1)
    store.restore(backup)
    host.run(CALLS_TO_CONVERGE)
    assert host.tables.targets[STAYING].warm_at <= host.now


def test_entry_of_a_later_start_replaces_that_of_an_earlier_one(store):
    """A new process numbers its entries from the start, so its sequence is smaller."""
    host = start(store)
    store.register(STAYING, seq=1, born=8, slots=2)
    backup = store.backup()
    store.restore(backup)
    host.run(CALLS_TO_CONVERGE)
    assert host.tables.targets[STAYING].target.started == 8


def test_zone_stays_drained_when_the_backup_lacks_the_drain(store):
    """Operators drain a zone; the restored store lacks it, and flows went there again.

    Operators repeat the drain, but a host cannot know when.
    """
    backup = store.backup()
    store.put("op/evacuate/south", {})
    host = start(store)
    store.restore(backup)
    host.run(CALLS_TO_CONVERGE)
    host.wait(5.0)
    assert host.tables.is_drained("south")
    host.wait(30.0)
    assert not host.tables.is_drained("south")


def test_rewritten_drain_stays_in_force(store):
    backup = store.backup()
    store.put("op/evacuate/south", {})
    host = start(store)
    store.restore(backup)
    host.run(CALLS_TO_CONVERGE)
    store.put("op/evacuate/south", {})
    host.run(1)
    host.wait(30.0)
    assert host.tables.is_drained("south")


def test_configuration_is_not_rolled_back_by_a_restore(store):
    """A route is removed; the restored store still has it."""
    host = start(store)
    backup = backup_before(store, 12)
    host.run(1)
    store.restore(backup)
    host.run(CALLS_TO_CONVERGE)
    assert host.tables.configuration == 12


def test_route_missing_from_the_backup_is_not_refused_until_it_can_be_rewritten(store):
    """A route is added; the restored store lacks it, and a host starts.

    The host refused callers because it treated the complete list as current.
    """
    host = start(store)
    backup = backup_before(store, 12)
    store.restore(backup)
    host.run(CALLS_TO_CONVERGE)
    assert not is_current(host.tables, TIMES, host.now)
    store.configure(12)
    host.wait(20.0)
    host.run(1)
    assert is_current(host.tables, TIMES, host.now)


def test_second_restore_resets_the_time_until_a_missing_target_is_removed(store):
    """A store is restored from a backup twice within three seconds.

    A target that had registered again is missing once more. With the time counted from
    the first restore, it was removed, and its flows were reset.
    """
    backup = store.backup()
    store.register(STARTED[0])
    host = start(store)
    store.restore(backup)
    host.run(CALLS_TO_CONVERGE)
    row = host.tables.targets[STARTED[0]]
    host.wait(REMOVAL_GRACE)
    store.restore(backup)
    host.run(CALLS_TO_CONVERGE)
    assert not is_removal_confirmed(host.tables, row, host.now)
    host.wait(2 * REMOVAL_GRACE)
    host.run(1)
    assert is_removal_confirmed(host.tables, row, host.now)


def test_follower_learns_of_a_configuration_its_reader_had_before_the_restore(store):
    """After a restore, a new follower reads an older configuration.

    Operators write the newer one again. The zone reader already has it and reported no
    change, so the follower kept the older one forever.
    """
    reader = start(store, "host-1")
    backup = backup_before(store, 12)
    reader.run(1)
    store.restore(backup)
    reader.run(CALLS_TO_CONVERGE)
    follower = start(store, "host-2")
    assert follower.tables.configuration == 10
    store.configure(12)
    reader.run(1)
    follower.follow(reader)
    assert follower.tables.configuration == 12
