"""Messages of HTTP/1.1, cut out of the bytes of a connection.

Written out here because the parser that the other mode uses imports half of what a
start may cost, see `citronspring.light_stdlib`. It takes what RFC 9112 asks of both ends that
this product has: bodies with a length or in chunks, and no others.
"""

from __future__ import annotations

from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.records import record

if TYPE_CHECKING:
    from typing import NoReturn

#: Bytes of a message before its body at most; those between hosts and of the store
#: have some 200.
MAX_HEAD_BYTES = 16_384

#: Bytes of a request's body at most; no question here has one.
MAX_REQUEST_BODY_BYTES = 16_384

#: Bytes of a line that gives the size of a chunk.
MAX_CHUNK_LINE_BYTES = 256

END_OF_HEAD = b"\r\n\r\n"
END_OF_LINE = b"\r\n"

#: Statuses of answers that come before the one that counts, and those without a body.
FIRST_FINAL_STATUS = 200
BODILESS_STATUSES = (204, 304)

HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")


class MessageError(ValueError):
    """Bytes that are no message; the connection is of no use any more."""


@record
class Message:
    """A request or an answer."""

    #: The three parts of its first line.
    start_line: tuple[bytes, bytes, bytes]
    #: Values by name in small letters.
    headers: dict[bytes, bytes]
    body: bytes = b""

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.start_line[1].decode("ascii", "replace")

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start_line[1])

    @property
    def keep_alive(self) -> bool:
        """Whether its sender will take or send another one."""
        wishes = self.headers.get(b"connection", b"").lower()
        if b"HTTP/1.0" in self.start_line:
            return b"keep-alive" in wishes
        return b"close" not in wishes


class MessageReader:
    """Collects what a connection brings and returns it message by message.

    Parameters
    ----------
    expect_responses : bool
        Whether answers are read, and not requests.
    """

    def __init__(self, expect_responses: bool) -> None:
        self.expect_responses = expect_responses
        self.buffer = bytearray()
        #: The message whose body is not complete yet.
        self.message: Message | None = None
        #: Bytes of its body, None for one in chunks.
        self.length: int | None = 0
        self.chunks = bytearray()

    @property
    def body_size(self) -> int:
        """Bytes that the body under way has, or says that it will have."""
        if self.message is None:
            return 0
        if self.length is not None:
            return self.length
        return len(self.chunks) + len(self.buffer)

    def feed(self, data: bytes) -> None:
        """Take bytes of the connection."""
        self.buffer += data

    def next_message(self) -> Message | None:
        """Return the next message that is complete, None if there is none yet.

        Raises
        ------
        MessageError
            If what has come is no message.
        """
        while self.message is None:
            message = self.parse_head()
            if message is None:
                return None
            if not self.expect_responses or message.status >= FIRST_FINAL_STATUS:
                self.length = body_length(message, self.expect_responses)
                self.message = message
        body = self.parse_chunks() if self.length is None else self.consume(self.length)
        if not self.expect_responses and self.body_size > MAX_REQUEST_BODY_BYTES:
            raise MessageError("the body of the request is too large")
        if body is None:
            return None
        message, self.message = self.message, None
        message.body = body
        return message

    def parse_head(self) -> Message | None:
        """Return a message without its body, None while its head is not complete."""
        end = self.buffer.find(END_OF_HEAD, 0, MAX_HEAD_BYTES)
        if end < 0:
            if len(self.buffer) >= MAX_HEAD_BYTES:
                raise MessageError("the head of the message is too large")
            return None
        lines = bytes(self.buffer[:end]).split(END_OF_LINE)
        del self.buffer[: end + len(END_OF_HEAD)]
        return decode_head(lines, self.expect_responses)

    def consume(self, length: int) -> bytes | None:
        """Return that many bytes once they are there."""
        if len(self.buffer) < length:
            return None
        taken = bytes(self.buffer[:length])
        del self.buffer[:length]
        return taken

    def parse_chunks(self) -> bytes | None:
        """Return the chunks of a body together once the last one is there."""
        while True:
            end = self.buffer.find(END_OF_LINE, 0, MAX_CHUNK_LINE_BYTES)
            if end < 0:
                if len(self.buffer) >= MAX_CHUNK_LINE_BYTES:
                    raise MessageError("the size of a chunk is missing")
                return None
            size = chunk_size(bytes(self.buffer[:end]))
            start = end + len(END_OF_LINE)
            after = start + size + len(END_OF_LINE)
            if len(self.buffer) < after:
                return None
            if self.buffer[after - len(END_OF_LINE) : after] != END_OF_LINE:
                raise MessageError("a chunk does not end where it says")
            self.chunks += self.buffer[start : start + size]
            del self.buffer[:after]
            if size == 0:
                body = bytes(self.chunks)
                self.chunks.clear()
                return body


def decode_head(lines: list[bytes], answer: bool) -> Message:
    """Return the message whose head has these lines."""
    start = lines[0].split(b" ", 2)
    if answer and len(start) == 2:
        # The phrase behind the status may be missing.
        start.append(b"")
    if len(start) != 3:
        raise_malformed(lines[0])
    version, status = (start[0], start[1]) if answer else (start[2], b"0")
    if not version.startswith(b"HTTP/1.") or not status.isdigit():
        raise_malformed(lines[0])
    headers: dict[bytes, bytes] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(b":")
        if not colon or not name or name != name.strip():
            raise_malformed(line)
        name, value = name.lower(), value.strip()
        if headers.setdefault(name, value) != value and name == b"content-length":
            raise_malformed(line)
    return Message((start[0], start[1], start[2]), headers)


def raise_malformed(line: bytes) -> NoReturn:
    """Raise the error of a line that belongs to no message."""
    raise MessageError(f"{line!r:.80} is no part of a message")


def body_length(message: Message, answer: bool) -> int | None:
    """Return how many bytes a body will have, None for one in chunks."""
    coding = message.headers.get(b"transfer-encoding")
    length = message.headers.get(b"content-length")
    if coding is not None:
        if coding.lower() != b"chunked" or length is not None:
            raise MessageError(f"a body in {coding!r:.40} is not understood")
        return None
    if length is not None:
        if not length.isdigit():
            raise MessageError(f"{length!r:.40} is no length")
        return int(length)
    if answer and message.status not in BODILESS_STATUSES:
        raise MessageError("the answer does not say how long it is")
    return 0


def chunk_size(line: bytes) -> int:
    """Return the size of a chunk from the line before it."""
    digits = line.partition(b";")[0].strip()
    if not digits or not HEX_DIGITS.issuperset(digits):
        raise MessageError(f"{line!r:.40} is no size of a chunk")
    return int(digits, 16)
