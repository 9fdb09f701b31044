"""Output of commands: tables for people, JSON for programs."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from citronspring.settings_errors import escape

if TYPE_CHECKING:
    from collections.abc import Sequence


def print_json(content: Any) -> None:
    """Print JSON."""
    print(json.dumps(content, indent=2))


def print_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows in columns; numbers are aligned to the right."""
    cells = [[cell_text(cell) for cell in row] for row in rows]
    widths = [
        max(len(line[column]) for line in [headings, *cells])
        for column in range(len(headings))
    ]
    print(
        join_cells(
            [f"{text:{width}}" for text, width in zip(headings, widths, strict=True)]
        )
    )
    for row, texts in zip(rows, cells, strict=True):
        print(
            join_cells(
                f"{text:>{width}}" if isinstance(cell, int) else f"{text:{width}}"
                for cell, text, width in zip(row, texts, widths, strict=True)
            )
        )


def join_cells(cells: Any) -> str:
    """Return a line of a table."""
    return "  ".join(cells).rstrip()


def cell_text(cell: object) -> str:
    """Return the text of a cell; control characters from a host are escaped."""
    return "-" if cell is None else escape(cell)
