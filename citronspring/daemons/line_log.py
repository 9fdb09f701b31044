"""Log events as JSON lines on standard output: bounded, and never waited for."""

from __future__ import annotations

import time

from citronspring.events import CATALOGUE, LINES_LEFT_OUT, UNKNOWN_EVENT
from citronspring.json_text import writer_of
from citronspring.lean import TYPE_CHECKING, Counter, set_blocking, write_bytes

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

#: Lines a second of one kind of event. At 200 bytes a line and about ten kinds under
#: load this is some 60 KB and 3 ms of processor a second.
LINES_A_SECOND = 30

#: Bytes that wait for a reader of the output that is slow; more are left out.
MOST_WAITING = 65536

#: Seconds over which lines are counted.
WINDOW = 1.0


class LineLog:
    """Writes log events without ever blocking the process.

    Parameters
    ----------
    descriptor : int
        Where the lines go; made non-blocking.
    host_id : str
        Stands in each line.
    show_flow : callable, optional
        Returns the key of a flow as text; hexadecimal if not given.
    """

    def __init__(
        self,
        descriptor: int,
        host_id: str,
        show_flow: Callable[[bytes], str] = bytes.hex,
    ) -> None:
        self.descriptor = descriptor
        self.show_flow = show_flow
        self.as_json = writer_of(self.show)
        self.host_id = host_id
        self.waiting = bytearray()
        self.written: Counter[int] = Counter()
        self.left_out: Counter[int] = Counter()
        self.window_ends_at = 0.0
        set_blocking(descriptor, False)

    def write(self, number: int, fields: Mapping[str, object], now: float) -> None:
        """Queue the line of an event, unless its kind has used up its budget."""
        if now >= self.window_ends_at:
            self.start_window(now)
        self.written[number] += 1
        if self.written[number] > LINES_A_SECOND:
            self.left_out[number] += 1
            return
        self.queue(number, fields)

    def start_window(self, now: float) -> None:
        """Give every kind its budget again, and tell what was left out."""
        self.window_ends_at = now + WINDOW
        self.written.clear()
        if self.left_out:
            lines = {str(number): count for number, count in self.left_out.items()}
            self.left_out.clear()
            self.queue(LINES_LEFT_OUT.number, {"lines": lines})

    def queue(self, number: int, fields: Mapping[str, object]) -> None:
        """Add a line to what waits, if there is room."""
        event = CATALOGUE.get(number, UNKNOWN_EVENT)
        line = {
            "time": round(time.time(), 3),
            "host": self.host_id,
            "number": number,
            "event": event.name,
            "level": event.level.value,
            **fields,
        }
        encoded = self.as_json(line).encode() + b"\n"
        if len(self.waiting) + len(encoded) > MOST_WAITING:
            self.left_out[number] += 1
            return
        self.waiting += encoded

    def show(self, value: object) -> str:
        """Return what JSON has no form for as text."""
        return self.show_flow(value) if isinstance(value, bytes) else str(value)

    def flush(self) -> None:
        """Write as much as the output takes now."""
        if not self.waiting:
            return
        try:
            written = write_bytes(self.descriptor, self.waiting)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the log any more; serving goes on without it.
            self.waiting.clear()
            return
        del self.waiting[:written]
