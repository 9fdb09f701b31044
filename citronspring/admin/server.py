"""Serve the administration API in the process of the balancer core."""

from __future__ import annotations

import ssl
from ipaddress import ip_address
from typing import TYPE_CHECKING

import anyio

from citronspring.admin.application import make_application
from citronspring.entities import Endpoint
from citronspring.errors import SettingsError
from citronspring.events import (
    ADMIN_CLEAR_TEXT,
    ADMIN_LISTENING,
    ADMIN_LOOPBACK_ONLY,
)
from citronspring.logs import log
from citronspring.serving import TlsFiles, serve_application

if TYPE_CHECKING:
    from anyio.abc import TaskStatus

    from citronspring.admin.port import Configuration, HostProcess
    from citronspring.settings import AdminSection, Settings


async def serve_administration(
    host: HostProcess,
    store: Configuration,
    *,
    task_status: TaskStatus[Endpoint] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled; the task starts with the endpoint it listens on.

    Raises
    ------
    SettingsError
        A token or the certificate cannot be read.
    """
    section = host.settings.admin
    application = make_application(host, store)
    tls = tls_files(section)
    endpoint = listen_endpoint(host.settings)
    log_listening(host.settings, endpoint)
    await serve_application(application, endpoint, tls, task_status=task_status)


def tls_files(section: AdminSection) -> TlsFiles | None:
    """Return the certificate files, None without TLS; raises SettingsError.

    The files are loaded once, so that an unusable certificate is reported before the
    server starts.
    """
    if section.certificate_file is None or section.key_file is None:
        return None
    try:
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(
            section.certificate_file, section.key_file, reject_encrypted_key
        )
    except (OSError, ValueError) as error:
        message = f"admin.certificate_file = {section.certificate_file!r}: {error}"
        remedy = "name a PEM certificate and its key, without a password"
        raise SettingsError(message, remedy) from None
    return TlsFiles(section.certificate_file, section.key_file)


def reject_encrypted_key() -> str:
    """Raise ValueError for an encrypted key.

    Without this callback OpenSSL would prompt for the password on the terminal.
    """
    raise ValueError("the key is encrypted")


def listen_endpoint(settings: Settings) -> Endpoint:
    """Return the endpoint to listen on.

    Without tokens it is on loopback, whatever the settings say: anyone who reaches
    the API may then change every client account.
    """
    configured = settings.admin_endpoint
    if settings.admin.tokens or ip_address(configured.ip).is_loopback:
        return configured
    loopback = "::1" if ":" in configured.ip else "127.0.0.1"
    return Endpoint(loopback, configured.port)


def log_listening(settings: Settings, endpoint: Endpoint) -> None:
    """Log the endpoint, and a warning if there are no tokens or no TLS."""
    log(ADMIN_LISTENING, listen=str(endpoint))
    section = settings.admin
    if not section.tokens:
        configured = str(settings.admin_endpoint)
        log(ADMIN_LOOPBACK_ONLY, listen=str(endpoint), configured=configured)
    elif section.certificate_file is None and not ip_address(endpoint.ip).is_loopback:
        log(ADMIN_CLEAR_TEXT, listen=str(endpoint))
