"""Regression bounds on failing targets, an overloading account and idle accounts."""

from __future__ import annotations

from benchmarks.health import failure_rows, flood_row, idle_rows


def test_health_bounds_hold():
    rows = [*failure_rows(), flood_row(), *idle_rows()]
    assert [row.name for row in rows if not row.held] == []
