"""Check that what an operator wrote is plain data of bounded size."""

from __future__ import annotations

import math

from citronspring.configuration.validation_errors import escape
from citronspring.errors import ConfigurationError

#: Most levels of lists and tables inside each other.
MAX_DEPTH = 8

#: Largest whole number, as every JSON reader holds it.
LARGEST_INTEGER = 2**53


def check_plain_data(what: str, value: object, levels: int = MAX_DEPTH) -> None:
    """Raise ConfigurationError unless a value is plain data, naming the key.

    Deeper levels would overflow the stack of the code that renders them, and
    some numbers are written to the platform and cannot be read back.
    """
    if levels < 0:
        raise ConfigurationError(
            f"{what[:200]}: too many levels", f"keep to {MAX_DEPTH}"
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
                "use text, finite numbers of usual size, lists and tables",
            )


def check_key(what: str, key: object) -> None:
    """Raise ConfigurationError unless a key is text."""
    if not isinstance(key, str):
        raise ConfigurationError(f"{what}: key {escape(key)} is no text", "quote it")
