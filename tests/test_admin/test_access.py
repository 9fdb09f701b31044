"""Access to the API: tokens, roles, rates, limits of bodies, unexpected exceptions."""

from __future__ import annotations

import hmac
import json

import anyio
import pytest
import structlog
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from citronspring.admin.application import OPERATIONS
from citronspring.admin.problems import STATUS_BY_KIND
from citronspring.errors import SettingsError
from citronspring.logs import configure_logs
from citronspring.settings import LogsSection
from tests.test_admin.hosts import (
    OPERATE_TOKEN,
    READ_TOKEN,
    ApiHarness,
    assert_problem,
    make_settings,
    put_examples,
    two_tokens,
)

pytestmark = pytest.mark.anyio


@pytest.fixture
def harness(tmp_path):
    return ApiHarness.make(make_settings(two_tokens(tmp_path)))


@pytest.mark.parametrize("operation", OPERATIONS, ids=lambda item: item.path)
async def test_every_operation_needs_a_token_and_its_role(harness, operation):
    path = operation.path.replace("{", "").replace("}", "")
    for token in (None, "wrong", READ_TOKEN[:-1], "é" * 20):
        async with harness.client() as client:
            headers = {"Authorization": f"Bearer {token}".encode("latin-1")}
            answer = await client.request(
                operation.method, path, headers=headers if token else {}
            )
            assert_problem(answer, 401, "unauthorized")
            assert answer.headers["www-authenticate"] == "Bearer"
    async with harness.client(READ_TOKEN) as client:
        answer = await client.request(operation.method, path)
        assert (answer.status_code == 403) == (operation.method != "GET")
    assert harness.host.left == []


async def test_each_token_is_compared_in_constant_time(harness, monkeypatch):
    """The response time must not help an attacker who guesses tokens.

    A comparison that stops at the first difference, or at the first matching token,
    reveals by its time how close a guess is. Every token is compared in full.
    """
    compared = []
    compare = hmac.compare_digest
    monkeypatch.setattr(
        hmac, "compare_digest", lambda a, b: compared.append(b) or compare(a, b)
    )
    for token in (READ_TOKEN, "wrong"):
        async with harness.client(token) as client:
            await client.get("/v1/status")
    assert len(compared) == 4


async def test_host_drain_needs_the_role_and_stops_the_host(harness):
    async with harness.client(OPERATE_TOKEN) as client:
        answer = await client.post("/v1/host/drain")
    assert answer.status_code == 202
    assert answer.json() == {"host": "host-0", "seconds_left": 30}
    assert harness.host.left == [100.0]


async def test_rate_limit_of_one_token_does_not_affect_another(tmp_path):
    """A script of one operator sends requests in a loop.

    Its token gets 429 with Retry-After while another token is still served. After the
    time in Retry-After the first token is served again.
    """
    admin = {"requests_per_second": 1.0, "burst": 2}
    harness = ApiHarness.make(make_settings(two_tokens(tmp_path), **admin))
    async with harness.client(READ_TOKEN) as client:
        for _ in range(3):
            assert (await client.get("/v1/status")).status_code == 200
        answer = await client.get("/v1/status")
        assert_problem(answer, 429, "rate-limited")
        async with harness.client(OPERATE_TOKEN) as other:
            assert (await other.get("/v1/status")).status_code == 200
        harness.host.now += int(answer.headers["retry-after"])
        assert (await client.get("/v1/status")).status_code == 200


async def test_large_bodies_are_refused_before_they_are_buffered(tmp_path):
    harness = ApiHarness.make(make_settings(max_body_bytes=1000))
    received = []

    async def chunks():
        for _ in range(100):
            received.append(1)
            yield b" " * 400

    async with harness.client() as client:
        answer = await client.put("/v1/accounts/a", content=chunks())
    assert_problem(answer, 413, "body-too-large")
    assert len(received) < 10


async def test_slow_body_times_out(monkeypatch):
    monkeypatch.setattr("citronspring.admin.bodies.BODY_TIMEOUT_SECONDS", 0.01)

    async def chunks():
        yield b"{"
        await anyio.sleep(30)

    harness = ApiHarness.make()
    async with harness.client() as client:
        answer = await client.put("/v1/accounts/a", content=chunks())
    assert_problem(answer, 408, "request-timeout")


@pytest.mark.parametrize(
    "body",
    [
        b'{"template": "a", "parameters": {"a": NaN}}',
        b'{"template": "\\ud800"}',
        b"{",
        b"[]",
    ],
)
async def test_body_that_is_no_json_object_is_malformed(body):
    async with ApiHarness.make().client() as client:
        headers = {"Content-Type": "application/json"}
        answer = await client.put("/v1/accounts/a", content=body, headers=headers)
        assert_problem(answer, 400, "malformed-request")
        answer = await client.put("/v1/accounts/a", content=b"{}")
        assert (
            "Content-Type" in assert_problem(answer, 400, "malformed-request")["remedy"]
        )


async def test_web_page_cannot_post_to_loopback():
    """A web page in an operator's browser posts to the host's loopback.

    Without tokens the API trusts every client on loopback and would accept the
    request. Browsers name the page in Origin, so requests with Origin are refused.
    """
    harness = ApiHarness.make()
    async with harness.client() as client:
        headers = {"Origin": "http://elsewhere"}
        answer = await client.post("/v1/host/drain", headers=headers)
    assert_problem(answer, 403, "forbidden")
    assert harness.host.left == []


async def test_unexpected_exception_becomes_a_problem_and_a_log_event(harness, capsys):
    """An unexpected exception in a handler must not end the process.

    The process carries live flows. The client gets a problem document without
    internals, and the log has the exception.
    """
    configure_logs(LogsSection())
    harness.host.dump = lambda: 1 / 0
    async with harness.client(READ_TOKEN) as client:
        answer = await client.get("/v1/dump")
        assert_problem(answer, 500, "internal")
        assert "Zero" not in answer.text
        assert (await client.get("/v1/status")).status_code == 200
    structlog.reset_defaults()
    assert "ZeroDivisionError" in capsys.readouterr().err


async def test_unknown_paths_and_methods_are_problems(harness):
    async with harness.client(READ_TOKEN) as client:
        assert_problem(await client.get("/v2/accounts"), 404, "not-found")
        answer = await client.delete("/v1/accounts")
        assert_problem(answer, 405, "method-not-allowed")


@pytest.mark.parametrize(
    "change",
    [
        {"file": None, "env": "CITRONSPRING_ABSENT"},
        {"file": "/absent/token"},
        {"file": "short"},
        {"file": "operate"},
    ],
)
def test_error_for_unusable_token_omits_its_value(tmp_path, change, monkeypatch):
    sections = list(two_tokens(tmp_path))
    (tmp_path / "short").write_text("s3cret")
    monkeypatch.chdir(tmp_path)
    sections[0] |= change
    with pytest.raises(SettingsError) as caught:
        ApiHarness.make(make_settings(tuple(sections)))
    assert "reader" in str(caught.value)
    assert "s3cret" not in str(caught.value)
    assert OPERATE_TOKEN not in str(caught.value)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3)
    ),
    max_leaves=6,
)
KEYS = ("template", "parameters", "change_id", "if_revision", "name", "body", "x")
OBJECTS = st.dictionaries(st.sampled_from(KEYS), JSON, max_size=4)
TEMPLATES = st.builds(lambda inner: {"template": inner}, OBJECTS)
NEARLY_VALID = st.builds(
    lambda parameters: {"template": "stream", "parameters": parameters},
    st.dictionaries(
        st.sampled_from(["addresses", "targets", "connections"]), JSON, max_size=3
    ),
)
BODIES = (OBJECTS | TEMPLATES | NEARLY_VALID).map(
    lambda item: json.dumps(item).encode()
)
RAW = st.binary(max_size=60) | st.sampled_from(
    [b"[" * 100_000, b"9" * 5000, b'{"template": "\\ud800"}', b'{"if_revision": NaN}']
)
WRITES = [item for item in OPERATIONS if item.body is not None]


@settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(body=BODIES | RAW, operation=st.sampled_from(WRITES), name=st.text(max_size=5))
def test_any_body_gets_success_or_a_4xx_problem(body, operation, name):
    async def send():
        async with ApiHarness.make().client() as client:
            await put_examples(client)
            path = operation.path
            for part in ("{name}", "{account}", "{target}"):
                path = path.replace(part, name.encode("utf-8", "replace").hex() or "b")
            headers = {"Content-Type": "application/json"}
            return await client.request(
                operation.method, path, content=body, headers=headers
            )

    answer = anyio.run(send)
    if answer.status_code != 200:
        kind = answer.json()["kind"]
        assert_problem(answer, int(STATUS_BY_KIND[kind]), kind)
        assert 400 <= answer.status_code < 500
