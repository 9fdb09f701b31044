"""Writes log events as JSON lines to standard output, rate-limited and non-blocking."""

from __future__ import annotations

import time

from citronspring.events import CATALOGUE, LINES_LEFT_OUT, UNKNOWN_EVENT
from citronspring.json_text import compact_encoder
from citronspring.light_stdlib import TYPE_CHECKING, Counter, set_blocking, write_bytes

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

#: Limit on lines per second of one kind of event. At 200 bytes a line and about ten
#: kinds under load this is some 60 KB and 3 ms of processor time a second.
MAX_LINES_PER_SECOND = 30

#: Limit on bytes buffered for a slow reader of the output; further lines are omitted.
MAX_BUFFERED_BYTES = 65536

#: Most characters of a text in a line. Entries of other programs may hold a megabyte,
#: and a line longer than the buffer is lost.
MAX_TEXT_CHARACTERS = 300

#: Length in seconds of the window in which lines are counted.
WINDOW = 1.0


class LineLog:
    """Writes log events without ever blocking the process.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is made non-blocking.
    host_id : str
        Id of the host, written in each line.
    format_flow : callable, optional
        Returns the key of a flow as text; the default is hexadecimal.
    """

    def __init__(
        self,
        descriptor: int,
        host_id: str,
        format_flow: Callable[[bytes], str] = bytes.hex,
    ) -> None:
        self.descriptor = descriptor
        self.format_flow = format_flow
        self.encode_json = compact_encoder(self.to_text)
        self.host_id = host_id
        self.buffer = bytearray()
        self.written: Counter[int] = Counter()
        self.omitted: Counter[int] = Counter()
        self.window_ends_at = 0.0
        set_blocking(descriptor, False)

    def write(self, number: int, fields: Mapping[str, object], now: float) -> None:
        """Queue the line of an event unless the limit of its kind is reached."""
        if now >= self.window_ends_at:
            self.start_window(now)
        self.written[number] += 1
        if self.written[number] > MAX_LINES_PER_SECOND:
            self.omitted[number] += 1
            return
        self.queue(number, fields)

    def start_window(self, now: float) -> None:
        """Reset the counts, and log how many lines were omitted."""
        self.window_ends_at = now + WINDOW
        self.written.clear()
        if self.omitted:
            lines = {str(number): count for number, count in self.omitted.items()}
            self.omitted.clear()
            self.queue(LINES_LEFT_OUT.number, {"lines": lines})

    def queue(self, number: int, fields: Mapping[str, object]) -> None:
        """Append a line to the buffer if there is room."""
        event = CATALOGUE.get(number, UNKNOWN_EVENT)
        line = {
            "time": round(time.time(), 3),
            "host": self.host_id,
            "number": number,
            "event": event.name,
            "level": event.level.value,
            **{name: shorten(value) for name, value in fields.items()},
        }
        encoded = self.encode_json(line).encode() + b"\n"
        if len(self.buffer) + len(encoded) > MAX_BUFFERED_BYTES:
            self.omitted[number] += 1
            return
        self.buffer += encoded

    def to_text(self, value: object) -> str:
        """Return a value that JSON cannot represent as text."""
        return self.format_flow(value) if isinstance(value, bytes) else str(value)

    def flush(self) -> None:
        """Write as much of the buffer as the output accepts now."""
        if not self.buffer:
            return
        try:
            written = write_bytes(self.descriptor, self.buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader of the log has closed it; the host continues to serve.
            self.buffer.clear()
            return
        del self.buffer[:written]


def shorten(value: object) -> object:
    """Return a value of a line; of a long text the beginning and the length."""
    if type(value) is not str or len(value) <= MAX_TEXT_CHARACTERS:
        return value
    return f"{value[:MAX_TEXT_CHARACTERS]}... ({len(value)} characters)"
