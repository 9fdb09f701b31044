"""Route history: flows stay on former services of their route, also at new hosts."""

from __future__ import annotations

import pytest

from citronspring.events import (
    ENTRY_UNREADABLE,
    HISTORY_WRITE_FAILED,
    HISTORY_WRITTEN,
)
from citronspring.tokens.entries import (
    RouteHistory,
    Unreadable,
)
from citronspring.tokens.messages import (
    Refused,
    Unanswered,
    WriteRouteHistory,
)
from citronspring.tokens.route_history import (
    MAX_SHARDS_PER_WRITE,
    SHARDS,
    shard_of,
)
from tests.test_tokens.driver import (
    ORDERS,
    PREVIEWS,
    Driver,
    make_configuration,
    make_route,
)
from tests.test_tokens.history_store import (
    OWN,
    TARGETS,
    Store,
    answer_of_flow,
    assert_flow_is_foreign,
    assert_flow_stays,
    configuration,
    finish,
    next_write,
    split_route,
    write_all,
)
from tests.test_tokens.test_peer_snapshot import snapshot_of
from tests.test_tokens.zone import make_follower, poll_reader


def test_host_that_starts_after_a_change_keeps_flows():
    """A host that starts after a change of services drops flows placed before it."""
    store = Store("previews")
    reader = store.start_reader()
    store.change_services("archive")
    assert write_all(store, reader) == 1
    assert store.recorded() == ("archive", "previews")
    assert_flow_stays(store.start_host())


def test_series_of_changes_with_restarts_of_all_hosts():
    """Services are split, moved and moved back, all hosts killed after each change."""
    store = Store("previews")
    for services in (("previews", "archive"), ("archive",), ("previews",)):
        store.hosts.clear()
        reader = store.start_reader()
        store.change_services(*services)
        write_all(store, reader)
        started = store.start_host()
        assert_flow_stays(started)
        if "archive" in store.recorded():
            assert_flow_stays(started, 2)
        assert_flow_is_foreign(started, 3)


def test_guessed_token_of_a_service_that_the_route_never_had():
    """A caller guesses the token of another client account's target."""
    store = Store("previews")
    reader = store.start_reader()
    store.change_services("archive")
    write_all(store, reader)
    for host in (reader, store.start_host()):
        assert_flow_is_foreign(host, 3)
        action = answer_of_flow(host, 3)
        assert (action.route, action.service) == ("route-443", "other")


def test_deployment_with_one_service_a_route_writes_nothing():
    """A deployment that needs no history would pay for its writes."""
    store = Store("previews")
    reader = store.start_reader()
    assert next_write(reader) is None
    store.change_services("previews")
    assert next_write(reader) is None


def test_all_hosts_are_killed_before_the_change_is_written():
    """The services in force were recorded when the first route was split."""
    store = Store("previews", "archive")
    write_all(store, store.start_reader())
    assert store.recorded(ORDERS) == ("previews",)
    store.hosts.clear()
    store.change_services("other")
    started = store.start_host()
    assert_flow_stays(started, 1)
    assert_flow_stays(started, 2)


def test_another_reader_writes_for_one_that_stops():
    """The writer is killed between the change and its write."""
    store = Store("previews")
    store.start_reader()
    other = store.start_reader()
    store.change_services("archive")
    store.hosts.pop(0)
    assert write_all(store, other) == 1
    assert_flow_stays(store.start_host())


def test_second_writer_writes_only_what_is_missing():
    """Two readers write the same shard; the second one's condition fails."""
    store = Store("previews")
    first, second = store.start_reader(), store.start_reader()
    store.change_services("archive")
    late = next_write(second)
    assert write_all(store, first) == 1
    finish(second, late, store.write(late))
    assert second.logs[-1].number == HISTORY_WRITE_FAILED.number
    assert second.tables.counters["route-history-failed-writes"] == 1
    assert next_write(second) is None
    assert store.writes == 1


@pytest.mark.parametrize("effective", [True, False])
def test_answer_to_a_write_is_lost(effective):
    """The write may have taken effect; the watch shows whether it has."""
    store = Store("previews")
    reader = store.start_reader()
    store.change_services("archive")
    call = next_write(reader)
    if effective:
        store.write(call)
    sent_at = reader.now
    finish(reader, call, Unanswered("no answer in time"))
    assert write_all(store, reader) == (0 if effective else 1)
    assert reader.now - sent_at >= 1.0
    assert store.recorded() == ("archive", "previews")


def test_change_of_weights_checks_one_route():
    """Comparing all routes at each change of weights would stall a small host."""
    store = Store("previews", "archive")
    reader = store.start_reader()
    write_all(store, reader)
    store.change_services("archive", "previews")
    assert reader.tables.route_history.routes_to_check == {PREVIEWS}
    assert reader.tables.route_history.multi_service_routes == 1
    assert next_write(reader) is None


def test_writes_of_a_host_are_apart():
    """All routes are recorded at once; a burst of large writes would fill a link."""
    store = Store("previews")
    reader = store.start_reader()
    store.revision += 1
    routes = [make_route(key) for key in range(300)]
    store.configuration = make_configuration(2, (*routes, split_route("a", "b")))
    store.deliver(store.configuration)
    sent_at = []
    while (call := next_write(reader)) is not None:
        sent_at.append(reader.now)
        assert len(call.histories) <= MAX_SHARDS_PER_WRITE
        finish(reader, call, store.write(call))
    assert len(sent_at) == SHARDS / MAX_SHARDS_PER_WRITE
    gaps = [after - before for before, after in zip(sent_at, sent_at[1:], strict=False)]
    assert min(gaps) >= 1.0
    assert sum(len(shard.routes) for shard in store.shards.values()) == 301


def test_writes_wait_until_the_previous_one_was_read():
    """A slow watch would make the host write the same again, in vain."""
    store = Store("previews")
    reader = store.start_reader()
    store.change_services("archive")
    call = next_write(reader)
    finish(reader, call, store.write(call, deliver=False))
    for _ in range(50):
        reader.now += 0.1
        assert not isinstance(
            reader.core.next_election_call(OWN, 0.0, reader.now), WriteRouteHistory
        )
    assert reader.logs[-1].number == HISTORY_WRITTEN.number


def test_store_unreachable_during_and_after_the_change():
    """Hosts go on by what they know, and write it when the store is back."""
    store = Store("previews")
    reader = store.start_reader()
    store.change_services("archive")
    call = next_write(reader)
    finish(reader, call, Refused(503))
    reader.call = reader.core.next_call(reader.now + 1.0)
    reader.fail_call()
    assert next_write(reader) is None
    assert_flow_stays(reader)
    reader.tables.reader.failures = 0
    assert write_all(store, reader) == 1


def test_host_that_is_not_current_writes_nothing():
    """It might remove what the newest configuration names."""
    store = Store("previews")
    reader = store.start_reader()
    store.change_services("archive")
    for _ in range(60):
        reader.now += 0.1
        call = reader.core.next_election_call(OWN, 0.0, reader.now)
        if isinstance(call, WriteRouteHistory):
            assert reader.now - reader.tables.reader.current_at < 3.0
            finish(reader, call, Refused(503))
    assert reader.now - reader.tables.reader.current_at > 5.0


@pytest.mark.parametrize("written", [True, False])
def test_host_starts_from_a_peer_snapshot(written):
    """The store is unreachable; a peer knows the former services, recorded or not."""
    store = Store("previews")
    peer = store.start_reader()
    store.change_services("archive")
    if written:
        write_all(store, peer)
    started = store.start_host(reads=False)
    started.answer(snapshot_of(peer))
    assert_flow_stays(started)
    assert_flow_is_foreign(started, 3)
    row = started.tables.route_services[PREVIEWS]["previews"]
    assert row.recorded is written


def test_follower_gets_the_history():
    """A follower started before the shard was written and reads the change feed."""
    reader = Driver(*TARGETS, configuration=configuration(1, "archive"))
    shard = shard_of(PREVIEWS)
    reader.change(RouteHistory(shard, {PREVIEWS: ("archive", "previews")}, 5))
    reader.change(Unreadable("shard", "not JSON", 6, None, shard))
    answer = poll_reader(reader, 1)
    assert answer.changes[0].routes == {PREVIEWS: ("archive", "previews")}
    assert answer.changes[1].shard == shard
    follower = make_follower()
    follower.change(configuration(2, "archive"), *TARGETS)
    follower.answer(answer)
    assert_flow_stays(follower)


@pytest.mark.parametrize("has_shard", [False, True])
def test_restored_store_is_written_again(has_shard):
    """The backup lacks the shard, or holds one that lacks the former service."""
    store = Store("previews")
    reader = store.start_reader()
    store.change_services("archive")
    write_all(store, reader)
    shard = shard_of(PREVIEWS)
    store.restore([RouteHistory(shard, {PREVIEWS: ("archive",)}, 1)] * has_shard)
    assert_flow_stays(reader)
    assert write_all(store, reader) == 1
    assert store.recorded() == ("archive", "previews")
    assert_flow_stays(store.start_host())


def test_restored_store_is_only_added_to_until_operators_have_rewritten():
    """All hosts may be killed before operators rewrite the newest configuration.

    Until then the configuration may lack routes and services, which must stay.
    """
    store = Store("previews")
    reader = store.start_reader()
    store.change_services("archive")
    write_all(store, reader)
    shard = shard_of(PREVIEWS)
    store.restore([RouteHistory(shard, {PREVIEWS: ("archive",), 10: ("other",)}, 1)])
    reader.tables.restore_grace.operators_deadline = reader.now + 1000.0
    call = next_write(reader)
    finish(reader, call, store.write(call))
    assert store.recorded() == ("archive", "previews")
    assert next_write(reader) is None
    assert store.shards[shard].routes[10] == ("other",)
    reader.tables.restore_grace.operators_deadline = float("inf")
    assert write_all(store, reader) == 1
    assert 10 not in store.shards[shard].routes


@pytest.mark.parametrize("unreadable", [True, False])
def test_lost_shard_is_written_again(unreadable):
    """Another program overwrites or removes a shard of the history."""
    store = Store("previews")
    reader = store.start_reader()
    store.change_services("archive")
    write_all(store, reader)
    shard = shard_of(PREVIEWS)
    store.revision += 1
    if unreadable:
        store.shards[shard] = RouteHistory(shard, {}, store.revision)
        store.deliver(Unreadable("shard", "not JSON", store.revision, None, shard))
        assert ENTRY_UNREADABLE.number in [log.number for log in reader.logs]
    else:
        del store.shards[shard]
        store.deliver(RouteHistory(shard, {}, store.revision, removed=True))
    assert_flow_stays(reader)
    assert write_all(store, reader) == 1
    assert store.recorded() == ("archive", "previews")
