"""Batched UDP sockets on anyio's readiness."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

import anyio

from citronspring.packets import MAX_DATAGRAM
from citronspring.serving import bind_error

if TYPE_CHECKING:
    from collections.abc import Callable

    from citronspring.entities import Endpoint

#: Datagrams read for one wake-up of the event loop. One read a wake-up loses most
#: of a burst; many more would starve the other sockets.
BATCH = 64

#: Kernel buffer asked for, bytes; holds a burst while another task runs.
RECEIVE_BUFFER = 8 * 1024 * 1024

#: Socket option that tells a socket's memory and drops (Linux, linux/sock_diag.h):
#: nine numbers of 32 bits, the last of them the datagrams that found no room.
SO_MEMINFO = 55
MEMINFO = struct.Struct("=9I")

#: An outer source address and port.
Source = tuple[str, int]


def bind_udp(endpoint: Endpoint) -> socket.socket:
    """Return a non-blocking UDP socket bound to an endpoint.

    Raises SettingsError when the address is not free.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    try:
        sock.bind((endpoint.ip, endpoint.port))
    except OSError as error:
        sock.close()
        raise bind_error(endpoint, error) from None
    return sock


def no_op() -> None:
    """Stand for a handler that needs no notice of a batch."""


async def receive_forever(
    sock: socket.socket,
    handle: Callable[[bytes, Source], None],
    begin: Callable[[], None] = no_op,
) -> None:
    """Give every datagram to a handler, in batches.

    Parameters
    ----------
    sock : socket
        A non-blocking UDP socket.
    handle : callable
        Called with each datagram and its source.
    begin : callable
        Called before each batch.
    """
    while True:
        await anyio.wait_readable(sock)
        begin()
        receive_batch(sock, handle)


def receive_batch(sock: socket.socket, handle: Callable[[bytes, Source], None]) -> None:
    """Read up to a batch of datagrams that have arrived."""
    for _ in range(BATCH):
        try:
            datagram, source = sock.recvfrom(MAX_DATAGRAM)
        except (BlockingIOError, ConnectionRefusedError):
            return
        handle(datagram, source)


def send(sock: socket.socket, datagram: bytes, endpoint: Endpoint) -> bool:
    """Send a datagram; return False where the kernel takes none, as a lossy link."""
    try:
        sock.sendto(datagram, (endpoint.ip, endpoint.port))
    except OSError:
        return False
    return True


def kernel_drops(sock: socket.socket) -> int:
    """Return how many datagrams the kernel dropped because the buffer was full."""
    raw = sock.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, MEMINFO.size)
    drops: int = MEMINFO.unpack(raw)[-1]
    return drops
