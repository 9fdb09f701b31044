"""A small event loop: sockets, and timers on the steady clock."""

import heapq
import itertools
import selectors
import time


class Loop:
    """Calls functions when sockets are readable and when timers are due."""

    def __init__(self):
        self.selector = selectors.DefaultSelector()
        self.timers = []
        self.order = itertools.count()
        self.started_at = time.monotonic()
        #: Longest time by which a timer was late, seconds.
        self.worst_delay = 0.0

    def now(self):
        """Return the seconds since the loop was created."""
        return time.monotonic() - self.started_at

    def after(self, seconds, function, *arguments):
        """Call a function later."""
        entry = (self.now() + seconds, next(self.order), function, arguments)
        heapq.heappush(self.timers, entry)

    def on_readable(self, sock, function):
        """Call a function whenever a socket is readable."""
        self.selector.register(sock, selectors.EVENT_READ, function)

    def forget(self, sock):
        """Stop waiting for a socket."""
        self.selector.unregister(sock)

    def run_until(self, end):
        """Run until a time of this loop."""
        while (now := self.now()) < end:
            while self.timers and self.timers[0][0] <= now:
                due, _, function, arguments = heapq.heappop(self.timers)
                self.worst_delay = max(self.worst_delay, now - due)
                function(*arguments)
                now = self.now()
            until = min(self.timers[0][0] if self.timers else end, end)
            for key, _ in self.selector.select(max(0.0, until - self.now())):
                key.data()
