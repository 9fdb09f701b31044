"""Waits for sockets with epoll, at a lower import cost than ``selectors``.

See `citronspring.light_stdlib` for why a host does not import ``selectors``.
"""

from __future__ import annotations

from select import EPOLLIN, EPOLLOUT, epoll

from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.records import record

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from citronspring.light_sockets import Socket

#: Events of a socket, with the values they have in ``selectors``.
EVENT_READ = 1
EVENT_WRITE = 2


@record
class Registration:
    """A registered socket."""

    fileobj: Socket
    events: int
    #: Called with the events that the socket is ready for.
    data: Callable[[int], None]


class Poller:
    """The part of ``selectors.EpollSelector`` that a host uses."""

    def __init__(self) -> None:
        self.epoll = epoll()
        self.registrations: dict[int, Registration] = {}
        #: Registrations by socket.
        self.map: dict[Socket, Registration] = {}

    def register(
        self, sock: Socket, events: int, callback: Callable[[int], None]
    ) -> None:
        """Start waiting for events of a socket."""
        registration = Registration(sock, events, callback)
        self.epoll.register(sock.fileno(), kernel_events(events))
        self.registrations[sock.fileno()] = self.map[sock] = registration

    def modify(
        self, sock: Socket, events: int, callback: Callable[[int], None]
    ) -> None:
        """Change the events and callback of a registered socket."""
        registration = self.map[sock]
        registration.events = events
        registration.data = callback
        self.epoll.modify(sock.fileno(), kernel_events(events))

    def unregister(self, sock: Socket) -> None:
        """Stop waiting for a socket."""
        del self.map[sock]
        del self.registrations[sock.fileno()]
        self.epoll.unregister(sock.fileno())

    def get_map(self) -> Mapping[Socket, Registration]:
        """Return the registrations by socket."""
        return self.map

    def select(self, timeout: float) -> list[tuple[Registration, int]]:
        """Return the ready sockets and their events; wait for at most the timeout."""
        ready = []
        for descriptor, events in self.epoll.poll(timeout):
            registration = self.registrations[descriptor]
            ready.append((registration, ready_for(events) & registration.events))
        return ready

    def close(self) -> None:
        """Close the epoll descriptor."""
        self.epoll.close()


def kernel_events(events: int) -> int:
    """Return the epoll event mask for events of a socket."""
    read = EPOLLIN if events & EVENT_READ else 0
    write = EPOLLOUT if events & EVENT_WRITE else 0
    return read | write


def ready_for(events: int) -> int:
    """Return the events of an epoll mask; an error counts as readable and writable."""
    read = EVENT_READ if events & ~EPOLLOUT else 0
    write = EVENT_WRITE if events & ~EPOLLIN else 0
    return read | write
