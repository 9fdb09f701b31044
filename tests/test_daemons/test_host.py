"""The host daemon on real sockets."""

from __future__ import annotations

import random

import anyio
import pytest

from citronspring.daemons.host import HostDaemon
from citronspring.standins.loopback import Loopback
from citronspring.standins.service import Outcome, Request, RequestKind
from tests.conftest import ZONES, StaticConfiguration

pytestmark = pytest.mark.anyio


async def test_upload_and_preview_complete(snapshot):
    async with anyio.create_task_group() as group:
        system = Loopback(group, random.Random(1), ZONES)
        await system.start()
        await system.add_targets(snapshot)
        sections = system.make_host_sections(3)
        for section in sections:
            settings = system.make_settings(section, sections, "http://127.0.0.1:1")
            daemon = HostDaemon.from_settings(settings, StaticConfiguration(snapshot))
            await system.add_host(daemon)
        address = snapshot.accounts[0].addresses[0]
        sessions = [
            system.caller.open(
                address, Request("upload", RequestKind.UPLOAD, 50_000, 1e6)
            ),
            system.caller.open(
                address, Request("preview", RequestKind.PREVIEW, 50_000, 1e6)
            ),
        ]
        with anyio.fail_after(20):
            while any(session.outcome is None for session in sessions):
                await anyio.sleep(0.02)
        group.cancel_scope.cancel()
    assert [session.outcome for session in sessions] == [Outcome.COMPLETED] * 2
    assert sorted(request for request, _ in system.executed) == ["preview", "upload"]
