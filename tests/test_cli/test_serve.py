"""A host process, operated by the command line over real sockets."""

from __future__ import annotations

import json
import signal
import subprocess
import sys

import anyio
import pytest
import tomli_w

from citronspring.entities import Endpoint
from citronspring.standins.memory import MemoryPlatform
from citronspring.standins.platform import serve_platform
from soak.hosts import loopback_net
from tests.test_admin.hosts import EXAMPLES

pytestmark = pytest.mark.anyio

PROGRAM = (sys.executable, "-m", "citronspring")
TUNNEL, RELAY, CONTROL, ADMIN = 6080, 6081, 6082, 6083


def write_settings(path, platform):
    """Write the settings of a host; return the URL of its administration API."""
    # On a shared address another test's connection could hold one of the ports.
    ip = f"{loopback_net()}.250"
    settings = {
        "host": {
            "id": "drukkerij-1",
            "zone": "drukkerij",
            "tunnel": f"{ip}:{TUNNEL}",
            "relay": f"{ip}:{RELAY}",
            "control": f"{ip}:{CONTROL}",
        },
        "fabric": {"gateway": "127.0.0.2:6080"},
        "platform": {
            "url": f"http://{platform}",
            "zones": ["drukkerij", "zetterij", "pakhuis"],
        },
        "admin": {"listen": f"{ip}:{ADMIN}"},
    }
    path.write_text(tomli_w.dumps(settings))
    return f"http://{ip}:{ADMIN}"


async def run(*words):
    """Run a command; return its exit code, output and error output."""
    done = await anyio.run_process([*PROGRAM, *words], check=False)
    return done.returncode, done.stdout.decode(), done.stderr.decode()


async def wait_for(host, process):
    """Wait until the host answers; fail at once if its process has ended."""
    with anyio.fail_after(30):
        while (await run("status", f"--host={host}"))[0] != 0:
            assert process.poll() is None, process.stderr.read()
            await anyio.sleep(0.1)


async def test_host_is_operated_and_stopped_from_the_command_line(tmp_path):
    """An operator sets up an account, dumps the state of a host and drains it.

    The host process serves the API in its event loop, beside its packets. After the
    drain it exits by itself with code 0, and a command then reports in one line that
    no host is reachable.
    """
    async with anyio.create_task_group() as group:
        anywhere = Endpoint("127.0.0.1", 0)
        platform = await group.start(serve_platform, MemoryPlatform(), anywhere)
        host = write_settings(tmp_path / "host.toml", platform)
        process = subprocess.Popen(
            [*PROGRAM, "serve", f"--settings={tmp_path / 'host.toml'}"],
            stderr=subprocess.PIPE,
        )
        try:
            await wait_for(host, process)
            stream, account = EXAMPLES / "stream.toml", EXAMPLES / "bundelpers.toml"
            put = await run("template", "put", str(stream), f"--host={host}")
            assert put[0] == 0, put
            put = await run(
                "account", "put", "bundelpers", str(account), f"--host={host}"
            )
            assert put[0] == 0, put
            code, out, _ = await run("dump", host)
            assert (code, json.loads(out)["host"]) == (0, "drukkerij-1")
            process.send_signal(signal.SIGUSR1)
            assert (await run("host", "drain", host))[0] == 0
            _, err = await anyio.to_thread.run_sync(process.communicate, None, 30)
        finally:
            process.kill()
        group.cancel_scope.cancel()
    assert process.returncode == 0
    events = [json.loads(line)["event"] for line in err.decode().splitlines()]
    wanted = ["started", "change-accepted", "state-dump", "leaving", "stopped"]
    assert [event for event in events if event in wanted] == [
        "started",
        "change-accepted",
        *wanted[1:],
    ]
    code, _, text = await run("status", f"--host={host}")
    assert code == 7
    assert len(text.splitlines()) == 1
