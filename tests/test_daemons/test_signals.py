"""Signals handled by a host process."""

from __future__ import annotations

import json
import os
import random
import signal

import anyio
import pytest

from citronspring.daemons.host import HostDaemon, watch_signals
from citronspring.standins.loopback import Loopback
from tests.conftest import ZONES, StaticConfiguration

pytestmark = pytest.mark.anyio


async def test_sigusr1_dumps_the_state_and_serving_goes_on(snapshot, capsys):
    """An operator requests the state of a running host.

    SIGUSR1 arrives while the process serves. Its default action would kill the process
    and break every flow; instead, one line of JSON is written to standard error.
    """
    async with anyio.create_task_group() as group:
        system = Loopback(group, random.Random(1), ZONES)
        (section,) = system.make_host_sections(1)
        settings = system.make_settings(section, [section], "http://127.0.0.1:1")
        daemon = HostDaemon.from_settings(settings, StaticConfiguration(snapshot))
        await group.start(daemon.run)
        await group.start(watch_signals, daemon)
        os.kill(os.getpid(), signal.SIGUSR1)
        state = None
        with anyio.fail_after(10):
            while state is None:
                await anyio.sleep(0.01)
                state = find_state(capsys.readouterr().err)
        assert not daemon.stopping.is_set()
        group.cancel_scope.cancel()
    assert state["host"] == section.id
    assert set(state["accounts"]) == {"bundelpers", "inzendloket"}
    assert state["timings_seconds"]["opening_time"]["count"] == 0


def find_state(text):
    for line in text.splitlines():
        if line.startswith("{"):
            return json.loads(line)["state"]
    return None
