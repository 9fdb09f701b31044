"""The program as it runs on the platform: a process, real sockets, signals."""

from __future__ import annotations

import json
import os
import signal
import socket
import struct
import subprocess
import sys
import time

import pytest

from citronspring.tokens.entities import token_of
from tests.test_platform.process import (
    ACK,
    COPIES,
    READINESS,
    READS,
    SYN,
    TIMEOUT,
    Host,
    eventually,
    packet,
)
from tests.test_platform.test_store import CONFIGURATION, ROUTE, TARGET

#: Incarnation of the target, and the token that packets after an opening carry.
INCARNATION = 0x2EA29917B4
TARGET_TOKEN = token_of(INCARNATION)


def test_forwards_an_opening_and_then_by_its_token(serving):
    serving.send(packet(SYN))
    opening = serving.target.recv(2048)
    assert opening[:8] == INCARNATION.to_bytes(8, "big")
    token = struct.unpack(">I", opening[17:21])[0]
    assert token
    first = {"seq": 2, "ack": 5, "payload": b"GET"}
    serving.send(packet(ACK, token=token, **first))
    assert serving.target.recv(2048)[8:] == packet(ACK, token=TARGET_TOKEN, **first)


def test_is_ready_only_once_it_knows_a_configuration(host):
    """A host starts before operators have written a configuration."""
    assert eventually(host.status) == 503
    host.configure()
    assert eventually(lambda: host.status() == 200)


def test_starts_while_the_store_refuses_it(host):
    """The store refuses a starting host, then serves it; the host becomes ready."""
    host.store.outage_status = 503
    host.configure()
    assert eventually(lambda: len(host.store.calls) > 3)
    assert host.status() == 503
    host.store.outage_status = None
    assert eventually(lambda: host.status() == 200)
    assert eventually(lambda: host.logged("store-lost"))


def test_addresses_without_a_route_are_reset(serving):
    serving.send(packet(SYN, port=9))
    assert eventually(lambda: 'kind="reset no-route"' in serving.get("/metrics")[1])


def test_malformed_datagrams_are_counted_and_harm_nothing(serving):
    for data in (b"", b"x", packet(SYN)[:-1], packet(SYN) + b"y", bytes(2000)):
        serving.send(data)
    serving.send(packet(SYN))
    assert serving.target.recv(2048)
    assert 'kind="dropped malformed"' in serving.get("/metrics")[1]


def test_entry_with_a_number_out_of_range_does_not_end_the_process(serving):
    """One entry of another writer ends every host, again at each start."""
    entry = {**TARGET, "service": "inventory", "concurrency": 10**400}
    serving.store.put("servers/i-00c0ffee", entry)
    assert eventually(lambda: serving.logged("entry-unreadable"))
    assert serving.process.poll() is None
    serving.send(packet(SYN))
    assert serving.target.recv(2048)


def test_request_with_a_length_of_thousands_of_digits_does_not_end_the_process(serving):
    """Anyone who reaches an address of a host ends it with one request."""
    head = b"GET /metrics HTTP/1.1\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\n"
    for port in (READINESS, COPIES):
        with socket.create_connection((serving.ip, port), TIMEOUT) as caller:
            caller.sendall(head)
            assert caller.recv(100) == b""
    assert serving.process.poll() is None
    assert serving.status() == 200


def test_shuts_down_in_order(serving):
    """A stopped host reports unready, keeps forwarding, then exits with 0."""
    serving.process.send_signal(signal.SIGTERM)
    eventually(lambda: serving.status() == 503)
    serving.send(packet(SYN))
    assert serving.target.recv(2048)
    assert serving.process.wait(TIMEOUT) == 0
    events = [line["event"] for line in serving.lines()]
    order = [events.index(name) for name in ("started", "leaving", "stopped")]
    assert order == sorted(order)


def test_opening_that_waited_through_a_stall_is_dropped(serving):
    """A host stalls with openings in its socket, then continues.

    The caller has meanwhile retransmitted through another host. The wait for events
    returns none after the stall. If the socket then counted as read, the opening would
    be placed, a second target would answer, and the caller's packets could reach it.
    """
    serving.process.send_signal(signal.SIGSTOP)
    for seq in range(5):
        serving.send(packet(SYN, seq=100 * seq))
    time.sleep(0.6)
    serving.process.send_signal(signal.SIGCONT)
    eventually(lambda: 'kind="dropped waited"} 5' in serving.get("/metrics")[1])
    serving.send(packet(SYN, seq=9000))
    assert serving.target.recv(2048)[8:12] == (9000).to_bytes(4, "big")


def test_changed_settings_are_read_with_and_without_a_signal(serving):
    serving.process.send_signal(signal.SIGHUP)
    eventually(lambda: serving.logged("settings-read"))
    serving.write_settings(serving.store_port, limits={"link_mbps": 5.0})
    eventually(lambda: len(serving.logged("settings-read")) > 1)
    assert json.loads(serving.get("/state")[1])["link"]["link_rate"] == 625_000.0
    serving.settings.write_text("{")
    eventually(lambda: serving.logged("settings-bad"))
    assert serving.status() == 200


def test_state_and_metrics_are_served(serving):
    serving.send(packet(SYN))
    serving.target.recv(2048)
    state = json.loads(serving.get("/state")[1])
    assert state["configuration"] == 7
    assert state["targets"]["i-2ea29917b4"]["flows"] == 1
    # 28 bytes of IP and UDP header each; the target's packet has 8 more.
    link = state["link"]
    assert (link["received"], link["sent"]) == (31 + 28, 31 + 28 + 8)
    text = serving.get("/metrics")[1]
    assert "citronspring_configuration_revision 7" in text
    assert "citronspring_decision_seconds_count 1" in text
    assert serving.get("/nothing")[0] == 404


def test_change_is_in_force_and_removed_target_gets_nothing(serving):
    serving.store.delete("servers/i-2ea29917b4")
    eventually(lambda: serving.logged("target-removed"))
    serving.send(packet(SYN))
    eventually(lambda: serving.logged("opening-refused"))


def test_flow_of_a_former_service_survives_a_restart(serving):
    """Operators change a route's service, and the host is killed and started again.

    It learns the former service from the store, where it had recorded it before. The
    token of a service that the route never had is dropped, with both names in the log.
    """
    serving.send(packet(SYN))
    token = struct.unpack(">I", serving.target.recv(2048)[17:21])[0]
    eventually(lambda: serving.logged("lease-taken"))
    routes = [{**ROUTE, "service": "archive"}]
    serving.store.put("op/config", {**CONFIGURATION, "version": 9, "routes": routes})
    eventually(lambda: serving.logged("route-history-written"))
    serving.process.kill()
    serving.process.wait()
    port = serving.target.getsockname()[1]
    foreign = {**TARGET, "service": "other", "addr": f"127.0.0.1:{port}"}
    serving.store.put("servers/i-77", foreign)
    serving.start(serving.store_port)
    eventually(lambda: len(serving.logged("started")) == 2 and serving.status() == 200)
    serving.send(packet(ACK, seq=2, ack=5, token=0x77, payload=b"GET"))
    (line,) = eventually(lambda: serving.logged("packet-dropped"))
    names = line["reason"], line["route"], line["service"]
    assert names == ("foreign-token", "r-1", "other")
    first = {"seq": 2, "ack": 5, "payload": b"GET"}
    serving.send(packet(ACK, token=token, **first))
    forwarded = packet(ACK, token=TARGET_TOKEN, **first)
    # Copies of the unanswered opening may still be queued.
    eventually(lambda: serving.target.recv(2048)[8:] == forwarded)


def test_bad_settings_end_the_process_with_a_remedy(tmp_path):
    path = tmp_path / "settings"
    path.write_text("{}")
    done = subprocess.run(
        [sys.executable, "-m", "citronspring.platform"],
        env={**os.environ, "CITRONSPRING_BOOT": str(path)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2
    assert "give a table" in done.stderr


@pytest.fixture
def second(serving, tmp_path):
    """Another host of the same zone, with the same store."""
    folder = tmp_path / "second"
    folder.mkdir()
    other = Host(folder)
    other.name = "host-2"
    other.start(serving.store_port)
    try:
        yield other
    finally:
        if other.process.poll() is None:
            other.process.kill()
        other.process.wait()
        other.target.close()
        other.caller.close()


def reader_and_follower(serving, second):
    """Return the zone reader and its follower.

    Under load the first reader may lose the store and its lease. The result therefore
    depends on whom a host logs that it follows, not on who registered first.
    """
    found = eventually(lambda: serving.logged("following") + second.logged("following"))
    newest = max(found, key=lambda line: line["time"])
    hosts = {"host-1": serving, "host-2": second}
    reader = hosts.pop(newest["reader"])
    (follower,) = hosts.values()
    return reader, follower


def test_one_host_of_a_zone_reads_for_the_other(serving, second):
    """Two hosts of a zone elect a reader; a change reaches the other one through it.

    After the reader is killed, the other one reads the store at once and takes the
    lease.
    """
    reader, follower = reader_and_follower(serving, second)
    serving.store.put("op/config", {**CONFIGURATION, "version": 9})
    eventually(lambda: follower.logged("configuration-applied")[-1]["revision"] == 9)
    reader.process.kill()
    eventually(lambda: follower.logged("reader-lost"))
    serving.store.put("op/config", {**CONFIGURATION, "version": 12})
    eventually(lambda: follower.logged("configuration-applied")[-1]["revision"] == 12)
    eventually(lambda: follower.logged("lease-taken"))


def test_reports_start_an_inquiry_and_invalid_datagrams_are_harmless(serving, second):
    """Other hosts report a target, and the zone reader starts an inquiry about it.

    Invalid datagrams are counted, and the host continues to serve.
    """
    reader, _ = reader_and_follower(serving, second)
    # The reported requests must be newer than the last known answer of the target.
    time.sleep(0.4)
    incarnation = int("2ea29917b4", 16)
    suspicion = [incarnation, 0.2]
    report = json.dumps({"report": [suspicion, suspicion]}).encode()
    for data in (b"", b"x", b"[]", b'{"verdict": 1}', report, report):
        reader.caller.sendto(data, (reader.ip, COPIES))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as another:
        another.bind(("127.0.0.3", 0))
        another.sendto(report, (reader.ip, COPIES))
    asked = eventually(lambda: reader.logged("inquiry-ended"))[0]
    assert asked["answered"] == 0
    unreadable = 'kind="host-messages-unreadable"'
    assert eventually(lambda: unreadable in reader.get("/metrics")[1])
    assert reader.status() == 200


def test_stopped_reader_ends_its_lease(serving, second):
    """An operator stops the zone reader; the other host registers at once."""
    reader, follower = reader_and_follower(serving, second)
    reader.process.send_signal(signal.SIGTERM)
    eventually(lambda: follower.logged("lease-taken"))
    assert reader.process.wait(TIMEOUT) == 0
    assert "/api/kv-lease-end" in serving.store.calls


def test_settings_are_checked_without_starting_anything(host):
    done = subprocess.run(
        [sys.executable, "-m", "citronspring.platform", "check-settings"],
        env={**os.environ, "CITRONSPRING_BOOT": str(host.settings)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 0
    assert "host-1" in done.stdout


def test_host_without_the_store_starts_from_a_peer_snapshot(serving, tmp_path):
    """The store is unreachable at a restart; the host uses a peer snapshot."""
    folder = tmp_path / "other"
    folder.mkdir()
    other = Host(folder)
    other.seeds = [f"{serving.ip}:{COPIES}"]
    serving.store.outage_status = 503
    other.start(serving.store_port)
    try:
        assert eventually(lambda: other.status() == 200)
        other.send(packet(SYN))
        assert serving.target.recv(2048)
        assert eventually(lambda: other.logged("copy-taken"))
    finally:
        other.process.kill()
        other.process.wait()
        other.target.close()
        other.caller.close()


def test_slow_configuration_is_read_at_the_first_attempt(serving):
    """A configuration of 400 KB arrives over four seconds from a healthy store.

    With a timeout on the whole call the host gave up after at most 2.75 s and requested
    all of it again, as long as the link was slow.
    """
    serving.store.rate = 90_000.0
    idle = [
        {**ROUTE, "name": f"idle-{number}", "prefix": f"/{1000 + number}/"}
        for number in range(2000)
    ]
    large = {**CONFIGURATION, "version": 9, "routes": CONFIGURATION["routes"] + idle}
    serving.store.put("op/config", large)
    before = len(serving.store.calls)
    applied = eventually(
        lambda: [
            line
            for line in serving.logged("configuration-applied")
            if line["revision"] == 9
        ]
    )
    assert applied[0]["routes"] == len(CONFIGURATION["routes"]) + 2000
    assert not serving.logged("store-lost")
    reads = [path for path in serving.store.calls[before:] if path in READS]
    assert len(reads) <= 1


def test_start_lists_the_store_once(serving):
    """The prefetched list is used; the host does not request it again."""
    assert serving.store.calls.count(READS[0]) == 1
