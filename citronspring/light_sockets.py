"""Sockets and signals, without the enums that the standard modules define.

See `citronspring.light_stdlib` for the reason.
"""

from __future__ import annotations

from citronspring.light_stdlib import TYPE_CHECKING

__all__ = [
    "AF_INET",
    "IPPROTO_TCP",
    "SIGHUP",
    "SIGINT",
    "SIGTERM",
    "SIGUSR1",
    "SOCK_DGRAM",
    "SOCK_STREAM",
    "SOL_SOCKET",
    "SO_ERROR",
    "SO_RCVBUF",
    "SO_REUSEADDR",
    "TCP_NODELAY",
    "Socket",
    "bind_datagrams",
    "inet_ntoa",
    "set_signal_handler",
    "set_wakeup_fd",
    "socketpair",
]

if TYPE_CHECKING:
    from signal import SIGHUP, SIGINT, SIGTERM, SIGUSR1, set_wakeup_fd
    from signal import signal as set_signal_handler
    from socket import (
        AF_INET,
        IPPROTO_TCP,
        SO_ERROR,
        SO_RCVBUF,
        SO_REUSEADDR,
        SOCK_DGRAM,
        SOCK_STREAM,
        SOL_SOCKET,
        TCP_NODELAY,
        inet_ntoa,
        socketpair,
    )
    from socket import socket as Socket  # noqa: N812

    from citronspring.endpoints import Endpoint
else:
    from _signal import SIGHUP, SIGINT, SIGTERM, SIGUSR1, set_wakeup_fd
    from _signal import signal as set_signal_handler
    from _socket import (
        AF_INET,
        IPPROTO_TCP,
        SO_ERROR,
        SO_RCVBUF,
        SO_REUSEADDR,
        SOCK_DGRAM,
        SOCK_STREAM,
        SOL_SOCKET,
        TCP_NODELAY,
        inet_ntoa,
        socketpair,
    )
    from _socket import socket as BaseSocket  # noqa: N812

    class Socket(BaseSocket):
        """A socket of the operating system."""

        __slots__ = ()

        def accept(self):
            """Return the socket of a waiting connection and the peer's address."""
            descriptor, address = self._accept()
            return Socket(self.family, self.type, self.proto, descriptor), address


def bind_datagrams(endpoint: Endpoint) -> Socket:
    """Return a non-blocking UDP socket bound to an endpoint."""
    sock = Socket(AF_INET, SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind((endpoint.ip, endpoint.port))
    return sock
