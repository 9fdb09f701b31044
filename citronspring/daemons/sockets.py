"""Non-blocking UDP sockets, read in batches with anyio."""

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

#: Datagrams read per wake-up of the event loop. One read per wake-up loses most of a
#: burst; many more would starve the other sockets.
BATCH = 64

#: Requested kernel receive buffer in bytes; holds a burst while another task runs.
RECEIVE_BUFFER = 8 * 1024 * 1024

#: Socket option that returns a socket's memory use and drops (Linux,
#: linux/sock_diag.h): nine 32-bit numbers, the last of them the datagrams dropped at a
#: full buffer.
SO_MEMINFO = 55
MEMINFO = struct.Struct("=9I")

#: Source address and port of a received datagram.
Source = tuple[str, int]


def bind_udp(endpoint: Endpoint) -> socket.socket:
    """Return a non-blocking UDP socket bound to an endpoint.

    Raises SettingsError if the address is in use or unavailable.
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
    """Do nothing; the default callback before a batch."""


async def receive_forever(
    sock: socket.socket,
    handle: Callable[[bytes, Source], None],
    begin: Callable[[], None] = no_op,
) -> None:
    """Pass every datagram to a handler, in batches.

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
    """Read and handle up to one batch of datagrams."""
    for _ in range(BATCH):
        try:
            datagram, source = sock.recvfrom(MAX_DATAGRAM)
        except (BlockingIOError, ConnectionRefusedError):
            return
        handle(datagram, source)


def send(sock: socket.socket, datagram: bytes, endpoint: Endpoint) -> bool:
    """Send a datagram; return False if the kernel rejects it. It counts as lost."""
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
