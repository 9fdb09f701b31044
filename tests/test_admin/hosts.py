"""Harness for the administration API of a host without sockets."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field
from pathlib import Path

import httpx

from citronspring.admin.application import make_application
from citronspring.configuration.store import ConfigurationStore
from citronspring.metrics import MeasuredBalancer
from citronspring.settings import Settings
from citronspring.standins.memory import MemoryPlatform
from tests.conftest import ZONES, make_host

EXAMPLES = Path(__file__).parent.parent.parent / "examples" / "de-waterlelie"

READ_TOKEN = "read-" + "r" * 20
OPERATE_TOKEN = "operate-" + "o" * 20


def read_example(name):
    return tomllib.loads((EXAMPLES / f"{name}.toml").read_text())


def make_settings(tokens=(), **admin):
    host = make_host(0)
    return Settings.model_validate(
        {
            "host": {
                "id": host.host_id,
                "zone": host.zone,
                "tunnel": host.tunnel,
                "relay": host.relay,
                "control": host.control,
            },
            "fabric": {"gateway": "127.0.9.1:6080"},
            "platform": {"url": "http://127.0.0.1:1", "zones": ZONES},
            "admin": {"tokens": tokens, **admin},
        }
    )


def two_tokens(folder):
    """Write a read token and an operate token; return their settings sections."""
    sections = []
    for role, value in (("read", READ_TOKEN), ("operate", OPERATE_TOKEN)):
        path = folder / role
        path.write_text(f"{value}\n")
        sections.append({"name": f"{role}er", "role": role, "file": str(path)})
    return tuple(sections)


@dataclass
class FakeHost:
    settings: Settings
    core: MeasuredBalancer
    now: float = 100.0
    left: list[float] = field(default_factory=list)

    def clock(self):
        return self.now

    def leave(self):
        self.left.append(self.now)
        self.core.tables.leave_deadline = self.now + 30.0

    def dump(self):
        return self.core.dump()


@dataclass
class ApiHarness:
    """The API of one host, with an in-memory platform."""

    host: FakeHost
    platform: MemoryPlatform
    store: object
    application: object

    @classmethod
    def make(cls, settings=None, store=None):
        settings = settings or make_settings()
        core = MeasuredBalancer.from_config(make_host(0), [make_host(1), make_host(2)])
        host = FakeHost(settings, core)
        platform = MemoryPlatform()
        store = store or ConfigurationStore.from_platform(platform, ZONES)
        return cls(host, platform, store, make_application(host, store))

    def client(self, token=None):
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        transport = httpx.ASGITransport(self.application)
        return httpx.AsyncClient(
            transport=transport, base_url="http://host", headers=headers
        )


async def put_examples(client):
    """Put the example template and both accounts; return the last response."""
    body = {"template": read_example("stream")}
    answer = await client.put("/v1/templates/stream", json=body)
    assert answer.status_code == 200, answer.text
    for account in ("bundelpers", "inzendloket"):
        answer = await client.put(f"/v1/accounts/{account}", json=read_example(account))
        assert answer.status_code == 200, answer.text
    return answer.json()


def assert_problem(answer, status, kind):
    assert answer.status_code == status, answer.text
    assert answer.headers["content-type"] == "application/problem+json"
    body = answer.json()
    assert body["kind"] == kind
    assert body["status"] == status
    assert body["detail"]
    return body
