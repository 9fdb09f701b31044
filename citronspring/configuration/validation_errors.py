"""Convert validation errors to errors that name the key, the value and a remedy."""

from __future__ import annotations

from difflib import get_close_matches
from typing import TYPE_CHECKING, Any

from citronspring.errors import ConfigurationError

if TYPE_CHECKING:
    from pydantic import BaseModel, ValidationError
    from pydantic_core import ErrorDetails

#: Maximum length, in characters, of a value in an error message.
MAX_PRINTED_LENGTH = 80


def configuration_error(
    error: ValidationError, what: str, model: type[BaseModel] | None = None
) -> ConfigurationError:
    """Return the error for the first finding of a validation.

    Parameters
    ----------
    error : ValidationError
        The findings.
    what : str
        The template or account, for the message.
    model : type of BaseModel, optional
        Model whose fields are suggested in place of an unknown key.
    """
    first = sorted_errors(error)[0]
    message = f"{what}: {first_error_text(error)}"
    return ConfigurationError(message, remedy_of(first, model))


def first_error_text(error: ValidationError) -> str:
    """Return the key, reason and value of the first finding."""
    found = sorted_errors(error)
    first = found[0]
    reason = first["msg"].removeprefix("Value error, ")
    text = f"{reason}, got {escape(first['input'])}"
    if first["loc"]:
        key = ".".join(str(part) for part in first["loc"])
        text = f"{escape(key)}: {text}"
    if len(found) > 1:
        text = f"{text} (and {len(found) - 1} more)"
    return text


def sorted_errors(error: ValidationError) -> list[ErrorDetails]:
    """Return the findings, unknown keys first: they explain missing keys."""
    found = error.errors(include_url=False)
    return sorted(found, key=lambda finding: finding["type"] != "extra_forbidden")


def remedy_of(first: Any, model: type[BaseModel] | None) -> str:
    """Return the remedy for a finding."""
    key = str(first["loc"][-1]) if first["loc"] else ""
    match first["type"]:
        case "extra_forbidden":
            return remedy_of_unknown(key, list(model.model_fields) if model else [])
        case "missing":
            return f"add {key}"
        case _:
            return f"correct {escape(key) if key else 'it'}"


def remedy_of_unknown(key: str, known: list[str]) -> str:
    """Return the remedy for an unknown key; suggest a similar known one if any."""
    close = get_close_matches(key, known, n=1)
    if close:
        return f"did you mean {close[0]}?"
    return f"remove {escape(key)}"


def escape(value: object) -> str:
    """Return a value as printable ASCII text of limited length."""
    text = value if isinstance(value, str) else bounded_repr(value)
    printable = text.encode("unicode_escape").decode("ascii")
    if len(printable) <= MAX_PRINTED_LENGTH:
        return printable
    return f"{printable[:MAX_PRINTED_LENGTH]}..."


def bounded_repr(value: object) -> str:
    """Return the ``repr`` of a value, or its type if it is too large or too deep."""
    try:
        return repr(value)
    except (ValueError, RecursionError):
        return f"a large {type(value).__name__}"
