"""Command line of the benchmarks: prints a table and optionally writes JSON."""

from __future__ import annotations

import json
import sys
from pathlib import Path

from absl import app, flags

from benchmarks.runner import find_modules, run_modules

FLAGS = flags.FLAGS
JSON_PATH = flags.DEFINE_string("json", None, "File to write the figures to, as JSON.")
ONLY = flags.DEFINE_multi_string("only", [], "Module to run; all by default.")

COLUMNS = ("name", "value", "unit", "baseline", "bound", "held", "seed")


def format_table(rows: list[dict[str, object]]) -> str:
    """Return the result rows as a text table with aligned columns."""
    cells = [COLUMNS]
    cells += [tuple(format_cell(row.get(name)) for name in COLUMNS) for row in rows]
    widths = [max(len(line[index]) for line in cells) for index in range(len(COLUMNS))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def format_cell(value: object) -> str:
    """Return the text of one table cell."""
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "NO"
    if isinstance(value, float):
        return f"{value:.4g}" if abs(value) < 10_000 else f"{value:.0f}"
    return str(value)


def main(argv: list[str]) -> int:
    """Run the selected modules; return 1 if a figure is outside its bound."""
    del argv
    rows = run_modules(ONLY.value or find_modules())
    print(format_table(rows))
    if JSON_PATH.value:
        Path(JSON_PATH.value).write_text(json.dumps(rows, indent=1) + "\n")
    missed = [row for row in rows if not row["held"]]
    if missed:
        print(f"{len(missed)} bounds not held", file=sys.stderr)
    return 1 if missed else 0


if __name__ == "__main__":
    app.run(main)
