"""Parts of the standard library, without what their own modules import beside them.

A host that was killed serves again only after its imports. ``enum``, ``re`` and
``typing`` alone are half of those that ``socket``, ``signal``, ``selectors``, ``json``
and ``collections`` bring along, so a starting host takes the built-in halves of these
modules, and a class of its own where there is none. Type checkers see the standard
ones; what is imported later may use them.
"""

from __future__ import annotations

__all__ = [
    "AF_INET",
    "INFINITY",
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
    "Choice",
    "Counter",
    "Socket",
    "Struct",
    "bisect_left",
    "deque",
    "heappop",
    "heappush",
    "inet_ntoa",
    "inet_pton",
    "set_signal_handler",
    "set_wakeup_fd",
    "socketpair",
]

INFINITY = float("inf")

#: True for type checkers only.
TYPE_CHECKING = False

if TYPE_CHECKING:
    from bisect import bisect_left
    from collections import Counter, deque
    from enum import Enum as Choice
    from heapq import heappop, heappush
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
        inet_pton,
        socketpair,
    )
    from socket import socket as Socket  # noqa: N812
    from struct import Struct
else:
    from _bisect import bisect_left
    from _collections import deque
    from _heapq import heappop, heappush
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
        inet_pton,
        socketpair,
    )
    from _socket import socket as PlainSocket  # noqa: N812
    from _struct import Struct

    class Socket(PlainSocket):
        """A socket of the operating system."""

        __slots__ = ()

        def accept(self):
            """Return the socket of a connection that waits, and its other end."""
            descriptor, address = self._accept()
            return Socket(self.family, self.type, self.proto, descriptor), address

    class Counter(dict):
        """Counts by key; one that was never counted is 0."""

        __slots__ = ()

        def __missing__(self, key):
            return 0

    class Choice:
        """Base of classes whose constants are their only instances, as of an enum."""

        __slots__ = ("name", "value")

        def __init_subclass__(cls):
            constants = [name for name in vars(cls) if not name.startswith("_")]
            for name in constants:
                member = object.__new__(cls)
                member.name = name
                member.value = vars(cls)[name]
                setattr(cls, name, member)

        def __repr__(self):
            return f"{type(self).__name__}.{self.name}"
