"""Run several store calls concurrently, one platform call at a time."""

from __future__ import annotations

import types

from citronspring.configuration.changes import PutAccount, PutTemplate
from citronspring.configuration.runner import run_in_place
from citronspring.configuration.shards import HEAD, HEAD_KEY, Head, decode
from citronspring.configuration.store import ConfigurationStore
from citronspring.errors import CitronspringError
from citronspring.standins.memory import MemoryPlatform

ZONES = ("pakhuis", "zetterij")

TEMPLATE = {
    "name": "web",
    "parameters": {
        "ip": {"type": "address"},
        "targets": {"type": "targets", "default": []},
        "zones": {"type": "zones", "default": ["pakhuis", "zetterij"]},
        "limit": {"type": "integer", "default": 100, "minimum": 1, "maximum": 1000},
    },
    "body": {
        "addresses": [{"ip": "{ip}", "port": 443}],
        "targets": "{targets}",
        "zones": "{zones}",
        "limits": {"max_connections": "{limit}"},
        "target_defaults": {"slots": 3},
    },
}


@types.coroutine
def pause(call):
    yield call


class SteppedPlatform:
    """Pauses before each call, so that a test determines the order of calls."""

    def __init__(self, platform: MemoryPlatform) -> None:
        self.platform = platform

    async def get(self, key):
        await pause(("get", key))
        return await self.platform.get(key)

    async def put(self, key, value, expected):
        await pause(("put", key))
        return await self.platform.put(key, value, expected)

    async def delete(self, key):
        await pause(("delete", key))
        await self.platform.delete(key)


class SteppedCall:
    """A call of a store that runs step by step, pausing before each platform call."""

    def __init__(self, coroutine) -> None:
        self.coroutine = coroutine
        self.next_call = None
        self.result = None
        self.error = None
        self.done = False
        #: Whether it has reached its first write; set by the tests that need it.
        self.writing = False
        self.step()

    def step(self) -> None:
        """Run the paused platform call, and pause before the next one."""
        try:
            self.next_call = self.coroutine.send(None)
        except StopIteration as stop:
            self.done, self.result = True, stop.value
        except CitronspringError as error:
            self.done, self.error = True, error

    def run_to(self, operation: str, key: str) -> None:
        """Run until the given platform call is the next one."""
        while self.next_call != (operation, key):
            assert not self.done, self.error
            self.step()

    def finish(self) -> SteppedCall:
        """Run until the call is done."""
        while not self.done:
            self.step()
        return self


def call(coroutine):
    """Run a call until it is done; return its result or raise its error."""
    stepped_call = SteppedCall(coroutine).finish()
    if stepped_call.error is not None:
        raise stepped_call.error
    return stepped_call.result


def make_store(platform: MemoryPlatform) -> ConfigurationStore:
    """Return the store of another process."""
    stepped = SteppedPlatform(platform)
    return ConfigurationStore.from_platform(stepped, ZONES, run_in_place)


def make_platform() -> MemoryPlatform:
    """Return a platform that contains the template, at revision 1."""
    platform = MemoryPlatform()
    call(make_store(platform).commit(put_template("0-web"), 0.0))
    return platform


def head_of(platform: MemoryPlatform) -> Head:
    """Return the platform's current head."""
    return decode(HEAD, platform.values[HEAD_KEY][-1].value)


def revision_of(platform: MemoryPlatform) -> int:
    """Return the platform's current revision."""
    return head_of(platform).revision


def put_template(change_id: str, **changes) -> PutTemplate:
    template = {**TEMPLATE, **changes}
    return PutTemplate(change_id=change_id, author="anna", template=template)


def put(change_id: str, account_id: str = "bundelpers", **options) -> PutAccount:
    """Return a change of an account; other options are parameters."""
    author = options.pop("author", "anna")
    if_revision = options.pop("if_revision", None)
    options.setdefault("ip", "192.0.2.1")
    return PutAccount(
        change_id=change_id,
        author=author,
        if_revision=if_revision,
        account_id=account_id,
        template="web",
        parameters=options,
    )


def target(number: int, **options) -> dict:
    return {
        "target_id": f"t{number}",
        "tunnel": f"10.0.0.{number}:6080",
        "zone": "pakhuis",
        **options,
    }
