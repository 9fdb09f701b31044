"""The API server: TLS, loopback, status, metrics, reference pages."""

from __future__ import annotations

import datetime
import ipaddress
import json
import ssl
from pathlib import Path

import anyio
import httpx
import pytest
import structlog
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from citronspring.admin.application import OPERATIONS
from citronspring.admin.problems import STATUS_BY_KIND
from citronspring.admin.server import serve_administration
from citronspring.entities import Endpoint, HostState
from citronspring.errors import SettingsError
from citronspring.logs import configure_logs
from citronspring.messages import SnapshotRead
from citronspring.settings import LogsSection
from tests.test_admin.hosts import (
    READ_TOKEN,
    ApiHarness,
    make_settings,
    put_examples,
    two_tokens,
)

pytestmark = pytest.mark.anyio

#: Any free port; the settings do not allow port 0.
ANY_PORT = Endpoint("127.0.0.1", 0)


def make_certificate(folder, password=None):
    """Write a certificate for loopback and its key; return the paths of both."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "host-0")])
    day = datetime.timedelta(days=1)
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - day)
        .not_valid_after(now + day)
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(key, hashes.SHA256())
    )
    encryption = (
        serialization.BestAvailableEncryption(password)
        if password
        else serialization.NoEncryption()
    )
    pem = serialization.Encoding.PEM
    form = serialization.PrivateFormat.PKCS8
    (folder / "admin.pem").write_bytes(certificate.public_bytes(pem))
    (folder / "admin.key").write_bytes(key.private_bytes(pem, form, encryption))
    return str(folder / "admin.pem"), str(folder / "admin.key")


async def get(url, verify=True, token=READ_TOKEN):
    headers = {"Authorization": f"Bearer {token}"}
    async with httpx.AsyncClient(verify=verify) as client:
        return await client.get(url, headers=headers)


def with_any_port(settings):
    admin = settings.admin.model_copy(update={"listen": ANY_PORT})
    return settings.model_copy(update={"admin": admin})


async def test_tls_from_the_settings(tmp_path):
    certificate, key = make_certificate(tmp_path)
    admin = {"certificate_file": certificate, "key_file": key}
    settings = with_any_port(make_settings(two_tokens(tmp_path), **admin))
    harness = ApiHarness.make(settings)
    async with anyio.create_task_group() as group:
        endpoint = await group.start(serve_administration, harness.host, harness.store)
        trusted = ssl.create_default_context(cafile=certificate)
        answer = await get(f"https://{endpoint}/v1/status", trusted)
        assert answer.json()["host"] == "host-0"
        with pytest.raises(httpx.TransportError):
            await get(f"http://{endpoint}/v1/status")
        group.cancel_scope.cancel()


@pytest.mark.parametrize("broken", ["absent", "encrypted", "no PEM"])
async def test_unusable_certificate_is_reported_before_listening(tmp_path, broken):
    """An unusable certificate is reported by an error that names the file.

    Without the check the process would end with a traceback, or ask for the key's
    password on a terminal that does not exist.
    """
    certificate, key = make_certificate(
        tmp_path, b"x" if broken == "encrypted" else b""
    )
    if broken == "absent":
        Path(key).unlink()
    if broken == "no PEM":
        Path(certificate).write_text("no PEM")
    admin = {"certificate_file": certificate, "key_file": key}
    harness = ApiHarness.make(make_settings(two_tokens(tmp_path), **admin))
    with pytest.raises(SettingsError) as caught:
        await serve_administration(harness.host, harness.store)
    assert "admin.pem" in str(caught.value)


async def test_without_a_token_it_listens_on_loopback_and_logs_a_warning(
    capsys, monkeypatch
):
    """The settings have a reachable address and no token.

    Anyone in the network could change every account. The API listens on loopback
    instead, and logs a warning with the configured address.
    """
    configure_logs(LogsSection())
    harness = ApiHarness.make(make_settings(listen="192.0.2.1:1"))
    served = []

    async def serve(application, endpoint, tls, *, task_status):
        served.append(endpoint)

    monkeypatch.setattr("citronspring.admin.server.serve_application", serve)
    await serve_administration(harness.host, harness.store)
    structlog.reset_defaults()
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    assert served == [Endpoint("127.0.0.1", 1)]
    assert [line["event"] for line in lines] == [
        "admin-listening",
        "admin-loopback-only",
    ]
    assert lines[1]["configured"] == "192.0.2.1:1"


async def test_tokens_in_clear_text_log_a_warning(capsys, tmp_path, monkeypatch):
    configure_logs(LogsSection())
    settings = make_settings(two_tokens(tmp_path), listen="192.0.2.1:1")
    harness = ApiHarness.make(settings)

    async def serve(application, endpoint, tls, *, task_status):
        assert str(endpoint) == "192.0.2.1:1"

    monkeypatch.setattr("citronspring.admin.server.serve_application", serve)
    await serve_administration(harness.host, harness.store)
    structlog.reset_defaults()
    assert "admin-clear-text" in capsys.readouterr().err


async def test_status_shows_hosts_zones_leaving_and_ejected():
    harness = ApiHarness.make()
    tables = harness.host.core.tables
    tables.hosts["host-1"].state = HostState.LEAVING
    tables.hosts["host-1"].revision = 7
    tables.hosts["host-2"].state = HostState.DEAD
    async with harness.client() as client:
        await put_examples(client)
        snapshot = await harness.store.read_snapshot()
        harness.host.core.receive(SnapshotRead(snapshot), harness.host.now)
        health = tables.targets["bundelpers-1"].writable_health()
        health.ejected_until = harness.host.now + 4.5
        status = (await client.get("/v1/status")).json()
        dump = (await client.get("/v1/dump")).json()
        metrics = await client.get("/metrics")
    assert status["revision"] == snapshot.revision
    assert status["leaving"] == ["host-1"]
    assert status["hosts"][1] == {
        "host": "host-1",
        "zone": "zetterij",
        "state": "leaving",
        "revision": 7,
    }
    zones = {zone["zone"]: zone["hosts"] for zone in status["zones"]}
    assert zones == {"drukkerij": 1, "zetterij": 1, "pakhuis": 0}
    (ejected,) = status["ejected"]
    assert ejected["target_id"] == "bundelpers-1"
    assert ejected["seconds_left"] == 5
    assert dump["accounts"].keys() == {"bundelpers", "inzendloket"}
    assert "citronspring_revision" in metrics.text


async def test_openapi_and_the_reference_page_name_every_operation():
    async with ApiHarness.make().client() as client:
        document = (await client.get("/v1/openapi.json")).json()
    described = {
        (method.upper(), path)
        for path, methods in document["paths"].items()
        for method in methods
    }
    assert described == {(item.method, item.path) for item in OPERATIONS}
    page = Path(__file__).parent.parent.parent / "docs" / "reference" / "api.md"
    text = page.read_text()
    for operation in OPERATIONS:
        assert f"| {operation.method} | `{operation.path}`" in text
    for kind, status in STATUS_BY_KIND.items():
        assert f"| `{kind}` | {status.value} |" in text


def test_default_endpoint_is_the_hosts_own_address():
    settings = make_settings()
    assert settings.admin_endpoint == Endpoint(settings.host.control.ip, 8440)
