"""Read input files: JSON if the name ends in .json, TOML otherwise."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

from citronspring.cli.exit_codes import InputFileError
from citronspring.settings_errors import escape

JSON_SUFFIX = ".json"


def read_table(name: str) -> dict[str, Any]:
    """Return the table in a TOML or JSON file; raises InputFileError."""
    try:
        text = Path(name).read_text("utf-8")
        table = json.loads(text) if name.endswith(JSON_SUFFIX) else tomllib.loads(text)
        json.dumps(table, allow_nan=False)
    except OSError as error:
        message = f"{escape(name)}: cannot be read: {error.strerror}"
        raise InputFileError(message, "name a readable TOML or JSON file") from None
    except (ValueError, TypeError, RecursionError) as error:
        message = f"{escape(name)}: {escape(error)}"
        remedy = "write it as TOML, or as JSON in a file named *.json"
        raise InputFileError(message, remedy) from None
    if not isinstance(table, dict):
        raise InputFileError(f"{escape(name)}: not a table", "write keys and values")
    return table


def read_token(name: str | None) -> str:
    """Return the token in a file, empty without a file; raises InputFileError."""
    if name is None:
        return ""
    try:
        token = Path(name).read_text("ascii").strip()
    except (OSError, ValueError):
        message = f"{escape(name)}: the token cannot be read"
        raise InputFileError(message, "name a readable file with the token") from None
    if not token.isprintable() or not token:
        message = f"{escape(name)}: contains no valid token"
        raise InputFileError(message, "write the token on one line")
    return token
