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


#: Seconds that open requests get when the server stops.
SHUTDOWN_GRACE_SECONDS = 1


#: Connections at once; beyond it a client gets 503. Each takes memory and a file
#: descriptor, and a host needs both for packets.
MAX_CONNECTIONS = 512


class ApplicationServer(uvicorn.Server):
    """A server that leaves signals to the process and reports its start."""

    def __init__(self, config: uvicorn.Config, stop: Callable[[], None]) -> None:
        super().__init__(config)
        self.stop = stop
        self.ready = anyio.Event()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signal handlers as they are."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start listening and say so."""
        await super().startup(sockets=sockets)
        self.ready.set()

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """End what waits in the application, then the connections."""
        self.stop()
        await super().shutdown(sockets=sockets)


def do_nothing() -> None:
    """Stand for an application in which nothing waits for long."""


async def serve_application(
    application: Any,
    endpoint: Endpoint,
    tls: TlsFiles | None = None,
    *,
    stop: Callable[[], None] = do_nothing,
    task_status: TaskStatus[Endpoint] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an ASGI application until cancelled.

    The task starts with the endpoint it listens on: port 0 stands for any free
    port. Without TLS files it serves in clear text.

    Parameters
    ----------
    application : ASGI application
        What to serve.
    endpoint : Endpoint
        Where to listen.
    tls : TlsFiles, optional
        Certificate and key; without them it serves in clear text.
    stop : callable
        Ends the requests that wait in the application when the server stops.
    task_status : TaskStatus
        Reports the start.
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
    """Run a server that ends by ``should_exit`` alone.

    Cancelled in its main loop, it would leave its connections open.
    """
    with anyio.CancelScope(shield=True):
        await server.serve(sockets=[listener])


def bind(endpoint: Endpoint) -> socket.socket:
    """Open a listening socket; raises SettingsError when the address is not free."""
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
    """Make the error of an address that this process cannot have."""
    remedy = "free the address, or change the settings"
    return SettingsError(f"cannot listen on {endpoint}: {error.strerror}", remedy)
