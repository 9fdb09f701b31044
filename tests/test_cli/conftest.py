"""Fixtures: administration APIs of hosts on real sockets."""

from __future__ import annotations

from contextlib import ExitStack
from dataclasses import dataclass

import pytest
from anyio.from_thread import start_blocking_portal

from citronspring.cli.main import main
from citronspring.entities import Endpoint
from citronspring.serving import serve_application
from tests.test_admin.hosts import ApiHarness, make_settings


@dataclass
class AnswerLosingApplication:
    """Processes all requests, but loses some responses to changes."""

    application: object
    losses: int = 0

    async def __call__(self, scope, receive, send):
        if scope["method"] == "GET" or self.losses == 0:
            await self.application(scope, receive, send)
            return
        self.losses -= 1

        async def lose(message):
            pass

        await self.application(scope, receive, lose)
        raise ConnectionError("the response is lost")


@dataclass
class ServedApi:
    """The API of a host on a real socket, and the command line as its client."""

    harness: ApiHarness
    losing: AnswerLosingApplication
    url: str
    capsys: pytest.CaptureFixture[str]

    def run(self, *words, code=0):
        """Run a command, check its exit code and return its two output streams."""
        exit_code = main([*words, f"--host={self.url}"])
        out, err = self.capsys.readouterr()
        assert exit_code == code, (out, err)
        return out, err


@pytest.fixture
def portal():
    with start_blocking_portal() as portal:
        yield portal


@pytest.fixture
def serve(portal, capsys, monkeypatch):
    monkeypatch.setattr("citronspring.cli.client.MAX_RETRY_DELAY", 0.01)
    with ExitStack() as stack:

        def start(settings=None):
            harness = ApiHarness.make(settings or make_settings())
            losing = AnswerLosingApplication(harness.application)
            future, endpoint = portal.start_task(
                serve_application, losing, Endpoint("127.0.0.1", 0)
            )
            stack.callback(future.cancel)
            return ServedApi(harness, losing, f"http://{endpoint}", capsys)

        yield start


@pytest.fixture
def served(serve):
    return serve()
