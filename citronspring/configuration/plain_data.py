"""Check that an operator's input is plain data of bounded depth."""

from __future__ import annotations

import math

from citronspring.configuration.validation_errors import escape
from citronspring.errors import ConfigurationError

#: Maximum nesting depth of lists and tables.
MAX_DEPTH = 8

#: Largest integer that every JSON parser represents exactly.
LARGEST_INTEGER = 2**53


def check_plain_data(what: str, value: object, levels: int = MAX_DEPTH) -> None:
    """Raise ConfigurationError unless a value is plain data, naming the key.

    Deeper nesting would overflow the stack while rendering. Numbers that are not
    finite, or too large, could be stored but not read back.
    """
    if levels < 0:
        raise ConfigurationError(
            f"{what[:200]}: too deeply nested", f"use at most {MAX_DEPTH} levels"
        )
    match value:
        case None | bool() | str():
            return
        case int() if abs(value) <= LARGEST_INTEGER:
            return
        case float() if math.isfinite(value):
            return
        case list():
            for index, item in enumerate(value):
                check_plain_data(f"{what}.{index}", item, levels - 1)
        case dict():
            for key, item in value.items():
                check_key(what, key)
                check_plain_data(f"{what}.{escape(key)}", item, levels - 1)
        case _:
            raise ConfigurationError(
                f"{what}: {escape(value)} cannot be stored",
                "use text, finite numbers of ordinary size, lists and tables",
            )


def check_key(what: str, key: object) -> None:
    """Raise ConfigurationError unless a key is text."""
    if not isinstance(key, str):
        raise ConfigurationError(f"{what}: key {escape(key)} is not text", "quote it")
