"""Run an ASGI application inside a task group."""

from __future__ import annotations

import socket
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio
import uvicorn

from citronspring.entities import Endpoint
from citronspring.errors import SettingsError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from anyio.abc import TaskStatus


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """PEM files of a server's certificate and its key."""

    certificate: str
    key: str


#: Grace period for open requests when the server stops, seconds.
SHUTDOWN_GRACE_SECONDS = 1


#: Maximum concurrent connections; further clients get 503. Each connection takes memory
#: and a file descriptor, and a host needs both for packets.
MAX_CONNECTIONS = 512


class ApplicationServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers and reports its start."""

    def __init__(self, config: uvicorn.Config, stop: Callable[[], None]) -> None:
        super().__init__(config)
        self.stop = stop
        self.ready = anyio.Event()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Keep the signal handlers of the process."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start listening, then set ``ready``."""
        await super().startup(sockets=sockets)
        self.ready.set()

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """End the waiting requests of the application, then the connections."""
        self.stop()
        await super().shutdown(sockets=sockets)


def do_nothing() -> None:
    """Do nothing: the ``stop`` of an application without long-waiting requests."""


async def serve_application(
    application: Any,
    endpoint: Endpoint,
    tls: TlsFiles | None = None,
    *,
    stop: Callable[[], None] = do_nothing,
    task_status: TaskStatus[Endpoint] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an ASGI application until cancelled.

    The task starts with the endpoint it listens on.

    Parameters
    ----------
    application : ASGI application
        The application to serve.
    endpoint : Endpoint
        The address to listen on; port 0 stands for any free port.
    tls : TlsFiles, optional
        Certificate and key; without them the server uses clear text.
    stop : callable
        Called when the server stops; ends the requests that wait in the application.
    task_status : TaskStatus
        Reports the endpoint when the server listens.
    """
    listener = bind(endpoint)
    ip, port = listener.getsockname()[:2]
    config = uvicorn.Config(
        application,
        http="h11",
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        limit_concurrency=MAX_CONNECTIONS,
        timeout_graceful_shutdown=SHUTDOWN_GRACE_SECONDS,
        ssl_certfile=tls.certificate if tls else None,
        ssl_keyfile=tls.key if tls else None,
    )
    server = ApplicationServer(config, stop)
    with listener:
        async with anyio.create_task_group() as group:
            group.start_soon(serve_shielded, server, listener)
            try:
                await server.ready.wait()
                task_status.started(Endpoint(ip, port))
                await anyio.sleep_forever()
            finally:
                server.should_exit = True


async def serve_shielded(server: ApplicationServer, listener: socket.socket) -> None:
    """Run a server until ``should_exit`` is set, shielded from cancellation.

    If its main loop were cancelled, it would leave its connections open.
    """
    with anyio.CancelScope(shield=True):
        await server.serve(sockets=[listener])


def bind(endpoint: Endpoint) -> socket.socket:
    """Return a socket bound to an endpoint; raises SettingsError if that fails."""
    family = socket.AF_INET6 if ":" in endpoint.ip else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((endpoint.ip, endpoint.port))
    except OSError as error:
        listener.close()
        raise bind_error(endpoint, error) from None
    listener.setblocking(False)
    return listener


def bind_error(endpoint: Endpoint, error: OSError) -> SettingsError:
    """Return the error for an endpoint that cannot be bound."""
    remedy = "free the address, or change the settings"
    return SettingsError(f"cannot listen on {endpoint}: {error.strerror}", remedy)
