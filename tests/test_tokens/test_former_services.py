"""Former services of routes: how long they are remembered, and what shows them."""

from __future__ import annotations

import json
from binascii import crc32

from citronspring.events import SERVICE_FORGOTTEN
from citronspring.tokens.entries import RouteHistory, with_revision
from citronspring.tokens.messages import Forward
from citronspring.tokens.route_history import FORGET_MARGIN, shard_of
from tests.test_tokens.driver import (
    ORDERS,
    PREVIEWS,
    Driver,
    make_configuration,
    make_route,
)
from tests.test_tokens.history_store import (
    KEPT,
    TARGETS,
    Store,
    assert_flow_is_foreign,
    assert_flow_stays,
    configuration,
    write_all,
)


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
