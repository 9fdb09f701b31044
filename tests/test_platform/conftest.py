"""Host processes for the tests of the program as it runs on the platform."""

from __future__ import annotations

import signal

import pytest

from soak.store import serve
from tests.test_platform.process import Host, eventually


@pytest.fixture
def host(tmp_path):
    host = Host(tmp_path)
    with serve(host.store) as port:
        host.store_port = port
        host.start(port)
        try:
            yield host
        finally:
            if host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
            host.process.wait()
            host.target.close()
            host.caller.close()


@pytest.fixture
def serving(host):
    host.configure()
    eventually(lambda: host.status() == 200)
    return host
