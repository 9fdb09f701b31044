"""Serve the administration API beside the core, in one process."""

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
    """Serve until cancelled; starts with the endpoint it listens on.

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
    """Return the files of the certificate, once they are seen to fit."""
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
    """Refuse an encrypted key, for which the library would ask the terminal."""
    raise ValueError("the key is encrypted")


def listen_endpoint(settings: Settings) -> Endpoint:
    """Return where to listen: without a token on loopback, whatever is set."""
    wanted = settings.admin_endpoint
    if settings.admin.tokens or ip_address(wanted.ip).is_loopback:
        return wanted
    loopback = "::1" if ":" in wanted.ip else "127.0.0.1"
    return Endpoint(loopback, wanted.port)


def log_listening(settings: Settings, endpoint: Endpoint) -> None:
    """Log where the API listens, and what is weak about it."""
    log(ADMIN_LISTENING, listen=str(endpoint))
    section = settings.admin
    if not section.tokens:
        wanted = str(settings.admin_endpoint)
        log(ADMIN_LOOPBACK_ONLY, listen=str(endpoint), configured=wanted)
    elif section.certificate_file is None and not ip_address(endpoint.ip).is_loopback:
        log(ADMIN_CLEAR_TEXT, listen=str(endpoint))
