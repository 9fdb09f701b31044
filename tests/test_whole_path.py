"""End to end: separate processes, real sockets, configuration from the platform."""

from __future__ import annotations

import os
import random
import signal
import subprocess
import sys
import time

import anyio
import pytest
import tomli_w

from citronspring.configuration.store import ConfigurationStore
from citronspring.entities import Endpoint
from citronspring.key_value.http import PlatformClient
from citronspring.standins.loopback import Loopback
from citronspring.standins.memory import MemoryPlatform
from citronspring.standins.platform import serve_platform
from citronspring.standins.sample_configuration import SYSTEM_ZONES, Operator
from citronspring.standins.service import Outcome, Request, RequestKind

pytestmark = pytest.mark.anyio

#: Any free port, so that two runs on one machine do not conflict.
PLATFORM = Endpoint("127.0.3.9", 0)


def write_settings(path, system, section, sections, url):
    settings = system.make_settings(section, sections, url)
    tables = settings.model_dump(mode="json", exclude_none=True, exclude_defaults=True)
    path.write_text(tomli_w.dumps(tables))
    return path


def start_host(path):
    command = [sys.executable, "-m", "citronspring", "serve", f"--settings={path}"]
    return subprocess.Popen(command, stdout=subprocess.DEVNULL, env=os.environ)


async def test_upload_through_three_serve_processes(tmp_path):
    """An upload and a preview run through three separate host processes.

    The fabric spreads their packets over the hosts at random. Each host relays to the
    owner of the flow, which forwards to a target. Both requests complete correctly, and
    each process exits gracefully on SIGTERM with code 0.
    """
    async with anyio.create_task_group() as group:
        url = f"http://{await group.start(serve_platform, MemoryPlatform(), PLATFORM)}"
        system = Loopback(group, random.Random(3), SYSTEM_ZONES)
        async with PlatformClient.from_url(url) as client:
            store = ConfigurationStore.from_platform(client, SYSTEM_ZONES)
            await Operator(store, time.time).set_up(system.tunnel_port)
            snapshot = await store.read_snapshot()
        await system.start()
        await system.add_targets(snapshot)
        sections = system.make_host_sections(3)
        processes = [
            start_host(
                write_settings(tmp_path / section.id, system, section, sections, url)
            )
            for section in sections
        ]
        try:
            system.fabric.hosts += [section.tunnel for section in sections]
            address = snapshot.accounts[0].addresses[0]
            sessions = [
                system.caller.open(address, Request(kind.value, kind, 50_000, 1e6))
                for kind in (RequestKind.UPLOAD, RequestKind.PREVIEW)
            ]
            with anyio.fail_after(30):
                while any(session.outcome is None for session in sessions):
                    await anyio.sleep(0.05)
            for process in processes:
                process.send_signal(signal.SIGTERM)
            codes = [
                await anyio.to_thread.run_sync(process.wait, 20)
                for process in processes
            ]
        finally:
            for process in processes:
                process.kill()
        group.cancel_scope.cancel()
    assert [session.outcome for session in sessions] == [Outcome.COMPLETED] * 2
    assert codes == [0, 0, 0]
