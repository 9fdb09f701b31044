"""JSON as in `json`, without the modules that `json` imports.

See `citronspring.light_stdlib` for the reason. The C functions behind `json` do the
work, so output and errors are the same. Only numbers differ: `json` reads integers of
any size and infinite floats, with which arithmetic far from the decoder fails. One such
number, written by another program, would end every host that reads it.
"""

from __future__ import annotations

from citronspring.errors import StoredValueError
from citronspring.light_stdlib import TYPE_CHECKING

__all__ = [
    "DECODE_ERRORS",
    "NumberOutOfRange",
    "compact_encoder",
    "dumps",
    "has_encoding",
    "integer",
    "loads",
    "loads_object",
    "number",
    "text",
]

#: Most characters of an integer that is read, and the bound of floats. The largest
#: numbers in use are revisions of 24 digits; sums and products of several numbers in
#: this range are finite floats.
MAX_INTEGER_CHARACTERS = 30
MAX_FLOAT = 1e30

#: Characters of a number out of range that an error shows.
SHOWN_CHARACTERS = 40

#: Exceptions raised by decoding a value that does not have the specified form.
DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


class NumberOutOfRange:
    """A number that is read from JSON but cannot be used in calculations.

    It is a value of another type, as a text would be, so that it only invalidates the
    field that holds it. Conversions and comparisons raise TypeError.

    Parameters
    ----------
    text : str
        The number as it was written.
    """

    def __init__(self, text: str) -> None:
        self.text = text

    def __repr__(self) -> str:
        return f"number out of range: {self.text[:SHOWN_CHARACTERS]}"


if TYPE_CHECKING:
    from collections.abc import Callable
    from json import dumps, loads
    from typing import Any

    def compact_encoder(default: Callable[[Any], Any]) -> Callable[[object], str]:
        """Return a function that encodes values without spaces."""
else:
    from _json import encode_basestring_ascii, make_encoder, make_scanner

    #: Whitespace that may surround a value.
    WHITESPACE = " \t\n\r"

    def parse_integer(text):
        """Return the number in a text of digits."""
        if len(text) > MAX_INTEGER_CHARACTERS:
            return NumberOutOfRange(text)
        return int(text)

    def parse_float(text):
        """Return the number in a text with a fraction or exponent."""
        number = float(text)
        if -MAX_FLOAT < number < MAX_FLOAT:
            return number
        return NumberOutOfRange(text)

    class ScannerOptions:
        """Options that the scanner reads; but for numbers the defaults of `json`."""

        strict = True
        object_hook = None
        object_pairs_hook = None
        parse_float = parse_float
        parse_int = parse_integer
        # NaN and Infinity, which `json` reads although JSON does not have them.
        parse_constant = NumberOutOfRange

    scan = make_scanner(ScannerOptions)

    def loads(text):
        """Return the value in a str or UTF-8 text; raises ValueError if invalid.

        Numbers that cannot be used in calculations are returned as `NumberOutOfRange`.
        """
        if not isinstance(text, str):
            text = bytes(text).decode()
        text = text.strip(WHITESPACE)
        try:
            return scan_or_raise(text)
        except RecursionError as error:
            raise ValueError("the value is nested too deeply") from error

    def scan_or_raise(text):
        """Return the value in a text; also the error of an invalid one may recurse."""
        try:
            value, end = scan(text, 0)
        except (StopIteration, SystemError):
            # Without the standard module the scanner cannot report what is wrong.
            end = None
        if end != len(text):
            return parse_with_json_module(text)
        return value

    def parse_with_json_module(text):
        """Raise the error that the standard module raises for a text."""
        from json import loads as standard

        return standard(text)

    def raise_unsupported_type(value):
        """Raise TypeError for a value that JSON cannot represent."""
        raise TypeError(f"{type(value).__name__} is not JSON serializable")

    def chunk_encoder(default, colon, comma):
        """Return the function that encodes a value as a list of strings."""
        return make_encoder(
            None,
            default,
            encode_basestring_ascii,
            None,
            colon,
            comma,
            False,
            False,
            True,
        )

    encode_chunks = chunk_encoder(raise_unsupported_type, ": ", ", ")

    def dumps(value):
        """Return a value as JSON; raises TypeError if it cannot be represented."""
        return "".join(encode_chunks(value, 0))

    def compact_encoder(default):
        """Return a function that encodes values without spaces.

        ``default`` returns a replacement for a value that JSON cannot represent.
        """
        pieces = chunk_encoder(default, ":", ",")

        def write(value):
            return "".join(pieces(value, 0))

        return write


def loads_object(value: bytes) -> dict[str, Any]:
    """Return the JSON object in a value."""
    try:
        found = loads(value)
    except ValueError as error:
        raise StoredValueError(f"the value is not valid JSON: {error}") from error
    if not isinstance(found, dict):
        raise StoredValueError("the value is not a JSON object")
    return found


def integer(value: object) -> int:
    """Return a field that holds a number as an integer.

    Raises
    ------
    TypeError
        If it holds something else, also a text with digits.
    """
    if type(value) is int:
        return value
    return int(number(value))


def number(value: object) -> float:
    """Return a field that holds a number; raises TypeError for anything else."""
    if type(value) is int or type(value) is float:
        return float(value)
    raise TypeError(f"not a number: {value!r:.40}")


def text(value: object) -> str:
    """Return a field that holds a text.

    Raises
    ------
    TypeError
        If it holds something else.
    ValueError
        If it has no UTF-8 encoding. JSON can escape one half of a surrogate pair, with
        which metrics and hashes fail.
    """
    if type(value) is not str:
        raise TypeError(f"not a text: {value!r:.40}")
    if not value.isascii() and not has_encoding(value):
        raise ValueError(f"text without a UTF-8 encoding: {value!r:.40}")
    return value


def has_encoding(value: str) -> bool:
    """Whether a text has a UTF-8 encoding."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True
