"""Route history: flows stay on former services of their route, also at new hosts."""

from __future__ import annotations

import json
from binascii import crc32
from itertools import count

import pytest

from citronspring.endpoints import Endpoint
from citronspring.events import (
    ENTRY_UNREADABLE,
    HISTORY_WRITE_FAILED,
    HISTORY_WRITTEN,
    SERVICE_FORGOTTEN,
)
from citronspring.tokens.entities import Route, Share
from citronspring.tokens.entries import (
    RouteHistory,
    Unreadable,
    ZoneReader,
    ordered_revision,
    with_revision,
)
from citronspring.tokens.messages import (
    Changes,
    ConditionFailed,
    Done,
    DropReason,
    Forward,
    HistoryLost,
    Page,
    Refused,
    Unanswered,
    WriteRouteHistory,
)
from citronspring.tokens.route_history import (
    FORGET_MARGIN,
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
    make_target,
    reason_of,
    target_of,
)
from tests.test_tokens.test_peer_snapshot import restarted_host, snapshot_of
from tests.test_tokens.zone import make_follower, poll_reader

OWN = Endpoint("10.1.0.1", 8166)

#: Seconds for which a former service is remembered.
KEPT = 3600.0 + FORGET_MARGIN

#: Registration of every host of these tests as the reader of its zone.
READER = ZoneReader("north", "host-2", OWN, 2)

#: Targets of three services.
TARGETS = (
    make_target(1),
    make_target(2, service="archive"),
    make_target(3, service="other"),
)


def split_route(*services, key=PREVIEWS):
    shares = tuple(Share(service, 1.0) for service in services)
    return Route(f"route-{key & 0xFFFF}", key, shares, True)


def configuration(revision, *services):
    """Return a configuration whose previews are served by the given services."""
    orders = make_route(ORDERS, idempotent=False)
    return make_configuration(revision, (split_route(*services), orders))


#: Ports of callers; a known flow is forwarded without a look at its token.
PORTS = count(1000)


class Store:
    """The store's configuration and shards, as several hosts read and write them."""

    def __init__(self, *services):
        self.revision = 10
        self.epoch = 0
        self.configuration = configuration(1, *services)
        self.shards = {}
        self.hosts = []
        self.writes = 0

    def entries(self):
        reader = with_revision(READER, self.now_revision)
        return (self.configuration, reader, *TARGETS, *self.shards.values())

    def start_host(self, reads=True):
        """Start a host that lists the store."""
        host = Driver(configuration=configuration(1, "none"))
        restarted_host(host, peers=1)
        host.revision = self.revision
        if reads:
            host.answer(Page(self.entries(), self.now_revision, None), host.now)
            self.hosts.append(host)
        return host

    def start_reader(self):
        """Start a host that is the reader of its zone."""
        host = self.start_host()
        host.tables.zone_readers["north"] = READER
        host.tables.election.lease = 7
        host.tables.election.lease_deadline = host.tables.election.renew_at = 1e9
        return host

    @property
    def now_revision(self):
        return ordered_revision(self.epoch, self.revision)

    def change_services(self, *services):
        """Change the services of the previews; every host reads it."""
        self.revision += 1
        number = self.configuration.revision + 1
        self.configuration = configuration(number, *services)
        self.deliver(self.configuration)

    def deliver(self, *changes):
        for host in self.hosts:
            host.answer(Changes(changes, self.now_revision, self.epoch))

    def write(self, call, deliver=True):
        """Commit a write if its conditions hold."""
        for history in call.histories:
            known = self.shards.get(history.shard)
            if (0 if known is None else known.revision) != history.revision:
                return ConditionFailed()
        self.revision += 1
        self.writes += 1
        written = [with_revision(one, self.now_revision) for one in call.histories]
        self.shards.update({one.shard: one for one in written})
        if deliver:
            self.deliver(*written)
        return Done()

    def recorded(self, key=PREVIEWS):
        history = self.shards.get(shard_of(key))
        return () if history is None else history.routes.get(key, ())

    def restore(self, shards=()):
        """Restore a backup with the given shards; every host lists the store."""
        self.epoch += 1
        self.shards = {
            one.shard: with_revision(one, ordered_revision(self.epoch, 5))
            for one in shards
        }
        for host in self.hosts:
            host.answer(HistoryLost(self.epoch))
            host.answer(Page(self.entries(), self.now_revision, None))
            host.answer(Changes((self.configuration,), self.now_revision, self.epoch))
            host.tables.restore_grace.operators_deadline = float("inf")


def next_write(host):
    """Return the next write of a host within three seconds, None if there is none."""
    for _ in range(30):
        host.now += 0.1
        host.tables.reader.current_at = host.now
        call = host.core.next_election_call(OWN, 0.0, host.now)
        if isinstance(call, WriteRouteHistory):
            return call
    return None


def finish(host, call, answer):
    host.collect_logs(host.core.handle_election_answer(call, answer, 0.0, host.now))


def write_all(store, host):
    """Let a host write until nothing is missing; return the number of writes."""
    for writes in range(10):
        call = next_write(host)
        if call is None:
            return writes
        finish(host, call, store.write(call))
    raise AssertionError("the host does not stop writing")


def answer_of_flow(host, token):
    """Return the action for a packet of a new flow that another host has placed."""
    caller = host.caller(next(PORTS))
    caller.token = token
    return caller.send_request()


def assert_flow_stays(host, token=1):
    assert target_of(answer_of_flow(host, token)) == f"i-{token:x}"


def assert_flow_is_foreign(host, token):
    assert reason_of(answer_of_flow(host, token)) is DropReason.FOREIGN_TOKEN


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


def test_service_is_forgotten_after_the_longest_lifetime_of_a_flow():
    """A service that is never forgotten stays reachable by guessed tokens."""
    store = Store("previews")
    reader = store.start_reader()
    store.change_services("archive")
    write_all(store, reader)
    reader.wait(KEPT - 10.0)
    assert_flow_stays(reader)
    reader.wait(10.0)
    assert_flow_is_foreign(reader, 1)
    assert SERVICE_FORGOTTEN.number in [log.number for log in reader.logs]
    assert write_all(store, reader) == 1
    assert store.recorded() == ("archive",)
    assert "previews" not in reader.tables.route_services[PREVIEWS]


def test_former_service_is_kept_for_the_lifetime_of_flows():
    """Forgotten sooner, it would take the oldest flows with it."""
    store = Store("previews")
    host = store.start_host()
    host.tables.flow_lifetime = 60.0
    store.change_services("archive")
    host.wait(60.0 + FORGET_MARGIN - 1.0)
    assert_flow_stays(host)
    host.wait(2.0)
    assert_flow_is_foreign(host, 1)


def test_forgotten_service_is_not_written_back():
    """Another zone's reader started later and still remembers the service.

    If it wrote the service back, the two would go on writing in turn.
    """
    store = Store("previews")
    first = store.start_reader()
    store.change_services("archive")
    write_all(store, first)
    first.wait(KEPT)
    second = store.start_reader()
    assert_flow_stays(second)
    assert write_all(store, first) == 1
    assert write_all(store, second) == 0
    assert write_all(store, first) == 0
    assert_flow_is_foreign(second, 1)


def test_forgotten_service_in_a_shard_written_by_another_host():
    """Another route of the shard is written before the service is removed from it."""
    store = Store("previews")
    reader = store.start_reader()
    store.change_services("archive")
    write_all(store, reader)
    reader.wait(KEPT + 1.0)
    shard = store.shards[shard_of(PREVIEWS)]
    store.revision += 1
    store.shards[shard.shard] = with_revision(shard, store.revision)
    store.deliver(store.shards[shard.shard])
    assert_flow_is_foreign(reader, 1)
    assert write_all(store, reader) == 1
    assert store.recorded() == ("archive",)


def test_service_that_comes_back_is_not_forgotten():
    """The deadline set when it was replaced would drop flows of a service in force."""
    store = Store("previews")
    reader = store.start_reader()
    store.change_services("archive")
    store.change_services("previews")
    write_all(store, reader)
    reader.wait(KEPT + 5.0)
    assert_flow_stays(reader)
    write_all(store, reader)
    assert store.recorded() == ("previews",)


def test_removed_route_is_removed_from_the_history():
    store = Store("previews", "archive")
    reader = store.start_reader()
    write_all(store, reader)
    store.revision += 1
    store.configuration = make_configuration(2, (make_route(ORDERS),))
    store.deliver(store.configuration)
    write_all(store, reader)
    assert store.recorded() == ()
    assert store.recorded(ORDERS) == ("previews",)


def test_history_that_arrives_before_its_route():
    """Pages of a list are no snapshot; a shard may name a route of the next version."""
    driver = Driver(
        *TARGETS, configuration=make_configuration(1, (make_route(ORDERS),))
    )
    shard = shard_of(PREVIEWS)
    driver.change(RouteHistory(shard, {PREVIEWS: ("archive", "previews")}, 5))
    driver.change(configuration(2, "archive"))
    assert_flow_stays(driver)


def test_shard_is_the_last_digit_of_the_checksum():
    """Hosts of all releases have to find a route in the same shard."""
    digest = f"{crc32(str(PREVIEWS).encode()):08x}"
    assert f"{shard_of(PREVIEWS):x}" == digest[-1]


def test_dump_and_metrics_show_earlier_services():
    store = Store("previews")
    host = store.start_host()
    caller = host.caller(1)
    caller.connect()
    store.change_services("archive")
    assert isinstance(caller.send_request(), Forward)
    host.wait(7.0)
    shown = host.core.dump(host.now)["earlier_services"]["route-443"]["previews"]
    assert shown == {"forgotten_in": KEPT - 7.0, "recorded": False}
    json.dumps(host.core.dump(host.now))
    text = host.core.metrics(host.now)
    assert 'earlier_service_packets_total{route="route-443"} 1' in text
    assert "earlier_service_age_seconds 7" in text
