"""Incremental parser for HTTP/1.1 messages.

The parser of the other mode is not used because importing it takes half of the time
allowed for a start, see `citronspring.light_stdlib`. This one supports what RFC 9112
requires of both ends of this system: bodies with a length or in chunks, and no others.
"""

from __future__ import annotations

from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.records import record

if TYPE_CHECKING:
    from typing import NoReturn

#: Largest head of a message in bytes; heads from hosts and from the store have some
#: 200.
MAX_HEAD_BYTES = 16_384

#: Largest body of a request in bytes; no valid request here has a body.
MAX_REQUEST_BODY_BYTES = 16_384

#: Digits of a status, and most digits of a length in bytes. The interpreter refuses to
#: convert thousands of digits, with an error that would end the process.
STATUS_DIGITS = 3
MAX_LENGTH_DIGITS = 18

#: Longest line with the size of a chunk in bytes.
MAX_CHUNK_LINE_BYTES = 256

END_OF_HEAD = b"\r\n\r\n"
END_OF_LINE = b"\r\n"

#: First status of a final response; lower ones are interim. Then the statuses of
#: responses without a body.
FIRST_FINAL_STATUS = 200
BODILESS_STATUSES = (204, 304)

HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")


class MessageError(ValueError):
    """Raised for bytes that are not a valid message; the connection must be closed."""


@record
class Message:
    """A request or a response."""

    #: The three parts of the start line.
    start_line: tuple[bytes, bytes, bytes]
    #: Header values by lower-case name.
    headers: dict[bytes, bytes]
    body: bytes = b""

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.start_line[1].decode("ascii", "replace")

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.start_line[1])

    @property
    def keep_alive(self) -> bool:
        """Whether the connection stays open after this message."""
        options = self.headers.get(b"connection", b"").lower()
        if b"HTTP/1.0" in self.start_line:
            return b"keep-alive" in options
        return b"close" not in options


class MessageReader:
    """Collects the bytes of a connection and returns complete messages.

    Parameters
    ----------
    expect_responses : bool
        Whether to parse responses instead of requests.
    """

    def __init__(self, expect_responses: bool) -> None:
        self.expect_responses = expect_responses
        self.buffer = bytearray()
        #: The message whose body is incomplete.
        self.message: Message | None = None
        #: Length of its body in bytes, None if it is chunked.
        self.length: int | None = 0
        self.chunks = bytearray()

    @property
    def body_size(self) -> int:
        """Bytes that the current body has, or will have according to its head."""
        if self.message is None:
            return 0
        if self.length is not None:
            return self.length
        return len(self.chunks) + len(self.buffer)

    def feed(self, data: bytes) -> None:
        """Append bytes received on the connection."""
        self.buffer += data

    def next_message(self) -> Message | None:
        """Return the next complete message, None if there is none yet.

        Raises
        ------
        MessageError
            If the received bytes are not a valid message.
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
        """Return a message without its body, None while its head is incomplete."""
        end = self.buffer.find(END_OF_HEAD, 0, MAX_HEAD_BYTES)
        if end < 0:
            if len(self.buffer) >= MAX_HEAD_BYTES:
                raise MessageError("the head of the message is too large")
            return None
        lines = bytes(self.buffer[:end]).split(END_OF_LINE)
        del self.buffer[: end + len(END_OF_HEAD)]
        return decode_head(lines, self.expect_responses)

    def consume(self, length: int) -> bytes | None:
        """Return and remove the given number of bytes, None while there are fewer."""
        if len(self.buffer) < length:
            return None
        taken = bytes(self.buffer[:length])
        del self.buffer[:length]
        return taken

    def parse_chunks(self) -> bytes | None:
        """Return the body from its chunks, None until the last chunk is complete."""
        while True:
            end = self.buffer.find(END_OF_LINE, 0, MAX_CHUNK_LINE_BYTES)
            if end < 0:
                if len(self.buffer) >= MAX_CHUNK_LINE_BYTES:
                    raise MessageError("a chunk has no size line")
                return None
            size = chunk_size(bytes(self.buffer[:end]))
            start = end + len(END_OF_LINE)
            after = start + size + len(END_OF_LINE)
            if len(self.buffer) < after:
                return None
            if self.buffer[after - len(END_OF_LINE) : after] != END_OF_LINE:
                raise MessageError("the size of a chunk is wrong")
            self.chunks += self.buffer[start : start + size]
            del self.buffer[:after]
            if size == 0:
                body = bytes(self.chunks)
                self.chunks.clear()
                return body


def decode_head(lines: list[bytes], answer: bool) -> Message:
    """Return the message with the given head."""
    start = lines[0].split(b" ", 2)
    if answer and len(start) == 2:
        # The reason phrase may be missing.
        start.append(b"")
    if len(start) != 3:
        raise_malformed(lines[0])
    version = start[0] if answer else start[2]
    if not version.startswith(b"HTTP/1.") or (answer and not is_status(start[1])):
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


def is_status(text: bytes) -> bool:
    """Whether a text is a status code."""
    return text.isdigit() and len(text) == STATUS_DIGITS


def raise_malformed(line: bytes) -> NoReturn:
    """Raise the error for an invalid line."""
    raise MessageError(f"invalid line in a message: {line!r:.80}")


def body_length(message: Message, answer: bool) -> int | None:
    """Return the length of a body in bytes, None if it is chunked."""
    coding = message.headers.get(b"transfer-encoding")
    length = message.headers.get(b"content-length")
    if coding is not None:
        if coding.lower() != b"chunked" or length is not None:
            raise MessageError(f"unsupported transfer coding: {coding!r:.40}")
        return None
    if length is not None:
        if not length.isdigit() or len(length) > MAX_LENGTH_DIGITS:
            raise MessageError(f"invalid content length: {length!r:.40}")
        return int(length)
    if answer and message.status not in BODILESS_STATUSES:
        raise MessageError("the response has no length")
    return 0


def chunk_size(line: bytes) -> int:
    """Return the size of a chunk from its size line."""
    digits = line.partition(b";")[0].strip()
    if not digits or not HEX_DIGITS.issuperset(digits):
        raise MessageError(f"invalid chunk size: {line!r:.40}")
    return int(digits, 16)
