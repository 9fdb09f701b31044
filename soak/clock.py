"""Real time and real sockets for the emulator's callers and targets."""

from __future__ import annotations

import time
from heapq import heappop, heappush
from random import Random
from selectors import EVENT_READ, DefaultSelector
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

#: Largest datagram that is read, bytes.
MAX_DATAGRAM_BYTES = 2048


class RealClock:
    """Calls functions at real times and reads sockets in between.

    It has the methods of the emulator's clock, so that callers and targets of the
    emulator can exchange packets with real hosts.
    """

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.started_at = time.monotonic()
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.timer_count = 0
        self.selector = DefaultSelector()

    @property
    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def at(self, moment: float, callback: Callable[[], None]) -> None:
        """Call a function at a time."""
        self.timer_count += 1
        heappush(self.timers, (moment, self.timer_count, callback))

    def after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call a function after some seconds."""
        self.at(self.now + seconds, callback)

    def add_reader(
        self, sock: socket.socket, handler: Callable[[bytes, tuple[str, int]], None]
    ) -> None:
        """Call a function with each datagram of a socket and its source."""
        sock.setblocking(False)
        self.selector.register(sock, EVENT_READ, (sock, handler))

    def run_until(self, end: float) -> None:
        """Read sockets and call what is due until a time."""
        while self.now < end:
            due = self.timers[0][0] if self.timers else end
            for key, _ in self.selector.select(max(0.0, min(due, end) - self.now)):
                self.read_all(*key.data)
            while self.timers and self.timers[0][0] <= self.now:
                heappop(self.timers)[2]()

    def read_all(
        self, sock: socket.socket, handler: Callable[[bytes, tuple[str, int]], None]
    ) -> None:
        """Read all pending datagrams of a socket."""
        while True:
            try:
                data, source = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            handler(data, source)
