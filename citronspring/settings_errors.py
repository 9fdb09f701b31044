"""Convert findings of the settings validation to one-line errors."""

from __future__ import annotations

from difflib import get_close_matches
from typing import TYPE_CHECKING, Any

from pydantic_core import PydanticCustomError

from citronspring.errors import SettingsError

if TYPE_CHECKING:
    from collections.abc import Collection
    from pathlib import Path

    from pydantic import ValidationError

#: Type of the findings that contain their own key, value and remedy.
CROSS_KEY_ERROR = "finding"

#: Maximum length, in characters, of a value in an error message.
MAX_PRINTED_LENGTH = 80

#: Sections whose values are never shown, because they may be misplaced secrets.
SECRET_SECTIONS = ("admin.tokens", "control")


def cross_key_error(key: str, value: object, remedy: str) -> PydanticCustomError:
    """Return the finding of a check that involves several keys.

    Parameters
    ----------
    key : str
        Key relative to the section that is checked; empty for the section itself.
    value : object
        Value of the key.
    remedy : str
        Remedy for the user.
    """
    context = {"key": key, "value": str(value), "remedy": remedy}
    return PydanticCustomError(CROSS_KEY_ERROR, "{remedy}", context)


def settings_error(
    path: Path, error: ValidationError, known: Collection[str]
) -> SettingsError:
    """Return the one-line error for the first finding of a validation.

    Parameters
    ----------
    path : Path
        The settings file.
    error : ValidationError
        The findings.
    known : collection of str
        Known keys, one of which is suggested in place of a misspelt one.
    """
    first: Any = error.errors(include_url=False)[0]
    parts = [str(part) for part in first["loc"]]
    value = first["input"]
    if first["type"] == CROSS_KEY_ERROR:
        parts += [first["ctx"]["key"]] if first["ctx"]["key"] else []
        value = first["ctx"]["value"]
    key = escape(".".join(parts))
    if first["type"] == "missing":
        return SettingsError(f"{escape(path)}: {key} is missing", f"add {key}")
    text = "(hidden)" if is_secret(key) else escape(repr(value))
    if first["type"] == "extra_forbidden":
        message = f"{escape(path)}: {key} = {text}: not a known key"
        return SettingsError(message, remedy_of_unknown(parts[-1], known))
    message = f"{escape(path)}: {key} = {text} is not valid"
    return SettingsError(message, remedy_of(first, parts[-1] if parts else ""))


def is_secret(key: str) -> bool:
    """Return whether the value of a key may be a secret, which must not be shown."""
    return key.startswith(SECRET_SECTIONS)


def remedy_of_unknown(key: str, known: Collection[str]) -> str:
    """Return the remedy for an unknown key."""
    close = get_close_matches(key, known, n=1)
    if close and close[0] != key:
        return f"did you mean {close[0]}?"
    return "remove it, or move it to the section it belongs to"


def remedy_of(first: Any, key: str) -> str:
    """Return the remedy for an invalid value."""
    reason = first["msg"].removeprefix("Value error, ")
    if key.endswith("_seconds") and first["type"] != CROSS_KEY_ERROR:
        return f"give seconds as a plain number without a unit: {escape(reason)}"
    return escape(reason[0].lower() + reason[1:])


def escape(value: object) -> str:
    """Return a value as printable text of limited length."""
    printable = "".join(
        char if char.isprintable() else char.encode("unicode_escape").decode()
        for char in str(value)
    )
    if len(printable) <= MAX_PRINTED_LENGTH:
        return printable
    return f"{printable[:MAX_PRINTED_LENGTH]}..."
