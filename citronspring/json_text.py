"""JSON as in `json`, without the modules that `json` imports.

See `citronspring.light_stdlib` for the reason. The C functions behind `json` do the
work, so output and errors are the same.
"""

from __future__ import annotations

from citronspring.errors import StoredValueError
from citronspring.light_stdlib import TYPE_CHECKING

__all__ = ["dumps", "loads", "loads_object", "compact_encoder"]

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

    #: Names of numbers that are not part of JSON but accepted by `json`.
    CONSTANTS = {
        "-Infinity": float("-inf"),
        "Infinity": float("inf"),
        "NaN": float("nan"),
    }

    class ScannerOptions:
        """Options that the scanner reads; the defaults of `json.loads`."""

        strict = True
        object_hook = None
        object_pairs_hook = None
        parse_float = float
        parse_int = int
        parse_constant = CONSTANTS.__getitem__

    scan = make_scanner(ScannerOptions)

    def loads(text):
        """Return the value in a str or UTF-8 text; raises ValueError if invalid."""
        if not isinstance(text, str):
            text = bytes(text).decode()
        text = text.strip(WHITESPACE)
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
    except (ValueError, RecursionError) as error:
        raise StoredValueError(f"the value is not valid JSON: {error}") from error
    if not isinstance(found, dict):
        raise StoredValueError("the value is not a JSON object")
    return found
