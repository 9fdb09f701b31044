"""The prober with health endpoints on real sockets."""

from __future__ import annotations

from dataclasses import replace

import anyio
import httpx
import pytest

from citronspring.daemons import prober as prober_module
from citronspring.daemons.prober import Prober
from citronspring.entities import Endpoint, Snapshot
from citronspring.messages import ProbeResult, ProbeTarget
from citronspring.standins.health_endpoint import HealthEndpoint, serve_health
from tests.conftest import StaticConfiguration
from tests.test_daemons.test_control import start_hosts
from tests.test_systems.driver import with_targets

pytestmark = pytest.mark.anyio

ANY_PORT = Endpoint("127.0.0.1", 0)


async def probe_all(healths, extra=None, rounds=1):
    """Probe endpoints by name in several rounds; return the results."""
    results = []
    endpoints = dict(extra or {})
    prober = Prober(endpoints.get, results.append)
    async with anyio.create_task_group() as group:
        for name, health in healths.items():
            endpoints[name] = await group.start(serve_health, health, ANY_PORT)
        group.start_soon(prober.run)
        for number in range(rounds):
            for name in endpoints:
                prober.request(ProbeTarget(name))
            with anyio.fail_after(30):
                while len(results) < (number + 1) * len(endpoints):
                    await anyio.sleep(0.005)
        group.cancel_scope.cancel()
    prober.close()
    return results


async def test_answers_are_reported():
    healths = {
        "sound": HealthEndpoint(read_load=lambda: 0.5),
        "sick": HealthEndpoint(is_healthy=lambda: False),
        "liar": HealthEndpoint(inverted=True),
    }
    results = {item.target_id: item for item in await probe_all(healths)}
    assert results["sound"] == ProbeResult("sound", True, 0.5)
    assert not results["sick"].healthy
    assert not results["liar"].healthy


async def test_slow_endpoint_reports_an_old_state():
    states = iter([True, True, False, False, False])
    health = HealthEndpoint(is_healthy=lambda: next(states), lag=2)
    results = await probe_all({"late": health}, rounds=5)
    assert [item.healthy for item in results] == [True, True, True, True, False]


async def test_failed_probe_counts_as_unhealthy():
    """A target that hangs, has stopped or answers invalidly is not reported healthy.

    Its probe ends within the timeout, in one of a few tasks; the others continue.
    """
    healths = {
        "hangs": HealthEndpoint(delay=60.0),
        "nonsense": HealthEndpoint(read_load=lambda: -1.0),
        "endless": HealthEndpoint(read_load=lambda: "9" * 10_000),
        "sound": HealthEndpoint(),
    }
    gone = {"gone": Endpoint("127.0.0.1", 1)}
    results = await probe_all(healths, gone)
    healthy = {item.target_id for item in results if item.healthy}
    assert healthy == {"sound"}
    assert len(results) == 5


async def test_error_status_and_endless_answer_are_unhealthy():
    """An endless answer costs a few kilobytes of memory."""
    chunks = []

    async def endless():
        while len(chunks) < 1000:
            chunks.append(b" " * 1024)
            yield chunks[-1]

    def answer(request):
        if request.url.port == 1:
            return httpx.Response(503, json={"healthy": True})
        return httpx.Response(200, content=endless())

    prober = Prober(lambda name: Endpoint("127.0.0.1", int(name)), [].append)
    async with httpx.AsyncClient(transport=httpx.MockTransport(answer)) as client:
        assert await prober.probe(client, "1") == ProbeResult("1", False)
        assert await prober.probe(client, "2") == ProbeResult("2", False)
    assert len(chunks) < 10
    prober.close()


async def test_probes_are_limited_and_one_per_target(monkeypatch):
    monkeypatch.setattr(prober_module, "MAX_QUEUED", 3)
    prober = Prober({}.get, [].append)
    for name in ("a", "a", "b", "c", "d", "e"):
        prober.request(ProbeTarget(name))
    assert prober.pending == {"a", "b", "c"}
    assert prober.dropped == 2
    prober.close()


async def test_target_that_was_removed_meanwhile_is_not_asked():
    prober = Prober(lambda target_id: None, [].append)
    async with httpx.AsyncClient() as client:
        assert await prober.probe(client, "gone") is None
    prober.close()


async def test_probe_results_reach_the_core(snapshot):
    """The answer of a target's health endpoint reaches the host's core."""
    async with anyio.create_task_group() as group:
        health_endpoint = await group.start(
            serve_health, HealthEndpoint(inverted=True), ANY_PORT
        )
        [first, *others] = snapshot.accounts[0].targets
        account = with_targets(
            snapshot.accounts[0], [replace(first, health=health_endpoint), *others]
        )
        source = StaticConfiguration(Snapshot(1, (account,)))
        [daemon] = await start_hosts(group, [source])
        row = daemon.core.tables.targets[first.target_id]
        daemon.application.emit("action", ProbeTarget(first.target_id))
        with anyio.fail_after(30):
            while row.health.prober_reports is None:
                await anyio.sleep(0.005)
        [report] = row.health.prober_reports.values()
        assert not report.healthy
        group.cancel_scope.cancel()
