"""Control socket and platform reader of the host daemon, on real sockets."""

from __future__ import annotations

import random
import socket

import anyio
import pytest
from pydantic import SecretStr

from citronspring.control.envelope import DatagramEncoder
from citronspring.control.messages import Gossip, HostUpdate
from citronspring.daemons.control import LOOPBACK_KEY, read_keys, wall_clock
from citronspring.daemons.host import HostDaemon
from citronspring.daemons.reader import CONFIRM_INTERVAL, PlatformReader
from citronspring.daemons.sockets import bind_udp
from citronspring.entities import HostState, Snapshot
from citronspring.errors import SettingsError
from citronspring.messages import RecordsRead, SnapshotRead
from citronspring.settings import ControlSection
from citronspring.standins.loopback import Loopback
from citronspring.tables import Tables
from tests.conftest import ZONES, StaticConfiguration, make_account

pytestmark = pytest.mark.anyio


async def start_hosts(group, sources):
    system = Loopback(group, random.Random(1), ZONES)
    sections = system.make_host_sections(len(sources))
    daemons = []
    for section, source in zip(sections, sources, strict=True):
        settings = system.make_settings(section, sections, "http://127.0.0.1:1")
        daemons.append(HostDaemon.from_settings(settings, source))
        await group.start(daemons[-1].run)
    return daemons


async def wait_until(condition):
    with anyio.fail_after(15):
        while not condition():
            await anyio.sleep(0.02)


async def test_host_takes_its_configuration_from_a_peer_when_the_platform_is_down(
    snapshot,
):
    """The platform is down when a host is replaced.

    If the host could read only the platform, it would have no configuration and drop
    every packet. It joins through its peers and gets a snapshot transfer from them.
    """
    async with anyio.create_task_group() as group:
        sources = [
            StaticConfiguration(snapshot),
            StaticConfiguration(None),
            StaticConfiguration(None),
        ]
        daemons = await start_hosts(group, sources)
        await wait_until(
            lambda: all(daemon.core.tables.revision == 1 for daemon in daemons)
        )
        for daemon in daemons:
            assert set(daemon.core.tables.accounts) == {"bundelpers", "inzendloket"}
            counters = daemon.core.tables.counters
            assert counters["control.bytes_sent"] > 0
        await wait_until(lambda: (ZONES[0], 1) in sources[0].confirmed)
        group.cancel_scope.cancel()


async def test_forged_and_replayed_datagrams_change_nothing_and_are_counted(snapshot):
    """An attacker on the network sends datagrams that announce a host's shutdown.

    If they were accepted, the host's flows would move and it would idle. With another
    key the digest is wrong; a copy of an authentic datagram is counted as replayed.
    """
    async with anyio.create_task_group() as group:
        sources = [StaticConfiguration(snapshot), StaticConfiguration(snapshot)]
        daemons = await start_hosts(group, sources)
        tables = daemons[0].core.tables
        address = (tables.me.host.control.ip, tables.me.host.control.port)
        leaving = Gossip(1, (HostUpdate("host-1", HostState.LEAVING, 1 << 50),))
        forged = DatagramEncoder("host-1", bytes(range(16)), 1).encode_datagram(
            leaving, "host-0", wall_clock()
        )
        genuine = DatagramEncoder("host-9", LOOPBACK_KEY, 1).encode_datagram(
            Gossip(1), "host-0", wall_clock()
        )
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for datagram in (forged, genuine, genuine, b"", b"noise" * 2000):
                sender.sendto(datagram, address)
        counters = tables.counters
        await wait_until(lambda: counters["control.rejected.oversized"] == 1)
        assert counters["control.rejected.forged"] == 1
        assert counters["control.rejected.replayed"] == 1
        assert counters["control.unknown-sender"] == 1
        assert tables.hosts["host-1"].state is not HostState.LEAVING
        group.cancel_scope.cancel()


class ScriptedSource(StaticConfiguration):
    """A platform whose first calls fail, as often as given."""

    failures = 2

    async def read_snapshot(self):
        if self.failures:
            self.failures -= 1
            await StaticConfiguration(None).read_snapshot()
        return await super().read_snapshot()


class RecordingCore:
    """Records the events that it receives."""

    def __init__(self):
        self.tables = Tables("host-0", ZONES[0], "entry", 1)
        self.events = []

    def receive(self, event, now):
        self.events.append(event)
        return []


def make_reader(source):
    core = RecordingCore()
    return core, PlatformReader(core, source, anyio.current_time, lambda actions: None)


async def test_failed_read_is_retried_at_a_stored_time(snapshot):
    """The platform fails twice and then answers.

    The reader must neither stop at the first error nor retry without a delay.
    """
    core, reader = make_reader(ScriptedSource(snapshot))
    started = anyio.current_time()
    async with anyio.create_task_group() as group:
        group.start_soon(reader.read_on_request)
        reader.request()
        await wait_until(lambda: core.events)
        group.cancel_scope.cancel()
    [event] = core.events
    assert event == SnapshotRead(snapshot, event.asked_at)
    assert event.asked_at >= started
    assert reader.retry_at - started >= 1.5


async def test_read_across_a_stall_carries_its_request_time(snapshot):
    """The process stalls during a read.

    The answer is outdated and would let delayed packets pass. The core must see from
    the time of the request that it proves nothing.
    """
    core, reader = make_reader(StaticConfiguration(snapshot))
    core.tables.revision = 1
    times = [5.0, 15.0]
    reader.clock = lambda: times[0] if len(times) == 1 else times.pop(0)
    await reader.read()
    assert core.events == [RecordsRead((), asked_at=5.0)]


async def test_missing_records_are_replaced_by_a_snapshot():
    class Forgetful(StaticConfiguration):
        async def read_records(self, after_revision):
            return None

    newest = Snapshot(400, (make_account(),))
    _, reader = make_reader(Forgetful(newest))
    assert await reader.read_event(5, 1.0) == SnapshotRead(newest, 1.0)


async def test_confirmation_is_repeated_in_case_the_platform_lost_it(
    snapshot, monkeypatch
):
    """The platform is restored from a backup that lacks a zone's confirmation.

    The zone reader remembered that it had confirmed. No address could be removed from
    an account until the next change.
    """
    source = StaticConfiguration(snapshot)
    _, reader = make_reader(source)
    monkeypatch.setattr("citronspring.daemons.reader.zone_revision", lambda tables: 7)
    now = 100.0
    reader.clock = lambda: now
    assert reader.confirmation_is_due(7)
    await reader.confirm_once()
    assert not reader.confirmation_is_due(7)
    now += CONFIRM_INTERVAL
    assert reader.confirmation_is_due(7)
    assert source.confirmed == [(ZONES[0], 7)]


async def test_keys_are_read_from_settings_and_files(tmp_path):
    path = tmp_path / "key"
    path.write_text("ab" * 32 + "\n")
    section = ControlSection(key_file=str(path), previous_key=SecretStr("cd" * 16))
    assert read_keys(section) == (b"\xab" * 32, b"\xcd" * 16)
    for bad in ("00" * 8, "00" * 65, "secret"):
        with pytest.raises(SettingsError) as caught:
            read_keys(ControlSection(key=SecretStr(bad)))
        assert bad not in str(caught.value)
    with pytest.raises(SettingsError):
        read_keys(ControlSection(key_file=str(tmp_path / "none")))


async def test_second_system_on_the_machine_gets_ports_of_its_own(snapshot):
    """Tests run in parallel, and a host of one cannot bind its address.

    A system that was described but not started released its port range once nothing
    referred to it, while its hosts still used the ports. Another worker took the same
    range: "cannot listen on 127.0.1.1:20003: Address already in use", once in a full
    run.
    """
    async with anyio.create_task_group() as group:
        ports = set()
        for _ in range(2):
            [daemon] = await start_hosts(group, [StaticConfiguration(snapshot)])
            ports.add(daemon.settings.host.tunnel.port)
        assert len(ports) == 2
        group.cancel_scope.cancel()


async def test_port_range_is_released_after_the_sockets_in_it():
    """A system that takes a released range cannot bind an address of the former one."""
    async with anyio.create_task_group() as group:
        system = Loopback(group, random.Random(1), ZONES)
        await anyio.wait_all_tasks_blocked()
        group.cancel_scope.cancel()
    assert system.reserved.fileno() == -1
    with bind_udp(system.gateway):
        pass
