"""The in-memory platform: compare-and-swap, watches and switches."""

from __future__ import annotations

import anyio
import pytest

from citronspring.errors import (
    ConfigurationError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    VersionMismatchError,
)
from citronspring.key_value.counting import CountingPlatform
from citronspring.key_value.port import ABSENT, MAX_VALUE_BYTES, HostList
from citronspring.standins.memory import MemoryPlatform, Switches

pytestmark = pytest.mark.anyio


async def test_compare_and_swap():
    platform = MemoryPlatform()
    first = await platform.put("key", b"one", ABSENT)
    second = await platform.put("key", b"two", first)
    assert second > first
    for expected in (ABSENT, first, second + 1):
        with pytest.raises(VersionMismatchError):
            await platform.put("key", b"three", expected)
    stored = await platform.get("key")
    assert (stored.value, stored.version) == (b"two", second)


async def test_recreated_key_gets_a_higher_version():
    """A key is deleted and recreated while a writer still has its old version.

    If versions started again, the writer's compare-and-swap would replace a value
    that it has never seen.
    """
    platform = MemoryPlatform()
    first = await platform.put("key", b"one", ABSENT)
    await platform.delete("key")
    await platform.put("key", b"two", ABSENT)
    with pytest.raises(VersionMismatchError):
        await platform.put("key", b"three", first)


async def test_values_are_bounded():
    platform = MemoryPlatform()
    with pytest.raises(ConfigurationError, match="bytes"):
        await platform.put("key", bytes(MAX_VALUE_BYTES + 1), ABSENT)
    assert await platform.get("key") is None


async def test_lost_answer_and_lost_request_raise_the_same_error():
    """A write takes effect without an answer, another is lost before its effect.

    Both raise the same error, so only a read shows whether the write took effect.
    """
    platform = MemoryPlatform(Switches(lost_answers=1))
    with pytest.raises(OutcomeUnknownError):
        await platform.put("done", b"1", ABSENT)
    platform.switches.lost_requests = 1
    with pytest.raises(OutcomeUnknownError):
        await platform.put("lost", b"1", ABSENT)
    assert await platform.get("done") is not None
    assert await platform.get("lost") is None


async def test_stale_reads_run_out():
    platform = MemoryPlatform(Switches(stale_reads=2, stale_by=2))
    version = ABSENT
    for value in (b"1", b"2", b"3"):
        version = await platform.put("key", value, version)
    values = [(await platform.get("key")).value for _ in range(3)]
    assert values == [b"1", b"1", b"3"]


async def test_watch_waits_for_a_newer_version():
    platform = MemoryPlatform()
    version = await platform.put("key", b"1", ABSENT)
    seen = []

    async def watch():
        seen.append((await platform.watch("key", version)).value)

    async with anyio.create_task_group() as group:
        group.start_soon(watch)
        await anyio.wait_all_tasks_blocked()
        assert seen == []
        await platform.put("other", b"1", ABSENT)
        await anyio.wait_all_tasks_blocked()
        assert seen == []
        await platform.put("key", b"2", version)
    assert seen == [b"2"]


async def test_an_outage_ends_watches_and_refuses_calls():
    """An outage begins while a reader waits in a watch.

    The watch has to fail at once: if it stayed pending after the outage, it would
    never report later changes.
    """
    platform = MemoryPlatform()
    failures = []

    async def watch():
        try:
            await platform.watch("key", ABSENT)
        except PlatformUnavailableError as error:
            failures.append(error)

    async with anyio.create_task_group() as group:
        group.start_soon(watch)
        await anyio.wait_all_tasks_blocked()
        platform.set_switches(Switches(outage=True))
        await anyio.wait_all_tasks_blocked()
        group.cancel_scope.cancel()
    assert len(failures) == 1
    with pytest.raises(PlatformUnavailableError):
        await platform.get("key")


async def test_stale_host_list_returns_the_old_hosts():
    platform = MemoryPlatform()
    platform.set_hosts(frozenset({"a"}), frozenset())
    platform.set_switches(Switches(stale_hosts=True))
    platform.set_hosts(frozenset({"b"}), frozenset({"a"}))
    assert await platform.list_hosts() == HostList(frozenset({"a"}))
    platform.set_switches(Switches())
    assert (await platform.list_hosts()).live == {"b"}


async def test_delay_uses_the_injected_sleep():
    delays = []

    async def sleep(seconds):
        delays.append(seconds)

    platform = MemoryPlatform(Switches(delay=3.0), sleep)
    await platform.get("key")
    assert delays == [3.0]


async def test_failed_calls_are_counted_too():
    counting = CountingPlatform(MemoryPlatform())
    version = await counting.put("key", b"four", ABSENT)
    with pytest.raises(VersionMismatchError):
        await counting.put("key", b"four", version + 1)
    await counting.get("key")
    await counting.watch("key", ABSENT)
    await counting.list_hosts()
    await counting.delete("key")
    assert counting.counts.total == 6
    assert counting.counts.calls["put"] == 2
    assert counting.counts.bytes_written == 8
    assert counting.counts.bytes_read == 8
