"""Run the command line: ``python -m citronspring``."""

from __future__ import annotations

from citronspring.cli.main import run

if __name__ == "__main__":
    run()
