"""JSON as `json` reads and writes it, without the modules that it imports.

See `citronspring.light_stdlib` for why. The work is done by the same functions as in the
standard module, so texts and errors are the same.
"""

from __future__ import annotations

from citronspring.light_stdlib import TYPE_CHECKING

__all__ = ["dumps", "loads", "compact_encoder"]

if TYPE_CHECKING:
    from collections.abc import Callable
    from json import dumps, loads
    from typing import Any

    def compact_encoder(default: Callable[[Any], Any]) -> Callable[[object], str]:
        """Return a function that writes values without spaces."""
else:
    from _json import encode_basestring_ascii, make_encoder, make_scanner

    #: Characters that may stand around a value.
    WHITESPACE = " \t\n\r"

    #: Names of the numbers that JSON itself does not know.
    CONSTANTS = {
        "-Infinity": float("-inf"),
        "Infinity": float("inf"),
        "NaN": float("nan"),
    }

    class ScannerOptions:
        """What the scanner reads its options from: those of `json.loads`."""

        strict = True
        object_hook = None
        object_pairs_hook = None
        parse_float = float
        parse_int = int
        parse_constant = CONSTANTS.__getitem__

    scan = make_scanner(ScannerOptions)

    def loads(text):
        """Return the value in a text, str or UTF-8; raises ValueError if it is none."""
        if not isinstance(text, str):
            text = bytes(text).decode()
        text = text.strip(WHITESPACE)
        try:
            value, end = scan(text, 0)
        except (StopIteration, SystemError):
            # Without the standard module the scanner cannot say what is wrong.
            end = None
        if end != len(text):
            return parse_with_json_module(text)
        return value

    def parse_with_json_module(text):
        """Raise the error that the standard module has for a text."""
        from json import loads as standard

        return standard(text)

    def raise_unsupported_type(value):
        """Raise TypeError for a value that JSON has no form for."""
        raise TypeError(f"{type(value).__name__} has no form in JSON")

    def chunk_encoder(default, colon, comma):
        """Return the function that writes a value as a list of pieces."""
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
        """Return a value as text; raises TypeError if it has no form."""
        return "".join(encode_chunks(value, 0))

    def compact_encoder(default):
        """Return a function that writes values without spaces.

        ``default`` returns another value for one that has no form.
        """
        pieces = chunk_encoder(default, ":", ",")

        def write(value):
            return "".join(pieces(value, 0))

        return write
