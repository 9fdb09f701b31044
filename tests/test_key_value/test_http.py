"""Tests of the platform's HTTP client, also with broken connections."""

from __future__ import annotations

import anyio
import httpx
import pytest

from citronspring.entities import Endpoint
from citronspring.errors import (
    ConfigurationError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    VersionMismatchError,
)
from citronspring.key_value.http import PlatformClient
from citronspring.key_value.port import ABSENT, MAX_VALUE_BYTES
from citronspring.standins.memory import MemoryPlatform, Switches
from citronspring.standins.platform import (
    PlatformService,
    make_application,
    serve_platform,
)

pytestmark = pytest.mark.anyio


def client_of(platform: MemoryPlatform) -> PlatformClient:
    transport = httpx.ASGITransport(make_application(PlatformService(platform)))
    return PlatformClient(
        httpx.AsyncClient(transport=transport, base_url="http://platform")
    )


def failing_client(error: Exception) -> PlatformClient:
    def fail(request: httpx.Request) -> httpx.Response:
        raise error

    transport = httpx.MockTransport(fail)
    return PlatformClient(
        httpx.AsyncClient(transport=transport, base_url="http://platform")
    )


def answering_client(response: httpx.Response) -> PlatformClient:
    transport = httpx.MockTransport(lambda request: response)
    return PlatformClient(
        httpx.AsyncClient(transport=transport, base_url="http://platform")
    )


async def test_values_over_http():
    async with client_of(MemoryPlatform()) as client:
        assert await client.get("shard/1") is None
        version = await client.put("shard/1", b"\x00one", ABSENT)
        with pytest.raises(VersionMismatchError):
            await client.put("shard/1", b"two", ABSENT)
        with pytest.raises(VersionMismatchError):
            await client.put("shard/1", b"two", version + 1)
        stored = await client.get("shard/1")
        assert (stored.value, stored.version) == (b"\x00one", version)
        assert await client.watch("shard/1", ABSENT) == stored
        await client.delete("shard/1")
        assert await client.get("shard/1") is None


async def test_oversized_value_over_http():
    async with client_of(MemoryPlatform()) as client:
        with pytest.raises(ConfigurationError, match="bytes"):
            await client.put("key", bytes(MAX_VALUE_BYTES + 1), ABSENT)


async def test_host_list_over_http():
    platform = MemoryPlatform()
    platform.set_hosts(frozenset({"a", "b"}), frozenset({"c"}))
    async with client_of(platform) as client:
        assert await client.list_hosts() == platform.hosts


async def test_switches_over_http():
    platform = MemoryPlatform()
    async with client_of(platform) as client:
        answer = await client.client.put("/switches", json={"outage": True})
        assert answer.is_success
        assert platform.switches == Switches(outage=True)
        answer = await client.client.put("/switches", json={"outage": "perhaps"})
        assert answer.status_code == 400
        with pytest.raises(PlatformUnavailableError):
            await client.get("key")


async def test_lost_answer_over_http():
    """A write takes effect, but a gateway responds with an error.

    PlatformUnavailableError would wrongly mean that nothing changed: an error after
    the write was sent says nothing about its effect.
    """
    platform = MemoryPlatform(Switches(lost_answers=1))
    async with client_of(platform) as client:
        with pytest.raises(OutcomeUnknownError):
            await client.put("key", b"1", ABSENT)
        assert (await client.get("key")).value == b"1"


@pytest.mark.parametrize(
    ("failure", "expected"),
    [
        (httpx.ConnectError("refused"), PlatformUnavailableError),
        (httpx.ConnectTimeout("no route"), PlatformUnavailableError),
        (httpx.PoolTimeout("busy"), PlatformUnavailableError),
        (httpx.ReadTimeout("late"), OutcomeUnknownError),
        (httpx.ReadError("reset"), OutcomeUnknownError),
        (httpx.WriteError("reset"), OutcomeUnknownError),
        (httpx.RemoteProtocolError("closed"), OutcomeUnknownError),
    ],
)
async def test_failed_connections(failure, expected):
    """The connection fails before or after the request is sent.

    Only a request that was never sent certainly had no effect. Reads never have one.
    """
    async with failing_client(failure) as client:
        with pytest.raises(expected):
            await client.put("key", b"1", ABSENT)
        with pytest.raises(expected):
            await client.delete("key")
        with pytest.raises(PlatformUnavailableError):
            await client.get("key")


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        (httpx.Response(403), PlatformUnavailableError),
        (httpx.Response(503), OutcomeUnknownError),
        (httpx.Response(200), OutcomeUnknownError),
        (httpx.Response(200, headers={"X-Version": "new"}), OutcomeUnknownError),
    ],
)
async def test_unexpected_answers_to_a_write(response, expected):
    async with answering_client(response) as client:
        with pytest.raises(expected):
            await client.put("key", b"1", ABSENT)
        with pytest.raises(PlatformUnavailableError):
            await client.get("key")
        with pytest.raises(PlatformUnavailableError):
            await client.list_hosts()


async def test_served_on_loopback():
    platform = MemoryPlatform()
    async with anyio.create_task_group() as group:
        endpoint = await group.start(serve_platform, platform, Endpoint("127.0.0.1", 0))
        async with PlatformClient.from_url(f"http://{endpoint}") as client:
            version = await client.put("key", b"1", ABSENT)
            async with anyio.create_task_group() as watchers:
                watchers.start_soon(client.watch, "key", version)
                await client.put("key", b"2", version)
        group.cancel_scope.cancel()
    async with PlatformClient.from_url(f"http://{endpoint}") as client:
        with pytest.raises(PlatformUnavailableError):
            await client.put("key", b"3", ABSENT)


async def test_shutdown_answers_pending_watches(caplog):
    """The service stops while a client waits in a watch.

    The watch is answered at once. If the server waited for it and then cancelled it,
    stopping would take the whole grace period and log an error.
    """
    platform = MemoryPlatform()
    failures = []

    async def watch(client):
        try:
            await client.watch("key", ABSENT)
        except PlatformUnavailableError as error:
            failures.append(error)

    async with (
        anyio.create_task_group() as watchers,
        anyio.create_task_group() as group,
    ):
        endpoint = await group.start(serve_platform, platform, Endpoint("127.0.0.1", 0))
        client = PlatformClient.from_url(f"http://{endpoint}")
        watchers.start_soon(watch, client)
        while platform.write_event is None:
            await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    await client.aclose()
    assert len(failures) == 1
    assert not [record for record in caplog.records if record.levelname == "ERROR"]


async def test_versions_increase_after_a_restore_from_backup():
    """After a restore from a backup the service assigns version 2 a second time."""
    platform = MemoryPlatform()
    async with client_of(platform) as client:
        await client.put("head", b"one", ABSENT)
        copy = platform.backup()
        lost = await client.put("head", b"lost", 1)
        platform.restore(copy)
        before = await client.get("head")
        made = await client.put("head", b"made", before.version)
        assert (await client.get("head")).value == b"made"
        assert lost < before.version < made
        with pytest.raises(VersionMismatchError):
            await client.put("head", b"late", lost)


async def test_watch_returns_at_once_after_a_restore_from_backup():
    """A watch starts from a version that the service lost in a restore from a backup.

    Without the epoch it would wait until the service has reached that version again.
    """
    platform = MemoryPlatform()
    async with client_of(platform) as client:
        await client.put("head", b"one", ABSENT)
        copy = platform.backup()
        lost = await client.put("head", b"lost", 1)
        platform.restore(copy)
        with anyio.fail_after(1.0):
            assert (await client.watch("head", lost)).value == b"one"
