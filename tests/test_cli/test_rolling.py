"""Rolling replacement of all hosts under traffic, with the command line only."""

from __future__ import annotations

import json
import random
import subprocess
import sys
from collections import Counter
from dataclasses import dataclass, field

import anyio
import pytest
import tomli_w

from citronspring.configuration.store import ConfigurationStore
from citronspring.entities import Endpoint
from citronspring.key_value.http import PlatformClient
from citronspring.standins.loopback import Loopback
from citronspring.standins.memory import MemoryPlatform
from citronspring.standins.platform import serve_platform
from citronspring.standins.sample_configuration import (
    SYSTEM_ZONES,
    TARGETS_PER_ACCOUNT,
    TEMPLATE,
    TEMPLATE_NAME,
    account_parameters,
)
from citronspring.standins.service import Outcome, Request, RequestKind
from citronspring.systems.revisions import PLACEMENT_DELAY

pytestmark = pytest.mark.anyio

PROGRAM = (sys.executable, "-m", "citronspring")

#: Time after which the fabric has detected that a host is leaving, seconds.
FABRIC_LAG = 1.0


@dataclass
class Rolling:
    """Host processes, traffic through them, and commands to replace them."""

    system: Loopback
    url: str
    folder: object
    running: dict = field(default_factory=dict)
    processes: dict = field(default_factory=dict)
    admin: dict = field(default_factory=dict)
    sessions: list = field(default_factory=list)

    async def start_host(self, section, peers):
        settings = self.system.make_settings(section, peers, self.url)
        path = self.folder / f"{section.id}.toml"
        tables = settings.model_dump(
            mode="json", exclude_none=True, exclude_defaults=True
        )
        path.write_text(tomli_w.dumps(tables))
        command = [*PROGRAM, "serve", f"--settings={path}"]
        self.processes[section.id] = subprocess.Popen(
            command, stderr=(self.folder / f"{section.id}.log").open("w")
        )
        self.running[section.id] = section
        self.admin[section.id] = f"http://{settings.admin.listen}"
        await self.wait_for(section.id, lambda status: True)

    async def wait_for(self, host_id, condition):
        with anyio.fail_after(30):
            while True:
                done = await self.run(
                    "status", "--output=json", f"--host={self.admin[host_id]}"
                )
                if done.returncode == 0 and condition(json.loads(done.stdout)):
                    return
                log = (self.folder / f"{host_id}.log").read_text()
                assert self.processes[host_id].poll() is None, log
                await anyio.sleep(0.1)

    async def run(self, *words):
        return await anyio.run_process([*PROGRAM, *words], check=False)

    async def change(self, *words):
        hosts = [f"--host={self.admin[host_id]}" for host_id in self.running]
        done = await self.run(*words, *hosts)
        return done.returncode, done.stdout.decode() + done.stderr.decode()

    def account_file(self, account_id, rate=10_000.0):
        parameters = account_parameters(
            account_id, TARGETS_PER_ACCOUNT[account_id], port=self.system.tunnel_port
        )
        body = {
            "template": TEMPLATE_NAME,
            "parameters": parameters | {"new_per_second": rate},
        }
        path = self.folder / f"{account_id}-{rate}.json"
        path.write_text(json.dumps(body))
        return str(path)

    async def set_up(self):
        path = self.folder / "template.json"
        path.write_text(json.dumps(TEMPLATE))
        assert (await self.change("template", "put", str(path)))[0] == 0
        for account_id in TARGETS_PER_ACCOUNT:
            put = ("account", "put", account_id, self.account_file(account_id))
            code, text = await self.change(*put)
            assert code == 0, text

    async def replace(self, section, replacement):
        """Start a replacement, drain a host and return the exit code of its process."""
        peers = list(self.running.values())
        await self.start_host(replacement, peers)
        self.system.fabric.hosts.append(replacement.tunnel)
        del self.running[section.id]
        drained = await self.run("host", "drain", self.admin[section.id])
        assert drained.returncode == 0, drained.stderr
        await anyio.sleep(FABRIC_LAG)
        self.system.fabric.hosts.remove(section.tunnel)
        process = self.processes[section.id]
        return await anyio.to_thread.run_sync(process.wait, 60)

    def open(self, account, kind, size, rate):
        name = f"{account.account_id}-{len(self.sessions)}"
        request = Request(name, kind, size, rate)
        self.sessions.append(self.system.caller.open(account.addresses[0], request))

    async def arrive(self, accounts, rng):
        while True:
            kind = rng.choice(list(RequestKind))
            self.open(rng.choice(accounts), kind, rng.randint(2000, 12_000), 8000.0)
            await anyio.sleep(rng.expovariate(20.0))


async def test_all_hosts_are_replaced_while_two_operators_change_an_account(tmp_path):
    """All hosts are replaced, one after the other, while callers have open flows.

    Each leaving host hands its flows over and exits by itself. Meanwhile two operators
    put one account from the same revision, and one of them gets a conflict. No upload,
    preview or correction breaks, none runs twice, and none that was refused ran.
    """
    rng = random.Random(5)
    async with anyio.create_task_group() as group:
        anywhere = Endpoint("127.0.0.1", 0)
        platform = await group.start(serve_platform, MemoryPlatform(), anywhere)
        url = f"http://{platform}"
        system = Loopback(group, rng, SYSTEM_ZONES)
        rolling = Rolling(system, url, tmp_path)
        await system.start()
        sections = system.make_host_sections(6)
        try:
            for section in sections[:3]:
                await rolling.start_host(section, sections[:3])
            await rolling.set_up()
            async with PlatformClient.from_url(url) as client:
                store = ConfigurationStore.from_platform(client, SYSTEM_ZONES)
                snapshot = await store.read_snapshot()
            await system.add_targets(snapshot)
            system.fabric.hosts += [section.tunnel for section in sections[:3]]
            for section in sections[:3]:
                await rolling.wait_for(
                    section.id,
                    lambda status: status["revision"] == snapshot.revision,
                )
            await anyio.sleep(PLACEMENT_DELAY + 1)
            for account in snapshot.accounts:
                rolling.open(account, RequestKind.UPLOAD, 150_000, 10_000.0)
                rolling.open(account, RequestKind.PREVIEW, 150_000, 10_000.0)
            codes, operators = [], []

            async def operate(rate):
                path = rolling.account_file("bundelpers", rate)
                words = ("account", "put", "bundelpers", path, "--if_revision=2")
                operators.append(await rolling.change(*words))

            async with anyio.create_task_group() as traffic:
                traffic.start_soon(rolling.arrive, snapshot.accounts, rng)
                for old, new in zip(sections[:3], sections[3:], strict=True):
                    codes.append(await rolling.replace(old, new))
                    if old is sections[0]:
                        async with anyio.create_task_group() as both:
                            both.start_soon(operate, 9000.0)
                            both.start_soon(operate, 9001.0)
                traffic.cancel_scope.cancel()
            with anyio.move_on_after(20):
                while any(session.outcome is None for session in rolling.sessions):
                    await anyio.sleep(0.1)
        finally:
            for process in rolling.processes.values():
                process.kill()
        group.cancel_scope.cancel()
    outcomes = Counter(
        session.outcome.value if session.outcome else "unfinished"
        for session in rolling.sessions
    )
    assert codes == [0, 0, 0]
    assert sorted(code for code, _ in operators) == [0, 5]
    assert set(outcomes) <= {"whole", "refused"}, outcomes
    assert outcomes["whole"] > outcomes["refused"]
    runs = Counter(request_id for request_id, _ in system.executed)
    assert max(runs.values()) == 1
    refused = [
        session.request.request_id
        for session in rolling.sessions
        if session.outcome is Outcome.REFUSED
    ]
    assert not runs.keys() & set(refused)
