"""A store with a route history, and hosts that read and write it."""

from __future__ import annotations

from itertools import count

from citronspring.endpoints import Endpoint
from citronspring.tokens.entities import Route, Share
from citronspring.tokens.entries import (
    ZoneReader,
    ordered_revision,
    with_revision,
)
from citronspring.tokens.messages import (
    Changes,
    ConditionFailed,
    Done,
    DropReason,
    HistoryLost,
    Page,
    WriteRouteHistory,
)
from citronspring.tokens.route_history import (
    FORGET_MARGIN,
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
from tests.test_tokens.test_peer_snapshot import restarted_host

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
